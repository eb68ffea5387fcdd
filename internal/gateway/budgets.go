package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"garnethoist.org/garnethoist/internal/retry"
)

// Group is the VMs that share the targets.
type Group interface {
	// Size counts the live VMs, this one included.
	Size() int
	// Owns reports whether this VM is the one of the group that does what one is to do for a
	// key. While VMs know different members two may be.
	Owns(key []byte) bool
	// Joined is closed once the other VMs have been listed. Size is too small before.
	Joined() <-chan struct{}
}

// budgets holds the retry budget of each service: of the slack that all VMs have together, this
// VM's share. It is safe for concurrent use.
type budgets struct {
	limits *atomic.Pointer[Limits]
	group  Group
	// firstStart says that no process of this VM has drawn on the slack before this one.
	firstStart bool
	// clock is the time since this process started.
	clock func() time.Duration

	mu        sync.Mutex
	byService map[string]*budget
}

// budget is the retry budget of one service.
type budget struct {
	*retry.Window
	// whole is set once the window has its share of the slack.
	whole bool
}

func newBudgets(limits *atomic.Pointer[Limits], group Group, firstStart bool, clock func() time.Duration) *budgets {
	return &budgets{limits: limits, group: group, firstStart: firstStart, clock: clock, byService: make(map[string]*budget)}
}

// of returns the retry budget of a service, with this VM's present share of the slack.
func (b *budgets) of(service string) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byService[service]
	if w == nil {
		w = b.empty()
		b.byService[service] = w
	}
	w.SetSlack(b.slack())
	if !w.whole && b.owns() {
		w.whole = true
		w.Fill(b.clock())
	}
	return w.Window
}

// owns reports whether this VM's share of the slack is known, and its own to use. One that does
// not know the others would take the share of all. The process that ran here before may have
// used it up in the span that is not over: then only what requests bring in may be drawn.
func (b *budgets) owns() bool {
	select {
	case <-b.group.Joined():
	default:
		return false
	}
	return b.firstStart || b.clock() >= b.limits.Load().RetryWindow
}

// slack is this VM's share of the retries at once.
func (b *budgets) slack() float64 {
	return b.limits.Load().RetryBurst / float64(b.group.Size()+spareVMs)
}

// empty returns a budget from which nothing can be drawn yet.
func (b *budgets) empty() *budget {
	l := b.limits.Load()
	w := retry.NewWindow(retry.WindowConfig{Ratio: l.RetryRatio, Slack: b.slack(), Span: l.RetryWindow})
	w.Empty()
	return &budget{Window: w}
}

// renew begins all budgets anew, empty, so that a change of the limits adds nothing to what
// was drawn already.
func (b *budgets) renew() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.byService {
		w := b.empty()
		w.whole = true
		b.byService[service] = w
	}
}
