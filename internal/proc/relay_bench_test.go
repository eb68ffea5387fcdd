package proc_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
)

// The environment by which this test binary serves as the baseline: the
// standard library's reverse proxy in a process of its own.
const (
	envProxyBackend = "GARNET_BENCH_PROXY_BACKEND"
	envProxyListen  = "GARNET_BENCH_PROXY_LISTEN"
)

func serveReverseProxy(backend, listen string) {
	u, err := url.Parse("http://" + backend)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	p := httputil.NewSingleHostReverseProxy(u)
	p.FlushInterval = -1
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 2000, DisableCompression: true}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(listen, p))
	os.Exit(1)
}

// relayWorld is an entry on one core and the baseline on one core, in front of
// the same engine.
type relayWorld struct {
	*world
	direct, entry, proxy string
	entryProc, proxyProc *proc.Process
}

func newRelayWorld(b *testing.B, interval time.Duration) *relayWorld {
	b.Helper()
	return newRelayWorldOn(b, interval, "1")
}

// newRelayWorldOn gives the entry a number of cores.
func newRelayWorldOn(b *testing.B, interval time.Duration, cores string) *relayWorld {
	b.Helper()
	env := func(name string) []string {
		if strings.HasSuffix(name, "-entry") || name == "proxy" {
			return []string{"GOMAXPROCS=" + cores}
		}
		return nil
	}
	w := startWorld(b, proc.Shape{Engines: 1, VMs: 1, Engine: func(_ int, s *settings.Standin) {
		s.TokenInterval = settings.Duration(interval)
		s.PrefillPerToken = 0
		s.RoleChange = settings.Duration(100 * time.Millisecond)
	}}, env)
	w.serve("v1", "checked")
	addrs, err := w.Addrs(1)
	if err != nil {
		b.Fatal(err)
	}
	r := &relayWorld{world: w, entryProc: w.VMs[0].Entry}
	w.Env = func(string) []string {
		return []string{"GOMAXPROCS=1", envProxyBackend + "=" + string(w.Engines[0].Address), envProxyListen + "=" + string(addrs[0])}
	}
	if r.proxyProc, err = w.Exec("proxy", os.Args[0]); err != nil {
		b.Fatal(err)
	}
	r.direct = "http://" + string(w.Engines[0].Address) + "/v1/chat/completions"
	r.entry = "http://" + string(w.VMs[0].Callers) + "/services/hints/v1/chat/completions"
	r.proxy = "http://" + string(addrs[0]) + "/v1/chat/completions"
	w.until("the proxy", proc.Ready("http://"+string(addrs[0])+"/status"))
	return r
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000, DisableCompression: true}}

var eventEnd = []byte("\n\n")

// consume reads one stream, counts its events, and notes the time of the first
// and the gaps between reads.
func consume(ctx context.Context, url string, tokens int, note func(first bool, d time.Duration)) (int, error) {
	body := fmt.Sprintf(`{"messages":%s,"stream":true,"max_tokens":%d}`, question, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	last := time.Now()
	resp, err := benchClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	buf := make([]byte, 32<<10)
	events, first := 0, true
	for {
		n, err := resp.Body.Read(buf)
		events += bytes.Count(buf[:n], eventEnd)
		if n > 0 && note != nil {
			now := time.Now()
			note(first, now.Sub(last))
			last, first = now, false
		}
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}

// saturate keeps streams going and returns the tokens a second.
func saturate(b *testing.B, url string, streams int, d time.Duration) float64 {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	var total atomic.Int64
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				// A stream that the end of the run breaks off still counts.
				n, _ := consume(ctx, url, 2000, nil)
				total.Add(int64(n))
			}
		})
	}
	start := time.Now()
	time.Sleep(d)
	cancel()
	wg.Wait()
	return float64(total.Load()) / time.Since(start).Seconds()
}

// BenchmarkRelay prints the figures of the relay for "make bench".

func BenchmarkRelay(b *testing.B) {
	for b.Loop() {
		relaySaturated(b)
		relayPaced(b)
		relayPeak(b)
	}
}

// relayPeak drives one entry, on as many cores as it likes, at ten times the
// plan's peak of a node: 340 requests and 93,000 tokens a second.
func relayPeak(b *testing.B) {
	const interval, streams, tokens, rounds = 10 * time.Millisecond, 930, 274, 3
	w := newRelayWorldOn(b, interval, "8")
	run := func(url string) (paced, float64) {
		sum := paced{first: hdrhistogram.New(1, 60_000_000, 3), gap: hdrhistogram.New(1, 60_000_000, 3)}
		start := time.Now()
		for range rounds {
			p := runPaced(b, url, w.entryProc, streams, tokens)
			sum.first.Merge(p.first)
			sum.gap.Merge(p.gap)
			sum.tokens += p.tokens
			sum.cpu += p.cpu
		}
		return sum, time.Since(start).Seconds()
	}
	direct, _ := run(w.direct)
	entry, took := run(w.entry)
	fmt.Printf("figure peak_tokens_per_s %.0f tokens/s\n", float64(entry.tokens)/took)
	fmt.Printf("figure peak_requests_per_s %.0f 1/s\n", float64(entry.tokens)/tokens/took)
	fmt.Printf("figure peak_entry_cores %.2f cores\n", entry.cpu/took)
	fmt.Printf("figure peak_cpu_per_token %.2f us\n", entry.cpu/float64(entry.tokens)*1e6)
	fmt.Printf("figure peak_added_first_token_p50 %.3f ms\n", float64(entry.first.ValueAtQuantile(50)-direct.first.ValueAtQuantile(50))/1000)
	fmt.Printf("figure peak_added_between_tokens_p99 %.3f ms\n", float64(entry.gap.ValueAtQuantile(99)-direct.gap.ValueAtQuantile(99))/1000)
}

func relaySaturated(b *testing.B) {
	w := newRelayWorld(b, 0)
	const streams, rounds = 32, 5
	saturate(b, w.entry, streams, time.Second)
	saturate(b, w.proxy, streams, time.Second)
	var entry, proxy, ratios []float64
	for range rounds {
		e := saturate(b, w.entry, streams, 2*time.Second)
		p := saturate(b, w.proxy, streams, 2*time.Second)
		entry, proxy, ratios = append(entry, e), append(proxy, p), append(ratios, e/p)
	}
	fmt.Printf("figure relay_tokens_per_s_one_core %.0f tokens/s\n", median(entry))
	fmt.Printf("figure reverseproxy_tokens_per_s_one_core %.0f tokens/s\n", median(proxy))
	fmt.Printf("figure relay_vs_reverseproxy %.3f ratio\n", median(ratios))
}

func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}

// paced is what paced streams met.
type paced struct {
	first, gap *hdrhistogram.Histogram
	tokens     int
	cpu        float64
}

// runPaced runs streams side by side, each of tokens tokens.
func runPaced(b *testing.B, url string, p *proc.Process, streams, tokens int) paced {
	b.Helper()
	out := paced{first: hdrhistogram.New(1, 60_000_000, 3), gap: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	before := cpuSeconds(b, p)
	for range streams {
		wg.Go(func() {
			first, gap := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
			n, err := consume(b.Context(), url, tokens, func(isFirst bool, d time.Duration) {
				h := gap
				if isFirst {
					h = first
				}
				// Out of range would be over a minute, which the test's limit ends.
				_ = h.RecordValue(d.Microseconds())
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || n != tokens+2 {
				b.Errorf("stream ended with %d events: %v", n, err)
			}
			out.first.Merge(first)
			out.gap.Merge(gap)
			out.tokens += tokens
		})
	}
	wg.Wait()
	out.cpu = cpuSeconds(b, p) - before
	return out
}

// ticksPerSecond is the unit of /proc/PID/stat on Linux.
const ticksPerSecond = 100

// cpuSeconds is the processor time that a process has used.
func cpuSeconds(b testing.TB, p *proc.Process) float64 {
	b.Helper()
	if p == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / ticksPerSecond
}

// rssMB is the memory that a process holds.
func rssMB(b testing.TB, p *proc.Process) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

func relayPaced(b *testing.B) {
	const interval = 20 * time.Millisecond
	w := newRelayWorld(b, interval)
	const streams, tokens = 100, 250
	direct := runPaced(b, w.direct, nil, streams, tokens)
	entry := runPaced(b, w.entry, w.entryProc, streams, tokens)
	proxy := runPaced(b, w.proxy, w.proxyProc, streams, tokens)
	added := func(name string, of func(paced) int64) {
		fmt.Printf("figure relay_added_%s %.3f ms\n", name, float64(of(entry)-of(direct))/1000)
		fmt.Printf("figure reverseproxy_added_%s %.3f ms\n", name, float64(of(proxy)-of(direct))/1000)
	}
	added("first_token_p50", func(p paced) int64 { return p.first.ValueAtQuantile(50) })
	added("first_token_p99", func(p paced) int64 { return p.first.ValueAtQuantile(99) })
	added("between_tokens_p50", func(p paced) int64 { return p.gap.ValueAtQuantile(50) })
	added("between_tokens_p99", func(p paced) int64 { return p.gap.ValueAtQuantile(99) })
	fmt.Printf("figure relay_cpu_per_paced_token %.2f us\n", entry.cpu/float64(entry.tokens)*1e6)
	fmt.Printf("figure reverseproxy_cpu_per_paced_token %.2f us\n", proxy.cpu/float64(proxy.tokens)*1e6)
	relayIdle(b, w)
}

// relayIdle measures the memory of streams that are open and quiet.
func relayIdle(b *testing.B, w *relayWorld) {
	const streams = 1000
	before := rssMB(b, w.entryProc)
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	var open sync.WaitGroup
	for range streams {
		open.Add(1)
		wg.Go(func() {
			var once sync.Once
			// The end of the measurement breaks the stream off.
			_, _ = consume(ctx, w.entry, 100000, func(bool, time.Duration) { once.Do(open.Done) })
		})
	}
	open.Wait()
	time.Sleep(2 * time.Second)
	fmt.Printf("figure relay_memory_per_open_stream %.1f KB\n", (rssMB(b, w.entryProc)-before)*1024/streams)
	cancel()
	wg.Wait()
}
