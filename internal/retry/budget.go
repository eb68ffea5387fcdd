// Package retry limits retries to a fraction of the requests, so that they do not add much load to
// targets that fail. A Budget is a token bucket. A Window enforces its limit over every period of a
// given length.
package retry

import "sync"

// Budget is a token bucket that allows retries for a fraction of the requests. It is safe for
// concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is the number of retries that may be made now. It grows by ratio with each request, up
	// to maxTokens, and a retry takes one token.
	tokens    float64
	ratio     float64
	maxTokens float64
}

// The default budget allows one retry per ten requests, and ten in a burst.
const (
	DefaultRatio = 0.1 // retries per request
	DefaultBurst = 10  // maximum number of retries at once
)

// NewBudget returns a full budget that allows ratio retries per request and at most burst at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, maxTokens: burst}
}

// Request counts the first try of a request, which adds ratio retries to the budget. It sends
// nothing itself.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
}

// Retry takes one retry from the budget, which the caller may then make. It sends nothing itself.
// It returns false, and takes nothing, if there is no retry left.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Empty removes all retries from the budget.
func (b *Budget) Empty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = 0
}
