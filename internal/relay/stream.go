package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// maxReplayBytes bounds the generated text that is kept so that another engine can continue it
// when the stream's engine is lost. A longer response can only be resumed on its own engine or, if
// it is deterministic, generated again.
const maxReplayBytes = 256 << 10

// streamState is the progress of a caller's stream across the engines that serve it.
type streamState struct {
	// engine, stream and lastEvent identify the last event received: the engine's name, its
	// name for the stream, and its number of the event, from 1. stream and lastEvent are zero
	// until an engine's first event.
	engine    string
	stream    string
	lastEvent int
	// base is the number of events relayed from earlier engines.
	base int
	// text is the generated text relayed so far, as the content of a JSON string. It is kept
	// while replayable is set.
	text []byte
	// replayable is set while another engine can continue the stream from text.
	replayable bool
	// contentOffset is the offset of the content field in the last chunk that had one.
	contentOffset int
	// skip is how many of the engine's next events the caller has already received.
	skip int
	// chunkID is the completion id in the first chunk relayed.
	chunkID []byte
	// started is set once the response header has been written to the caller.
	started bool
	// kvImportFailed is set once an engine could not import the KV cache. A single engine then
	// does both prefill and decode.
	kvImportFailed bool
	// restarted is set once a new generation has taken over the stream.
	restarted bool
}

// position returns how far the stream has come: the number of events relayed from earlier
// engines plus those received from the current one. The caller has more than that while events
// are being skipped.
func (s *streamState) position() int { return s.base + s.lastEvent }

// errRecoverable matches every failure after which the stream may continue, on the same engine
// or another. See recoverable.
var errRecoverable = errors.New("relay: stream interrupted")

// errEngineIdle: the engine sent no event for too long. The stream is not resumed on it, as
// the caller would have to wait the same time again.
var errEngineIdle = errors.New("relay: no event from the engine within the idle timeout")

// errUnknownStream: the engine no longer has the stream.
var errUnknownStream = errors.New("relay: engine does not know the stream")

// errCallerGone: writing to the caller failed.
var errCallerGone = errors.New("relay: caller closed the connection")

// ServeStream serves a streaming request. A failure before the first event is returned and nothing
// has been written to w. Once the first event has been written, a failure is also reported in
// the stream, and an incomplete stream never ends with the [DONE] event.
func (r *Relay) ServeStream(ctx context.Context, w http.ResponseWriter, c *Call) error {
	s := &streamState{replayable: c.Chat.singleChoice}
	out := newEventWriter(w)
	defer out.release()
	err := r.runStream(ctx, out, c, s)
	if err == nil || !s.started {
		return err
	}
	if !errors.Is(err, errCallerGone) {
		out.writeError(errkind.From(err))
	}
	return err
}

// runStream relays the stream from one engine after another until it is complete or cannot be
// continued.
func (r *Relay) runStream(ctx context.Context, out *eventWriter, c *Call, s *streamState) error {
	var avoid []string
	if c.Resume != nil {
		err := r.resumeFromEventID(ctx, out, c, s)
		if !errors.Is(err, errRecoverable) {
			return err
		}
		avoid = append(avoid, s.engine)
	}
	var targetErr error
	for {
		route, err := r.chooseRoute(c, avoid, targetErr != nil || c.Resume != nil)
		if err != nil {
			return preferTargetError(targetErr, err)
		}
		importFailedBefore := s.kvImportFailed
		err = r.streamFromEngine(ctx, out, c, s, route)
		if err == nil || !errors.Is(err, errRecoverable) {
			return err
		}
		targetErr = streamLostError(err)
		if importFailedBefore == s.kvImportFailed {
			avoid = append(avoid, route.Name)
		}
		if err := r.prepareFailover(c, s, err); err != nil {
			return err
		}
	}
}

// chooseRoute chooses the engine that decodes the stream, other than those in avoid. retry
// marks a further attempt of the request.
func (r *Relay) chooseRoute(c *Call, avoid []string, retry bool) (Route, error) {
	role := target.RoleBoth
	if r.router.HasSeparatePrefill(c.Service) {
		role = target.RoleDecode
	}
	return r.router.Route(RouteRequest{
		Service: c.Service, Role: role, Prefix: c.Chat.Prefix, PromptTokens: c.Chat.PromptTokens,
		Exclude: avoid, Retry: retry,
	})
}

// streamLostError returns the *errkind.Error in err's chain, or else wraps err as StreamLost.
func streamLostError(err error) error {
	if e := (*errkind.Error)(nil); errors.As(err, &e) {
		return e
	}
	return errkind.Wrap(errkind.StreamLost, err, "the engine was lost and the stream could not be continued")
}

// prepareFailover prepares the state for another engine after the failure cause, or returns an
// error if there must be no further attempt. A stream that has begun continues even past the
// deadline, as the caller is already receiving it; then only the retry budget limits the
// attempts.
func (r *Relay) prepareFailover(c *Call, s *streamState, cause error) error {
	if !s.started {
		if !c.takeRetry(time.Now()) {
			return streamLostError(cause)
		}
		return nil
	}
	if !c.Budget.Retry() {
		return streamLostError(cause)
	}
	switch {
	case s.replayable:
		s.base, s.lastEvent = s.position(), 0
	case c.Chat.deterministic:
		s.skip, s.base, s.lastEvent = s.position(), 0, 0
	default:
		return streamLostError(cause)
	}
	s.stream = ""
	s.restarted = true
	return nil
}

// resumeFromEventID continues a stream after the event that the caller names, on the engine
// that holds it. If that fails and the response is deterministic, it returns errRecoverable,
// with the state prepared to generate the response again and skip the events that the caller
// has.
func (r *Relay) resumeFromEventID(ctx context.Context, out *eventWriter, c *Call, s *streamState) error {
	s.engine, s.stream = c.Resume.Engine, c.Resume.Stream
	s.lastEvent, s.base = c.Resume.Event, c.Resume.Base
	s.replayable = false
	if address, ok := r.router.Find(s.engine); ok {
		route := Route{Name: s.engine, Address: address, Done: func(Outcome) {}}
		err := r.resumeOnEngine(ctx, out, c, s, route)
		if err == nil || !errors.Is(err, errRecoverable) {
			return err
		}
	}
	if !c.Chat.deterministic {
		return errkind.New(errkind.StreamLost, "engine %s no longer has the stream, and without a seed or a temperature of 0 the response cannot be reproduced", s.engine)
	}
	s.skip, s.base, s.lastEvent, s.stream = s.position(), 0, 0, ""
	return errRecoverable
}

// streamFromEngine starts or continues the stream on the engine of route, and resumes it there
// for as long as each attempt brings events. It reports the outcome to the route.
func (r *Relay) streamFromEngine(ctx context.Context, out *eventWriter, c *Call, s *streamState, route Route) error {
	body, err := r.requestBody(ctx, c, s)
	if err != nil {
		route.Done(OutcomeAbandoned)
		return err
	}
	if body == nil {
		route.Done(OutcomeAbandoned)
		return out.finishWithLength(s)
	}
	s.engine = route.Name
	err = r.attempt(ctx, out, c, s, route, body, "")
	if errors.Is(err, errRecoverable) && s.stream != "" && !errors.Is(err, errEngineIdle) {
		err = r.resumeOnEngine(ctx, out, c, s, route)
	}
	route.Done(streamOutcome(err))
	return err
}

// streamOutcome returns the outcome for the engine of a stream that ended with err.
func streamOutcome(err error) Outcome {
	var e *errkind.Error
	switch {
	case err == nil:
		return OutcomeOK
	case errors.Is(err, errCallerGone):
		return OutcomeAbandoned
	case errors.As(err, &e) && e.Response().Outcome == errkind.NotRun && !NeverSent(err):
		return OutcomeRefused
	}
	return OutcomeFailed
}

// requestBody returns the body of the request to the next engine. It first runs the prefill if
// that takes a separate engine; if the prefill fails, the next engine does it. The body is nil
// if the caller already has max_tokens tokens and only the end of the stream is missing.
func (r *Relay) requestBody(ctx context.Context, c *Call, s *streamState) ([]byte, error) {
	if s.started && s.replayable && s.base > 0 {
		if c.Chat.MaxTokens > 0 && s.base >= c.Chat.MaxTokens {
			return nil, nil
		}
		return c.Chat.continueBody(s.text, s.base)
	}
	if s.kvImportFailed || !r.router.HasSeparatePrefill(c.Service) {
		return c.Chat.body, nil
	}
	kv, err := r.prefill(ctx, c)
	if err != nil {
		r.log.Warn(telemetry.EventTransferFallback, telemetry.F("request", c.ID), telemetry.F("cause", err))
		return c.Chat.body, nil
	}
	return c.Chat.decodeBody(kv)
}

// resumeOnEngine requests the events after the last one from the stream's engine. After an
// interruption it tries again, provided that the interrupted attempt brought events and did not
// end because the engine was idle.
func (r *Relay) resumeOnEngine(ctx context.Context, out *eventWriter, c *Call, s *streamState, route Route) error {
	for {
		before := s.lastEvent
		lastEventID := s.stream + ":" + strconv.Itoa(s.lastEvent)
		err := r.attempt(ctx, out, c, s, route, c.Chat.body, lastEventID)
		if !errors.Is(err, errRecoverable) || errors.Is(err, errEngineIdle) || s.lastEvent == before {
			return err
		}
		r.log.Info(telemetry.EventStreamResumed, telemetry.F("request", c.ID), telemetry.F("engine", s.engine))
	}
}

// attempt sends one request to the engine of route and relays its events until the stream ends
// or is interrupted. lastEventID is the engine's id of the event after which to resume, or "".
// If the caller closes its connection after the first event, the stream is cancelled on the
// engine.
func (r *Relay) attempt(ctx context.Context, out *eventWriter, c *Call, s *streamState, route Route, body []byte, lastEventID string) error {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := newIdleWatch(r.firstEventLimit(c, s), r.cfg.IdleTimeout, cancel)
	defer idle.stop()
	resp, err := r.postChat(attemptCtx, c, route.Address, body, lastEventID)
	switch {
	case err != nil && ctx.Err() != nil:
		return callerGoneError()
	case err != nil && attemptCtx.Err() != nil:
		return recoverable(errEngineIdle)
	case err != nil:
		return recoverable(dialError(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r.handleErrorResponse(out, s, resp, lastEventID != "")
	}
	err = r.copyEvents(out, s, resp.Body, idle)
	if err != nil && ctx.Err() == nil && attemptCtx.Err() != nil {
		return recoverable(errEngineIdle)
	}
	if err == nil || (ctx.Err() == nil && !out.callerGone()) {
		return err
	}
	if s.stream != "" {
		r.cancelStream(route.Address, s.stream)
	}
	return callerGoneError()
}

// callerGoneError returns the error for a caller that closed its connection.
func callerGoneError() error {
	return errkind.Wrap(errkind.ClientGone, errCallerGone, "the caller closed the connection")
}

// firstEventLimit bounds an attempt's wait for its first event. The first event of the whole
// stream may take until the deadline, or IdleTimeout if that is longer.
func (r *Relay) firstEventLimit(c *Call, s *streamState) time.Duration {
	if s.started {
		return r.cfg.IdleTimeout
	}
	return max(time.Until(c.Deadline), r.cfg.IdleTimeout)
}

// recoverableError marks an error as one after which the stream may continue.
type recoverableError struct{ err error }

// recoverable wraps err so that it matches errRecoverable as well.
func recoverable(err error) error { return &recoverableError{err: err} }

func (b *recoverableError) Error() string        { return b.err.Error() }
func (b *recoverableError) Unwrap() error        { return b.err }
func (b *recoverableError) Is(target error) bool { return target == errRecoverable }

// handleErrorResponse handles an engine's response with a status other than 200. It returns a
// recoverable error if the stream may continue elsewhere, StreamLost if the stream had begun,
// and otherwise passes the response on to the caller. resuming says whether the request was to
// resume a stream.
func (r *Relay) handleErrorResponse(out *eventWriter, s *streamState, resp *http.Response, resuming bool) error {
	data, err := r.readBody(resp.Request.Context(), resp)
	if errors.Is(err, body.ErrTooLarge) {
		return r.tooLarge()
	}
	if err != nil {
		return recoverable(errkind.Wrap(errkind.TargetLost, err, "the connection to the engine was lost before the response was complete"))
	}
	code := ErrorCode(data)
	switch {
	case resuming && resp.StatusCode == http.StatusNotFound:
		return recoverable(errUnknownStream)
	case target.MeansNotRun(code):
		s.kvImportFailed = s.kvImportFailed || code == target.CodeTransferFailed
		e := errkind.New(errkind.TargetFailed, "the engine refused the request: %s", code)
		e.Outcome = errkind.NotRun
		return recoverable(e)
	case resp.StatusCode >= http.StatusInternalServerError:
		return recoverable(errkind.New(errkind.TargetFailed, "the engine responded with status %d", resp.StatusCode))
	case s.started:
		return errkind.New(errkind.StreamLost, "the engine responded with status %d", resp.StatusCode)
	}
	// The request is at fault, so the caller gets the engine's response.
	return response{status: resp.StatusCode, header: resp.Header, body: data}.writeTo(out.w)
}

// copyEvents relays the events in body until the end of the stream, and records in idle that
// the engine makes progress.
func (r *Relay) copyEvents(out *eventWriter, s *streamState, body io.Reader, idle *idleWatch) error {
	in := newEventReader(body)
	defer in.release()
	for {
		for ev, ok := in.nextBuffered(); ok; ev, ok = in.nextBuffered() {
			if ev.done {
				return out.finish(s)
			}
			if err := out.writeEvent(s, ev); err != nil {
				return err
			}
		}
		// Everything received is sent on before the next read, which may block.
		if err := out.flush(); err != nil {
			return err
		}
		if err := in.fill(); err != nil {
			return recoverable(errors.Wrap(err, "read stream"))
		}
		idle.recordProgress()
	}
}
