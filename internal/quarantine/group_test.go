package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/quarantine"
)

// Times of the simulated group. The first two are the users': what all VMs must know after that time, and
// how many sends they allow later.
const (
	stabilityWindow = 3 * time.Second
	maxLateSends    = 3

	tick            = 10 * time.Millisecond
	linkDelay       = 30 * time.Millisecond
	detectDelay     = 20 * time.Millisecond
	crashDelay      = 60 * time.Millisecond
	runTime         = 600 * time.Millisecond
	engineRestart   = 4 * time.Second
	resendInterval  = time.Second
	resendVMs       = 3
	clearedVMs      = 24
	askInterval     = 100 * time.Millisecond
	snapshotsResent = 150
	// readyDelay is the time from the start of a VM to its first request: its readiness is checked first.
	readyDelay = 500 * time.Millisecond
)

// group simulates VMs that exchange what they know of parts, and the engines that they share, in virtual
// time.
type group struct {
	random  *rand.Rand
	now     time.Time
	vms     []*groupVM
	engines []*groupEngine
	events  map[time.Time][]func()
	runs    int
	// guilty are the parts that crash engines, and firstPart the first part of all prompts.
	guilty []string
	// crashes are the times of the crashes by guilty part, and sends those of the sends of VMs in touch.
	crashes map[string][]time.Time
	sends   map[string][]time.Time
	sound   []soundSend
	loss    float64
}

// groupVM is a VM. Those with the same island reach each other.
type groupVM struct {
	name   string
	parts  *quarantine.PartTable
	island int
	// nextAt is when the VM next sends its most severe entries, and readyAt when it gets requests.
	nextAt  time.Time
	readyAt time.Time
}

// groupEngine is a decode engine and the requests that it runs.
type groupEngine struct {
	run     string
	up      bool
	running map[*groupRun]bool
}

// groupRun is a request at an engine.
type groupRun struct {
	vm      *groupVM
	request *quarantine.Request
	began   time.Time
	trial   *quarantine.ID
}

// soundSend is a request that crashes no engine.
type soundSend struct {
	at   time.Time
	sent bool
}

// newGroup returns a group of VMs, with two engines for each three VMs but no more than 60.
func newGroup(vms int, guilty ...string) *group {
	g := &group{random: rand.New(rand.NewPCG(uint64(vms), uint64(len(guilty)))), now: start, events: make(map[time.Time][]func()),
		guilty: guilty, crashes: make(map[string][]time.Time), sends: make(map[string][]time.Time), loss: 0.05}
	for range vms {
		g.vms = append(g.vms, g.newVM())
	}
	for range min(vms*2/3+4, 60) {
		e := &groupEngine{}
		g.startEngine(e)
		g.engines = append(g.engines, e)
	}
	return g
}

// newVM returns a VM that knows nothing.
func (g *group) newVM() *groupVM {
	g.runs++
	v := &groupVM{name: fmt.Sprint("vm", g.runs), parts: quarantine.NewPartTable(), readyAt: g.now.Add(readyDelay),
		nextAt: g.now.Add(time.Duration(g.random.Int64N(int64(resendInterval))).Truncate(tick))}
	for _, d := range []time.Duration{2 * linkDelay, 2*linkDelay + askInterval} {
		g.after(d, func() { g.answer(v) })
	}
	return v
}

// answer has a few random VMs send a VM that has just started what they know.
func (g *group) answer(v *groupVM) {
	for range min(resendVMs, len(g.vms)) {
		other := g.vms[g.random.IntN(len(g.vms))]
		if other != v && other.island == v.island && g.random.Float64() >= g.loss {
			v.parts.Merge(other.parts.Top(snapshotsResent, g.now), g.now)
		}
	}
}

// startEngine starts an engine as another run.
func (g *group) startEngine(e *groupEngine) {
	g.runs++
	e.run, e.up, e.running = fmt.Sprint("run", g.runs), true, make(map[*groupRun]bool)
}

// after calls f after a time.
func (g *group) after(d time.Duration, f func()) {
	at := g.now.Add(d.Truncate(tick) + tick)
	g.events[at] = append(g.events[at], f)
}

// advance moves the time on by one tick and has the VMs exchange what they know.
func (g *group) advance() {
	g.now = g.now.Add(tick)
	for _, f := range g.events[g.now] {
		f()
	}
	delete(g.events, g.now)
	for _, v := range g.vms {
		g.send(v, v.parts.TakeChanged(g.now), len(g.vms))
		g.send(v, v.parts.TakeCleared(g.now), clearedVMs)
		if !g.now.Before(v.nextAt) {
			v.nextAt = g.now.Add(resendInterval)
			g.send(v, v.parts.Top(snapshotsResent, g.now), resendVMs)
		}
	}
}

// send sends snapshots to n random VMs, or to all.
func (g *group) send(from *groupVM, s []quarantine.Snapshot, n int) {
	if len(s) == 0 {
		return
	}
	for i := range min(n, len(g.vms)) {
		to := g.vms[i]
		if n < len(g.vms) {
			to = g.vms[g.random.IntN(len(g.vms))]
		}
		if to == from || to.island != from.island || g.random.Float64() < g.loss {
			continue
		}
		g.after(linkDelay, func() { to.parts.Merge(s, g.now) })
	}
}

// owns reports whether a VM has the highest weight for a key of those that it reaches.
func (g *group) owns(vm *groupVM, key []byte) bool {
	weight := func(v *groupVM) uint64 { return xxhash.Sum64(append([]byte(v.name), key...)) }
	own := weight(vm)
	for _, v := range g.vms {
		if v.island == vm.island && weight(v) > own {
			return false
		}
	}
	return true
}

// ask has a caller send a request with the given parts to a random VM, and reports whether the VM sent it to
// an engine.
func (g *group) ask(parts ...string) bool {
	vm := g.vms[g.random.IntN(len(g.vms))]
	for g.now.Before(vm.readyAt) {
		vm = g.vms[g.random.IntN(len(g.vms))]
	}
	r := &quarantine.Request{Source: "caller", Service: "m", Parts: parts}
	v := vm.parts.Verdict(r, g.now)
	run := &groupRun{vm: vm, request: r, began: g.now}
	if v.Held() {
		if v.Blocked && !(v.TrialDue(g.now) && g.owns(vm, v.TrialKey)) || !vm.parts.BeginTrial(v.ID) {
			return false
		}
		run.trial = &v.ID
	}
	engine := g.engines[g.random.IntN(len(g.engines))]
	guilty := g.guiltyPart(parts)
	if guilty != "" && vm.island == 0 {
		g.sends[guilty] = append(g.sends[guilty], g.now)
	}
	if !engine.up {
		g.end(run)
		return false
	}
	engine.running[run] = true
	if guilty != "" {
		g.after(crashDelay, func() { g.crash(engine, run, guilty) })
	} else {
		g.after(runTime, func() { g.serve(engine, run) })
	}
	return true
}

// guiltyPart returns the part that crashes engines, or "" if there is none.
func (g *group) guiltyPart(parts []string) string {
	for _, part := range parts {
		for _, bad := range g.guilty {
			if part == bad {
				return part
			}
		}
	}
	return ""
}

// serve ends a request that ran well, unless its engine has crashed.
func (g *group) serve(e *groupEngine, r *groupRun) {
	if !e.running[r] {
		return
	}
	delete(e.running, r)
	g.end(r)
	r.vm.parts.RecordSuccess(r.request, "v1")
}

// end ends the trial of a request.
func (g *group) end(r *groupRun) {
	if r.trial != nil {
		r.vm.parts.EndTrial(*r.trial)
	}
}

// crash crashes an engine, unless another request has, with all that it runs.
func (g *group) crash(e *groupEngine, by *groupRun, guilty string) {
	if !e.running[by] {
		return
	}
	g.crashes[guilty] = append(g.crashes[guilty], g.now)
	at, run := g.now, e.run
	for r := range e.running {
		g.after(detectDelay, func() {
			g.end(r)
			r.vm.parts.RecordCrash(r.request, quarantine.Crash{Run: run, Version: "v1", Began: r.began, At: at})
		})
	}
	e.up, e.running = false, make(map[*groupRun]bool)
	g.after(engineRestart, func() { g.startEngine(e) })
}

// lateSends returns the most sends with one part later than stabilityWindow after its fifth crash.
func (g *group) lateSends() int {
	most := 0
	for part, crashes := range g.crashes {
		if len(crashes) < 5 {
			continue
		}
		n := 0
		for _, at := range g.sends[part] {
			if at.After(crashes[4].Add(stabilityWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// sentShare returns the share of sound requests from one time to another that were sent.
func (g *group) sentShare(from, to time.Duration) float64 {
	sent, all := 0, 0
	for _, s := range g.sound {
		if at := s.at.Sub(start); at >= from && at < to {
			all++
			if s.sent {
				sent++
			}
		}
	}
	return float64(sent) / float64(max(all, 1))
}

// Guards against parts that crash engines being sent on by some VM of a group, and against the parts that
// sound requests share with them being held, while VMs die, join and are cut off.
func TestGroupHoldsPartsThatCrashTargets(t *testing.T) {
	troubles := []struct {
		name string
		do   func(g *group, round int)
	}{
		{"calm", func(*group, int) {}},
		{"VMs die and others join", func(g *group, round int) {
			if round%20 == 0 {
				g.vms[g.random.IntN(len(g.vms))] = g.newVM()
			}
		}},
		{"a third is cut off for seconds", func(g *group, round int) {
			for i, v := range g.vms {
				v.island = 0
				if round >= 150 && round%600 < 300 && i%3 == 0 {
					v.island = 1
				}
			}
		}},
	}
	loads := []struct {
		name     string
		guilty   []string
		soundGap time.Duration
	}{
		{"frequent", []string{"bad1"}, 20 * time.Millisecond},
		{"rare sound requests", []string{"bad1"}, 700 * time.Millisecond},
		{"two parts, rare sound requests", []string{"bad1", "bad2"}, 700 * time.Millisecond},
	}
	for _, n := range []int{24, 2000} {
		for _, trouble := range troubles {
			for _, load := range loads {
				if n > 24 && len(load.guilty) == 1 {
					continue
				}
				t.Run(fmt.Sprintf("%d VMs, %s, %s", n, trouble.name, load.name), func(t *testing.T) {
					is := is.New(t)
					g := newGroup(n, load.guilty...)
					const length, firstGuilty = 25 * time.Second, 3 * time.Second
					g.now = g.now.Add(readyDelay)
					for round := range int(length / tick) {
						at := time.Duration(round) * tick
						if at%load.soundGap == 0 {
							g.sound = append(g.sound, soundSend{g.now, g.ask("first", fmt.Sprint("session", round%50))})
						}
						for i, part := range load.guilty {
							if at >= firstGuilty && (round+i*10)%20 == 0 {
								g.ask("first", part, fmt.Sprint("session", round%50))
							}
						}
						trouble.do(g, round)
						g.advance()
					}
					before, after := g.sentShare(0, firstGuilty), g.sentShare(firstGuilty+3*stabilityWindow, length)
					t.Logf("crashes: %d and %d, late sends: %d, sound requests sent: %.2f before, %.2f after",
						len(g.crashes["bad1"]), len(g.crashes["bad2"]), g.lateSends(), before, after)
					is.True(g.lateSends() <= maxLateSends)
					is.True(2*after >= before)
				})
			}
		}
	}
}
