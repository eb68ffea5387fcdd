package retry

import "time"

// parts is how many parts of a span events are counted by. At most one part too little of
// the span is counted, and never more than the span.
const parts = 32

// spanCount counts the events of the last span in a fixed number of bytes, at any rate.
type spanCount struct {
	part time.Duration
	// counts is a ring of the events of each part. Parts are numbered from time 0, and newest
	// is the one that is being filled.
	counts [parts]int
	newest int64
	sum    int
}

func newSpanCount(span time.Duration) spanCount { return spanCount{part: max(span/parts, 1)} }

// add counts an event at now.
func (c *spanCount) add(now time.Duration) {
	c.expire(now)
	c.counts[c.newest%parts]++
	c.sum++
}

// total returns the events of the span that ends at now.
func (c *spanCount) total(now time.Duration) int {
	c.expire(now)
	return c.sum
}

// expire drops the parts that have left the span.
func (c *spanCount) expire(now time.Duration) {
	newest := max(int64(now/c.part), c.newest)
	for n := max(c.newest+1, newest-parts+1); n <= newest; n++ {
		c.sum -= c.counts[n%parts]
		c.counts[n%parts] = 0
	}
	c.newest = newest
}
