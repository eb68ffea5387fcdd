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

// binDir is the directory of the programs, which are built once. ports is shared by all tests.
var (
	binDir string
	ports  = proc.NewPorts()
)

func TestMain(m *testing.M) {
	if backend := os.Getenv(envProxyBackend); backend != "" {
		serveReverseProxy(backend, os.Getenv(envProxyListen))
		return
	}
	os.Exit(proctest.Main("garnethoist.org/garnethoist/cmd/...", func(dir string) { binDir = dir },
		m.Run))
}

// tableHeader is the header line of the operators' table as CSV.
const tableHeader = "service,kind,engines,model,adapters,version,weight,rate_per_s,in_flight,account_rate_per_s,deadline,repeatable,change_cost,fencing,objective\n"

// tableRows returns the rows of the operators' table: a language service with this number of
// engines, model version and fencing, and a plain service with this number of targets.
func tableRows(engines, plains int, version, fencing string) string {
	return fmt.Sprintf("hints,language,kakkanad=%d,crossword-8b,,%s,1,0,0,0,30s,yes,1,%s,0.99\n"+
		"renewals,plain,kakkanad=%d,,,,1,0,0,0,10s,no,0,checked,0.999\n", engines, version, fencing,
		plains)
}

// harness is a layout with helpers for tests.
type harness struct {
	*proc.Layout
	t   testing.TB
	ctx context.Context
}

// newHarness starts a layout for a test that runs in parallel with others. It skips the test in
// short mode.
func newHarness(t *testing.T, shape proc.Shape) *harness {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	return startHarness(t, shape, nil)
}

// startHarness starts a layout and stops it at the end of the test. env, if not nil, returns
// additional environment variables for the process called name.
func startHarness(t testing.TB, shape proc.Shape, env func(string) []string) *harness {
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
	h := &harness{Layout: l, t: t, ctx: ctx}
	t.Cleanup(func() {
		if t.Failed() {
			h.dumpLogs()
		}
	})
	return h
}

// dumpLogs logs the end of the output of every steward and entry.
func (h *harness) dumpLogs() {
	for _, vm := range h.VMs {
		h.t.Logf("%s\n%s\n%s\n%s", vm.Steward.Name, tail(vm.Steward.Log()), vm.Entry.Name,
			tail(vm.Entry.Log()))
	}
}

// tail returns the last 3000 bytes of s.
func tail(s string) string {
	const limit = 3000
	if len(s) > limit {
		return s[len(s)-limit:]
	}
	return s
}

// await waits until ok returns nil, and fails the test at the timeout.
func (h *harness) await(what string, ok func(context.Context) error) {
	h.t.Helper()
	if err := proc.WaitFor(h.ctx, what, ok); err != nil {
		h.t.Fatal(err)
	}
}

// awaitServing applies the first table, with the given model version and fencing, and waits until
// all entries are ready and all targets live.
func (h *harness) awaitServing(version, fencing string) {
	h.t.Helper()
	for _, vm := range h.VMs {
		h.await("steward of "+vm.Name, proc.Ready("http://"+string(vm.StewardAdmin)+"/healthz"))
	}
	h.apply(0, version, fencing)
	for _, vm := range h.VMs {
		h.await("entry of "+vm.Name, proc.Ready("http://"+string(vm.EntryAdmin)+"/readyz"))
	}
	h.awaitVersion(version)
}

// apply applies the operators' table with the given model version and fencing, as an edit of the
// table version base.
func (h *harness) apply(base int, version, fencing string) {
	h.t.Helper()
	path := filepath.Join(h.Dir, "table.csv")
	text := fmt.Sprintf("# version %d\n", base) + tableHeader + tableRows(len(h.Engines),
		len(h.PlainTargets), version, fencing)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		h.t.Fatal(err)
	}
	// Apply at the last VM: tests cut off or stop the first one.
	if out, err := h.ctl(len(h.VMs)-1, "table", "apply", path); err != nil {
		h.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// ctl runs garnetctl against the steward of VM number vm and returns its output.
func (h *harness) ctl(vm int, args ...string) (string, error) {
	args = append([]string{"--steward", string(h.VMs[vm].StewardGRPC)}, args...)
	out, err := exec.CommandContext(h.ctx, filepath.Join(h.Bin, "garnetctl"), args...).CombinedOutput()
	return string(out), err
}

// awaitVersion waits until every steward reports that every engine runs the given model version and
// that all targets are live.
func (h *harness) awaitVersion(version string) {
	h.t.Helper()
	h.await("engines at "+version, func(context.Context) error {
		for i := range h.VMs {
			out, err := h.ctl(i, "status")
			if err != nil {
				return errors.Errorf("%v: %s", err, out)
			}
			for _, e := range h.Engines {
				if !lineHas(out, e.Name, "live", version) {
					return errors.Errorf("%s is not at %s:\n%s", e.Name, version, out)
				}
			}
			for _, p := range h.PlainTargets {
				if !lineHas(out, p.Name, "live") {
					return errors.Errorf("%s is not live:\n%s", p.Name, out)
				}
			}
		}
		return nil
	})
}

// lineHas reports whether out has a line that begins with name and contains all the words.
func lineHas(out, name string, words ...string) bool {
	for _, line := range strings.Split(out, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] != name {
			continue
		}
		all := true
		for _, word := range words {
			all = all && strings.Contains(" "+strings.Join(fields, " ")+" ", " "+word+" ")
		}
		if all {
			return true
		}
	}
	return false
}

// getJSON gets url and decodes the JSON of the response into dst.
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

// engineCounts returns the counters of engine stand-in i.
func (h *harness) engineCounts(i int) standin.Counts {
	h.t.Helper()
	var c standin.Counts
	getJSON(h.t, "http://"+string(h.Engines[i].Address)+standin.PathCounts, &c)
	return c
}

// runCount returns how often a call with this body ran, summed over all plain services that are
// running.
func (h *harness) runCount(body string) int {
	h.t.Helper()
	sum := 0
	for _, p := range h.PlainTargets {
		if p.Process.Exited() {
			continue
		}
		n := 0
		getJSON(h.t, "http://"+string(p.Address)+standin.PathRan+"?body="+url.QueryEscape(body), &n)
		sum += n
	}
	return sum
}

// platformFault sets the fault of the platform stand-in; an empty mode ends it.
func (h *harness) platformFault(mode string) {
	h.t.Helper()
	resp, err := http.Post("http://"+string(h.Platform)+"/fault?mode="+mode, "", nil)
	if err != nil {
		h.t.Fatal(err)
	}
	resp.Body.Close()
}

// streamReader reads a stream event by event. text is the answer so far, last the id of the last
// event, and done whether the stream is complete.
type streamReader struct {
	resp *http.Response
	in   *bufio.Scanner
	text string
	last string
	done bool
}

// chatMessages is the prompt of every language request.
const chatMessages = `[{"role":"user","content":"7 across?"}]`

// expectedAnswer returns the first n tokens of the correct answer to chatMessages.
func expectedAnswer(n int) string { return standin.Answer(standin.PromptHash(`user"7 across?"`), n) }

// openStream starts a stream at an entry, or resumes one after the event with id last.
func openStream(ctx context.Context, entry settings.Addr, tokens int, last string) (*streamReader, error) {
	body := fmt.Sprintf(`{"messages":%s,"stream":true,"max_tokens":%d}`, chatMessages, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+string(entry)+"/services/hints/v1/chat/completions", strings.NewReader(body))
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
	return &streamReader{resp: resp, in: bufio.NewScanner(resp.Body)}, nil
}

// chunk is the data of one event of a stream, as far as the tests read it.
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

// next reads n more tokens, or to the end of the stream if n is 0.
func (r *streamReader) next(n int) error {
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

func (r *streamReader) close() { r.resp.Body.Close() }

// stream reads a whole stream and checks its text.
func stream(ctx context.Context, entry settings.Addr, tokens int) error {
	r, err := openStream(ctx, entry, tokens, "")
	if err != nil {
		return err
	}
	defer r.close()
	if err := r.next(0); err != nil {
		return err
	}
	if r.text != expectedAnswer(tokens) {
		return errors.Errorf("got %q", r.text)
	}
	return nil
}

// answer is the answer to a plain call. outcome is its header X-Garnet-Outcome, and retry its
// header Retry-After.
type answer struct {
	status  int
	body    string
	outcome string
	retry   string
}

// callRenew makes a call that may not be repeated, with an idempotency key unless key is empty.
func callRenew(ctx context.Context, entry settings.Addr, key, body string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+string(entry)+"/services/renewals/confirm", strings.NewReader(body))
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

// postJSON posts a body and returns an error if that fails or the status is 400 or higher.
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

// metric reads one metric from a /metrics endpoint, summed over its labels.
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
