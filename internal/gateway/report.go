package gateway

import (
	"strconv"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// note adds a send to the request's log line.
func (x *exchange) note(t *fleet.Target, what string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.trail.Len() > 0 {
		x.trail.WriteByte(' ')
	}
	x.trail.WriteString(t.ID)
	x.trail.WriteByte('=')
	x.trail.WriteString(what)
	x.trail.WriteByte('@')
	x.trail.WriteString(strconv.FormatInt(clock.Since(x.arrived).Milliseconds(), 10))
	if err != nil {
		x.trail.WriteByte('(')
		x.trail.WriteString(err.Error())
		x.trail.WriteByte(')')
	}
}

// report logs and counts the request once.
func (x *exchange) report(err error) {
	took := clock.Since(x.arrived)
	fields := append(x.fields(), telemetry.F("ms", took.Milliseconds()))
	if err == nil {
		x.g.stats.Request(x.status, "", took)
		x.countSize(telemetry.EventRequestServed)
		x.g.log.Info(telemetry.EventRequestServed, fields...)
		return
	}
	e := errkind.From(err)
	x.g.stats.Request(x.status, e.Kind, took)
	event := telemetry.EventRequestFailed
	if e.Answer().Outcome == errkind.NotRun {
		event = telemetry.EventRequestRefused
	}
	x.countSize(event)
	x.g.log.Warn(event, append(fields, telemetry.F("kind", e.Kind), telemetry.F("cause", e.Error()))...)
}

// countSize counts a generation by its size.
func (x *exchange) countSize(event telemetry.Event) {
	if x.meta.Prompt != nil && x.route != nil {
		x.g.stats.Generation(x.route.Name, x.size(), event)
	}
}

// fields returns what the log line tells of the request and of the beliefs that
// it was decided on.
func (x *exchange) fields() []telemetry.Field {
	fields := []telemetry.Field{
		telemetry.F("request", x.meta.ID), telemetry.F("status", x.status), telemetry.F("sends", x.trail.String()),
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
	if p := x.meta.Prompt; p != nil {
		fields = append(fields, telemetry.F("prompt", p.Tokens), telemetry.F("output", p.Output), telemetry.F("max_output", p.MaxOutput))
	}
	if b := x.bands; b != nil {
		fields = append(fields, telemetry.F("prompt_size", b.Prompt), telemetry.F("answer_size", b.Answer))
	}
	if a := x.admission; a != nil {
		fields = append(fields, a.fields()...)
	}
	if s := &x.sends; s.drawn > 0 || s.arrivals > 1 || s.reads > 1 {
		fields = append(fields, telemetry.F("arrivals", s.arrivals), telemetry.F("reads", s.reads), telemetry.F("drawn", s.drawn))
	}
	if x.brokenOff {
		fields = append(fields, telemetry.F("print", x.request.Print()))
	}
	if x.stop != nil {
		fields = append(fields, telemetry.F("stop_ms", x.stop.left.Milliseconds()), telemetry.F("needed_ms", x.stop.needed.Milliseconds()))
	}
	if x.lastEvent != "" {
		fields = append(fields, telemetry.F("last_event", x.lastEvent))
	}
	if !x.first.IsZero() {
		fields = append(fields, telemetry.F("first_ms", x.first.Sub(x.arrived).Milliseconds()))
	}
	if x.deferredFor > 0 {
		fields = append(fields, telemetry.F("deferred_ms", x.deferredFor.Milliseconds()))
	}
	if s := x.seat; s != nil {
		fields = append(fields, telemetry.F("beside", s.Beside), telemetry.F("longest_ms", s.Longest.Milliseconds()))
	}
	if x.eventPause > 0 {
		fields = append(fields, telemetry.F("event_us", x.eventPause.Microseconds()))
	}
	if x.longestGap > 0 {
		fields = append(fields, telemetry.F("gap_ms", x.longestGap.Milliseconds()))
	}
	if late := x.late(); late != "" {
		fields = append(fields, telemetry.F("late", late))
	}
	return fields
}

// late says why the answer that has been given so far is not on time: its first byte
// came after the route's objective, or a pause between its events was too long. It
// is empty for one that is on time or has not begun.
func (x *exchange) late() string {
	if x.route == nil || x.first.IsZero() {
		return ""
	}
	waited := x.g.waits.waited(x.route.Name, x.meta.Timeout) + x.first.Sub(x.arrived)
	switch {
	case x.route.Objective > 0 && waited > x.route.Objective:
		return "first"
	case x.route.MaxGap > 0 && x.longestGap > x.route.MaxGap:
		return "pause"
	}
	return ""
}
