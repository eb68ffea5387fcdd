package limit

import "time"

// Rate is a token bucket whose rate may change, for one service on one entry.
// It is not safe for concurrent use.
type Rate struct {
	tokens float64
	at     time.Duration
}

// burstSeconds is how many seconds' worth of tokens a bucket holds.
const burstSeconds = 1

// Take takes one token at time now under the given rate a second. It returns
// how long to wait when there is none. A burst of at least one token is
// always allowed.
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
