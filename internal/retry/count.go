package retry

import "time"

// buckets is the number of time buckets by which the events of a span are counted. The time that is
// counted is never longer than the span, and shorter by one bucket at most.
const buckets = 32

// spanCount counts the events of the most recent time span, in constant memory whatever the rate of
// the events.
type spanCount struct {
	// bucket is the length of one bucket.
	bucket time.Duration
	// counts is a ring buffer with the number of events in each bucket. Buckets are numbered from
	// time 0 on, and newest is the number of the one being filled.
	counts [buckets]int
	newest int64
	// sum is the sum of counts.
	sum int
}

// newSpanCount returns a counter for the given span.
func newSpanCount(span time.Duration) spanCount { return spanCount{bucket: max(span/buckets, 1)} }

// add counts an event at now.
func (c *spanCount) add(now time.Duration) {
	c.expire(now)
	c.counts[c.newest%buckets]++
	c.sum++
}

// total returns the number of events in the span that ends at now.
func (c *spanCount) total(now time.Duration) int {
	c.expire(now)
	return c.sum
}

// expire makes the bucket of now the newest one, and clears those that have left the span.
func (c *spanCount) expire(now time.Duration) {
	newest := max(int64(now/c.bucket), c.newest)
	for n := max(c.newest+1, newest-buckets+1); n <= newest; n++ {
		c.sum -= c.counts[n%buckets]
		c.counts[n%buckets] = 0
	}
	c.newest = newest
}
