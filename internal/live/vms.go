package live

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// readinessInterval is the time between two readiness checks of the load balancer, which stops
	// using a VM after maxFailedChecks failed ones in a row.
	readinessInterval = time.Second
	maxFailedChecks   = 2
	// restartDelay is the pause before an exited process is started again.
	restartDelay = 200 * time.Millisecond
)

// vm is a garnet-node process with its settings.
type vm struct {
	cfg *settings.Node

	mu      sync.Mutex
	process *proc.Process
	// inRotation says that the load balancer sends callers to the VM.
	inRotation   bool
	failedChecks int
}

// current returns the VM's latest process.
func (v *vm) current() *proc.Process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// name returns the VM's name.
func (v *vm) name() string { return v.cfg.VM }

// usable reports whether the load balancer sends callers to the VM.
func (v *vm) usable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.inRotation
}

// pollReadiness checks periodically whether the VM is ready, as the load balancer does.
func (v *vm) pollReadiness(ctx context.Context) {
	kernel.Every(ctx, readinessInterval, func(context.Context) {
		ready := platformtest.Ready(string(v.cfg.ReadyListen), readyCheckTimeout)
		v.mu.Lock()
		defer v.mu.Unlock()
		if ready {
			v.failedChecks, v.inRotation = 0, true
			return
		}
		v.failedChecks++
		v.inRotation = v.inRotation && v.failedChecks < maxFailedChecks
	})
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
				return errors.Errorf("%s is not ready", v.name())
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
	c.VM, c.DataCentre, c.Grace = fmt.Sprintf("vm-%d", len(h.vms)), dataCentre, settings.Duration(grace)
	c.Store.Address = settings.Addr(h.store.Address())
	c.LinkMbps = h.cfg.Site.Network.VMMbps
	c.Listen, c.ReadyListen, c.MetricsListen, c.PeerAddress = addrs[0], addrs[1], addrs[2], addrs[3]
	p, err := h.cluster.Run("garnet-node", c.VM, c)
	if err != nil {
		return err
	}
	h.vms = append(h.vms, &vm{cfg: c, process: p, inRotation: true})
	return nil
}

// restartVM starts a VM's process again after its end.
func (h *harness) restartVM(v *vm) error {
	p, err := h.cluster.Rerun("garnet-node", v.name())
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = p
	return nil
}

// stopPeriodically stops a VM's process for the fraction Config.Busy of each busyPeriod, as if
// other processes used its processor. index is the VM's index; the stops of the VMs are spread over
// the period.
func (h *harness) stopPeriodically(ctx context.Context, v *vm, index int) {
	kernel.Sleep(ctx, busyPeriod*time.Duration(index)/time.Duration(len(h.vms)))
	stopped := time.Duration(h.cfg.Busy * float64(busyPeriod))
	kernel.Every(ctx, busyPeriod, func(ctx context.Context) {
		p := v.current()
		if p.Signal(syscall.SIGSTOP) != nil {
			return
		}
		kernel.Sleep(ctx, stopped)
		// The process may have ended meanwhile.
		_ = p.Signal(syscall.SIGCONT)
	})
}
