package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// The bound on the requests to a limited target, as the users' documentation states it: in each
// window from settleTime after the limit was first stated, limitRatio times what the limit allows,
// and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitSettle = 3 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// limitedVM is one VM of a limitedGroup.
type limitedVM struct {
	placer *place.Placer
	// index and size are what the VM knows of the group.
	index, size int
	// skew is the difference of the VM's clock from the true time.
	skew time.Duration
	down bool
}

// limitedGroup simulates, in virtual time, a group of VMs before one target that limits its requests.
type limitedGroup struct {
	t      *testing.T
	now    time.Duration
	target *fleet.Target
	perS   float64
	vms    []*limitedVM
	random *rand.Rand
	// sentAt holds the times of all requests to the target.
	sentAt []time.Duration
}

// newLimitedGroup returns a group that knows of the limit.
func newLimitedGroup(t *testing.T, size int, perS float64) *limitedGroup {
	g := &limitedGroup{t: t, target: &fleet.Target{ID: "limited", Service: "s", Slots: 8}, perS: perS, random: rand.New(rand.NewPCG(1, uint64(size)))}
	for i := range size {
		v := &limitedVM{index: i, size: size}
		g.vms = append(g.vms, v)
		g.start(v)
	}
	return g
}

// start starts the process of a VM, which learns of the limit from the other VMs.
func (g *limitedGroup) start(v *limitedVM) {
	cfg := place.DefaultConfig("a")
	cfg.Seed = g.random.Uint64() | 1
	v.placer = place.New(cfg, noPeerWork{}, func(*fleet.Target) bool { return false })
	v.placer.SetMembership(func() (int, int) { return v.index, v.size })
	v.placer.ObserveLimits([]place.LimitReport{{Target: g.target.RunID(), Limit: place.RateLimit{Stated: true, PerS: g.perS}, HeardAt: g.clock(v)}}, g.clock(v))
}

// clock returns the time by the VM's clock.
func (g *limitedGroup) clock(v *limitedVM) time.Time {
	return time.Unix(1_700_000_000, 0).Add(g.now + v.skew)
}

// run simulates a span in which each VM that is up asks for perS requests a second at random times.
func (g *limitedGroup) run(span time.Duration, perS float64) {
	const tick = 10 * time.Millisecond
	for end := g.now + span; g.now < end; g.now += tick {
		for _, v := range g.vms {
			for p := perS * tick.Seconds(); g.random.Float64() < p; p-- {
				if v.down {
					continue
				}
				if c, ok := v.placer.Plain([]*fleet.Target{g.target}, nil, 0, g.clock(v)); ok {
					c.Ticket.End(place.Good, g.clock(v))
					g.sentAt = append(g.sentAt, g.now)
				}
			}
		}
	}
}

// check checks the bound in all windows from limitSettle on, and logs the largest one and the rate.
func (g *limitedGroup) check() {
	g.t.Helper()
	largest, first, counted := 0, 0, 0
	for i, at := range g.sentAt {
		for at-g.sentAt[first] >= limitWindow || g.sentAt[first] < limitSettle && first < i {
			first++
		}
		if at >= limitSettle {
			largest, counted = max(largest, i-first+1), counted+1
		}
	}
	allowed := limitRatio*g.perS*limitWindow.Seconds() + limitSlack
	g.t.Logf("%d VMs, %g a second: largest window %d of %.0f allowed, %.2f of the limit used", len(g.vms), g.perS, largest, allowed, float64(counted)/(g.perS*(g.now-limitSettle).Seconds()))
	is.New(g.t).True(float64(largest) <= allowed)
}

// noPeerWork implements place.PeerWork for a VM that knows of no other VM's work.
type noPeerWork struct{}

func (noPeerWork) Work(string) place.Work { return place.Work{} }
func (noPeerWork) Age() time.Duration     { return 0 }

// All VMs together keep to a target's limit, at any size of the group, while VMs join, restart or are
// cut off from the others, and with clocks that differ.
func TestGroupKeepsToALimitOfATarget(t *testing.T) {
	const busy = 20.0 // requests a second at each VM
	plays := map[string]func(g *limitedGroup){
		"busy": func(g *limitedGroup) { g.run(16*time.Second, busy) },
		"idle, then busy": func(g *limitedGroup) {
			g.run(5*time.Second, 0)
			g.run(8*time.Second, busy)
		},
		"few requests": func(g *limitedGroup) { g.run(16*time.Second, 4*g.perS/float64(len(g.vms))) },
		"VMs join": func(g *limitedGroup) {
			joining := g.vms[len(g.vms)*3/4:]
			for _, v := range g.vms {
				v.size -= len(joining)
			}
			for _, v := range joining {
				v.down = true
			}
			g.run(5*time.Second, busy)
			for _, v := range joining {
				v.down, v.size = false, len(g.vms)
			}
			// The others learn of them one after the other.
			for i := range 10 {
				for j := i; j < len(g.vms); j += 10 {
					g.vms[j].size = len(g.vms)
				}
				g.run(100*time.Millisecond, busy)
			}
			g.run(6*time.Second, busy)
		},
		"VMs restart in turn": func(g *limitedGroup) {
			for i := range 20 {
				for j := i; j < len(g.vms); j += 20 {
					g.start(g.vms[j])
				}
				g.run(500*time.Millisecond, busy)
			}
		},
		"VMs cut off from the others": func(g *limitedGroup) {
			// They do not learn that the group has become larger by a third.
			for i, v := range g.vms {
				if v.size = len(g.vms); i%4 == 0 {
					v.size = len(g.vms) * 3 / 4
					v.index = i * 3 / 4
				}
			}
			g.run(14*time.Second, busy)
		},
		"limit varies": func(g *limitedGroup) {
			for range 140 {
				for _, v := range g.vms {
					l := place.RateLimit{Stated: true, PerS: g.perS * (0.8 + 0.2*g.random.Float64())}
					v.placer.ObserveLimit(g.target, l, g.clock(v))
				}
				g.run(100*time.Millisecond, busy)
			}
		},
		"clocks differ by 400 ms": func(g *limitedGroup) {
			for _, v := range g.vms {
				v.skew = time.Duration((g.random.Float64() - 0.5) * float64(400*time.Millisecond))
				g.start(v)
			}
			g.run(14*time.Second, busy)
		},
	}
	for _, size := range []int{7, 24, 2000} {
		for _, perS := range []float64{0.8, 9.4, 120} {
			for name, play := range plays {
				t.Run(fmt.Sprint(size, " VMs, ", perS, " a second, ", name), func(t *testing.T) {
					t.Parallel()
					g := newLimitedGroup(t, size, perS)
					play(g)
					g.check()
				})
			}
		}
	}
}
