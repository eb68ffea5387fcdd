package gateway

import (
	"strconv"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/quarantine"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// addTrace appends a step of an attempt to the trace that is logged with the request: the id of the
// target, the step, the milliseconds since the request arrived, and err unless it is nil.
func (x *exchange) addTrace(t *fleet.Target, step string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.trace.Len() > 0 {
		x.trace.WriteByte(' ')
	}
	x.trace.WriteString(t.ID)
	x.trace.WriteByte('=')
	x.trace.WriteString(step)
	x.trace.WriteByte('@')
	x.trace.WriteString(strconv.FormatInt(clock.Since(x.arrived).Milliseconds(), 10))
	if err != nil {
		x.trace.WriteByte('(')
		x.trace.WriteString(err.Error())
		x.trace.WriteByte(')')
	}
}

// noteBody counts the body of an answer. err is nil if it was complete.
func (x *exchange) noteBody(resp *httpsend.Response, err error) {
	x.g.stats.Body(resp.Framing, err == nil)
	x.endsWithConn.Store(resp.Framing == httpsend.FramedByConn)
}

// report logs the request and counts it. It is called once, after the response; err is the error
// that the request ended with.
func (x *exchange) report(err error) {
	x.recordOutcome(err == nil)
	took := clock.Since(x.arrived)
	fields := append(x.logFields(), telemetry.F("ms", took.Milliseconds()))
	if err == nil {
		x.g.stats.Request(x.status, "", took)
		x.countGeneration(telemetry.EventRequestServed)
		x.g.log.Info(telemetry.EventRequestServed, fields...)
		return
	}
	e := errkind.From(err)
	x.g.stats.Request(x.status, e.Kind, took)
	event := telemetry.EventRequestFailed
	if e.Response().Outcome == errkind.NotRun {
		event = telemetry.EventRequestRefused
	}
	x.countGeneration(event)
	x.g.log.Warn(event, append(fields, telemetry.F("kind", e.Kind), telemetry.F("cause", e.Error()))...)
}

// countGeneration counts a generation request by size and outcome.
func (x *exchange) countGeneration(event telemetry.Event) {
	if x.meta.Prompt != nil && x.route != nil {
		x.g.stats.Generation(x.route.Name, x.size(), event)
	}
}

// logFields returns the log fields that describe the request and the state on which its handling
// was decided.
func (x *exchange) logFields() []telemetry.Field {
	fields := []telemetry.Field{
		telemetry.F("request", x.meta.ID), telemetry.F("status", x.status), telemetry.F("sends", x.trace.String()),
	}
	if x.view.Config != nil {
		fields = append(fields, telemetry.F("config", x.view.Config.Version), telemetry.F("targets", x.view.TargetsRevision))
	}
	if x.route != nil {
		fields = append(fields, telemetry.F("route", x.route.Name), telemetry.F("service", x.service))
	}
	if name := x.accountName(); name != "" {
		fields = append(fields, telemetry.F("account", name))
	}
	if u := x.allowance; u != nil {
		fields = append(fields, u.logFields()...)
	}
	if p := x.meta.Prompt; p != nil {
		fields = append(fields, telemetry.F("prompt", p.Tokens), telemetry.F("output", p.Output), telemetry.F("max_output", p.MaxOutput),
			telemetry.F("parts", quarantine.FormatParts(x.quarantineReq.Parts)))
	}
	if size := x.sizeClass; size != nil {
		fields = append(fields, telemetry.F("prompt_size", size.Prompt), telemetry.F("answer_size", size.Answer))
	}
	if a := x.admission; a != nil {
		fields = append(fields, a.logFields()...)
	}
	if s := &x.attempts; s.retriesUsed > 0 || s.arrivals > 1 || s.prefills > 1 {
		fields = append(fields, telemetry.F("arrivals", s.arrivals), telemetry.F("reads", s.prefills), telemetry.F("drawn", s.retriesUsed))
	}
	if n := x.limitedSends.Load(); n > 0 {
		fields = append(fields, telemetry.F("limited_sends", n))
	}
	if x.targetClosed {
		fields = append(fields, telemetry.F("print", x.quarantineReq.Fingerprint()))
	}
	if x.lastStopCheck != nil {
		fields = append(fields, telemetry.F("stop_ms", x.lastStopCheck.remaining.Milliseconds()), telemetry.F("needed_ms", x.lastStopCheck.needed.Milliseconds()))
	}
	if x.version != "" {
		fields = append(fields, telemetry.F("version", x.version))
	}
	if x.meta.LastEventID != "" {
		fields = append(fields, telemetry.F("resumes", x.meta.Resumes), telemetry.F("resumes_after", x.meta.LastEventID), telemetry.F("origin", x.originSource))
	}
	if x.lastEventID != "" {
		fields = append(fields, telemetry.F("last_event", x.lastEventID))
	}
	if x.endsWithConn.Load() {
		fields = append(fields, telemetry.F("framing", httpsend.FramedByConn))
	}
	if x.trailingBytes > 0 {
		fields = append(fields, telemetry.F("trailing_bytes", x.trailingBytes))
	}
	if !x.firstByteAt.IsZero() {
		fields = append(fields, telemetry.F("first_ms", x.firstByteAt.Sub(x.arrived).Milliseconds()))
	}
	if x.deferredFor > 0 {
		fields = append(fields, telemetry.F("deferred_ms", x.deferredFor.Milliseconds()))
	}
	if s := x.seat; s != nil {
		fields = append(fields, telemetry.F("beside", s.Running), telemetry.F("longest_ms", s.LongestAnswer.Milliseconds()),
			telemetry.F("event_tokens", strconv.FormatFloat(s.EventTokens, 'f', 1, 64)), telemetry.F("step_samples", s.StepSamples))
	}
	if x.eventInterval > 0 {
		fields = append(fields, telemetry.F("event_us", x.eventInterval.Microseconds()))
	}
	if x.longestGap > 0 {
		fields = append(fields, telemetry.F("gap_ms", x.longestGap.Milliseconds()))
	}
	if late := x.lateReason(); late != "" {
		fields = append(fields, telemetry.F("late", late))
	}
	return fields
}

// lateReason returns why the answer is late: "first" if its first byte came after the route's
// objective, "pause" if the time between two events was too long. It returns "" if the answer is
// not late or has not begun.
func (x *exchange) lateReason() string {
	if x.route == nil || x.firstByteAt.IsZero() {
		return ""
	}
	waited := x.g.callerWaits.sinceFirstTry(x.route.Name, x.meta.Timeout) + x.firstByteAt.Sub(x.arrived)
	switch {
	case x.route.Objective > 0 && waited > x.route.Objective:
		return "first"
	case x.route.MaxGap > 0 && x.longestGap > x.route.MaxGap:
		return "pause"
	}
	return ""
}
