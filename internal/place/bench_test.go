package place_test

import (
	"fmt"
	"testing"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// BenchmarkPrefill measures the choice of one of 104 engines for a prompt, which is repeated at
// each check of a deferred request.
func BenchmarkPrefill(b *testing.B) {
	var targets []*fleet.Target
	for i := range 104 {
		stage := fleet.Prefill
		if i%3 == 0 {
			stage = fleet.Decode
		}
		targets = append(targets, engine(fmt.Sprintf("i-%010d", i), stage))
	}
	p := newPlacer(peerWork{"i-0000000003": {Prefill: time.Millisecond, Prefills: 1}})
	now := time.Unix(1000, 0)
	q := sessionPrompt(7)
	b.ReportAllocs()
	for b.Loop() {
		c, ok := p.Prefill(targets, spec, q, nil, now)
		if !ok {
			b.Fatal("no target can be used")
		}
		c.Ticket.End(place.Neutral, now)
	}
}
