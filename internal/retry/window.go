package retry

import (
	"sync"
	"time"
)

// WindowConfig is the bound that a Window enforces: in any period of length Span, the retries are
// at most Slack plus Ratio times the requests in it.
type WindowConfig struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

// immediateShare is the part of Ratio that each request makes available at once. The rest may be
// saved up, so that retries are left when the crash of a target breaks many requests at the same
// time.
const immediateShare = 0.75

// Window allows retries up to a bound over a sliding period. It is safe for concurrent use.
type Window struct {
	mu  sync.Mutex
	cfg WindowConfig
	// tokens is the number of retries that may be made now.
	tokens float64
	// recent counts the requests of the last Span. An exponentially decaying count reached beyond
	// it: it allowed 17 retries in a span of 54 requests, where the bound is 15.8.
	recent spanCount
}

// NewWindow returns a Window with all of its slack available.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, tokens: cfg.Slack, recent: newSpanCount(cfg.Span)}
}

// maxTokens returns how many retries may be saved up: the bound less the part that immediateShare
// makes available during a span. The caller holds w.mu.
func (w *Window) maxTokens(now time.Duration) float64 {
	return w.cfg.Slack + (1-immediateShare)*w.cfg.Ratio*float64(w.recent.total(now))
}

// Request counts the first try of a request. The time now may come from any monotonic clock.
func (w *Window) Request(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recent.add(now)
	w.tokens = min(w.tokens+immediateShare*w.cfg.Ratio, w.maxTokens(now))
}

// Retry takes one retry. It returns false if the bound allows none.
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

// SetSlack changes the slack. Saved retries above the new bound are lost, and none are added.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Slack = slack
}

// Fill makes as many retries available as the bound allows. A window that was empty before may be
// filled once.
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
