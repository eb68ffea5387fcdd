// Package abuse tests garnet-node processes against crowds of callers that don't behave.
package abuse

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/proc/proctest"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// binDir is the directory of the garnet-node binary under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(proctest.Main("garnethoist.org/garnethoist/cmd/garnet-node", func(dir string) { binDir = dir }, m.Run))
}

const (
	// bodyLimit is the size in bytes of the largest body that the configuration allows.
	bodyLimit = 4 << 20
	// memoryMB is the memory that a VM of these tests may use.
	memoryMB = 128
	// headerBytes is the size of the largest header that the configuration allows.
	headerBytes = 16384
	// routeTimeout is the timeout of the routes and that of reading a head. An ordinary caller sends its
	// request ordinaryAttempts times at most and waits for each answer for patience, so that it is not
	// answered because the requests of a crowd have timed out.
	routeTimeout     = 5 * time.Minute
	patience         = 20 * time.Second
	ordinaryAttempts = 3
	retryPause       = 200 * time.Millisecond
	startTimeout     = 20 * time.Second
	stopGrace        = 8 * time.Second
	// targetsOf is the number of targets of each service, and eventGap the pause between the events of a
	// stream.
	targetsOf = 3
	eventGap  = 20 * time.Millisecond
	// answerBytes is the size of large answers.
	answerBytes = 250 << 10
)

// rig is one VM before stand-ins of the store and of the targets.
type rig struct {
	t        *testing.T
	vm       *settings.Node
	process  *proc.Process
	requests int
	targets  []*platformtest.Engine
}

// newRig starts a VM that may use memoryMB and the given number of file descriptors, or as many as the
// kernel allows if that is 0.
func newRig(t *testing.T, descriptors int64) *rig {
	t.Helper()
	is := is.New(t)
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Put(platformtest.TableOperator, platformtest.KeyConfig, largeConfig())
	var targets []*platformtest.Engine
	for i := range targetsOf {
		targets = append(targets, addTarget(t, store, fmt.Sprintf("i-model-%d", i), "decode", platformtest.ServiceModel),
			addTarget(t, store, fmt.Sprintf("i-plain-%d", i), "", platformtest.ServicePlain))
	}
	cluster := proc.NewCluster(t.TempDir(), binDir, proc.NewPorts())
	addrs, err := cluster.Addrs(4)
	is.NoErr(err)
	vm := settings.DefaultNode()
	vm.VM, vm.DataCentre, vm.FirstStart = "vm-1", "dc-1", true
	vm.Listen, vm.ReadyListen, vm.MetricsListen, vm.PeerAddress = addrs[0], addrs[1], addrs[2], addrs[3]
	vm.Store.Address = settings.Addr(store.Address())
	vm.MemoryMB, vm.FileDescriptors = memoryMB, descriptors
	t.Cleanup(func() { cluster.StopAll(stopGrace) })
	p, err := cluster.Run("garnet-node", vm.VM, vm)
	is.NoErr(err)
	r := &rig{t: t, vm: vm, process: p, targets: targets}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	is.NoErr(proc.WaitFor(ctx, "the VM to be ready", proc.Ready("http://"+string(vm.ReadyListen)+"/readiness")))
	is.NoErr(r.ordinary())
	return r
}

// addTarget starts a target, enters it in the store and returns it.
func addTarget(t *testing.T, store *platformtest.Store, id, stage, service string) *platformtest.Engine {
	e := platformtest.NewEngine(id, stage)
	t.Cleanup(e.Close)
	e.SetDiscardBodies()
	e.SetGap(eventGap)
	e.SetPadding(answerBytes)
	store.Put(platformtest.TableTargets, id, e.Row(service, "dc-1"))
	return e
}

// largeConfig returns the configuration of the tests, which allows bodies of bodyLimit.
func largeConfig() map[string]any {
	config := platformtest.Config(1)
	for _, route := range config["Routes"].([]any) {
		route.(map[string]any)["TimeoutMs"] = routeTimeout.Milliseconds()
	}
	limits := config["Limits"].(map[string]any)
	limits["BodyBytes"], limits["HeaderBytes"], limits["HeaderTimeoutMs"] = bodyLimit, headerBytes, routeTimeout.Milliseconds()
	return config
}

// nextID returns a new request id.
func (r *rig) nextID() string {
	r.requests++
	return fmt.Sprintf("ordinary-%d", r.requests)
}

// ordinary sends a small request of a well-behaved caller, which returns after refusals and lost
// connections, until it is answered.
func (r *rig) ordinary() error { return r.ask(strings.Repeat("x", 1000)) }

// ask is ordinary with a given body.
func (r *rig) ask(body string) error { return r.askFor("/safe/x", body) }

// askFor is ask for a given path.
func (r *rig) askFor(path, body string) error {
	var last error
	for range ordinaryAttempts {
		if last = r.askOnce(path, body); last == nil {
			return nil
		}
		if r.process.Exited() {
			return errors.New("the process has exited")
		}
		time.Sleep(retryPause)
	}
	return last
}

// askOnce sends one plain request.
func (r *rig) askOnce(path, body string) error {
	c, err := platformtest.DialCaller(string(r.vm.Listen), patience)
	if err != nil {
		return err
	}
	defer c.Close()
	reply := c.Do(platformtest.Call{ID: r.nextID(), Path: path, Body: body, Timeout: patience})
	if reply.Err == nil && reply.Status != http.StatusOK {
		return errors.Errorf("status %d: %s", reply.Status, reply.Body)
	}
	return reply.Err
}

// checkPromises fails the test if a request has run that was answered with a status which says that it has not,
// or if such an answer does not say when to come back.
func (r *rig) checkPromises(t *testing.T, answers *answers) {
	t.Helper()
	ran := make(map[string]bool)
	for _, target := range r.targets {
		for _, id := range target.Runs() {
			ran[id] = true
		}
	}
	statuses := make(map[int]int)
	for id, answer := range answers.byID {
		statuses[answer.StatusCode]++
		if !(platformtest.Result{Status: answer.StatusCode}).NotRun() {
			continue
		}
		if ran[id] {
			t.Errorf("%s has run and was answered %d", id, answer.StatusCode)
		}
		if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") == "" {
			t.Errorf("%s was refused without a Retry-After", id)
		}
	}
	t.Logf("answers of the crowd by status: %v", statuses)
}
