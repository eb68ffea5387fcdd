package limit

import "time"

// Rate is a token bucket whose rate may change, for one service on one entry.
// It is not safe for concurrent use.
type Rate struct {
	// tokens is the number of tokens as of time at.
	tokens float64
	at     time.Duration
}

// burstSeconds is the bucket's capacity, in seconds of its rate.
const burstSeconds = 1

// Take takes one token at time now, with the bucket filling at rate tokens per
// second. If there is no token, ok is false and wait is the time until there is
// one. The bucket holds at least one token, however low the rate.
func (r *Rate) Take(now time.Duration, rate float64) (wait time.Duration, ok bool) {
	burst := max(rate*burstSeconds, 1)
	r.tokens = min(burst, r.tokens+(now-r.at).Seconds()*rate)
	r.at = now
	if r.tokens < 1 {
		return time.Duration((1 - r.tokens) / rate * float64(time.Second)), false
	}
	r.tokens--
	return 0, true
}
