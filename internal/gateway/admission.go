package gateway

import (
	"strconv"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// admission is the last admission decision for a generation request, and the choice of target on
// which the decision is based.
type admission struct {
	decision place.Decision
	choice   place.Choice
	// favor and ahead are the inputs of the decision with the same names.
	favor float64
	ahead time.Duration
	// callerRetry says that the caller has sent this request before and was refused.
	callerRetry bool
}

// recordAdmission stores and counts the admission decision when the request is first sent to a
// target or is refused. Later attempts are not counted.
func (x *exchange) recordAdmission(d place.Decision, c place.Choice) {
	if x.attempts.arrivals > 0 {
		return
	}
	again := x.g.callerWaits.sinceFirstTry(x.route.Name, x.meta.Timeout) > 0
	x.admission = &admission{decision: d, choice: c, favor: x.favor, ahead: x.aheadWait, callerRetry: again}
	// A request whose first target could not be reached is decided on again.
	if !x.countedAdmitted && d.Reason != place.TooLongToPrefill {
		x.countedAdmitted = d.Verdict == place.Send
		x.g.sizes.Count(x.route.Name, x.size(), !again, x.countedAdmitted, clock.Now())
	}
	x.g.stats.Admission(x.route.Name, x.size(), x.admission, x.deferredFor > 0)
}

// recordOutcome counts how an admitted request ended.
func (x *exchange) recordOutcome(served bool) {
	if x.countedAdmitted {
		x.g.sizes.End(x.route.Name, x.size(), !x.admission.callerRetry, served, clock.Now())
	}
}

// size returns the size classes of the request's prompt and expected answer, relative to the latest
// requests of its route.
func (x *exchange) size() fair.Size {
	if x.sizeClass == nil {
		b := x.g.sizes.Classify(x.route.Name, x.meta.Prompt.Tokens, x.meta.Prompt.Output)
		x.sizeClass = &b
	}
	return *x.sizeClass
}

// logFields returns the admission decision as log fields.
func (a *admission) logFields() []telemetry.Field {
	fields := []telemetry.Field{
		telemetry.F("wait_ms", a.choice.Wait().Milliseconds()),
		telemetry.F("own_ms", a.choice.OwnPrefill.Milliseconds()),
		telemetry.F("seat_ms", a.choice.SeatWait.Milliseconds()),
	}
	if a.favor != 0 {
		fields = append(fields, telemetry.F("favor", strconv.FormatFloat(a.favor, 'f', 2, 64)))
	}
	if a.ahead > 0 {
		fields = append(fields, telemetry.F("ahead_ms", a.ahead.Milliseconds()))
	}
	if a.decision.Reason != "" {
		fields = append(fields, telemetry.F("reason", a.decision.Reason))
	}
	if a.callerRetry {
		fields = append(fields, telemetry.F("again", true))
	}
	return fields
}

// verdictName returns the name of v in logs and metrics.
func verdictName(v place.Verdict) string {
	switch v {
	case place.Send:
		return "sent"
	case place.Refuse:
		return "refused"
	}
	return "deferred"
}
