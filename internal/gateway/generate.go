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

// freeTimeout bounds the call that frees a handle.
const freeTimeout = time.Second

// generate serves a request to a model engine: the prompt is prefilled, at a
// prefill target or in place, and the decode target's events are relayed.
func (x *exchange) generate(ctx context.Context) error {
	s := &stream{x: x}
	var last error
	for x.wanted(ctx) {
		if err := x.checkStop(); err != nil {
			return err
		}
		x.reload()
		out, target, err := x.generateOnce(ctx, s)
		if err == nil {
			return nil
		}
		last = err
		if target == nil {
			break
		}
		x.tried[target.ID] = true
		if out == sentNothing {
			if !x.missed(err) {
				break
			}
			continue
		}
		if out == withheld {
			break
		}
		x.ran = x.ran || out == unknown
		if x.ran && !x.route.Resumable {
			break
		}
		if !x.mayTryAgain(ctx) {
			break
		}
	}
	if !x.ran && notRun(last) {
		return last
	}
	if s.relaying && callerLeft(x.r.Context()) {
		return errkind.Wrap(errkind.ClientGone, last, "the caller has gone")
	}
	if s.relaying && x.g.ending.Err() != nil {
		return errkind.Wrap(errkind.StreamStopped, last, "this VM's stop ended the stream")
	}
	if s.relaying {
		return errkind.Wrap(errkind.StreamLost, last, "the target broke off the stream")
	}
	return x.giveUp(ctx, last)
}

// notRun reports whether an error is a refusal that its caller is told as it is.
func notRun(err error) bool {
	return errkind.Is(err, errkind.CannotFinish) || errkind.Is(err, errkind.Stopping) || errkind.Is(err, errkind.Quarantined) ||
		errkind.Is(err, errkind.UnknownKey) || errkind.Is(err, errkind.KeysUncertain) || errkind.Is(err, errkind.NotReady)
}

// generateOnce asks one decode target, after a prefill elsewhere where that is
// the better way. target is nil when there is none to ask.
func (x *exchange) generateOnce(ctx context.Context, s *stream) (outcome, *fleet.Target, error) {
	choice, err := x.choose(ctx)
	if err != nil {
		return refused, nil, err
	}
	x.g.placer.Commit(choice, x.meta.Prompt, clock.Now())
	if choice.InPlace {
		x.note(choice.Target, describe(choice, "inplace"), nil)
		out, err := x.decode(ctx, s, choice, nil)
		return out, choice.Target, err
	}
	x.note(choice.Target, describe(choice, "prefill"), nil)
	handle, out, err := x.prefill(ctx, choice)
	if err != nil {
		return out, choice.Target, err
	}
	return x.goOn(ctx, s, choice, &prefilled{target: choice.Target, handle: handle})
}

// goOn asks decode targets to go on with a prompt that was read, until one is reached: a handle
// that nobody has used is kept, so that the prompt is not read again for the next one.
func (x *exchange) goOn(ctx context.Context, s *stream, read place.Choice, p *prefilled) (outcome, *fleet.Target, error) {
	for {
		x.reload()
		next, ok := x.chooseDecode(read)
		if !ok {
			x.free(p.target, p.handle)
			return refused, nil, errkind.New(errkind.NoTarget, "no decode engine can take the request")
		}
		out, err := x.decode(ctx, s, next, p)
		if out == sentNothing && x.missed(err) && x.wanted(ctx) && x.checkStop() == nil {
			x.tried[next.Target.ID] = true
			continue
		}
		if out == refused {
			x.g.placer.Blame(read.Target.RunID(), clock.Now())
		}
		if err != nil {
			// Without an answer it is not known whether the handle was taken; one that was is
			// not there to be freed.
			x.free(p.target, p.handle)
		}
		return out, next.Target, err
	}
}

// spec returns what the configuration says of the service's engines, or nil where it
// is no model's any more.
func (x *exchange) spec() *fleet.EngineSpec {
	if !x.generates() {
		return nil
	}
	return x.view.Config.Services[x.service].Engine
}

// choose chooses where the prompt is prefilled, once the request may go.
func (x *exchange) choose(ctx context.Context) (place.Choice, error) {
	defer x.unqueue()
	for {
		spec := x.spec()
		if spec == nil {
			return place.Choice{}, errkind.New(errkind.NoTarget, "the service is not a model's any more")
		}
		x.meta.Prompt.MaxWait = x.asked(clock.Now()).MaxWait()
		x.meta.Prompt.Deferred = x.queued != nil
		c, ok := x.g.placer.Read(x.view.Targets[x.service], spec, x.meta.Prompt, x.untried(), clock.Now())
		if !ok {
			return c, errkind.New(errkind.NoTarget, "no engine can take the request")
		}
		ruling := x.admit(c)
		if ruling.Verdict == place.Send {
			x.ruled(ruling, c)
			return c, nil
		}
		c.Ticket.End(place.Neutral, clock.Now())
		if ruling.Verdict == place.Refuse || x.g.limits.Load().NoDeferral {
			ruling.Verdict = place.Refuse
			x.ruled(ruling, c)
			return c, x.refuseLate(c)
		}
		x.waitDeferred(ctx, c)
		if !x.wanted(ctx) {
			return c, ctx.Err()
		}
		if err := x.checkStop(); err != nil {
			return c, err
		}
		x.reload()
	}
}

// untried returns the targets that are not to be asked to read the prompt. One that was read
// apart is read again in place only, by the target that then runs it: one arrival, not two.
func (x *exchange) untried() place.Tried {
	if x.sends.reads == 0 {
		return x.apart(x.tried)
	}
	tried := maps.Clone(x.tried)
	for _, t := range x.view.Targets[x.service] {
		if t.Stage == fleet.Prefill {
			tried[t.ID] = true
		}
	}
	return x.apart(tried)
}

// chooseDecode chooses where a prompt goes on that another target has read.
func (x *exchange) chooseDecode(read place.Choice) (place.Choice, bool) {
	spec := x.spec()
	if spec == nil {
		return place.Choice{}, false
	}
	return x.g.placer.Decode(x.view.Targets[x.service], spec, x.meta.Prompt, read.Target.DataCentre, x.tried, clock.Now())
}

// describe formats a choice and the figures that it rests on for the log line:
// the reckoned time to the first event in ms and the tokens held.
func describe(c place.Choice, what string) string {
	return what + "~" + strconv.FormatInt(c.Expected.Milliseconds(), 10) + "c" + strconv.Itoa(c.Cached)
}

// prefill has the prompt read and returns the handle of its KV cache. Nothing
// has run after it, whatever its outcome.
func (x *exchange) prefill(ctx context.Context, c place.Choice) (*Handle, outcome, error) {
	resp, out, err := x.send(ctx, c.Target, Directive{Engine: true, PrefillOnly: true, Priority: x.account.Load().Rank(x.route)}, c.Ticket)
	if err != nil {
		if out == unknown {
			out = refused
		}
		return nil, out, err
	}
	defer resp.Close()
	body, err := readWhole(resp)
	if err == nil && resp.Status != http.StatusOK {
		err = errkind.New(errkind.TargetFailed, "prefill status %d", resp.Status)
	}
	var handle Handle
	if err == nil {
		handle, err = x.g.proto.Handle(c.Target.Address, body)
	}
	if err != nil {
		x.note(c.Target, "prefill_failed", err)
		c.Ticket.End(place.Bad, clock.Now())
		return nil, refused, err
	}
	c.Ticket.End(place.Good, clock.Now())
	x.note(c.Target, "prefilled", nil)
	return &handle, answered, nil
}

// prefilled is a prompt that a target keeps for a decode target.
type prefilled struct {
	target *fleet.Target
	handle *Handle
}

// decode sends the request to a decode target and relays its events; p is nil
// where the prompt is read there.
func (x *exchange) decode(ctx context.Context, s *stream, c place.Choice, p *prefilled) (outcome, error) {
	d := Directive{Engine: true, Priority: x.account.Load().Rank(x.route), ResumeAfter: x.lastEvent}
	if p != nil {
		d.Handle = p.handle
	}
	x.seat = &c.Seat
	resp, out, err := x.send(ctx, c.Target, d, c.Ticket)
	if err != nil {
		return out, err
	}
	defer resp.Close()
	c.Ticket.First(clock.Now())
	if resp.Status != http.StatusOK {
		return x.relayFailure(s, c, resp)
	}
	s.ticket = c.Ticket
	err = s.relay(resp)
	x.eventPause = s.pause()
	c.Ticket.Length(s.events)
	switch {
	case err == nil:
		x.note(c.Target, strconv.Itoa(resp.Status), nil)
		c.Ticket.Stream(s.events, s.wroteAt.Sub(s.firstAt))
		c.Ticket.End(place.Good, clock.Now())
		x.served()
		return answered, nil
	case x.endedHere():
		x.note(c.Target, "ended", err)
		c.Ticket.End(place.Neutral, clock.Now())
	default:
		x.note(c.Target, "cut", err)
		x.brokeOff(c.Target, err, x.sentAt, s.ranFor(clock.Now()))
		c.Ticket.End(place.Bad, clock.Now())
	}
	return unknown, err
}

// relayFailure gives the caller an engine's own failure, unless the stream has
// begun.
func (x *exchange) relayFailure(s *stream, c place.Choice, resp *httpsend.Response) (outcome, error) {
	x.g.usage.Ran(x.accountName(), clock.Now())
	body, err := readWhole(resp)
	c.Ticket.End(place.Bad, clock.Now())
	x.note(c.Target, strconv.Itoa(resp.Status), err)
	if err == nil {
		x.served()
	}
	if err != nil || s.relaying {
		return unknown, errkind.New(errkind.TargetFailed, "the engine failed with status %d", resp.Status)
	}
	if x.route.Resumable && x.sends.arrivals < x.route.MaxAttempts {
		return unknown, errkind.New(errkind.TargetFailed, "the engine failed with status %d", resp.Status)
	}
	return answered, x.deliver(&answer{status: resp.Status, header: resp.Header, body: body})
}

// free gives up a handle that nobody will take. It does not hold the request
// up; a handle that stays is freed by the target in the end.
func (x *exchange) free(t *fleet.Target, h *Handle) {
	method, uri := x.g.proto.FreeHandle(h.ID)
	d := x.g.destination(x.view, t, false)
	host := x.r.Host
	g := x.g
	g.served.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		resp, err := g.client.Send(ctx, d, &httpsend.Request{Method: method, URI: uri, Host: host}, func(int, http.Header) bool { return true })
		if err != nil {
			g.stats.HandleLost()
			return
		}
		drain(resp)
	})
}
