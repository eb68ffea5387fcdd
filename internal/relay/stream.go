package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// maxReplayBytes bounds the text kept for going on elsewhere when an engine is
// lost; a longer answer can then only be resumed on its own engine.
const maxReplayBytes = 256 << 10

// streamState is where a caller's stream stands, across engines.
type streamState struct {
	// engine, stream and event name the last event relayed.
	engine string
	stream string
	event  int
	// base is the events relayed from earlier engines.
	base int
	// text is the JSON string content of the tokens relayed, while replayable.
	text       []byte
	replayable bool
	// contentAt is where the content began in the last chunk.
	contentAt int
	// skip is how many of the next engine's events the caller already has.
	skip int
	// chunkID is the completion id that the caller saw first.
	chunkID []byte
	started bool
	// noTransfer is set once an engine could not import the KV cache; one
	// engine then does it all.
	noTransfer bool
	// moved is set once the stream has gone on with another generation.
	moved bool
}

// events returns how many events the caller holds.
func (s *streamState) events() int { return s.base + s.event }

// errBroken is wrapped by failures after which the stream may go on elsewhere.
var errBroken = errors.New("relay: stream broke off")

// errSilent: the engine gave no event for too long. It is not asked again, as
// it would cost the caller the same wait once more.
var errSilent = errors.New("relay: engine fell silent")

// errUnknownStream: the engine no longer has the stream.
var errUnknownStream = errors.New("relay: engine does not know the stream")

// errCallerGone: writing to the caller failed.
var errCallerGone = errors.New("relay: caller went away")

// Stream serves a streaming request. Once the first event is out, every
// failure is told in the stream, and a stream that is not complete never ends
// with the [DONE] event.
func (r *Relay) Stream(ctx context.Context, w http.ResponseWriter, c *Call) error {
	s := &streamState{replayable: c.Chat.single}
	out := newEventWriter(w)
	defer out.release()
	err := r.runStream(ctx, out, c, s)
	if err == nil || !s.started {
		return err
	}
	if !errors.Is(err, errCallerGone) {
		out.fail(errkind.From(err))
	}
	return err
}

func (r *Relay) runStream(ctx context.Context, out *eventWriter, c *Call, s *streamState) error {
	var avoid []string
	if c.Resume != nil {
		err := r.resumeForCaller(ctx, out, c, s)
		if !errors.Is(err, errBroken) {
			return err
		}
		avoid = append(avoid, s.engine)
	}
	var last error
	for {
		route, err := r.openRoute(c, avoid, last != nil || c.Resume != nil)
		if err != nil {
			return firstOf(last, err)
		}
		transfer := s.noTransfer
		err = r.streamOn(ctx, out, c, s, route)
		if err == nil || !errors.Is(err, errBroken) {
			return err
		}
		last = lostError(err)
		if transfer == s.noTransfer {
			avoid = append(avoid, route.Name)
		}
		if err := r.prepareNext(c, s, err); err != nil {
			return err
		}
	}
}

func (r *Relay) openRoute(c *Call, avoid []string, again bool) (Route, error) {
	role := target.RoleBoth
	if r.router.Split(c.Service) {
		role = target.RoleDecode
	}
	return r.router.Route(Need{
		Service: c.Service, Role: role, Prefix: c.Chat.Prefix, PromptTokens: c.Chat.PromptTokens,
		Avoid: avoid, Retry: again,
	})
}

func lostError(err error) error {
	if e := (*errkind.Error)(nil); errors.As(err, &e) {
		return e
	}
	return errkind.Wrap(errkind.StreamLost, err, "the engine was lost and the stream could not go on")
}

// prepareNext readies the state for another engine, or says why there can be
// none. A stream that has begun is carried on even past the deadline, as it
// is in the caller's hands; only the budget bounds it then.
func (r *Relay) prepareNext(c *Call, s *streamState, cause error) error {
	if !s.started {
		if !c.mayRetry(time.Now()) {
			return lostError(cause)
		}
		return nil
	}
	if !c.Budget.Retry() {
		return lostError(cause)
	}
	switch {
	case s.replayable:
		s.base, s.event = s.events(), 0
	case c.Chat.deterministic:
		s.skip, s.base, s.event = s.events(), 0, 0
	default:
		return lostError(cause)
	}
	s.stream = ""
	s.moved = true
	return nil
}

// resumeForCaller goes on where a caller that came back with an event id left
// off: on the stream's own engine, or, for an answer that is the same when run
// again, anew with the known events skipped.
func (r *Relay) resumeForCaller(ctx context.Context, out *eventWriter, c *Call, s *streamState) error {
	s.engine, s.stream = c.Resume.Engine, c.Resume.Stream
	s.event, s.base = c.Resume.Event, c.Resume.Base
	s.replayable = false
	if address, ok := r.router.Find(s.engine); ok {
		route := Route{Name: s.engine, Address: address, Done: func(Outcome) {}}
		err := r.resumeOn(ctx, out, c, s, route)
		if err == nil || !errors.Is(err, errBroken) {
			return err
		}
	}
	if !c.Chat.deterministic {
		return errkind.New(errkind.StreamLost, "engine %s no longer has the stream, and an answer without a seed or with a temperature cannot be run again to the same words", s.engine)
	}
	s.skip, s.base, s.event, s.stream = s.events(), 0, 0, ""
	return errBroken
}

// streamOn starts or continues the stream on one engine, and resumes it there
// as long as that brings events.
func (r *Relay) streamOn(ctx context.Context, out *eventWriter, c *Call, s *streamState, route Route) error {
	body, err := r.bodyFor(ctx, c, s)
	if err != nil {
		route.Done(OutcomeAbandoned)
		return err
	}
	if body == nil {
		route.Done(OutcomeAbandoned)
		return out.finishLength(s)
	}
	s.engine = route.Name
	err = r.attempt(ctx, out, c, s, route, body, "")
	if errors.Is(err, errBroken) && s.stream != "" && !errors.Is(err, errSilent) {
		err = r.resumeOn(ctx, out, c, s, route)
	}
	route.Done(streamOutcome(err))
	return err
}

func streamOutcome(err error) Outcome {
	var e *errkind.Error
	switch {
	case err == nil:
		return OutcomeOK
	case errors.Is(err, errCallerGone):
		return OutcomeAbandoned
	case errors.As(err, &e) && e.Answer().Outcome == errkind.NotRun && !NeverSent(err):
		return OutcomeRefused
	}
	return OutcomeFailed
}

// bodyFor returns the body for the next engine; nil when the caller already
// holds every token and only the end is missing.
func (r *Relay) bodyFor(ctx context.Context, c *Call, s *streamState) ([]byte, error) {
	if s.started && s.replayable && s.base > 0 {
		if c.Chat.MaxTokens > 0 && s.base >= c.Chat.MaxTokens {
			return nil, nil
		}
		return c.Chat.continueBody(s.text, s.base)
	}
	if s.noTransfer || !r.router.Split(c.Service) {
		return c.Chat.body, nil
	}
	kv, err := r.prefill(ctx, c)
	if err != nil {
		r.log.Warn(telemetry.EventTransferFallback, telemetry.F("request", c.ID), telemetry.F("cause", err))
		return c.Chat.body, nil
	}
	return c.Chat.decodeBody(kv)
}

// resumeOn asks the stream's engine for the events after the last, once for
// each break that brought events since.
func (r *Relay) resumeOn(ctx context.Context, out *eventWriter, c *Call, s *streamState, route Route) error {
	for {
		before := s.event
		lastEvent := s.stream + ":" + strconv.Itoa(s.event)
		err := r.attempt(ctx, out, c, s, route, c.Chat.body, lastEvent)
		if !errors.Is(err, errBroken) || errors.Is(err, errSilent) || s.event == before {
			return err
		}
		r.log.Info(telemetry.EventStreamResumed, telemetry.F("request", c.ID), telemetry.F("engine", s.engine))
	}
}

// attempt opens one connection to an engine and relays its events.
func (r *Relay) attempt(ctx context.Context, out *eventWriter, c *Call, s *streamState, route Route, body []byte, lastEvent string) error {
	try, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := watchIdle(r.idleLimit(c, s), r.cfg.IdleTimeout, cancel)
	defer idle.stop()
	resp, err := r.post(try, c, route.Address, body, lastEvent)
	switch {
	case err != nil && ctx.Err() != nil:
		return callerGone()
	case err != nil && try.Err() != nil:
		return broken(errSilent)
	case err != nil:
		return broken(dialError(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r.refused(out, s, resp, lastEvent != "")
	}
	err = r.copyEvents(out, s, resp.Body, idle)
	if err != nil && ctx.Err() == nil && try.Err() != nil {
		return broken(errSilent)
	}
	if err == nil || (ctx.Err() == nil && !out.gone()) {
		return err
	}
	if s.stream != "" {
		r.cancelStream(route.Address, s.stream)
	}
	return callerGone()
}

func callerGone() error {
	return errkind.Wrap(errkind.ClientGone, errCallerGone, "the caller went away")
}

// idleLimit bounds the wait for the next event. The first may take as long as
// the deadline allows.
func (r *Relay) idleLimit(c *Call, s *streamState) time.Duration {
	if s.started {
		return r.cfg.IdleTimeout
	}
	return max(time.Until(c.Deadline), r.cfg.IdleTimeout)
}

// brokenError marks an error as one after which the stream may go on.
type brokenError struct{ err error }

func broken(err error) error { return &brokenError{err: err} }

func (b *brokenError) Error() string        { return b.err.Error() }
func (b *brokenError) Unwrap() error        { return b.err }
func (b *brokenError) Is(target error) bool { return target == errBroken }

// refused sorts an engine's answer that is no stream.
func (r *Relay) refused(out *eventWriter, s *streamState, resp *http.Response, resuming bool) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.cfg.MaxAnswerBytes))
	if err != nil {
		return broken(errkind.Wrap(errkind.TargetLost, err, "the engine broke off its answer"))
	}
	code := ErrorCode(body)
	switch {
	case resuming && resp.StatusCode == http.StatusNotFound:
		return broken(errUnknownStream)
	case target.VouchesNotRun(code):
		s.noTransfer = s.noTransfer || code == target.CodeTransferFailed
		e := errkind.New(errkind.TargetFailed, "the engine refused: %s", code)
		e.Outcome = errkind.NotRun
		return broken(e)
	case resp.StatusCode >= http.StatusInternalServerError:
		return broken(errkind.New(errkind.TargetFailed, "the engine answered %d", resp.StatusCode))
	case s.started:
		return errkind.New(errkind.StreamLost, "the engine answered %d", resp.StatusCode)
	}
	// The request is at fault: the engine's own words go to the caller.
	return answer{status: resp.StatusCode, header: resp.Header, body: body}.writeTo(out.w)
}

// copyEvents relays events until the end of the stream.
func (r *Relay) copyEvents(out *eventWriter, s *streamState, body io.Reader, idle *idleWatch) error {
	in := newEventReader(body)
	defer in.release()
	for {
		for ev, ok := in.take(); ok; ev, ok = in.take() {
			if ev.done {
				return out.done(s)
			}
			if err := out.relay(s, ev); err != nil {
				return err
			}
		}
		// All that has arrived is passed on before more is waited for.
		if err := out.flush(); err != nil {
			return err
		}
		if err := in.fill(); err != nil {
			return broken(errors.Wrap(err, "read stream"))
		}
		idle.progress()
	}
}
