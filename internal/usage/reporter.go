package usage

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/duty"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// tick is the time between looks at what is due.
	tick = 250 * time.Millisecond
	// askEvery is the time between the holder's questions, and standbyEvery the same for VMs
	// that may take over: a VM that is killed takes the counts since the last one with it.
	askEvery     = 500 * time.Millisecond
	standbyEvery = 2 * time.Second
	// settle is how long after a window's end its counts are final: a plain answer, which
	// counts from when its request was sent, may come that much later.
	settle = time.Second
	// waitFor is how long after a window's end VMs that do not answer are waited for.
	waitFor = 4500 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = 700 * time.Millisecond
	// maxSends bounds the reports that are sent in one step after an outage.
	maxSends = 4
)

// Platform takes reports.
type Platform interface {
	// ReportUsage reports a window. It fails with an error of package duty.
	ReportUsage(ctx context.Context, c duty.Call, w Window, counts map[string]int) error
}

// Group is the VMs that are asked for their counts.
type Group interface {
	// AskUsage asks a VM; its answer comes to Hear.
	AskUsage(vm string, q Question)
	// Others names the other VMs.
	Others() []string
	// Candidate reports whether this VM may become the holder.
	Candidate() bool
}

// Holder says when this VM may report.
type Holder interface {
	Held() (duty.Tenure, bool)
	Call(t duty.Tenure) duty.Call
}

// Config is the settings of a Reporter.
type Config struct {
	VM string
	// Length is the length of a window.
	Length time.Duration
}

// Reporter gathers the counts of all VMs and reports each window, while this VM is holder.
type Reporter struct {
	kernel.Background
	*Counter
	cfg      Config
	tally    *Tally
	table    store.Table
	platform Platform
	holder   Holder
	group    Group
	log      *telemetry.Logger
	// begun is the window in which this process began.
	begun Window

	// ledger is what stands in the store, as read in the tenure of fence; nil is not read.
	// Only the own goroutine uses both, and askedAt.
	ledger  *ledger
	fence   uint64
	askedAt time.Time
}

// NewReporter returns a reporter that counts at once, and reports after Start.
func NewReporter(cfg Config, counter *Counter, table store.Table, p Platform, h Holder, log *telemetry.Logger) *Reporter {
	return &Reporter{
		cfg: cfg, Counter: counter, tally: NewTally(), table: table, platform: p, holder: h, log: log,
		begun: WindowAt(clock.Now(), cfg.Length),
	}
}

// SetGroup sets the group; it is called before Start.
func (r *Reporter) SetGroup(g Group) { r.group = g }

// Hear takes in another VM's answer. One that has more to say is asked at once.
func (r *Reporter) Hear(vm string, a Answer) {
	if r.tally.Hear(vm, a) && a.More {
		r.group.AskUsage(vm, r.tally.Again(vm, a.Number))
	}
}

// Start begins to ask and to report.
func (r *Reporter) Start(context.Context) error {
	r.Run(func(ctx context.Context) { kernel.Every(ctx, tick, r.step) })
	return nil
}

func (r *Reporter) step(ctx context.Context) {
	now := clock.Now()
	t, held := r.holder.Held()
	r.ask(now, held)
	if !held {
		r.ledger = nil
		return
	}
	if r.ledger == nil || r.fence != t.Fence {
		if !r.load(ctx, t) {
			return
		}
	}
	r.send(ctx, t)
	for r.fixNext(ctx, t, now) {
	}
	r.send(ctx, t)
}

// ask asks all VMs for their counts where it is time to.
func (r *Reporter) ask(now time.Time, held bool) {
	every := standbyEvery
	if held {
		every = askEvery
	}
	if !(held || r.group.Candidate()) || now.Sub(r.askedAt) < every {
		return
	}
	r.askedAt = now
	number := r.tally.Ask(now)
	for _, vm := range r.group.Others() {
		r.group.AskUsage(vm, r.tally.Again(vm, number))
	}
	for more := true; more; {
		a := r.Answer(r.tally.Again(r.cfg.VM, number))
		r.tally.Hear(r.cfg.VM, a)
		more = a.More
	}
	r.tally.Forget(WindowAt(now, r.cfg.Length) - kept(r.cfg.Length))
}

// load reads what stands in the store.
func (r *Reporter) load(ctx context.Context, t duty.Tenure) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := readLedger(call, r.table)
	if err != nil {
		r.log.Warn(telemetry.EventUsage, telemetry.F("ledger", "read"), telemetry.F("cause", err))
		return false
	}
	if !l.known {
		l.sent = r.begun - 1
	}
	r.ledger, r.fence = l, t.Fence
	r.log.Info(telemetry.EventUsage, telemetry.F("ledger", "read"), telemetry.F("sent", int64(l.sent)), telemetry.F("open", len(l.open)), telemetry.F("fence", t.Fence))
	return true
}

// next is the window that is to be fixed next. What VMs keep no counts of any more is not.
func (r *Reporter) next(now time.Time) Window {
	next := r.ledger.sent + 1
	if n := len(r.ledger.open); n > 0 {
		next = r.ledger.open[n-1].window + 1
	}
	return max(next, WindowAt(now, r.cfg.Length)-kept(r.cfg.Length)+1)
}

// fixNext fixes the next window where its counts are known, and reports whether it did.
func (r *Reporter) fixNext(ctx context.Context, t duty.Tenure, now time.Time) bool {
	if r.ledger == nil {
		return false
	}
	w := r.next(now)
	end := w.End(r.cfg.Length)
	missing := r.tally.Missing(append(r.group.Others(), r.cfg.VM), end.Add(settle))
	if now.Before(end.Add(settle)) || (missing > 0 && now.Before(end.Add(waitFor))) {
		return false
	}
	rep := &report{window: w, counts: r.tally.Sums(w)}
	txn, removed, err := r.ledger.fix(rep, t.Condition)
	if err == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err = r.table.Commit(call, txn)
	}
	if err != nil {
		// It may stand there all the same, with these counts or with another holder's.
		r.ledger = nil
		r.log.Warn(telemetry.EventUsage, telemetry.F("window", int64(w)), telemetry.F("fixed", false), telemetry.F("cause", err))
		return false
	}
	r.ledger.stale = r.ledger.stale[removed:]
	r.ledger.open = append(r.ledger.open, rep)
	r.log.Info(telemetry.EventUsage, telemetry.F("window", int64(w)), telemetry.F("fixed", true), telemetry.F("accounts", len(rep.counts)),
		telemetry.F("missing", missing), telemetry.F("late_ms", now.Sub(end).Milliseconds()), telemetry.F("fence", t.Fence))
	return true
}

// send sends the reports that were fixed, in order.
func (r *Reporter) send(ctx context.Context, t duty.Tenure) {
	for range maxSends {
		if r.ledger == nil || len(r.ledger.open) == 0 {
			return
		}
		rep := r.ledger.open[0]
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.platform.ReportUsage(call, r.holder.Call(t), rep.window, rep.counts)
		cancel()
		if err != nil {
			r.log.Warn(telemetry.EventUsage, telemetry.F("window", int64(rep.window)), telemetry.F("sent", false), telemetry.F("cause", err))
		}
		if err != nil && !errors.Is(err, duty.ErrRefused) {
			return
		}
		// One that the platform refuses for good must not keep later windows back.
		r.log.Info(telemetry.EventUsage, telemetry.F("window", int64(rep.window)), telemetry.F("sent", true), telemetry.F("fence", t.Fence))
		r.ledger.open = r.ledger.open[1:]
		r.ledger.sent = rep.window
		r.ledger.drop(rep.window, rep.rows)
	}
}
