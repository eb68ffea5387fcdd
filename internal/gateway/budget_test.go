package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeGroup is a Group of the given size. Joined returns the channel joined, which a test closes
// when the VM is to know the other VMs.
type fakeGroup struct {
	size   int
	joined chan struct{}
}

func (g *fakeGroup) Size() int               { return g.size }
func (g *fakeGroup) Owns([]byte) bool        { return true }
func (g *fakeGroup) Joined() <-chan struct{} { return g.joined }

// joinedGroup returns a group of the given size whose VM already knows the other VMs.
func joinedGroup(size int) *fakeGroup {
	g := &fakeGroup{size: size, joined: make(chan struct{})}
	close(g.joined)
	return g
}

// testSpan is the retry window of test budgets.
const testSpan = 10 * time.Second

// newTestBudgets returns budgets with a burst allowance of 54 retries per testSpan and a clock that
// returns the time in now.
func newTestBudgets(group Group, firstStart bool, now *time.Duration) *retryBudgets {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{RetryBurst: 54, RetryWindow: testSpan})
	return newRetryBudgets(&limits, group, firstStart, func() time.Duration { return *now })
}

// takeAll takes retries from the budget of one service until the budget is empty and returns the
// number of retries taken.
func (b *retryBudgets) takeAll() int {
	n := 0
	for b.forService("s").Retry(b.clock()) {
		n++
	}
	return n
}

// A VM that has just started knows only itself. Its share of the burst allowance must shrink as it
// learns of the other VMs. Otherwise VMs that start together would be allowed several times the
// whole burst.
func TestBurstShareFollowsGroupSize(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	group := joinedGroup(1)
	b := newTestBudgets(group, true, &now)
	b.forService("s").Request(0)
	group.size = 6
	now = time.Millisecond
	is.Equal(b.takeAll(), 54/(6+spareVMs))
}

// A restarted VM must not use its share of the burst until a retry window has passed, because its
// previous process may have used the share. This guards against a fault that was seen when seven
// VMs were killed and restarted at once, not knowing of each other: each took a quarter of the
// burst, 94 instead of 54 retries in all, although the burst had been used before the kill.
func TestRestartedVMHasNoBurstYet(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	b := newTestBudgets(joinedGroup(7), false, &now)
	is.Equal(b.takeAll(), 0)
	now = testSpan - 1
	is.Equal(b.takeAll(), 0)
	now = testSpan
	is.Equal(b.takeAll(), 54/(7+spareVMs))
	is.Equal(b.takeAll(), 0) // it is granted once
}

// A VM that does not know the other VMs yet may not use the burst allowance. Otherwise it would
// also use the shares of the other VMs.
func TestVMWithUnknownGroupHasNoBurstYet(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	group := &fakeGroup{size: 1, joined: make(chan struct{})}
	b := newTestBudgets(group, true, &now)
	is.Equal(b.takeAll(), 0)
	group.size = 7
	close(group.joined)
	is.Equal(b.takeAll(), 54/(7+spareVMs))
}

// A change of the limits must not grant any retries.
func TestResetEmptiesBudgets(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	b := newTestBudgets(joinedGroup(7), true, &now)
	is.Equal(b.takeAll(), 54/(7+spareVMs))
	b.reset()
	is.Equal(b.takeAll(), 0)
}
