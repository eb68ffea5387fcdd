package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// groupOf is a group of a size, which is known once joined is closed.
type groupOf struct {
	size   int
	joined chan struct{}
}

func (g *groupOf) Size() int               { return g.size }
func (g *groupOf) Owns([]byte) bool        { return true }
func (g *groupOf) Joined() <-chan struct{} { return g.joined }

func joinedGroup(size int) *groupOf {
	g := &groupOf{size: size, joined: make(chan struct{})}
	close(g.joined)
	return g
}

const testSpan = 10 * time.Second

// budgetsOf returns budgets whose clock stands at now.
func budgetsOf(group Group, firstStart bool, now *time.Duration) *budgets {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{RetryBurst: 54, RetryWindow: testSpan})
	return newBudgets(&limits, group, firstStart, func() time.Duration { return *now })
}

// drain draws on the budget until it is empty and returns how often it could.
func (b *budgets) drain() int {
	n := 0
	for b.of("s").Retry(b.clock()) {
		n++
	}
	return n
}

// A VM that has just started knows itself only. Its share of the retries at once must
// shrink as it hears of the others, or VMs that start together have the slack of all
// several times over.
func TestBudgetShareFollowsTheGroup(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	group := joinedGroup(1)
	b := budgetsOf(group, true, &now)
	b.of("s").Request(0)
	group.size = 6
	now = time.Millisecond
	is.Equal(b.drain(), 54/(6+spareVMs))
}

// Seven VMs were killed at once and started again, each without knowing of the others: each took
// a quarter of the slack, 94 in place of 54, and it had been drawn before the kill already.
func TestRestartedVMHasNoSlackYet(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	b := budgetsOf(joinedGroup(7), false, &now)
	is.Equal(b.drain(), 0)
	now = testSpan - 1
	is.Equal(b.drain(), 0)
	now = testSpan
	is.Equal(b.drain(), 54/(7+spareVMs))
	is.Equal(b.drain(), 0) // it is given once
}

func TestVMThatKnowsNoGroupHasNoSlackYet(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	group := &groupOf{size: 1, joined: make(chan struct{})}
	b := budgetsOf(group, true, &now)
	is.Equal(b.drain(), 0)
	group.size = 7
	close(group.joined)
	is.Equal(b.drain(), 54/(7+spareVMs))
}

// A change of the limits gives nothing anew.
func TestNewLimitsBeginEmpty(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	b := budgetsOf(joinedGroup(7), true, &now)
	is.Equal(b.drain(), 54/(7+spareVMs))
	b.renew()
	is.Equal(b.drain(), 0)
}
