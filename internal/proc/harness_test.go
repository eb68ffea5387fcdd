package proc_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/proc/proctest"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/standin"
)

// binDir holds the programs, built once; ports serves all tests.
var (
	binDir string
	ports  = proc.NewPorts()
)

func TestMain(m *testing.M) {
	if backend := os.Getenv(envProxyBackend); backend != "" {
		serveReverseProxy(backend, os.Getenv(envProxyListen))
		return
	}
	os.Exit(proctest.Main("garnethoist.org/garnethoist/cmd/...", func(dir string) { binDir = dir }, m.Run))
}

const tableHeader = "service,kind,engines,model,adapters,version,weight,rate_per_s,in_flight,account_rate_per_s,deadline,repeatable,change_cost,fencing,objective\n"

// rows is the table's rows at a model version.
func rows(engines, plains int, version, fencing string) string {
	return fmt.Sprintf("hints,language,kakkanad=%d,crossword-8b,,%s,1,0,0,0,30s,yes,1,%s,0.99\n"+
		"renewals,plain,kakkanad=%d,,,,1,0,0,0,10s,no,0,checked,0.999\n", engines, version, fencing, plains)
}

// world is a layout with what tests do to it.
type world struct {
	*proc.Layout
	t   testing.TB
	ctx context.Context
}

func newWorld(t *testing.T, shape proc.Shape) *world {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	return startWorld(t, shape, nil)
}

func startWorld(t testing.TB, shape proc.Shape, env func(string) []string) *world {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Minute)
	c := proc.NewCluster(t.TempDir(), binDir, ports)
	c.Env = env
	t.Cleanup(func() {
		c.StopAll(10 * time.Second)
		cancel()
	})
	if shape.Engine == nil {
		shape.Engine = func(_ int, s *settings.Standin) {
			s.TokenInterval = settings.Duration(5 * time.Millisecond)
			s.RoleChange = settings.Duration(300 * time.Millisecond)
		}
	}
	l, err := proc.NewLayout(c, shape)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{Layout: l, t: t, ctx: ctx}
	t.Cleanup(func() {
		if t.Failed() {
			w.dumpLogs()
		}
	})
	return w
}

func (w *world) dumpLogs() {
	for _, vm := range w.VMs {
		w.t.Logf("%s\n%s\n%s\n%s", vm.Steward.Name, tail(vm.Steward.Log()), vm.Entry.Name, tail(vm.Entry.Log()))
	}
}

func tail(s string) string {
	const most = 3000
	if len(s) > most {
		return s[len(s)-most:]
	}
	return s
}

// until waits for an event.
func (w *world) until(what string, ok func(context.Context) error) {
	w.t.Helper()
	if err := proc.Until(w.ctx, what, ok); err != nil {
		w.t.Fatal(err)
	}
}

// serve applies the first table and waits until every engine serves.
func (w *world) serve(version, fencing string) {
	w.t.Helper()
	for _, vm := range w.VMs {
		w.until("steward of "+vm.Name, proc.Ready("http://"+string(vm.StewardAdmin)+"/healthz"))
	}
	w.apply(0, version, fencing)
	for _, vm := range w.VMs {
		w.until("entry of "+vm.Name, proc.Ready("http://"+string(vm.EntryAdmin)+"/readyz"))
	}
	w.untilVersion(version)
}

func (w *world) apply(base int, version, fencing string) {
	w.t.Helper()
	path := filepath.Join(w.Dir, "table.csv")
	text := fmt.Sprintf("# version %d\n", base) + tableHeader + rows(len(w.Engines), len(w.Plains), version, fencing)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		w.t.Fatal(err)
	}
	// The last VM: tests cut off or stop the first.
	if out, err := w.ctl(len(w.VMs)-1, "table", "apply", path); err != nil {
		w.t.Fatalf("apply: %v\n%s", err, out)
	}
}

func (w *world) ctl(vm int, args ...string) (string, error) {
	args = append([]string{"--steward", string(w.VMs[vm].StewardGRPC)}, args...)
	out, err := exec.CommandContext(w.ctx, filepath.Join(w.Bin, "garnetctl"), args...).CombinedOutput()
	return string(out), err
}

// untilVersion waits until every engine runs a version and is live.
func (w *world) untilVersion(version string) {
	w.t.Helper()
	w.until("engines at "+version, func(context.Context) error {
		for i := range w.VMs {
			out, err := w.ctl(i, "status")
			if err != nil {
				return errors.Errorf("%v: %s", err, out)
			}
			for _, e := range w.Engines {
				if !lineHas(out, e.Name, "live", version) {
					return errors.Errorf("%s is not at %s:\n%s", e.Name, version, out)
				}
			}
			for _, p := range w.Plains {
				if !lineHas(out, p.Name, "live") {
					return errors.Errorf("%s is not live:\n%s", p.Name, out)
				}
			}
		}
		return nil
	})
}

// lineHas reports whether a line begins with name and has all the words.
func lineHas(out, name string, words ...string) bool {
	for _, line := range strings.Split(out, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] != name {
			continue
		}
		all := true
		for _, w := range words {
			all = all && strings.Contains(" "+strings.Join(fields, " ")+" ", " "+w+" ")
		}
		if all {
			return true
		}
	}
	return false
}

// getJSON reads a stand-in's counters.
func getJSON(t testing.TB, url string, dst any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(dst); err != nil {
		t.Fatal(err)
	}
}

func (w *world) counts(i int) standin.Counts {
	w.t.Helper()
	var c standin.Counts
	getJSON(w.t, "http://"+string(w.Engines[i].Address)+standin.PathCounts, &c)
	return c
}

// ran is how often a call with the body ran on all plain services.
func (w *world) ran(body string) int {
	w.t.Helper()
	sum := 0
	for _, p := range w.Plains {
		if p.Process.Exited() {
			continue
		}
		n := 0
		getJSON(w.t, "http://"+string(p.Address)+standin.PathRan+"?body="+url.QueryEscape(body), &n)
		sum += n
	}
	return sum
}

func (w *world) platformFault(mode string) {
	w.t.Helper()
	resp, err := http.Post("http://"+string(w.Platform)+"/fault?mode="+mode, "", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	resp.Body.Close()
}

// reader reads one stream event by event.
type reader struct {
	resp *http.Response
	in   *bufio.Scanner
	text string
	last string
	done bool
}

const question = `[{"role":"user","content":"7 across?"}]`

// expected is the right answer's first n tokens.
func expected(n int) string { return standin.Answer(standin.PromptHash(`user"7 across?"`), n) }

// openStream begins a stream at an entry.
func openStream(ctx context.Context, entry settings.Addr, tokens int, last string) (*reader, error) {
	body := fmt.Sprintf(`{"messages":%s,"stream":true,"max_tokens":%d}`, question, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(entry)+"/services/hints/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if last != "" {
		req.Header.Set("Last-Event-ID", last)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		return nil, errors.Errorf("status %d: %s %v", resp.StatusCode, data, err)
	}
	return &reader{resp: resp, in: bufio.NewScanner(resp.Body)}, nil
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// next reads until n more tokens have come, or to the end for 0.
func (r *reader) next(n int) error {
	for got := 0; !r.done && (n == 0 || got < n); {
		if !r.in.Scan() {
			return errors.Errorf("the stream broke off after %q: %v", r.last, r.in.Err())
		}
		line := r.in.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.last = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.done = true
			break
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return err
		}
		if c.Error != nil {
			return errors.New(c.Error.Message)
		}
		r.text += c.Choices[0].Delta.Content
		got++
	}
	return nil
}

func (r *reader) close() { r.resp.Body.Close() }

// stream reads a whole stream and checks it.
func stream(ctx context.Context, entry settings.Addr, tokens int) error {
	r, err := openStream(ctx, entry, tokens, "")
	if err != nil {
		return err
	}
	defer r.close()
	if err := r.next(0); err != nil {
		return err
	}
	if r.text != expected(tokens) {
		return errors.Errorf("got %q", r.text)
	}
	return nil
}

// answer is a plain call's answer.
type answer struct {
	status  int
	body    string
	outcome string
	retry   string
}

// renew makes a keyed call that may not be repeated.
func renew(ctx context.Context, entry settings.Addr, key, body string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(entry)+"/services/renewals/confirm", strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, body: string(data),
		outcome: resp.Header.Get("X-Garnet-Outcome"), retry: resp.Header.Get("Retry-After"),
	}, err
}

// postJSON posts a body and expects success.
func postJSON(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// metric reads one number from a scrape endpoint, summed over its labels.
func metric(ctx context.Context, admin, name string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	in := bufio.NewScanner(resp.Body)
	sum, found := 0.0, false
	for in.Scan() {
		line := in.Text()
		if !strings.HasPrefix(line, name+"{") && !strings.HasPrefix(line, name+" ") {
			continue
		}
		fields := strings.Fields(line)
		v, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			return 0, err
		}
		sum += v
		found = true
	}
	if !found {
		return 0, errors.Errorf("no metric called %s", name)
	}
	return sum, in.Err()
}
