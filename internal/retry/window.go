package retry

import (
	"sync"
	"time"
)

// WindowConfig is the bound that a Window enforces: in any period of length Span, there are at most
// Slack plus Ratio times as many retries as there are requests in that period.
type WindowConfig struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Slack is the number of retries that are allowed without requests.
	Slack float64
	// Span is the length of the period.
	Span time.Duration
}

// immediateShare is the fraction of Ratio by which each request adds to the retries that are
// available. The rest of Ratio raises the number of retries that may be saved up, so that some are
// left when the crash of a target breaks many requests at the same time.
const immediateShare = 0.75

// Window allows retries up to a bound over every period of a given length. It is safe for
// concurrent use. The times that are passed to its methods may come from any one monotonic clock.
type Window struct {
	mu sync.Mutex
	// cfg is the bound to enforce.
	cfg WindowConfig
	// tokens is the number of retries that may be made now.
	tokens float64
	// recent counts the requests of the most recent period of length Span. An exponentially
	// decaying count also included older requests: it allowed 17 retries in a period with 54
	// requests, where the bound is 15.8.
	recent spanCount
}

// NewWindow returns a Window with Slack retries available.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, tokens: cfg.Slack, recent: newSpanCount(cfg.Span)}
}

// maxTokens returns how many retries may be saved up: the bound less the retries that requests make
// available, by immediateShare, during one period. The caller holds w.mu.
func (w *Window) maxTokens(now time.Duration) float64 {
	return w.cfg.Slack + (1-immediateShare)*w.cfg.Ratio*float64(w.recent.total(now))
}

// Request counts the first try of a request, which makes more retries available. It sends nothing
// itself.
func (w *Window) Request(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recent.add(now)
	w.tokens = min(w.tokens+immediateShare*w.cfg.Ratio, w.maxTokens(now))
}

// Retry takes one of the available retries, which the caller may then make. It sends nothing
// itself. It returns false, and takes nothing, if the bound allows no retry.
func (w *Window) Retry(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.tokens, w.maxTokens(now))
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Return gives back a retry that was taken but not made.
func (w *Window) Return(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.tokens+1, w.maxTokens(now))
}

// SetSlack changes the slack. Available retries above the new maximum are lost. If the slack grows,
// no retries become available at once.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Slack = slack
}

// Fill makes as many retries available as may be saved up. It may be called once, for a window that
// was empty until then; another call could exceed the bound.
func (w *Window) Fill(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = w.maxTokens(now)
}

// Empty removes all available retries.
func (w *Window) Empty() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = 0
}
