package model

import (
	"sort"
	"time"
)

// Size bands of a class: the largest tenth of its requests, the fifth below it, and the rest.
const (
	// Largest is the band of the largest tenth of the requests of a class.
	Largest = iota
	// Large is the band of the fifth of the requests below the largest tenth.
	Large
	// Rest is the band of all smaller requests.
	Rest
	// numBands is the number of size bands.
	numBands
)

// numTenths is the number of tenths of the requests of a class by size.
const numTenths = 10

const (
	// largestEnd and largeEnd are the fractions of a class's requests, sorted from the largest
	// down, at which the bands Largest and Large end.
	largestEnd = 0.1
	largeEnd   = 0.3
	// earlyRefusalShare is the fraction of the latency objective within which the first attempt
	// must be refused for an in-time retry to earn more than the late worth.
	earlyRefusalShare = 0.25
)

// Count counts a group of requests by outcome.
type Count struct {
	Offered, InTime, Late, Refused, Failed int
	// FirstRefused counts refused first attempts that were retried. Refused counts requests whose
	// final outcome is a refusal; most of them were refused twice.
	FirstRefused int
	// OfferedWorth is the worth of all requests if served in time, and Worth what they earned.
	OfferedWorth float64
	Worth        float64
}

// Settled returns the number of requests whose outcome is known.
func (c Count) Settled() int { return c.InTime + c.Late + c.Refused + c.Failed }

// Result holds the results of a day under one policy.
type Result struct {
	// Classes counts the requests of each class.
	Classes []Count
	// Sizes counts the requests of each class by size band.
	Sizes [][numBands]Count
	// Tenths counts the requests of each class by tenth of size, the largest first. Requests that no
	// engine can finish in time (see Site.CanFinish) and failures that a fault caused are left out.
	Tenths [][numTenths]Count
	// Seconds counts the requests by the second of their first attempt.
	Seconds []Count
	// Tokens counts the prompt tokens of all engines.
	Tokens TokenCounts

	site *Site
	day  *Day
}

// newResult returns a Result with all counts 0.
func newResult(s *Site, d *Day) *Result {
	return &Result{
		Classes: make([]Count, len(s.Classes)), Sizes: make([][numBands]Count, len(s.Classes)),
		Tenths:  make([][numTenths]Count, len(s.Classes)),
		Seconds: make([]Count, int(d.LengthS)+1), site: s, day: d,
	}
}

// update applies f to each count that the request belongs to.
func (r *Result) update(q *Request, f func(*Count)) {
	f(&r.Classes[q.Class])
	f(&r.Sizes[q.Class][q.band])
	if q.tenth >= 0 {
		f(&r.Tenths[q.Class][q.tenth])
	}
	f(&r.Seconds[int(q.At.Seconds())])
}

// recordOffered records a request at its first attempt.
func (r *Result) recordOffered(q *Request) {
	r.update(q, func(c *Count) { c.Offered++; c.OfferedWorth += q.Worth })
}

// recordPlain records a request to another service, which is not simulated.
func (r *Result) recordPlain(q *Request) {
	r.recordOffered(q)
	r.update(q, func(c *Count) { c.InTime++; c.Worth += q.Worth })
}

// recordRetry records the refusal of a first attempt that will be retried.
func (r *Result) recordRetry(a *Attempt) { r.update(a.Request, func(c *Count) { c.FirstRefused++ }) }

// recordRefused records a request as refused and recordFailed records it as failed, where a is the
// last attempt of the request. recordLost records a request that fails while none of its attempts
// is in progress.
func (r *Result) recordRefused(a *Attempt) { r.update(a.Request, func(c *Count) { c.Refused++ }) }
func (r *Result) recordFailed(a *Attempt)  { r.recordLost(a.Request) }
func (r *Result) recordLost(q *Request) {
	if q.struck && q.tenth >= 0 {
		r.Tenths[q.Class][q.tenth].Offered--
		q.tenth = -1
	}
	r.update(q, func(c *Count) { c.Failed++ })
}

// recordServed records a complete answer and the worth that it earns. An answer is in time if it
// begins within the latency objective, counted from the first attempt, and no gap between events
// was too long. If the first attempt was refused early and the answer to the retry begins within
// the objective counted from the retry, the answer earns the mean of worth and late worth.
func (r *Result) recordServed(a *Attempt) {
	q, aim := a.Request, millis(a.Class.AimMS)
	whole := !a.gapExceeded
	inTime := whole && a.firstEventAt-q.At <= aim
	worth := q.LateWorth
	switch {
	case inTime:
		worth = q.Worth
	case whole && a.Retry > 0 && a.firstEventAt-a.Sent <= aim && q.refusalDelay <= time.Duration(earlyRefusalShare*float64(aim)):
		worth = (q.Worth + q.LateWorth) / 2
	}
	r.update(q, func(c *Count) {
		c.Worth += worth
		if inTime {
			c.InTime++
		} else {
			c.Late++
		}
	})
}

// Total returns the counts summed over all classes.
func (r *Result) Total() Count {
	var t Count
	for _, c := range r.Classes {
		t.Offered += c.Offered
		t.InTime += c.InTime
		t.Late += c.Late
		t.Refused += c.Refused
		t.Failed += c.Failed
		t.FirstRefused += c.FirstRefused
		t.OfferedWorth += c.OfferedWorth
		t.Worth += c.Worth
	}
	return t
}

// assignBands assigns the requests of each class to size bands, and those that an engine can finish to
// tenths.
func assignBands(s *Site, rs []*Request) {
	for class := range s.Classes {
		var members, finishable []*Request
		for _, r := range rs {
			if r.Class == class {
				members = append(members, r)
			}
		}
		sort.SliceStable(members, func(i, j int) bool { return members[i].size > members[j].size })
		for i, r := range members {
			r.tenth = -1
			if s.CanFinish(r) {
				finishable = append(finishable, r)
			}
			switch at := float64(i) / float64(len(members)); {
			case at < largestEnd:
				r.band = Largest
			case at < largeEnd:
				r.band = Large
			default:
				r.band = Rest
			}
		}
		for i, r := range finishable {
			r.tenth = i * numTenths / len(finishable)
		}
	}
}
