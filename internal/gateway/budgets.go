package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"garnethoist.org/garnethoist/internal/retry"
)

// Group is the set of VMs that share the targets.
type Group interface {
	// Size returns the number of live VMs, including this one.
	Size() int
	// Owns reports whether this VM is the one in the group that is responsible for key. Two VMs may
	// both own a key while their lists of members differ.
	Owns(key []byte) bool
	// Joined is closed once this VM has the list of the other VMs. Before that, Size may be too
	// small.
	Joined() <-chan struct{}
}

// retryBudgets holds the retry budget of each service. The burst allowance, Limits.RetryBurst, is
// set for all VMs together; each budget holds this VM's share of it. It is safe for concurrent use.
type retryBudgets struct {
	limits *atomic.Pointer[Limits]
	group  Group
	// firstStart says that no earlier process on this VM has used retries of the burst allowance.
	firstStart bool
	// clock returns the time since the process started.
	clock func() time.Duration

	mu        sync.Mutex
	byService map[string]*serviceBudget
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	*retry.Window
	// filled is set once the window has received its share of the burst allowance.
	filled bool
}

// newRetryBudgets returns budgets without any services; each is created on first use.
func newRetryBudgets(limits *atomic.Pointer[Limits], group Group, firstStart bool, clock func() time.Duration) *retryBudgets {
	return &retryBudgets{limits: limits, group: group, firstStart: firstStart, clock: clock, byService: make(map[string]*serviceBudget)}
}

// forService returns the retry budget of a service, adjusted to this VM's current share of the
// burst allowance.
func (b *retryBudgets) forService(service string) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byService[service]
	if w == nil {
		w = b.newEmpty()
		b.byService[service] = w
	}
	w.SetSlack(b.burstShare())
	if !w.filled && b.mayFill() {
		w.filled = true
		w.Fill(b.clock())
	}
	return w.Window
}

// mayFill reports whether this VM may use its share of the burst allowance. A VM that does not know
// the other VMs yet must not use the share, because the share that it computes would include the
// shares of the other VMs. A restarted process must not use it during the first retry window,
// because the previous process on this VM may have used up the share within that time. Until the
// share may be used, only the retries that new requests earn are available.
func (b *retryBudgets) mayFill() bool {
	select {
	case <-b.group.Joined():
	default:
		return false
	}
	return b.firstStart || b.clock() >= b.limits.Load().RetryWindow
}

// burstShare returns this VM's share of the burst allowance, in retries.
func (b *retryBudgets) burstShare() float64 {
	return b.limits.Load().RetryBurst / float64(b.group.Size()+spareVMs)
}

// newEmpty returns a budget without any retries.
func (b *retryBudgets) newEmpty() *serviceBudget {
	l := b.limits.Load()
	w := retry.NewWindow(retry.WindowConfig{Ratio: l.RetryRatio, Slack: b.burstShare(), Span: l.RetryWindow})
	w.Empty()
	return &serviceBudget{Window: w}
}

// reset replaces all budgets by empty ones, so that a change of the limits does not grant again
// what was already used.
func (b *retryBudgets) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.byService {
		w := b.newEmpty()
		w.filled = true
		b.byService[service] = w
	}
}
