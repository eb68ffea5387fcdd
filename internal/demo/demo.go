// Package demo runs garnet-node processes against stand-ins for the store and the targets, and
// prints what callers observe while the mix of requests shifts, the configuration changes and VMs
// stop.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	vmCount = 3
	// stopGrace is the time that a process has between SIGTERM and SIGKILL.
	stopGrace   = 4 * time.Second
	callerCount = 6
	// phaseLength is how long each mix of requests lasts, and callerPause a caller's pause between
	// two requests. The pause keeps each VM below the 400 requests per second up to which it logs
	// every one.
	phaseLength = time.Second
	callerPause = 20 * time.Millisecond
	// callTimeout is how long a caller waits for an answer. The routes allow the same time.
	callTimeout = 2 * time.Second
	// dialTimeout limits the time to connect to a VM, and that of one readiness check.
	dialTimeout = 500 * time.Millisecond
	// shortPrompt and longPrompt are prompt lengths in tokens.
	shortPrompt = 200
	longPrompt  = 9000
)

// Config sets where the demonstration runs and where it prints.
type Config struct {
	// Bin is the directory of the programs, and Dir that for settings and logs.
	Bin string
	Dir string
	Out io.Writer
}

// vm is one garnet-node process.
type vm struct {
	name    string
	cfg     *settings.Node
	process *proc.Process
}

// harness runs the VMs and the stand-ins for the store and the targets. plain is one of the plain
// targets, and decodeEngine one of the decode engines.
type harness struct {
	out          io.Writer
	store        *platformtest.Store
	cluster      *proc.Cluster
	vms          []*vm
	plain        *platformtest.Engine
	decodeEngine *platformtest.Engine
	targets      []*platformtest.Engine

	mu sync.Mutex
	// requests is the number of request ids that were given out.
	requests int
}

// Run runs the demonstration and stops everything that it started.
func Run(ctx context.Context, cfg Config) error {
	h := &harness{out: cfg.Out, store: platformtest.NewStore(),
		cluster: proc.NewCluster(cfg.Dir, cfg.Bin, proc.NewPorts())}
	defer h.close()
	h.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.Config(1))
	h.addTargets()
	if err := h.startVMs(ctx); err != nil {
		return err
	}
	fmt.Fprintf(h.out, "%d VMs serve %d targets\n", len(h.vms), len(h.targets))
	for _, step := range []func(context.Context) error{h.shiftMix, h.changeConfig, h.stopAndKillVMs, h.explainBrokenStream} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// close stops the VMs and the stand-ins.
func (h *harness) close() {
	h.cluster.StopAll(stopGrace)
	for _, e := range h.targets {
		e.Close()
	}
	h.store.Close()
}

// addTargets starts two engines for each stage and two targets of a plain service.
func (h *harness) addTargets() {
	add := func(id, service, stage string) *platformtest.Engine {
		e := platformtest.NewEngine(id, stage)
		e.Born = time.Now().UnixMilli()
		h.targets = append(h.targets, e)
		h.store.Put(platformtest.TableTargets, id, e.Row(service, "dc-0"))
		return e
	}
	add("engine-1", platformtest.ServiceModel, "prefill")
	add("engine-2", platformtest.ServiceModel, "prefill")
	h.decodeEngine = add("engine-3", platformtest.ServiceModel, "decode")
	add("engine-4", platformtest.ServiceModel, "decode")
	h.plain = add("desk-1", platformtest.ServicePlain, "")
	add("desk-2", platformtest.ServicePlain, "")
}

// startVMs starts the VMs and waits until all of them are ready.
func (h *harness) startVMs(ctx context.Context) error {
	for i := range vmCount {
		addrs, err := h.cluster.Addrs(4)
		if err != nil {
			return err
		}
		v := &vm{name: fmt.Sprintf("vm-%d", i+1), cfg: settings.DefaultNode()}
		v.cfg.VM, v.cfg.DataCentre, v.cfg.Store.Address =
			v.name, "dc-0", settings.Addr(h.store.Address())
		v.cfg.Listen, v.cfg.ReadyListen, v.cfg.MetricsListen, v.cfg.PeerAddress =
			addrs[0], addrs[1], addrs[2], addrs[3]
		v.cfg.Grace = settings.Duration(stopGrace)
		if v.process, err = h.cluster.Run("garnet-node", v.name, v.cfg); err != nil {
			return err
		}
		h.vms = append(h.vms, v)
	}
	for _, v := range h.vms {
		if err := proc.WaitFor(ctx, v.name, func(context.Context) error {
			if !platformtest.Ready(string(v.cfg.ReadyListen), dialTimeout) {
				return errors.Errorf("%s is not ready", v.name)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// send sends one request to a VM on a new connection. tokens is the length of the prompt, 0 for a
// request to a plain target.
func (h *harness) send(v *vm, id, path string, tokens int) platformtest.Result {
	c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
	if err != nil {
		return platformtest.Result{Err: err}
	}
	defer c.Close()
	return c.Do(platformtest.Call{ID: id, Path: path, Tokens: tokens, Timeout: callTimeout})
}

// shiftMix has callers send long prompts first, then short ones, then requests to plain targets.
func (h *harness) shiftMix(ctx context.Context) error {
	for _, mix := range []struct {
		name   string
		path   string
		tokens int
	}{{"long prompts", "/long/x", longPrompt}, {"short prompts", "/long/x", shortPrompt}, {"calls that may run once", "/unsafe/x", 0}} {
		fmt.Fprintf(h.out, "%-24s %s\n", mix.name, h.runCallers(ctx, mix.path, mix.tokens))
	}
	return nil
}

// runCallers runs callers for phaseLength and returns a summary of the answers.
func (h *harness) runCallers(ctx context.Context, path string, tokens int) string {
	results := newOutcomes()
	end := time.Now().Add(phaseLength)
	var done sync.WaitGroup
	for i := range callerCount {
		done.Go(func() {
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				began := time.Now()
				reply := h.send(h.vms[(i+n)%len(h.vms)], h.nextID(), path, tokens)
				results.add(reply, time.Since(began))
				kernel.Sleep(ctx, callerPause)
			}
		})
	}
	done.Wait()
	return results.String()
}

// nextID returns a request id that was not used before.
func (h *harness) nextID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests++
	return fmt.Sprintf("q%d", h.requests)
}

// changeConfig adds a route and waits until every VM serves it.
func (h *harness) changeConfig(ctx context.Context) error {
	before := h.send(h.vms[0], h.nextID(), "/new/x", 0).Status
	began := time.Now()
	h.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.Config(2, "new"))
	for _, v := range h.vms {
		if err := proc.WaitFor(ctx, "the new route", func(context.Context) error {
			if r := h.send(v, h.nextID(), "/new/x", 0); r.Status != 200 {
				return errors.Errorf("%s answers %d", v.name, r.Status)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	fmt.Fprintf(h.out, "a route is added         answered %d before, 200 by all VMs after %d ms\n",
		before, time.Since(began).Milliseconds())
	return nil
}

// stopAndKillVMs stops one VM as planned and kills another while callers send requests.
func (h *harness) stopAndKillVMs(ctx context.Context) error {
	if err := h.vms[0].process.Terminate(); err != nil {
		return errors.Wrap(err, "stop a VM")
	}
	h.vms = h.vms[1:]
	fmt.Fprintf(h.out, "%-24s %s\n", "while a VM stops", h.runCallers(ctx, "/long/x", longPrompt))
	if err := h.vms[0].process.Kill(); err != nil {
		return errors.Wrap(err, "kill a VM")
	}
	h.vms = h.vms[1:]
	fmt.Fprintf(h.out, "%-24s %s\n", "after another is killed",
		h.runCallers(ctx, "/long/x", shortPrompt))
	return nil
}

// explainBrokenStream has a target break off a stream and prints the VM's log line that gives the
// reason.
func (h *harness) explainBrokenStream(ctx context.Context) error {
	for _, e := range h.targets {
		e.SetFault(platformtest.EngineCuts)
	}
	const id = "broken-stream"
	v := h.vms[0]
	h.send(v, id, "/once/x", shortPrompt)
	return proc.WaitFor(ctx, "the request's line", func(context.Context) error {
		for line := range strings.Lines(v.process.Log()) {
			if strings.Contains(line, "request="+id) {
				fmt.Fprintf(h.out, "why a stream broke off, by its id (docs/OPERATIONS.md):\n  %s",
					line)
				return nil
			}
		}
		return errors.New("no line yet")
	})
}
