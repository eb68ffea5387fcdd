package gateway

import (
	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// admission is how a generation's last admission was decided.
type admission struct {
	ruling place.Ruling
	choice place.Choice
	// again says that its caller was refused before.
	again bool
}

// ruled keeps and counts an admission once the request is sent for the first time, or refused.
func (x *exchange) ruled(r place.Ruling, c place.Choice) {
	if x.sends.arrivals > 0 {
		return
	}
	again := x.g.waits.waited(x.route.Name, x.meta.Timeout) > 0
	x.admission = &admission{ruling: r, choice: c, again: again}
	x.g.sizes.Count(x.route.Name, x.size(), !again, r.Verdict == place.Send)
	x.g.stats.Admission(x.route.Name, x.size(), x.admission, x.deferredFor > 0)
}

// size is the request's place by size among the last ones of its route.
func (x *exchange) size() fair.Size {
	if x.bands == nil {
		b := x.g.sizes.Place(x.route.Name, x.meta.Prompt.Tokens, x.meta.Prompt.Output)
		x.bands = &b
	}
	return *x.bands
}

// fields returns what the log line tells of an admission.
func (a *admission) fields() []telemetry.Field {
	fields := []telemetry.Field{
		telemetry.F("wait_ms", a.choice.Wait().Milliseconds()),
		telemetry.F("own_ms", a.choice.Own.Milliseconds()),
		telemetry.F("seat_ms", a.choice.SeatWait.Milliseconds()),
	}
	if a.ruling.Reason != "" {
		fields = append(fields, telemetry.F("reason", a.ruling.Reason))
	}
	if a.again {
		fields = append(fields, telemetry.F("again", true))
	}
	return fields
}

// verdictName is the verdict's word in logs and metrics.
func verdictName(v place.Verdict) string {
	switch v {
	case place.Send:
		return "sent"
	case place.Refuse:
		return "refused"
	}
	return "deferred"
}
