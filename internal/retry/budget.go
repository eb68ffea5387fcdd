// Package retry holds the budget that bounds retries to a share of the
// requests, so that a failing fleet is not hit harder.
package retry

import "sync"

// Budget lets at most a share of the requests be tried again. It is safe for
// concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens grows by ratio with each request, up to limit; a retry takes one.
	tokens float64
	ratio  float64
	limit  float64
}

// The default budget: one retry for ten requests, and ten in a burst.
const (
	DefaultRatio = 0.1
	DefaultBurst = 10
)

// NewBudget returns a full budget of ratio retries per request and at most
// burst at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, limit: burst}
}

// Request counts a first try.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.limit)
}

// Retry takes one retry from the budget, or returns false when it is spent.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Empty takes all retries from the budget.
func (b *Budget) Empty() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = 0
}
