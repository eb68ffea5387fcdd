package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/place"
)

// The log line of a request states how long the request would wait for other work, how long its
// prefill would take, how long it would wait for a place in a decode batch, the reason for the
// verdict, and whether the caller was refused before.
func TestAdmissionLogFields(t *testing.T) {
	is := is.New(t)
	a := &admission{
		decision: place.Decision{Verdict: place.Refuse, Reason: place.NoSeat},
		choice:   place.Choice{Expected: 90 * time.Millisecond, OwnPrefill: 20 * time.Millisecond, SeatWait: 60 * time.Millisecond},
		favor:    0.25, ahead: 40 * time.Millisecond, callerRetry: true,
	}
	line := map[string]any{}
	for _, f := range a.logFields() {
		line[f.Key] = f.Value
	}
	is.Equal(line["wait_ms"], int64(70))
	is.Equal(line["own_ms"], int64(20))
	is.Equal(line["seat_ms"], int64(60))
	is.Equal(line["reason"], place.NoSeat)
	is.Equal(line["favor"], "0.25")
	is.Equal(line["ahead_ms"], int64(40))
	is.Equal(line["again"], true)
	is.Equal(verdictName(a.decision.Verdict), "refused")
}
