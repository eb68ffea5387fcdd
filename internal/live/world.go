// Package live plays a day of a site on the wall clock: real garnet-node processes serve
// its requests before engines that read, batch and write at the speeds of its figures. It
// counts service by size, which shows whether large requests are left unserved.
package live

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/model"
	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// grace is the VMs' time from SIGTERM to SIGKILL.
	grace = 2 * time.Second
	// readyWithin bounds the VMs' start, and readyTimeout one question whether one is ready.
	readyWithin  = 20 * time.Second
	readyTimeout = 500 * time.Millisecond
	// busySpan is the span of which a busy VM gets a share of the processor, as a
	// scheduler's quota is dealt.
	busySpan = 100 * time.Millisecond
)

// Config says what is played.
type Config struct {
	Site *model.Site
	Day  *model.Day
	Seed uint64
	// Busy is the share of each tenth of a second for which every VM's process is
	// stopped, at a moment of its own; 0 is none.
	Busy float64
	// Bin holds the programs, Dir takes settings and logs.
	Bin string
	Dir string
}

// vm is one garnet-node.
type vm struct {
	cfg     *settings.Node
	process *proc.Process
}

// world is the VMs and all that they meet.
type world struct {
	cfg     Config
	store   *platformtest.Store
	cluster *proc.Cluster
	fleet   *platformtest.LiveFleet
	engines []*platformtest.LiveEngine
	vms     []*vm
	callers *platformtest.LiveCallers
}

// Run plays the day and returns how its requests ended.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	w := &world{
		cfg: cfg, store: platformtest.NewStore(), cluster: proc.NewCluster(cfg.Dir, cfg.Bin, proc.NewPorts()),
		fleet: platformtest.NewLiveFleet(cfg.Site.Engine, answerOf), callers: platformtest.NewLiveCallers(),
	}
	defer w.close()
	w.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.LiveConfig(cfg.Site))
	if err := w.startEngines(); err != nil {
		return nil, err
	}
	if err := w.startVMs(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if cfg.Busy > 0 {
		for i, v := range w.vms {
			go w.keepBusy(ctx, v, i)
		}
	}
	return w.play(ctx), nil
}

func (w *world) close() {
	for _, v := range w.vms {
		// A process that has ended takes no signal.
		_ = v.process.Signal(syscall.SIGCONT)
	}
	w.cluster.StopAll(grace)
	w.callers.Close()
	for _, e := range w.engines {
		e.Close()
	}
	w.fleet.Close()
	w.store.Close()
}

// startEngines starts each data centre's engines, of which the site's share prefills.
func (w *world) startEngines() error {
	s := w.cfg.Site
	for _, dc := range s.DataCentres {
		for k := range dc.Engines {
			stage := fleet.Decode
			if k < s.PrefillEngines(dc) {
				stage = fleet.Prefill
			}
			n := len(w.engines)
			e, err := w.fleet.Start(fmt.Sprintf("engine-%d", n), dc.Name, stage, s.TimeFactor(n), func(e *platformtest.LiveEngine) { w.list(e, dc.Name) })
			if err != nil {
				return err
			}
			w.engines = append(w.engines, e)
			w.list(e, dc.Name)
		}
	}
	return nil
}

func (w *world) list(e *platformtest.LiveEngine, dataCentre string) {
	w.store.Put(platformtest.TableTargets, e.ID, e.Row(platformtest.ServiceModel, dataCentre))
}

// startVMs starts the VMs and waits until each is ready.
func (w *world) startVMs(ctx context.Context) error {
	for _, dc := range w.cfg.Site.DataCentres {
		for range dc.VMs {
			if err := w.startVM(dc.Name); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	return proc.Until(ctx, "all VMs to be ready", func(context.Context) error {
		for _, v := range w.vms {
			if !platformtest.Ready(string(v.cfg.ReadyListen), readyTimeout) {
				return errors.Errorf("%s is not ready", v.cfg.VM)
			}
		}
		return nil
	})
}

func (w *world) startVM(dataCentre string) error {
	addrs, err := w.cluster.Addrs(4)
	if err != nil {
		return err
	}
	c := settings.DefaultNode()
	c.VM, c.DataCentre, c.Grace = fmt.Sprintf("vm-%d", len(w.vms)), dataCentre, settings.Duration(grace)
	c.Store.Address = settings.Addr(w.store.Address())
	c.LinkMbps = w.cfg.Site.Network.VMMbps
	c.Listen, c.ReadyListen, c.MetricsListen, c.PeerAddress = addrs[0], addrs[1], addrs[2], addrs[3]
	p, err := w.cluster.Run("garnet-node", c.VM, c)
	if err != nil {
		return err
	}
	w.vms = append(w.vms, &vm{cfg: c, process: p})
	return nil
}

// keepBusy stops a VM's process for a part of each span, as another user of its
// processor would; the VMs' moments are spread over the span.
func (w *world) keepBusy(ctx context.Context, v *vm, index int) {
	kernel.Sleep(ctx, busySpan*time.Duration(index)/time.Duration(len(w.vms)))
	stopped := time.Duration(w.cfg.Busy * float64(busySpan))
	kernel.Every(ctx, busySpan, func(ctx context.Context) {
		if v.process.Signal(syscall.SIGSTOP) != nil {
			return
		}
		kernel.Sleep(ctx, stopped)
		// The process may have been ended meanwhile.
		_ = v.process.Signal(syscall.SIGCONT)
	})
}

// tryID names the n-th try of a request whose answer has so many tokens: engines learn
// from it how long an answer to make.
func tryID(request, try, tokens int) string { return fmt.Sprintf("r%d-%d-%d", request, try, tokens) }

// answerOf returns the tokens of the answer that a try is to have.
func answerOf(id string) int {
	tokens, err := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:])
	if err != nil {
		return 1
	}
	return tokens
}
