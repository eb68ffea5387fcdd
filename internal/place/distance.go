package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// roundTripWeight is the weight of a round trip time that is longer than the known one. Most longer
// times are due to queues, so that the estimate stays close to the shortest recent time.
const roundTripWeight = 0.02

// ObserveRoundTrip records how long it took to open a connection to a target of a data centre, which
// takes one round trip.
func (p *Placer) ObserveRoundTrip(dataCentre string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.roundTrips[dataCentre]
	if ok && took > known {
		took = known + time.Duration(roundTripWeight*float64(took-known))
	}
	p.roundTrips[dataCentre] = took
}

// distance returns by how much the round trip to the targets of a data centre is longer than that to
// targets of this VM's data centre, as far as both are known. The caller holds p.mu.
func (p *Placer) distance(dataCentre string) time.Duration {
	return max(p.roundTrips[dataCentre]-p.roundTrips[p.cfg.DataCentre], 0)
}

// remotePenalty returns the extra cost of a target in another data centre: its distance, but no less
// than the configured penalty. The caller holds p.mu.
//
// Load pattern: data centres of one region are a millisecond apart, those of different regions tens
// of milliseconds. With one penalty for all, requests go to another region as soon as an engine is
// busy, and are late.
func (p *Placer) remotePenalty(t *fleet.Target) time.Duration {
	if t.DataCentre == p.cfg.DataCentre {
		return 0
	}
	return max(p.cfg.RemotePenalty, p.distance(t.DataCentre))
}
