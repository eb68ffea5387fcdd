package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartAll kills all VMs and starts them again after a span.
func (g *group) restartAll(span time.Duration) {
	for _, vms := range g.vms {
		for _, v := range vms {
			v.down = true
		}
	}
	g.now += span
	g.inTransit = nil
	for _, vms := range g.vms {
		for _, v := range vms {
			g.start(v, false)
		}
	}
}

// Guards against streams that are refused for the allowance when they are resumed after all VMs were killed, as
// the buckets are empty then: 26 of 66 went on. They go on nine times in ten as often as new ones begin, and
// what the account uses stays within the bound.
func TestResumedStreamsAreNotRefusedForTheAllowance(t *testing.T) {
	const open, down, resuming = time.Second, 2 * time.Second, 500 * time.Millisecond
	for _, c := range []struct {
		name   string
		demand float64
	}{{"within the allowance", 0.55}, {"six times the allowance", 6}} {
		for _, each := range []int{2, 30} {
			t.Run(fmt.Sprintf("%s, %d VMs", c.name, 3*each), func(t *testing.T) {
				is := is.New(t)
				a := allowanceOf(3 * each)
				g := newGroup(3, each, a, 1)
				demand := func(*vm) float64 { return c.demand * a.RatePerS / float64(3*each) }
				g.run(6*time.Second, demand)
				var streams []use
				for _, u := range g.used {
					if u.at >= g.now-open {
						streams = append(streams, u)
					}
				}
				g.restartAll(down)
				asked, used := len(g.asked), len(g.used)
				resumed, wentOn := len(streams), 0
				for n, s := range streams {
					g.run(resuming/time.Duration(resumed), demand)
					v := g.vms[n%3][g.rand.IntN(each)]
					if _, ok := v.keeper.TakeResumed("hot", s.cost, g.clock()); ok {
						wentOn++
						g.used = append(g.used, use{g.now, s.cost})
						used++
					}
				}
				g.run(4*time.Second, demand)
				share, newShare := float64(wentOn)/float64(resumed), float64(len(g.used)-used)/float64(len(g.asked)-asked)
				t.Logf("%d of %d resumed streams permitted, %.2f of new ones; largest window %.2f of the bound", wentOn, resumed, newShare, largestWindow(g.used)/g.bound(a))
				is.True(share >= 0.9*newShare)
				is.True(largestWindow(g.used) <= g.bound(a))
			})
		}
	}
}

// The debt of a stream that is resumed again and again is limited.
func TestResumedStreamsLeaveALimitedDebt(t *testing.T) {
	is := is.New(t)
	a := allowanceOf(1)
	g := newGroup(1, 1, a, 1)
	v := g.vms[0][0]
	sum := 0.0
	for range 100 {
		if _, ok := v.keeper.TakeResumed("hot", 100, g.clock()); ok {
			sum += 100
		}
	}
	is.True(sum <= 1.5*a.Burst)
	_, ok := v.keeper.Take("hot", 100, g.clock())
	is.True(!ok)
}
