package gateway

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/place"
)

// freeHandleTimeout limits the call that frees a handle.
const freeHandleTimeout = time.Second

// serveGeneration serves a request to a model engine. The prompt is prefilled, at a prefill target
// or in place at the decode target, and the events of the decode target are relayed.
func (x *exchange) serveGeneration(ctx context.Context) error {
	s := &stream{x: x}
	var last error
	for x.callerWaiting(ctx) {
		if err := x.checkStop(); err != nil {
			return err
		}
		x.reloadView()
		out, target, err := x.generateOnce(ctx, s)
		if err == nil {
			return nil
		}
		if target == nil && x.mayHaveRun {
			// The failure of the last target tells the caller more than that there is no other.
			break
		}
		last = err
		if target == nil {
			break
		}
		x.tried[target.ID] = true
		if out == outcomeNotSent {
			if !x.noteUnreachable(err) {
				break
			}
			continue
		}
		if out == outcomeWithheld {
			break
		}
		x.mayHaveRun = x.mayHaveRun || out == outcomeUnknown
		if x.mayHaveRun && !x.route.Resumable {
			break
		}
		if !x.reserveRetry(ctx) {
			break
		}
	}
	if !x.mayHaveRun && isNotRunRefusal(last) {
		return last
	}
	if s.headerSent && callerGone(x.r.Context()) {
		return errkind.Wrap(errkind.ClientGone, last, "the caller has gone")
	}
	if s.headerSent && x.g.abortCtx.Err() != nil {
		return errkind.Wrap(errkind.StreamStopped, last, "this VM stopped before the stream was complete")
	}
	if s.headerSent {
		return errkind.Wrap(errkind.StreamLost, last, "the stream from the target was cut off")
	}
	return x.finalError(ctx, last)
}

// isNotRunRefusal reports whether err is a refusal of a request that has not run, which the caller
// gets unchanged.
func isNotRunRefusal(err error) bool {
	return errkind.Is(err, errkind.CannotFinish) || errkind.Is(err, errkind.Stopping) || errkind.Is(err, errkind.Quarantined) ||
		errkind.Is(err, errkind.UnknownKey) || errkind.Is(err, errkind.KeysUncertain) || errkind.Is(err, errkind.NotReady) || errkind.Is(err, errkind.TargetsLimited)
}

// generateOnce makes one attempt at a decode target, after a prefill at another target if the
// placer chose that. The returned target is nil if no target could be chosen.
func (x *exchange) generateOnce(ctx context.Context, s *stream) (outcome, *fleet.Target, error) {
	choice, err := x.choosePrefill(ctx)
	for err == nil && !x.g.placer.Commit(choice, x.meta.Prompt, clock.Now()) {
		choice.Ticket.End(place.Neutral, clock.Now())
		choice, err = x.choosePrefill(ctx)
	}
	if err != nil {
		return outcomeRefused, nil, err
	}
	if choice.InPlace {
		x.addTrace(choice.Target, formatChoice(choice, "inplace"), nil)
		out, err := x.decode(ctx, s, choice, nil)
		return out, choice.Target, err
	}
	x.addTrace(choice.Target, formatChoice(choice, "prefill"), nil)
	handle, out, err := x.prefill(ctx, choice)
	if err != nil {
		return out, choice.Target, err
	}
	return x.decodePrefilled(ctx, s, choice, &prefilledPrompt{target: choice.Target, handle: handle})
}

// decodePrefilled makes the handoff: it sends a prompt that was prefilled separately to decode
// targets until one can be reached. The handle stays valid until a target uses it, so the prompt
// need not be prefilled again for the next decode target.
func (x *exchange) decodePrefilled(ctx context.Context, s *stream, prefillChoice place.Choice, p *prefilledPrompt) (outcome, *fleet.Target, error) {
	for {
		x.reloadView()
		next, ok := x.chooseDecode(prefillChoice)
		if !ok {
			x.freeHandle(p.target, p.handle)
			return outcomeRefused, nil, errkind.New(errkind.NoTarget, "no decode engine can take the request")
		}
		out, err := x.decode(ctx, s, next, p)
		if out == outcomeNotSent && x.noteUnreachable(err) && x.callerWaiting(ctx) && x.checkStop() == nil {
			x.tried[next.Target.ID] = true
			continue
		}
		if out == outcomeRefused {
			x.g.placer.NoteLostHandle(prefillChoice.Target.RunID(), clock.Now())
		}
		if err != nil {
			// Without a response it is not known whether the target took the handle. Freeing a
			// handle that was taken has no effect.
			x.freeHandle(p.target, p.handle)
		}
		return out, next.Target, err
	}
}

// engineSpec returns the configured properties of the service's engines, or nil if the service no
// longer runs a model.
func (x *exchange) engineSpec() *fleet.EngineSpec {
	if !x.isGeneration() {
		return nil
	}
	return x.view.Config.Services[x.service].Engine
}

// choosePrefill chooses the target that prefills the prompt. choosePrefill waits while the request
// is deferred. It returns an error if the request is refused, or if the caller leaves while
// choosePrefill waits.
func (x *exchange) choosePrefill(ctx context.Context) (place.Choice, error) {
	defer x.dequeue()
	for {
		spec := x.engineSpec()
		if spec == nil {
			return place.Choice{}, errkind.New(errkind.NoTarget, "the service no longer runs a model")
		}
		x.meta.Prompt.MaxWait = x.admissionInput(clock.Now()).MaxWait()
		x.meta.Prompt.Deferred = x.queueTicket != nil
		c, ok := x.g.placer.Prefill(x.candidates(), spec, x.meta.Prompt, x.excludedForPrefill(), clock.Now())
		if !ok {
			if x.limitsUsedUp() {
				return c, x.refuseLimited()
			}
			return c, errkind.New(errkind.NoTarget, "no engine can take the request")
		}
		decision := x.admit(c)
		if decision.Verdict == place.Send {
			x.recordAdmission(decision, c)
			return c, nil
		}
		c.Ticket.End(place.Neutral, clock.Now())
		if decision.Verdict == place.Refuse || x.g.limits.Load().NoDeferral {
			decision.Verdict = place.Refuse
			x.recordAdmission(decision, c)
			return c, x.refuseLate(c)
		}
		x.waitDeferred(ctx, c)
		if !x.callerWaiting(ctx) {
			return c, ctx.Err()
		}
		if err := x.checkStop(); err != nil {
			return c, err
		}
		x.reloadView()
	}
}

// excludedForPrefill returns the targets that must not be chosen to prefill the prompt. If another
// target has already prefilled the prompt separately, the next prefill must be in place, that is,
// at the target that decodes the prompt. The request thus arrives at one more target instead of
// two.
func (x *exchange) excludedForPrefill() place.Tried {
	if x.attempts.prefills == 0 {
		return x.excludeForTrial(x.tried)
	}
	tried := maps.Clone(x.tried)
	for _, t := range x.candidates() {
		if t.Stage == fleet.Prefill {
			tried[t.ID] = true
		}
	}
	return x.excludeForTrial(tried)
}

// chooseDecode chooses the target that decodes a prompt which another target has prefilled. It
// returns false if no target can be chosen.
func (x *exchange) chooseDecode(prefillChoice place.Choice) (place.Choice, bool) {
	spec := x.engineSpec()
	if spec == nil {
		return place.Choice{}, false
	}
	return x.g.placer.Decode(x.candidates(), spec, x.meta.Prompt, prefillChoice.Target.DataCentre, x.tried, clock.Now())
}

// formatChoice formats a choice for the log line: the kind of step, the expected time to the first
// event in ms, the number of prompt tokens expected in the target's cache and, if requests to the target
// fail, the percentage of them.
func formatChoice(c place.Choice, step string) string {
	out := step + "~" + strconv.FormatInt(c.Expected.Milliseconds(), 10) + "c" + strconv.Itoa(c.Cached)
	if percent := int(100 * c.Failing); percent > 0 {
		out += "f" + strconv.Itoa(percent)
	}
	return out
}

// prefill has a target prefill the prompt and returns the handle of its KV cache. A prefill never
// runs the request, whatever the outcome of the prefill. So prefill returns outcomeRefused in place
// of outcomeUnknown.
func (x *exchange) prefill(ctx context.Context, c place.Choice) (*Handle, outcome, error) {
	resp, out, err := x.send(ctx, c.Target, Directive{Engine: true, PrefillOnly: true, Priority: x.account.Load().RequestPriority(x.route)}, c.Ticket)
	if err != nil {
		if out == outcomeUnknown {
			out = outcomeRefused
		}
		return nil, out, err
	}
	defer resp.Close()
	answer, err := x.readBuffered(ctx, resp)
	if err == nil && resp.Status != http.StatusOK {
		err = errkind.New(errkind.TargetFailed, "prefill failed with status %d", resp.Status)
	}
	var handle Handle
	if err == nil {
		handle, err = x.g.proto.Handle(c.Target.Address, answer)
	}
	if err != nil {
		x.addTrace(c.Target, "prefill_failed", err)
		c.Ticket.End(place.Bad, clock.Now())
		return nil, outcomeRefused, err
	}
	c.Ticket.End(place.Good, clock.Now())
	x.addTrace(c.Target, "prefilled", nil)
	return &handle, outcomeAnswered, nil
}

// prefilledPrompt is a prompt whose KV cache a target keeps for a decode target.
type prefilledPrompt struct {
	target *fleet.Target
	handle *Handle
}

// decode sends the request to a decode target and relays its events. p is nil if that target
// prefills the prompt itself.
func (x *exchange) decode(ctx context.Context, s *stream, c place.Choice, p *prefilledPrompt) (outcome, error) {
	d := Directive{Engine: true, Priority: x.account.Load().RequestPriority(x.route), ResumeAfter: x.lastEventID}
	if p != nil {
		d.Handle = p.handle
	}
	x.seat = &c.Seat
	x.announceVersion(c.Target)
	resp, out, err := x.send(ctx, c.Target, d, c.Ticket)
	if err != nil {
		return out, err
	}
	defer resp.Close()
	c.Ticket.FirstEvent(clock.Now())
	if resp.Status != http.StatusOK {
		return x.relayFailure(ctx, s, c, resp)
	}
	s.target, s.ticket = c.Target, c.Ticket
	err = s.relay(ctx, resp)
	x.noteBody(resp, err)
	x.eventInterval = s.eventInterval()
	c.Ticket.ObserveLength(s.events)
	switch {
	case err == nil:
		x.addTrace(c.Target, strconv.Itoa(resp.Status), nil)
		c.Ticket.ObserveAnswer(s.events, s.lastWriteAt.Sub(s.firstEventAt))
		c.Ticket.End(place.Good, clock.Now())
		x.noteServed(c.Target)
		return outcomeAnswered, nil
	case x.endedLocally():
		x.addTrace(c.Target, "ended", err)
		c.Ticket.End(place.Neutral, clock.Now())
	default:
		x.addTrace(c.Target, "cut", err)
		x.checkTargetExit(c.Target, err, x.sentAt, s.ranFor(clock.Now()))
		c.Ticket.End(failureResult(err), clock.Now())
	}
	return outcomeUnknown, err
}

// relayFailure sends an engine's error response to the caller, unless the caller already has a part
// of a stream or another attempt is possible.
func (x *exchange) relayFailure(ctx context.Context, s *stream, c place.Choice, resp *httpsend.Response) (outcome, error) {
	x.g.usage.Ran(x.accountName(), clock.Now())
	answer, err := x.readAnswer(ctx, c.Target, resp)
	c.Ticket.End(place.Bad, clock.Now())
	x.addTrace(c.Target, strconv.Itoa(resp.Status), err)
	if err == nil {
		x.noteAnswered(c.Target, resp.Status)
	}
	if err != nil || s.headerSent {
		return outcomeUnknown, errkind.New(errkind.TargetFailed, "the engine failed with status %d", resp.Status)
	}
	if x.route.Resumable && x.attempts.arrivals < x.route.MaxAttempts {
		return outcomeUnknown, errkind.New(errkind.TargetFailed, "the engine failed with status %d", resp.Status)
	}
	return outcomeAnswered, x.writeResponse(&bufferedResponse{status: resp.Status, header: resp.Header, body: answer})
}

// freeHandle frees a handle that no target will use, in the background. Targets free unused handles
// themselves in the end, so a failure is only counted.
func (x *exchange) freeHandle(t *fleet.Target, h *Handle) {
	method, uri := x.g.proto.FreeHandle(h.ID)
	d := x.g.destination(x.view, t, false)
	host := x.r.Host
	g := x.g
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeHandleTimeout)
		defer cancel()
		resp, err := g.client.Send(ctx, d, &httpsend.Request{Method: method, URI: uri, Host: host}, func(int, http.Header) bool { return true })
		if err != nil {
			g.stats.HandleNotFreed()
			return
		}
		drainBody(resp)
	})
}
