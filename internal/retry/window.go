package retry

import (
	"sync"
	"time"
)

// WindowConfig is the bound that a Window keeps: in any span of Span, retries
// are at most Slack and Ratio of the requests in it.
type WindowConfig struct {
	Ratio float64
	Slack float64
	Span  time.Duration
}

// heldBack is the part of the ratio that is given out as it comes in; the rest
// may be saved up, so that a crash of a target that breaks many requests at
// once finds something.
const heldBack = 0.75

// Window lets requests be tried again as far as a bound over a sliding span
// allows. It is safe for concurrent use.
type Window struct {
	mu  sync.Mutex
	cfg WindowConfig
	// tokens is the retries that may be made now.
	tokens float64
	// recent counts the requests of the last span. A fading count went on beyond the span: 17
	// retries came in a span of 54 requests, where 15.8 were allowed.
	recent spanCount
}

// NewWindow returns a window with its slack unused.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, tokens: cfg.Slack, recent: newSpanCount(cfg.Span)}
}

// limit is the most that can be saved up: what heldBack of the ratio, given out
// meanwhile, leaves of the bound. The caller holds w.mu.
func (w *Window) limit(now time.Duration) float64 {
	return w.cfg.Slack + (1-heldBack)*w.cfg.Ratio*float64(w.recent.total(now))
}

// Request counts a first try at time now, on any steady clock.
func (w *Window) Request(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recent.add(now)
	w.tokens = min(w.tokens+heldBack*w.cfg.Ratio, w.limit(now))
}

// Retry takes one retry, or returns false where the bound allows none.
func (w *Window) Retry(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.tokens, w.limit(now))
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Return gives back a retry that was taken and not made.
func (w *Window) Return(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.tokens+1, w.limit(now))
}

// SetSlack changes the slack. What is saved up above it lapses; nothing is added.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Slack = slack
}

// Fill gives as many retries as the bound allows. A window that was empty before may be filled
// once.
func (w *Window) Fill(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = w.limit(now)
}

// Empty takes all retries from the window.
func (w *Window) Empty() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = 0
}
