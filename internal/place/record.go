package place

import (
	"math"
	"time"
)

const (
	// recordMemory is how fast sends and failures of all VMs are forgotten: a
	// target that recovers is tried again within some seconds.
	recordMemory = 4 * time.Second
	// recordPrior is the sends that a target is taken to have passed before any
	// is known, so that one failure alone says little.
	recordPrior = 4
)

// fading is what is left after dt of something that is forgotten over a memory.
func fading(dt, memory time.Duration) float64 {
	return math.Exp(-float64(dt) / float64(memory))
}

// record counts the sends to a target and its failures, of all VMs, of late.
type record struct {
	sent   float64
	failed float64
	at     time.Time
}

// fade brings the counts to now.
func (r *record) fade(now time.Time) {
	if dt := now.Sub(r.at); dt > 0 {
		keep := fading(dt, recordMemory)
		r.sent *= keep
		r.failed *= keep
		r.at = now
	}
}

func (r *record) send(now time.Time) {
	r.fade(now)
	r.sent++
}

func (r *record) fail(now time.Time) {
	r.fade(now)
	r.failed++
}

// succeed takes in that a request to the target has succeeded: older failures
// count less.
func (r *record) succeed() { r.failed -= failureWeight * r.failed }

// share is the part of the sends that failed.
func (r *record) share(now time.Time) float64 {
	r.fade(now)
	return min(r.failed/(r.sent+recordPrior), 1)
}

const (
	// failurePrice is the price of a target all of whose answers fail.
	failurePrice = time.Second
	// refusalPrice is the price of a target that refuses all requests: less than
	// that of one that fails, as a refused request has lost little.
	refusalPrice = 300 * time.Millisecond
)

// maxUnsound bounds the share of failed and refused requests that is reckoned with, so
// that a target is tried again.
const maxUnsound = 0.9

// tries is how many requests it takes for one to be served: what a target has cached is
// worth nothing where it fails.
func (s *state) tries(now time.Time) float64 {
	share := max(s.failures, s.record.share(now), s.refusing(now))
	return 1 / (1 - min(share, maxUnsound))
}

// unsound is the price of a target that fails, refuses or cannot be reached.
func (p *Placer) unsound(s *state, now time.Time) time.Duration {
	failing := max(s.failures, s.record.share(now))
	price := time.Duration(failing*float64(failurePrice) + s.refusing(now)*float64(refusalPrice))
	if !s.reachable(now) {
		price += failurePrice
	}
	return price
}
