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

// The environment variables that make this test binary serve as the baseline: the standard
// library's reverse proxy in a process of its own.
const (
	envProxyBackend = "GARNET_BENCH_PROXY_BACKEND"
	envProxyListen  = "GARNET_BENCH_PROXY_LISTEN"
)

// serveReverseProxy serves a reverse proxy to backend at the address listen. It does not return.
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

// relayBench is a layout with an entry and, as the baseline, a reverse proxy on one core, in front
// of the same engine. direct, entry and proxy are the URLs at which the engine is reached directly,
// through the entry and through the proxy.
type relayBench struct {
	*harness
	direct, entry, proxy string
	entryProc, proxyProc *proc.Process
}

// newRelayBench starts a relayBench whose entry uses one core. interval is the time between the
// tokens of the engine's streams.
func newRelayBench(b *testing.B, interval time.Duration) *relayBench {
	b.Helper()
	return newRelayBenchOn(b, interval, "1")
}

// newRelayBenchOn starts a relayBench whose entry uses the given number of cores.
func newRelayBenchOn(b *testing.B, interval time.Duration, cores string) *relayBench {
	b.Helper()
	env := func(name string) []string {
		if strings.HasSuffix(name, "-entry") || name == "proxy" {
			return []string{"GOMAXPROCS=" + cores}
		}
		return nil
	}
	h := startHarness(b, proc.Shape{Engines: 1, VMs: 1, Engine: func(_ int, s *settings.Standin) {
		s.TokenInterval = settings.Duration(interval)
		s.PrefillPerToken = 0
		s.RoleChange = settings.Duration(100 * time.Millisecond)
	}}, env)
	h.awaitServing("v1", "checked")
	addrs, err := h.Addrs(1)
	if err != nil {
		b.Fatal(err)
	}
	r := &relayBench{harness: h, entryProc: h.VMs[0].Entry}
	h.Env = func(string) []string {
		return []string{"GOMAXPROCS=1", envProxyBackend + "=" + string(h.Engines[0].Address),
			envProxyListen + "=" + string(addrs[0])}
	}
	if r.proxyProc, err = h.Exec("proxy", os.Args[0]); err != nil {
		b.Fatal(err)
	}
	r.direct = "http://" + string(h.Engines[0].Address) + "/v1/chat/completions"
	r.entry = "http://" + string(h.VMs[0].Callers) + "/services/hints/v1/chat/completions"
	r.proxy = "http://" + string(addrs[0]) + "/v1/chat/completions"
	h.await("the proxy", proc.Ready("http://"+string(addrs[0])+"/status"))
	return r
}

// benchClient is the HTTP client of all streams.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000,
	DisableCompression: true}}

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

// readStream requests one stream of the given number of tokens, reads it and returns the number of
// its events. It passes the time to the first read and the gaps between reads to note, unless note
// is nil.
func readStream(ctx context.Context, url string, tokens int, note func(first bool, d time.Duration)) (int, error) {
	body := fmt.Sprintf(`{"messages":%s,"stream":true,"max_tokens":%d}`, chatMessages, tokens)
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

// measureThroughput keeps this many streams running for the duration d and returns the tokens per
// second.
func measureThroughput(b *testing.B, url string, streams int, d time.Duration) float64 {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	var total atomic.Int64
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				// The events of a stream that the end of the run cuts off still count.
				n, _ := readStream(ctx, url, 2000, nil)
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

// BenchmarkRelay prints the performance figures of the relay, for "make bench".
func BenchmarkRelay(b *testing.B) {
	for b.Loop() {
		relaySaturated(b)
		relayPaced(b)
		relayPeak(b)
	}
}

// relayPeak measures one entry on up to eight cores at 340 requests and 93,000 tokens per second,
// which is ten times the planned peak load of a VM.
func relayPeak(b *testing.B) {
	const interval, streams, tokens, rounds = 10 * time.Millisecond, 930, 274, 3
	h := newRelayBenchOn(b, interval, "8")
	run := func(url string) (pacedResult, float64) {
		sum := pacedResult{first: hdrhistogram.New(1, 60_000_000, 3),
			gap: hdrhistogram.New(1, 60_000_000, 3)}
		start := time.Now()
		for range rounds {
			p := runPaced(b, url, h.entryProc, streams, tokens)
			sum.first.Merge(p.first)
			sum.gap.Merge(p.gap)
			sum.tokens += p.tokens
			sum.cpu += p.cpu
		}
		return sum, time.Since(start).Seconds()
	}
	direct, _ := run(h.direct)
	entry, took := run(h.entry)
	fmt.Printf("figure peak_tokens_per_s %.0f tokens/s\n", float64(entry.tokens)/took)
	fmt.Printf("figure peak_requests_per_s %.0f 1/s\n", float64(entry.tokens)/tokens/took)
	fmt.Printf("figure peak_entry_cores %.2f cores\n", entry.cpu/took)
	fmt.Printf("figure peak_cpu_per_token %.2f us\n", entry.cpu/float64(entry.tokens)*1e6)
	fmt.Printf("figure peak_added_first_token_p50 %.3f ms\n",
		float64(entry.first.ValueAtQuantile(50)-direct.first.ValueAtQuantile(50))/1000)
	fmt.Printf("figure peak_added_between_tokens_p99 %.3f ms\n",
		float64(entry.gap.ValueAtQuantile(99)-direct.gap.ValueAtQuantile(99))/1000)
}

// relaySaturated compares the throughput of the entry and of the baseline on one core each.
func relaySaturated(b *testing.B) {
	h := newRelayBench(b, 0)
	const streams, rounds = 32, 5
	measureThroughput(b, h.entry, streams, time.Second)
	measureThroughput(b, h.proxy, streams, time.Second)
	var entry, proxy, ratios []float64
	for range rounds {
		e := measureThroughput(b, h.entry, streams, 2*time.Second)
		p := measureThroughput(b, h.proxy, streams, 2*time.Second)
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

// pacedResult holds the measurements of paced streams: the times to the first read and the gaps
// between reads in microseconds, and the processor time in seconds.
type pacedResult struct {
	first, gap *hdrhistogram.Histogram
	tokens     int
	cpu        float64
}

// runPaced runs this many streams in parallel, with this many tokens each. p is the process whose
// processor time is measured, or nil.
func runPaced(b *testing.B, url string, p *proc.Process, streams, tokens int) pacedResult {
	b.Helper()
	out := pacedResult{first: hdrhistogram.New(1, 60_000_000, 3),
		gap: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	before := cpuSeconds(b, p)
	for range streams {
		wg.Go(func() {
			first, gap := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
			n, err := readStream(b.Context(), url, tokens, func(isFirst bool, d time.Duration) {
				h := gap
				if isFirst {
					h = first
				}
				// A value out of range would exceed a minute; the test's timeout comes first.
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

// ticksPerSecond is the unit of times in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// cpuSeconds returns the processor time that a process has used, in seconds.
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

// rssMB returns the resident memory of a process in MB.
func rssMB(b testing.TB, p *proc.Process) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// relayPaced measures the latency and the processor time that the entry and the baseline add to
// streams at a fixed pace.
func relayPaced(b *testing.B) {
	const interval = 20 * time.Millisecond
	h := newRelayBench(b, interval)
	const streams, tokens = 100, 250
	direct := runPaced(b, h.direct, nil, streams, tokens)
	entry := runPaced(b, h.entry, h.entryProc, streams, tokens)
	proxy := runPaced(b, h.proxy, h.proxyProc, streams, tokens)
	added := func(name string, of func(pacedResult) int64) {
		fmt.Printf("figure relay_added_%s %.3f ms\n", name, float64(of(entry)-of(direct))/1000)
		fmt.Printf("figure reverseproxy_added_%s %.3f ms\n", name, float64(of(proxy)-of(direct))/1000)
	}
	added("first_token_p50", func(p pacedResult) int64 { return p.first.ValueAtQuantile(50) })
	added("first_token_p99", func(p pacedResult) int64 { return p.first.ValueAtQuantile(99) })
	added("between_tokens_p50", func(p pacedResult) int64 { return p.gap.ValueAtQuantile(50) })
	added("between_tokens_p99", func(p pacedResult) int64 { return p.gap.ValueAtQuantile(99) })
	fmt.Printf("figure relay_cpu_per_paced_token %.2f us\n", entry.cpu/float64(entry.tokens)*1e6)
	fmt.Printf("figure reverseproxy_cpu_per_paced_token %.2f us\n", proxy.cpu/float64(proxy.tokens)*1e6)
	relayIdle(b, h)
}

// relayIdle measures the memory of streams that are open but idle.
func relayIdle(b *testing.B, h *relayBench) {
	const streams = 1000
	before := rssMB(b, h.entryProc)
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	var open sync.WaitGroup
	for range streams {
		open.Add(1)
		wg.Go(func() {
			var once sync.Once
			// The end of the measurement cuts the stream off.
			_, _ = readStream(ctx, h.entry, 100000, func(bool, time.Duration) { once.Do(open.Done) })
		})
	}
	open.Wait()
	time.Sleep(2 * time.Second)
	fmt.Printf("figure relay_memory_per_open_stream %.1f KB\n",
		(rssMB(b, h.entryProc)-before)*1024/streams)
	cancel()
	wg.Wait()
}
