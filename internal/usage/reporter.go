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
	// stepInterval is the time between two calls of step.
	stepInterval = 250 * time.Millisecond
	// queryInterval is the time between two rounds of questions by the holder, and
	// standbyQueryInterval the same for the other candidates. When a VM is killed, its counts
	// since the last round are lost.
	queryInterval        = 500 * time.Millisecond
	standbyQueryInterval = 2 * time.Second
	// countGrace is the time after a window's end at which the counts of the window are final. The
	// run of a plain request belongs to the window in which the request was sent, but is counted
	// only after the call to the target, which may be as late as countGrace after the window's end.
	countGrace = time.Second
	// missingVMTimeout is how long after a window's end the holder waits for VMs that do not
	// reply.
	missingVMTimeout = 4500 * time.Millisecond
	// callTimeout bounds one call to the store or to the platform.
	callTimeout = 700 * time.Millisecond
	// maxReportsPerStep bounds the reports that one call of sendReports sends after an outage.
	maxReportsPerStep = 4
)

// Platform receives usage reports.
type Platform interface {
	// ReportUsage reports the number of runs of each account in a window. It fails with an error
	// of package duty.
	ReportUsage(ctx context.Context, c duty.Call, w Window, counts map[string]int) error
}

// Group is the set of VMs that are asked for their counts.
type Group interface {
	// AskUsage sends a question to a VM. The VM's reply is passed to the Reporter.
	AskUsage(vm string, q Question)
	// Others returns the names of the other VMs.
	Others() []string
	// Candidate reports whether this VM may become the holder.
	Candidate() bool
}

// Holder says whether this VM may send reports, and identifies it in calls. duty.Holder
// implements it.
type Holder interface {
	// Held returns this VM's tenure, or false if this VM may not send reports now.
	Held() (duty.Tenure, bool)
	// Call returns the identification for calls within tenure t.
	Call(t duty.Tenure) duty.Call
}

// Config holds the settings of a Reporter.
type Config struct {
	// VM is the name of this VM.
	VM string
	// Length is the length of a window.
	Length time.Duration
}

// Reporter gathers the counts of all VMs and, while this VM holds the duty, reports each window.
// All candidates for the duty gather counts, so that they can take over.
type Reporter struct {
	kernel.Background
	*Counter
	cfg      Config
	tally    *Tally
	journal  *store.Journal
	platform Platform
	holder   Holder
	group    Group
	log      *telemetry.Logger
	// firstWindow is the window in which this process started.
	firstWindow Window

	// ledger is the state of the reports in the store, as read in the tenure with the fencing
	// number ledgerFence. It is nil if it has to be read. queriedAt is the start of the last round
	// of questions. Only the goroutine of step uses these fields.
	ledger      *ledger
	ledgerFence uint64
	queriedAt   time.Time
}

// NewReporter returns a reporter. It counts runs at once, but gathers and reports only after
// Start.
func NewReporter(cfg Config, counter *Counter, table store.Table, platform Platform, holder Holder, log *telemetry.Logger) *Reporter {
	return &Reporter{
		cfg: cfg, Counter: counter, tally: NewTally(), journal: store.NewJournal(table, KeyPrefix, sentKey), platform: platform, holder: holder, log: log,
		firstWindow: WindowAt(clock.Now(), cfg.Length),
	}
}

// SetGroup sets the group of VMs that are asked. It must be called before Start.
func (r *Reporter) SetGroup(g Group) { r.group = g }

// HandleReply merges another VM's reply into the counts. If the reply says that there is more, the
// VM is asked again at once.
func (r *Reporter) HandleReply(vm string, a Reply) {
	if r.tally.Merge(vm, a) && a.More {
		r.group.AskUsage(vm, r.tally.NextQuestion(vm, a.Number))
	}
}

// Start begins to gather counts and to report them.
func (r *Reporter) Start(context.Context) error {
	r.Run(func(ctx context.Context) { kernel.Every(ctx, stepInterval, r.step) })
	return nil
}

// step gathers counts and, if this VM holds the duty, finalizes and sends the reports that are
// due.
func (r *Reporter) step(ctx context.Context) {
	now := clock.Now()
	t, held := r.holder.Held()
	r.queryVMs(now, held)
	if !held {
		r.ledger = nil
		return
	}
	if r.ledger == nil || r.ledgerFence != t.Fence {
		if !r.loadLedger(ctx, t) {
			return
		}
	}
	r.sendReports(ctx, t)
	for r.finalizeNext(ctx, t, now) {
	}
	r.sendReports(ctx, t)
}

// queryVMs starts a round of questions to all VMs, this one included, if the last round began at
// least queryInterval ago, or standbyQueryInterval if held is false. held says whether this VM
// holds the duty. A VM that is neither the holder nor a candidate asks no questions.
func (r *Reporter) queryVMs(now time.Time, held bool) {
	every := standbyQueryInterval
	if held {
		every = queryInterval
	}
	if !(held || r.group.Candidate()) || now.Sub(r.queriedAt) < every {
		return
	}
	r.queriedAt = now
	number := r.tally.BeginRound(now)
	for _, vm := range r.group.Others() {
		r.group.AskUsage(vm, r.tally.NextQuestion(vm, number))
	}
	for more := true; more; {
		a := r.Reply(r.tally.NextQuestion(r.cfg.VM, number))
		r.tally.Merge(r.cfg.VM, a)
		more = a.More
	}
	r.tally.Forget(WindowAt(now, r.cfg.Length) - retainedWindows(r.cfg.Length))
}

// loadLedger reads the ledger from the store in tenure t and reports whether it succeeded.
func (r *Reporter) loadLedger(ctx context.Context, t duty.Tenure) bool {
	call, cancel := context.WithTimeout(ctx, store.JournalCalls*callTimeout)
	defer cancel()
	l, err := readLedger(call, r.journal, t.Condition, func(key string, version uint64, cause error) { r.log.BadRow(key, version, cause) })
	if err != nil {
		r.log.Warn(telemetry.EventUsage, telemetry.F("ledger", "read"), telemetry.F("cause", err))
		return false
	}
	if !l.anySent {
		l.lastSent = r.firstWindow - 1
	}
	r.ledger, r.ledgerFence = l, t.Fence
	r.log.Info(telemetry.EventUsage, telemetry.F("ledger", "read"), telemetry.F("sent", int64(l.lastSent)), telemetry.F("open", len(l.unsent)), telemetry.F("fence", t.Fence))
	return true
}

// nextWindow returns the next window to finalize. Windows whose counts the VMs no longer keep are
// skipped.
func (r *Reporter) nextWindow(now time.Time) Window {
	next := r.ledger.lastSent + 1
	if n := len(r.ledger.unsent); n > 0 {
		next = r.ledger.unsent[n-1].window + 1
	}
	return max(next, WindowAt(now, r.cfg.Length)-retainedWindows(r.cfg.Length)+1)
}

// finalizeNext finalizes the report of the next window if it is due, and reports whether it has
// finalized one. A report is due once all VMs have replied to a round of questions that began more
// than countGrace after the end of the window. It is due missingVMTimeout after the end of the
// window in any case.
func (r *Reporter) finalizeNext(ctx context.Context, t duty.Tenure, now time.Time) bool {
	if r.ledger == nil {
		return false
	}
	w := r.nextWindow(now)
	end := w.End(r.cfg.Length)
	missing := r.tally.CountMissing(append(r.group.Others(), r.cfg.VM), end.Add(countGrace))
	if now.Before(end.Add(countGrace)) || (missing > 0 && now.Before(end.Add(missingVMTimeout))) {
		return false
	}
	rep := &report{window: w, counts: r.tally.Sums(w)}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.ledger.finalize(call, r.journal, t.Condition, rep); err != nil {
		// The write may have taken effect, or another holder may have finalized the window with
		// other counts. The ledger is therefore read again.
		r.ledger = nil
		r.log.Warn(telemetry.EventUsage, telemetry.F("window", int64(w)), telemetry.F("fixed", false), telemetry.F("cause", err))
		return false
	}
	r.log.Info(telemetry.EventUsage, telemetry.F("window", int64(w)), telemetry.F("fixed", true), telemetry.F("accounts", len(rep.counts)),
		telemetry.F("missing", missing), telemetry.F("late_ms", now.Sub(end).Milliseconds()), telemetry.F("fence", t.Fence))
	return true
}

// sendReports sends the finalized reports that have not been sent yet, in the order of windows and
// at most maxReportsPerStep. It stops at the first report that has to be sent again.
func (r *Reporter) sendReports(ctx context.Context, t duty.Tenure) {
	for range maxReportsPerStep {
		if r.ledger == nil || len(r.ledger.unsent) == 0 {
			return
		}
		rep := r.ledger.unsent[0]
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.platform.ReportUsage(call, r.holder.Call(t), rep.window, rep.counts)
		cancel()
		if err != nil {
			r.log.Warn(telemetry.EventUsage, telemetry.F("window", int64(rep.window)), telemetry.F("sent", false), telemetry.F("cause", err))
		}
		if err != nil && !errors.Is(err, duty.ErrRefused) {
			return
		}
		// A report that the platform refuses for good must not block later windows.
		r.log.Info(telemetry.EventUsage, telemetry.F("window", int64(rep.window)), telemetry.F("sent", true), telemetry.F("fence", t.Fence))
		r.ledger.unsent = r.ledger.unsent[1:]
		r.ledger.lastSent = rep.window
		r.ledger.markStale(rep.window, rep.rows)
	}
}
