package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/quarantine"
)

// A request can crash each target that begins to run it and be sent again and again, to any VM.
// Each crash also breaks the 30 to 100 requests that run on the same target, and targets crash
// faster than they restart. What is known of such a request is therefore kept for the request, not
// for one exchange, and is shared with all VMs.

// Quarantine records the requests that targets began to run right before they crashed. A request is
// a suspect after two such crashes and quarantined after three, that is, kept from all targets
// until one VM may try it again. The methods are safe for concurrent use.
type Quarantine interface {
	// Known returns whether the quarantines that began before this VM started are known.
	Known() bool
	// Verdict returns what is known of a request.
	Verdict(r *quarantine.Request, now time.Time) quarantine.Verdict
	// BeginTrial begins a trial of a suspect: one attempt that shows whether the request still
	// crashes its target. This VM makes no other attempt at the request until EndTrial. BeginTrial
	// returns false if this VM already has a trial of the request in progress.
	BeginTrial(id quarantine.ID) bool
	// EndTrial ends the trial that BeginTrial began.
	EndTrial(id quarantine.ID)
	// RecordCrash records that a target crashed as it began to run a request.
	RecordCrash(r *quarantine.Request, crash quarantine.Crash)
	// RecordSuccess records that a target of a software version has run a request, which therefore does
	// not crash targets.
	RecordSuccess(r *quarantine.Request, version string)
	// PartVerdict returns what is known of the parts of a request's prompt. BeginPartTrial and EndPartTrial
	// are like BeginTrial and EndTrial, for all requests with a held part.
	PartVerdict(r *quarantine.Request, now time.Time) quarantine.PartVerdict
	BeginPartTrial(id quarantine.ID) bool
	EndPartTrial(id quarantine.ID)
}

const (
	// exitCheckDelay is the delay before a target that still listens is checked a second time. When
	// a target exits, its connections may be closed before its listener is.
	exitCheckDelay = 100 * time.Millisecond
	// minRestartTime is less than a target takes to restart.
	minRestartTime = 150 * time.Millisecond
	// exitCheckTimeout limits both checks together.
	exitCheckTimeout = time.Second
	// trialRetryAfter is the shortest retry delay for a caller whose request is a suspect, while
	// another attempt at the same request is in flight or is to be made by another VM.
	trialRetryAfter = time.Second
)

// maxUnknownQuarantine is the longest time for which a VM that knows its configuration and targets waits for the
// quarantines that began before it started. Requests that crash targets are few, and all requests wait for them.
const maxUnknownQuarantine = 3 * time.Second

// awaitsQuarantines returns whether requests must wait for the quarantines that began before this VM started. The view
// must be usable.
func (g *Gateway) awaitsQuarantines() bool {
	if g.quarantine.Known() {
		return false
	}
	now := clock.Now()
	g.usableSince.CompareAndSwap(nil, &now)
	return now.Sub(*g.usableSince.Load()) < maxUnknownQuarantine
}

// checkQuarantine refuses a request that is quarantined. For a suspect, this VM makes one attempt
// at a time. After three crashes, one VM of the group tries the request before the other VMs may.
// checkQuarantine is called before each attempt, because other VMs may have reported crashes
// meanwhile.
func (x *exchange) checkQuarantine() error {
	now := clock.Now()
	v := x.g.quarantine.Verdict(&x.quarantineReq, now)
	if !v.Suspect() {
		return nil
	}
	if v.Quarantined(now, x.g.group.Owns(v.ID.Fingerprint[:])) {
		e := errkind.New(errkind.Quarantined, "%d targets ended as they began to run this request", v.Crashes)
		e.RetryAfter = max(v.TrialAt.Sub(now), trialRetryAfter).Round(time.Millisecond)
		return e
	}
	if x.trial != nil {
		return nil
	}
	if !x.g.quarantine.BeginTrial(v.ID) {
		e := errkind.New(errkind.Quarantined, "%d targets ended as they began to run this request, and it is being tried elsewhere", v.Crashes)
		e.RetryAfter = trialRetryAfter
		return e
	}
	x.trial = &v.ID
	return nil
}

// endTrial ends the trial of a suspect and that of a held part, so that this VM may make others.
func (x *exchange) endTrial() {
	if x.trial != nil {
		x.g.quarantine.EndTrial(*x.trial)
	}
	if x.partTrial != nil {
		x.g.quarantine.EndPartTrial(x.partTrial.ID)
	}
}

// checkParts refuses a request before its first attempt if a part of its prompt is held, unless targets of a
// software version serve that run its held parts well, or it is sent as a trial.
func (x *exchange) checkParts() error {
	v := x.g.quarantine.PartVerdict(&x.quarantineReq, clock.Now())
	runsWell := func(t *fleet.Target) bool { return canAnswer(t) && v.RunsWellAt(t.Version) }
	if v.Held() && slices.ContainsFunc(x.view.Targets[x.service], runsWell) {
		return nil
	}
	return x.tryParts(v)
}

// checkPartsAt is called before each attempt. It refuses the request if a part of its prompt is held at the
// software version of t, unless it is sent as a trial.
func (x *exchange) checkPartsAt(t *fleet.Target) error {
	v := x.g.quarantine.PartVerdict(&x.quarantineReq, clock.Now())
	if v.RunsWellAt(t.Version) {
		return nil
	}
	return x.tryParts(v)
}

// tryParts refuses a request for the verdict on the parts of its prompt, unless it is sent as a trial.
func (x *exchange) tryParts(v quarantine.PartVerdict) error {
	if !v.Held() {
		return nil
	}
	now := clock.Now()
	if t := x.partTrial; t != nil && t.ID == v.ID && t.Crashes == v.Crashes {
		return nil
	}
	if v.Blocked && !(v.TrialDue(now) && x.g.group.Owns(v.TrialKey)) {
		return refuseForPart(v, max(v.TrialAt.Sub(now), trialRetryAfter))
	}
	if x.partTrial != nil || !x.g.quarantine.BeginPartTrial(v.ID) {
		return refuseForPart(v, trialRetryAfter)
	}
	x.partTrial = &v
	return nil
}

// byPart returns those of the given targets at whose software versions the held parts of the request's prompt run
// well, or all if none of these can answer. A trial that is due is sent to the others.
func (x *exchange) byPart(targets []*fleet.Target) []*fleet.Target {
	if len(x.quarantineReq.Parts) == 0 {
		return targets
	}
	now := clock.Now()
	v := x.g.quarantine.PartVerdict(&x.quarantineReq, now)
	if !v.Held() {
		return targets
	}
	var well, others []*fleet.Target
	for _, t := range targets {
		if v.RunsWellAt(t.Version) {
			well = append(well, t)
		} else {
			others = append(others, t)
		}
	}
	switch {
	case !slices.ContainsFunc(well, canAnswer):
		return targets
	case !slices.ContainsFunc(others, canAnswer):
		return well
	case x.partTrial != nil, !v.TrialRuns && v.TrialDue(now) && x.g.group.Owns(v.TrialKey):
		return others
	}
	return well
}

// canAnswer reports whether a target may run requests to their end, which engines that prefill may not.
func canAnswer(t *fleet.Target) bool { return t.Stage != fleet.Prefill }

// refuseForPart returns the refusal of a request for a held part of its prompt.
func refuseForPart(v quarantine.PartVerdict, retryAfter time.Duration) error {
	e := errkind.New(errkind.Quarantined, "%d targets ended as they began to answer prompts with the part %q of this one", v.Crashes, v.Part)
	e.RetryAfter = retryAfter.Round(time.Millisecond)
	return e
}

// beginAttempt counts an attempt that is about to be made at t, or returns why it must not be made. The
// key is looked up again for each attempt, because it may have been revoked after the last lookup.
func (x *exchange) beginAttempt(t *fleet.Target, prefillOnly bool) (attempt, error) {
	if err := x.identifyAccount(); err != nil {
		return attempt{}, err
	}
	if err := x.checkQuarantine(); err != nil {
		return attempt{}, err
	}
	if err := x.checkPartsAt(t); err != nil {
		return attempt{}, err
	}
	if (x.trial != nil || x.partTrial != nil) && x.attempts.arrivals > 0 {
		// A further attempt, even one made because the first is overdue, could crash a second
		// target.
		return attempt{}, errNoAttemptLeft
	}
	a, ok := x.attempts.begin(prefillOnly)
	if !ok {
		return attempt{}, errNoAttemptLeft
	}
	return a, nil
}

// noteServed records that t has run the request to its end, or for longer than quarantine.BlameWindow,
// and that the request therefore does not crash targets.
func (x *exchange) noteServed(t *fleet.Target) {
	x.g.quarantine.RecordSuccess(&x.quarantineReq, t.Version)
}

// noteAnswered records that t has answered the request completely. An error of t says nothing, because t may
// fail requests before it runs them. The rejection of a request shows that the request does not crash
// targets, but not that t has begun to answer its prompt.
func (x *exchange) noteAnswered(t *fleet.Target, status int) {
	switch {
	case status < http.StatusBadRequest:
		x.noteServed(t)
	case status < http.StatusInternalServerError:
		r := x.quarantineReq
		r.Parts = nil
		x.g.quarantine.RecordSuccess(&r, t.Version)
	}
}

// checkTargetExit checks in the background whether a target that closed the connection has exited,
// and if so records the crash for the quarantine. sentAt is when the request was sent to the
// target. ranFor is how long the target had run the request, or 0 if the target had not begun to
// run it.
func (x *exchange) checkTargetExit(t *fleet.Target, err error, sentAt time.Time, ranFor time.Duration) {
	if x.endedLocally() || !closedByTarget(err) {
		return
	}
	x.targetClosed = true
	g, request := x.g, x.quarantineReq
	crash := quarantine.Crash{Run: t.RunID(), Version: t.Version, Began: sentAt, At: clock.Now()}
	g.wg.Go(func() {
		if g.hasExited(t, crash.At) && ranFor <= quarantine.BlameWindow {
			g.quarantine.RecordCrash(&request, crash)
		}
	})
}

// closedByTarget reports whether err means that the target closed the connection. A connection lost
// by the network shows as a timeout.
func closedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, httpsend.ErrTruncated) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// hasExited reports whether the process of a target that closed a connection at closedAt has exited. That is so
// if nothing listens at the target's address, or if another target does by now, as on a busy VM that checks
// late. A target that only closed connections, or that cannot be reached, has not exited. Concurrent checks of
// one target are merged.
func (g *Gateway) hasExited(t *fleet.Target, closedAt time.Time) bool {
	v, _, _ := g.exitChecks.Do(t.RunID(), func() (any, error) {
		ctx, cancel := context.WithTimeout(g.abortCtx, exitCheckTimeout)
		defer cancel()
		if !g.notListening(ctx, t) && !g.replacedSince(ctx, t, closedAt) && !g.notListeningAfterDelay(ctx, t) {
			return false, nil
		}
		g.placer.NoteUnreachable(t.RunID(), clock.Now())
		return true, nil
	})
	exited, _ := v.(bool)
	return exited
}

// replacedSince reports whether another target runs at the address of a target that closed a connection at
// closedAt. The target is not asked if it has not had the time to restart.
func (g *Gateway) replacedSince(ctx context.Context, t *fleet.Target, closedAt time.Time) bool {
	view := g.keeper.View()
	if clock.Since(closedAt) < minRestartTime || view.Config == nil || view.Config.Services[t.Service] == nil {
		return false
	}
	return errors.Is(g.checker.CheckRunning(ctx, t, view.Config.Services[t.Service]), ErrReplaced)
}

// notListening reports whether nothing listens at a target's address.
func (g *Gateway) notListening(ctx context.Context, t *fleet.Target) bool {
	return errors.Is(g.client.Probe(ctx, t.Address), httpsend.ErrNotListening)
}

// notListeningAfterDelay waits for exitCheckDelay and then returns the result of notListening. It
// returns false if ctx ends first.
func (g *Gateway) notListeningAfterDelay(ctx context.Context, t *fleet.Target) bool {
	select {
	case <-time.After(exitCheckDelay):
		return g.notListening(ctx, t)
	case <-ctx.Done():
		return false
	}
}

// excludeForTrial returns the targets that must not be chosen. These are the targets in tried or,
// if the request is a suspect, all targets but one. The fingerprint of the suspect determines the
// remaining target, so that different suspects are usually sent to different targets; see
// place.Placer.AllButOne.
func (x *exchange) excludeForTrial(tried place.Tried) place.Tried {
	if x.trial == nil {
		return tried
	}
	return x.g.placer.AllButOne(x.candidates(), tried, x.trial.Fingerprint[:])
}
