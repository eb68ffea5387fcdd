// Package duty elects one VM at a time, the holder, to make the calls to the platform that must
// come from a single VM. Making these calls is the duty, or the duties, of the holder. The
// election is by a lease. The platform does not check fencing numbers, so a holder stops by its
// own clock before another VM may begin.
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
	// stepInterval is the time between two checks whether to renew the lease or to contend for it.
	stepInterval = 200 * time.Millisecond
	// leaseTTL is how long a lease that is not renewed stays valid, and renewInterval the time
	// between renewals: three successive renewals may fail.
	leaseTTL      = 4 * time.Second
	renewInterval = time.Second
	// contendInterval is the time between two attempts of a candidate to take over. The lease
	// counts as lapsed once the candidate has seen it unchanged for leaseTTL.
	contendInterval = time.Second
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
)

// The names of the data centre and the service under which the lease is stored. They are not those
// of a real data centre and service. No other lease uses this data centre, so its sequence of
// fencing numbers belongs to this lease alone.
const (
	// leaseDataCentre is used in the key of the lease in place of the name of a data centre, and
	// leaseService in place of the name of a service.
	leaseDataCentre = "duties"
	leaseService    = "cloud"
)

// The errors of a call to the platform.
var (
	// ErrWithheld says that the lease had lapsed and nothing was sent.
	ErrWithheld = errors.New("duty: call not sent: lease lapsed")
	// ErrBusy says that the platform did nothing. The same call may be made again.
	ErrBusy = errors.New("duty: platform is busy")
	// ErrRefused says that the platform did not do what was asked and never will.
	ErrRefused = errors.New("duty: platform refused the call")
	// ErrUnknown says that the call may have been carried out, or may still be. The same call may
	// be made again, but no different call may be made in its place.
	ErrUnknown = errors.New("duty: outcome of the call unknown")
)

// Call identifies the holder that makes a call to the platform.
type Call struct {
	// Holder is the name of the VM, and Fence the fencing number of its tenure.
	Holder string
	Fence  uint64
	// StillHeld reports whether the tenure still lasts. It is called immediately before the first
	// byte is sent; if it returns false, nothing is sent.
	StillHeld func() bool
}

// Tenure is one uninterrupted period in which this VM holds the duties.
type Tenure struct {
	lease.Tenure
	// Condition is a store condition that holds until another VM becomes the holder.
	Condition store.Cond
}

// Group is the set of VMs that contend for the duties.
type Group interface {
	// Candidate reports whether this VM may become the holder.
	Candidate() bool
	// OtherHolderKnown reports whether another VM has recently announced that it is the holder.
	OtherHolderKnown() bool
}

// Config holds the settings of a Holder.
type Config struct {
	// VM is the name of this VM.
	VM string
	// HandoverGap is the minimum time between the last call of one holder and the first call of
	// the next.
	HandoverGap time.Duration
}

// Holder contends for the duties and holds them. It is safe for concurrent use after Start.
type Holder struct {
	kernel.Background
	cfg   Config
	lease *lease.Lease
	clock lease.Clock
	group Group
	log   *telemetry.Logger

	// lastStepAt is when the lease was last renewed or contended for, and loggedFence the fencing
	// number of the tenure that was last logged. Only the goroutine of step uses them.
	lastStepAt  time.Duration
	loggedFence uint64
}

// New returns a holder that does nothing before Start. The clock must also count the time for
// which the machine is suspended.
func New(cfg Config, table store.Table, clock lease.Clock, incarnation uint64, log *telemetry.Logger) *Holder {
	lc := lease.Config{DataCentre: leaseDataCentre, Service: leaseService, Holder: cfg.VM, Incarnation: incarnation, TTL: leaseTTL}
	return &Holder{cfg: cfg, lease: lease.New(lc, table, clock), clock: clock, log: log}
}

// SetGroup sets the group of VMs that contend for the duties. It must be called before Start.
func (h *Holder) SetGroup(g Group) { h.group = g }

// Start begins to contend for the lease.
func (h *Holder) Start(context.Context) error {
	h.Run(func(ctx context.Context) { kernel.Every(ctx, stepInterval, h.step) })
	return nil
}

// Stop stops contending and releases the lease, so that a successor need not wait for it to lapse.
// A failure to release the lease is only logged.
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

// Fence returns the fencing number of this VM's tenure, or 0 if it is not the holder.
func (h *Holder) Fence() uint64 {
	t, _ := h.lease.Held()
	return t.Fence
}

// Held returns this VM's tenure, or false while it may not make calls. A new holder first waits for
// Config.HandoverGap, because the previous holder may have made calls until the end of its tenure.
func (h *Holder) Held() (Tenure, bool) {
	t, ok := h.lease.Held()
	if !ok || (t.Fence > 1 && h.clock()-t.Since < h.cfg.HandoverGap) {
		return Tenure{}, false
	}
	return Tenure{Tenure: t, Condition: store.Cond{Key: lease.FenceKey(leaseDataCentre, leaseService), Version: t.FenceVersion}}, true
}

// Call returns the identification for calls within tenure t.
func (h *Holder) Call(t Tenure) Call {
	return Call{Holder: h.cfg.VM, Fence: t.Fence, StillHeld: func() bool {
		now, ok := h.lease.Held()
		return ok && now.Fence == t.Fence
	}}
}

// step renews the lease if this VM holds it and renewInterval has passed. Otherwise it contends for
// the lease every contendInterval, if this VM is a candidate and knows of no other holder.
func (h *Holder) step(ctx context.Context) {
	_, held := h.lease.Held()
	every := contendInterval
	if held {
		every = renewInterval
	}
	now := h.clock()
	if now-h.lastStepAt < every && h.lastStepAt > 0 {
		return
	}
	if !held && (!h.group.Candidate() || h.group.OtherHolderKnown()) {
		return
	}
	h.lastStepAt = now
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := h.lease.Step(call, true)
	h.logTenure(err)
}

// logTenure logs the beginning and the end of a tenure. The cause is the error of the last step.
func (h *Holder) logTenure(cause error) {
	t, held := h.lease.Held()
	switch {
	case held && t.Fence != h.loggedFence:
		h.log.Info(telemetry.EventLeaseAcquired, telemetry.F("duty", leaseService), telemetry.F("fence", t.Fence))
	case !held && h.loggedFence != 0:
		h.log.Warn(telemetry.EventLeaseLost, telemetry.F("duty", leaseService), telemetry.F("fence", h.loggedFence), telemetry.F("cause", cause))
	}
	h.loggedFence = t.Fence
}
