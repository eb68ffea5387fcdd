// Package demo runs garnet-node processes before stand-ins of the store and of targets, and
// shows what callers get while the mix shifts, the configuration changes and VMs stop.
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
	vms     = 3
	grace   = 4 * time.Second
	callers = 6
	// phase is how long each mix of requests lasts, and pause a caller's time between two:
	// a VM logs each request, up to 400 a second.
	phase = time.Second
	pause = 20 * time.Millisecond
	// callTimeout is how long a caller waits, as the routes allow.
	callTimeout = 2 * time.Second
	dialTimeout = 500 * time.Millisecond
	shortPrompt = 200
	longPrompt  = 9000
)

// Config is where the demonstration runs and reports.
type Config struct {
	// Bin is the folder of the programs, and Dir that of settings and logs.
	Bin string
	Dir string
	Out io.Writer
}

// vm is one garnet-node.
type vm struct {
	name    string
	cfg     *settings.Node
	process *proc.Process
}

// world is the VMs and the stand-ins of all that they meet.
type world struct {
	out     io.Writer
	store   *platformtest.Store
	cluster *proc.Cluster
	vms     []*vm
	plain   *platformtest.Engine
	decode  *platformtest.Engine
	targets []*platformtest.Engine

	mu    sync.Mutex
	calls int
}

// Run runs the demonstration.
func Run(ctx context.Context, cfg Config) error {
	w := &world{out: cfg.Out, store: platformtest.NewStore(), cluster: proc.NewCluster(cfg.Dir, cfg.Bin, proc.NewPorts())}
	defer w.close()
	w.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.Config(1))
	w.addTargets()
	if err := w.startVMs(ctx); err != nil {
		return err
	}
	fmt.Fprintf(w.out, "%d VMs serve %d targets\n", len(w.vms), len(w.targets))
	for _, step := range []func(context.Context) error{w.shiftMix, w.changeConfig, w.loseVMs, w.explain} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) close() {
	w.cluster.StopAll(grace)
	for _, e := range w.targets {
		e.Close()
	}
	w.store.Close()
}

// addTargets starts two engines for each stage and two targets of a plain service.
func (w *world) addTargets() {
	add := func(id, service, stage string) *platformtest.Engine {
		e := platformtest.NewEngine(id, stage)
		e.Born = time.Now().UnixMilli()
		w.targets = append(w.targets, e)
		w.store.Put(platformtest.TableTargets, id, e.Row(service, "dc-0"))
		return e
	}
	add("engine-1", platformtest.ServiceModel, "prefill")
	add("engine-2", platformtest.ServiceModel, "prefill")
	w.decode = add("engine-3", platformtest.ServiceModel, "decode")
	add("engine-4", platformtest.ServiceModel, "decode")
	w.plain = add("desk-1", platformtest.ServicePlain, "")
	add("desk-2", platformtest.ServicePlain, "")
}

// startVMs starts the VMs and waits until each takes callers.
func (w *world) startVMs(ctx context.Context) error {
	for i := range vms {
		addrs, err := w.cluster.Addrs(4)
		if err != nil {
			return err
		}
		v := &vm{name: fmt.Sprintf("vm-%d", i+1), cfg: settings.DefaultNode()}
		v.cfg.VM, v.cfg.DataCentre, v.cfg.Store.Address = v.name, "dc-0", settings.Addr(w.store.Address())
		v.cfg.Listen, v.cfg.ReadyListen, v.cfg.MetricsListen, v.cfg.PeerAddress = addrs[0], addrs[1], addrs[2], addrs[3]
		v.cfg.Grace = settings.Duration(grace)
		if v.process, err = w.cluster.Run("garnet-node", v.name, v.cfg); err != nil {
			return err
		}
		w.vms = append(w.vms, v)
	}
	for _, v := range w.vms {
		if err := proc.Until(ctx, v.name, func(context.Context) error {
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

// ask sends one request to a VM on a connection of its own.
func (w *world) ask(v *vm, id, path string, tokens int) platformtest.Reply {
	c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
	if err != nil {
		return platformtest.Reply{Err: err}
	}
	defer c.Close()
	return c.Do(platformtest.Call{ID: id, Path: path, Tokens: tokens, Timeout: callTimeout})
}

// shiftMix serves long prompts, and then short ones and plain calls.
func (w *world) shiftMix(ctx context.Context) error {
	for _, mix := range []struct {
		name   string
		path   string
		tokens int
	}{{"long prompts", "/long/x", longPrompt}, {"short prompts", "/long/x", shortPrompt}, {"calls that may run once", "/unsafe/x", 0}} {
		fmt.Fprintf(w.out, "%-24s %s\n", mix.name, w.load(ctx, mix.path, mix.tokens))
	}
	return nil
}

// load has callers ask for a while and returns a tally of their answers.
func (w *world) load(ctx context.Context, path string, tokens int) string {
	tally := newTally()
	end := time.Now().Add(phase)
	var done sync.WaitGroup
	for i := range callers {
		done.Go(func() {
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				began := time.Now()
				reply := w.ask(w.vms[(i+n)%len(w.vms)], w.nextID(), path, tokens)
				tally.add(reply, time.Since(began))
				kernel.Sleep(ctx, pause)
			}
		})
	}
	done.Wait()
	return tally.String()
}

func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	return fmt.Sprintf("q%d", w.calls)
}

// changeConfig adds a route and waits until every VM serves it.
func (w *world) changeConfig(ctx context.Context) error {
	before := w.ask(w.vms[0], w.nextID(), "/new/x", 0).Status
	began := time.Now()
	w.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.Config(2, "new"))
	for _, v := range w.vms {
		if err := proc.Until(ctx, "the new route", func(context.Context) error {
			if r := w.ask(v, w.nextID(), "/new/x", 0); r.Status != 200 {
				return errors.Errorf("%s answers %d", v.name, r.Status)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	fmt.Fprintf(w.out, "a route is added         answered %d before, 200 by all VMs after %d ms\n", before, time.Since(began).Milliseconds())
	return nil
}

// loseVMs stops one VM as planned and kills another one while callers ask.
func (w *world) loseVMs(ctx context.Context) error {
	if err := w.vms[0].process.Terminate(); err != nil {
		return errors.Wrap(err, "stop a VM")
	}
	w.vms = w.vms[1:]
	fmt.Fprintf(w.out, "%-24s %s\n", "while a VM stops", w.load(ctx, "/long/x", longPrompt))
	if err := w.vms[0].process.Kill(); err != nil {
		return errors.Wrap(err, "kill a VM")
	}
	w.vms = w.vms[1:]
	fmt.Fprintf(w.out, "%-24s %s\n", "after another is killed", w.load(ctx, "/long/x", shortPrompt))
	return nil
}

// explain has a stream break off and prints the VM's line that says why.
func (w *world) explain(ctx context.Context) error {
	for _, e := range w.targets {
		e.SetFault(platformtest.EngineCuts)
	}
	const id = "broken-stream"
	v := w.vms[0]
	w.ask(v, id, "/once/x", shortPrompt)
	return proc.Until(ctx, "the request's line", func(context.Context) error {
		for line := range strings.Lines(v.process.Log()) {
			if strings.Contains(line, "request="+id) {
				fmt.Fprintf(w.out, "why a stream broke off, by its id (docs/OPERATIONS.md):\n  %s", line)
				return nil
			}
		}
		return errors.New("no line yet")
	})
}
