// Package duty keeps one VM at a time in charge of the calls to the platform that must come
// from one VM. The platform does not check fencing numbers: a holder stops by its own clock
// before another one may begin.
package duty

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// tick is the time between looks at the lease.
	tick = 200 * time.Millisecond
	// leaseTTL is how long a lease that is not renewed stays in force, and renewEvery the
	// time between renewals: three may fail in a row.
	leaseTTL   = 4 * time.Second
	renewEvery = time.Second
	// contendEvery is the time between looks of a VM that would take over: the lease counts
	// as lapsed once it has stood unchanged for leaseTTL in these.
	contendEvery = time.Second
	// callTimeout bounds a call to the store.
	callTimeout = 700 * time.Millisecond
)

// Names of the lease; its fencing numbers are its own.
const (
	leaseCentre  = "duties"
	leaseService = "cloud"
)

// The errors of a call.
var (
	// ErrWithheld: the lease had lapsed; nothing was sent.
	ErrWithheld = errors.New("duty: call withheld")
	// ErrBusy: the platform did nothing; the same call may be made again.
	ErrBusy = errors.New("duty: platform busy")
	// ErrRefused: the platform did not do what was asked and never will.
	ErrRefused = errors.New("duty: call refused")
	// ErrUnknown: the call may have been carried out, or may be later. The same call may be
	// made again, and no other in its place.
	ErrUnknown = errors.New("duty: call's outcome unknown")
)

// Call is who makes a call.
type Call struct {
	// Holder names the VM, and Fence its tenure.
	Holder string
	Fence  uint64
	// Still is asked right before the first byte is sent, which it may prevent.
	Still func() bool
}

// Tenure is this VM's time as holder.
type Tenure struct {
	lease.Tenure
	// Condition holds in the store while no other VM has become holder.
	Condition store.Cond
}

// Group is the VMs that share the duties.
type Group interface {
	// Candidate reports whether this VM may become holder.
	Candidate() bool
	// HolderHeard reports whether another VM has lately said that it is holder.
	HolderHeard() bool
}

// Config is the settings of a Holder.
type Config struct {
	VM string
	// Gap is how long after one holder's last call another may make one.
	Gap time.Duration
}

// Holder contends for the duties and holds them. It is safe for concurrent use after Start.
type Holder struct {
	kernel.Background
	cfg   Config
	lease *lease.Lease
	clock lease.Clock
	group Group
	log   *telemetry.Logger

	// steppedAt is when the lease was last looked at, and fence the tenure that was logged;
	// only the own goroutine uses them.
	steppedAt time.Duration
	fence     uint64
}

// New returns a holder that does nothing before Start. clock counts suspensions.
func New(cfg Config, table store.Table, clock lease.Clock, incarnation uint64, log *telemetry.Logger) *Holder {
	lc := lease.Config{DataCentre: leaseCentre, Service: leaseService, Holder: cfg.VM, Incarnation: incarnation, TTL: leaseTTL}
	return &Holder{cfg: cfg, lease: lease.New(lc, table, clock), clock: clock, log: log}
}

// SetGroup sets the group; it is called before Start.
func (h *Holder) SetGroup(g Group) { h.group = g }

// Start begins to contend.
func (h *Holder) Start(context.Context) error {
	h.Run(func(ctx context.Context) { kernel.Every(ctx, tick, h.step) })
	return nil
}

// Stop ends the tenure, so that a successor need not wait for the lease to lapse.
func (h *Holder) Stop(ctx context.Context) error {
	if err := h.Background.Stop(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := h.lease.Release(ctx); err != nil {
		h.log.Warn(telemetry.EventLeaseLost, telemetry.F("duty", leaseService), telemetry.F("cause", err))
	}
	return nil
}

// Fence returns the fencing number of this VM's tenure, or 0 where it is not holder.
func (h *Holder) Fence() uint64 {
	t, _ := h.lease.Held()
	return t.Fence
}

// Held returns this VM's tenure once it may make calls. A new holder waits for the gap first:
// the one before may have made a call until the end of its tenure.
func (h *Holder) Held() (Tenure, bool) {
	t, ok := h.lease.Held()
	if !ok || (t.Fence > 1 && h.clock()-t.Since < h.cfg.Gap) {
		return Tenure{}, false
	}
	return Tenure{Tenure: t, Condition: store.Cond{Key: lease.FenceKey(leaseCentre, leaseService), Version: t.FenceVersion}}, true
}

// Call returns a call within a tenure.
func (h *Holder) Call(t Tenure) Call {
	return Call{Holder: h.cfg.VM, Fence: t.Fence, Still: func() bool {
		now, ok := h.lease.Held()
		return ok && now.Fence == t.Fence
	}}
}

// step renews the lease, or contends for it, where it is time to.
func (h *Holder) step(ctx context.Context) {
	_, held := h.lease.Held()
	every := contendEvery
	if held {
		every = renewEvery
	}
	now := h.clock()
	if now-h.steppedAt < every && h.steppedAt > 0 {
		return
	}
	if !held && (!h.group.Candidate() || h.group.HolderHeard()) {
		return
	}
	h.steppedAt = now
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := h.lease.Step(call, true)
	h.logTenure(err)
}

// logTenure logs that a tenure has begun or ended.
func (h *Holder) logTenure(cause error) {
	t, held := h.lease.Held()
	switch {
	case held && t.Fence != h.fence:
		h.log.Info(telemetry.EventLeaseAcquired, telemetry.F("duty", leaseService), telemetry.F("fence", t.Fence))
	case !held && h.fence != 0:
		h.log.Warn(telemetry.EventLeaseLost, telemetry.F("duty", leaseService), telemetry.F("fence", h.fence), telemetry.F("cause", cause))
	}
	h.fence = t.Fence
}
