// Package live plays a day of a site on the wall clock. Real garnet-node processes serve its
// requests on simulated engines, which prefill, batch and decode at the speeds of the site's
// figures. It measures service by size, to show whether large requests are underserved.
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
	// stopGrace is the VMs' time from SIGTERM to SIGKILL.
	stopGrace = 2 * time.Second
	// startTimeout limits the start of all VMs, and readyCheckTimeout one readiness check.
	startTimeout      = 20 * time.Second
	readyCheckTimeout = 500 * time.Millisecond
	// busyPeriod is the period of the stops of a busy VM. The VM is stopped once in each period and
	// runs for the rest, as under a scheduler's CPU quota.
	busyPeriod = 100 * time.Millisecond
)

// Config describes what to play: a day of a site, with requests generated from Seed.
type Config struct {
	Site *model.Site
	Day  *model.Day
	Seed uint64
	// Busy is the fraction of each busyPeriod, a tenth of a second, for which the process of each
	// VM is stopped. The VMs are stopped at different times. 0 stops none.
	Busy float64
	// Bin is the directory of the programs, and Dir the one for settings and logs.
	Bin string
	Dir string
}

// vm is a garnet-node process with its settings.
type vm struct {
	cfg     *settings.Node
	process *proc.Process
}

// harness holds the VMs and what they connect to: the store, the engines and the callers.
type harness struct {
	cfg     Config
	store   *platformtest.Store
	cluster *proc.Cluster
	fleet   *platformtest.LiveFleet
	engines []*platformtest.LiveEngine
	vms     []*vm
	callers *platformtest.LiveCallers
}

// Run plays the day and returns the outcomes of its requests. It returns an error if an engine or a
// VM does not start.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	h := &harness{
		cfg: cfg, store: platformtest.NewStore(), cluster: proc.NewCluster(cfg.Dir, cfg.Bin, proc.NewPorts()),
		fleet: platformtest.NewLiveFleet(cfg.Site.Engine, answerTokens), callers: platformtest.NewLiveCallers(),
	}
	defer h.close()
	h.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.LiveConfig(cfg.Site))
	if err := h.startEngines(); err != nil {
		return nil, err
	}
	if err := h.startVMs(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if cfg.Busy > 0 {
		for i, v := range h.vms {
			go h.stopPeriodically(ctx, v, i)
		}
	}
	return h.playDay(ctx), nil
}

// close stops all processes and servers.
func (h *harness) close() {
	for _, v := range h.vms {
		// Signalling a process that has ended fails, which is harmless.
		_ = v.process.Signal(syscall.SIGCONT)
	}
	h.cluster.StopAll(stopGrace)
	h.callers.Close()
	for _, e := range h.engines {
		e.Close()
	}
	h.fleet.Close()
	h.store.Close()
}

// startEngines starts and lists the engines of each data centre. As many of them prefill as
// Site.PrefillEngines returns.
func (h *harness) startEngines() error {
	s := h.cfg.Site
	for _, dc := range s.DataCentres {
		for k := range dc.Engines {
			stage := fleet.Decode
			if k < s.PrefillEngines(dc) {
				stage = fleet.Prefill
			}
			n := len(h.engines)
			e, err := h.fleet.Start(fmt.Sprintf("engine-%d", n), dc.Name, stage, s.TimeFactor(n), func(e *platformtest.LiveEngine) { h.listEngine(e, dc.Name) })
			if err != nil {
				return err
			}
			h.engines = append(h.engines, e)
			h.listEngine(e, dc.Name)
		}
	}
	return nil
}

// listEngine writes an engine's row to the table of targets in the store.
func (h *harness) listEngine(e *platformtest.LiveEngine, dataCentre string) {
	h.store.Put(platformtest.TableTargets, e.ID, e.Row(platformtest.ServiceModel, dataCentre))
}

// startVMs starts the VMs and waits until all are ready.
func (h *harness) startVMs(ctx context.Context) error {
	for _, dc := range h.cfg.Site.DataCentres {
		for range dc.VMs {
			if err := h.startVM(dc.Name); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return proc.WaitFor(ctx, "all VMs to be ready", func(context.Context) error {
		for _, v := range h.vms {
			if !platformtest.Ready(string(v.cfg.ReadyListen), readyCheckTimeout) {
				return errors.Errorf("%s is not ready", v.cfg.VM)
			}
		}
		return nil
	})
}

// startVM starts the garnet-node process of the next VM, without waiting until it is ready.
func (h *harness) startVM(dataCentre string) error {
	addrs, err := h.cluster.Addrs(4)
	if err != nil {
		return err
	}
	c := settings.DefaultNode()
	c.VM, c.DataCentre, c.Grace = fmt.Sprintf("vm-%d", len(h.vms)), dataCentre, settings.Duration(stopGrace)
	c.Store.Address = settings.Addr(h.store.Address())
	c.LinkMbps = h.cfg.Site.Network.VMMbps
	c.Listen, c.ReadyListen, c.MetricsListen, c.PeerAddress = addrs[0], addrs[1], addrs[2], addrs[3]
	p, err := h.cluster.Run("garnet-node", c.VM, c)
	if err != nil {
		return err
	}
	h.vms = append(h.vms, &vm{cfg: c, process: p})
	return nil
}

// stopPeriodically stops a VM's process for the fraction Config.Busy of each busyPeriod, as if
// other processes used its processor. index is the VM's index; the stops of the VMs are spread over
// the period.
func (h *harness) stopPeriodically(ctx context.Context, v *vm, index int) {
	kernel.Sleep(ctx, busyPeriod*time.Duration(index)/time.Duration(len(h.vms)))
	stopped := time.Duration(h.cfg.Busy * float64(busyPeriod))
	kernel.Every(ctx, busyPeriod, func(ctx context.Context) {
		if v.process.Signal(syscall.SIGSTOP) != nil {
			return
		}
		kernel.Sleep(ctx, stopped)
		// The process may have ended meanwhile.
		_ = v.process.Signal(syscall.SIGCONT)
	})
}

// attemptID returns the id that the n-th attempt of a request, counted from 0, sends. request is the
// number of the request. The id holds the number of tokens of the answer, from which engines learn
// how long an answer to produce.
func attemptID(request, n, tokens int) string { return fmt.Sprintf("r%d-%d-%d", request, n, tokens) }

// answerTokens returns the number of answer tokens that a request id holds, or 1 if it holds none.
func answerTokens(id string) int {
	tokens, err := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:])
	if err != nil {
		return 1
	}
	return tokens
}
