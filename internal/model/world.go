package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

const (
	// listLag is how old the list of engines is, and lostLag how long an engine
	// that crashes stays on it: three of its writes (users' sheets).
	listLag = 800 * time.Millisecond
	lostLag = 3600 * time.Millisecond
	// dialTimeout is how long a VM waits for an engine that does not answer.
	dialTimeout = 250 * time.Millisecond
	// drainTime is how long an engine that leaves goes on (users' sheets).
	drainTime = 2 * time.Second
	// patience is how long a caller waits for a stream's first event.
	patience = 2 * time.Second
	// maxTransferWait is the wait for a link beyond which nothing is moved.
	maxTransferWait = 2 * time.Second
	// farTransfer is how many times longer a move between data centres takes.
	farTransfer = 2
	// settleTime is how long after the last arrival the day is played on.
	settleTime = 20 * time.Second
)

// Attempt is one attempt of a request at a VM.
type Attempt struct {
	Request *Request
	Class   *Class
	Prompt  *place.Prompt
	// VM is the index of the VM that has it, over all data centres.
	VM int
	// Retry counts the attempts before this one.
	Retry int
	// Sent is when the caller sent it, Arrived when it reached the VM, and
	// Deadline when the caller's time is over.
	Sent     time.Duration
	Arrived  time.Duration
	Deadline time.Duration
	// Tried holds the engines that are not asked again, Sends counts the sends.
	Tried place.Tried
	Sends int

	// queued counts it among those that its VM has deferred.
	queued *place.Ticket
	dc     int
	first  time.Duration
	last   time.Duration
	paused bool
	ended  bool
}

// world is one day being played.
type world struct {
	clock
	site    *Site
	day     *Day
	engines []*engine
	byID    map[string]*engine
	listed  []*fleet.Target
	policy  Policy
	random  *rand.Rand
	callers [][]int
	dcIndex map[string]int
	result  *Result
	// inHand holds the attempts not yet cleared, ended or not.
	inHand []*Attempt
	// wantedSince is when a change of stages was first wanted.
	wantedSince time.Duration
	// newcomers counts the engines that came in the place of those that left.
	newcomers int
}

// Play plays a day's requests under the policy that build makes.
func Play(s *Site, d *Day, requests []*Request, seed uint64, build Builder) *Result {
	w := &world{
		site: s, day: d, byID: map[string]*engine{}, dcIndex: map[string]int{},
		random: rand.New(rand.NewPCG(seed, worldStream)), result: newResult(s, d),
	}
	w.deal()
	w.policy = build(s, w, rand.New(rand.NewPCG(seed, policyStream)))
	for _, r := range requests {
		w.at(r.At, func() { w.send(r, 0) })
	}
	end := seconds(d.LengthS) + settleTime
	for t := time.Duration(0); t < end; t += reportInterval {
		w.at(t, func() { w.policy.Exchange(w.now) })
	}
	for t := stageInterval; t < end; t += stageInterval {
		w.at(t, w.restage)
	}
	w.schedule()
	w.run(end)
	return w.result
}

// Builder makes a policy for a fleet.
type Builder func(s *Site, f Fleet, random *rand.Rand) Policy

// The random streams of a day, besides that of its requests.
const (
	worldStream  = 1
	policyStream = 2
)

// deal sets up engines and callers.
func (w *world) deal() {
	vm := 0
	for i, dc := range w.site.DataCentres {
		w.dcIndex[dc.Name] = i
		prefill := w.site.Prefillers(dc)
		for k := range dc.Engines {
			stage := fleet.Decode
			if k < prefill {
				stage = fleet.Prefill
			}
			w.addEngine(dc.Name, stage, w.site.TimeFactor(len(w.engines)))
		}
		var callers []int
		for range dc.Callers {
			callers = append(callers, vm+w.random.IntN(dc.VMs))
		}
		w.callers = append(w.callers, callers)
		vm += dc.VMs
	}
	w.list()
}

func (w *world) addEngine(dc string, stage fleet.Stage, factor float64) {
	n := len(w.engines)
	t := &fleet.Target{ID: fmt.Sprintf("e%d", n), DataCentre: dc, Slots: w.site.Engine.Slots, Stage: stage}
	e := &engine{
		target: t, figures: &w.site.Engine, factor: factor, clock: &w.clock,
		memory: newMemory(w.site.Engine.KVTokens), total: &w.result.Reads,
	}
	w.engines = append(w.engines, e)
	w.byID[t.ID] = e
}

// list makes the list of engines anew; a target is never changed once listed.
func (w *world) list() {
	w.listed = nil
	for _, e := range w.engines {
		if !e.gone {
			w.listed = append(w.listed, e.target)
		}
	}
}

// Targets implements Fleet.
func (w *world) Targets() []*fleet.Target { return w.listed }

// Load implements Fleet.
func (w *world) Load(id string) (tokens, requests int) {
	e := w.byID[id]
	for _, r := range e.waiting {
		tokens += r.prompt.Tokens
	}
	for _, r := range e.reading {
		tokens += r.missing
	}
	return tokens, e.busy() + len(e.waiting)
}

// send has the caller send its request, for the n-th time from 0.
func (w *world) send(r *Request, n int) {
	c := &w.site.Classes[r.Class]
	if c.Plain {
		w.result.plain(r)
		return
	}
	if n == 0 {
		w.result.offered(r)
	}
	w.attempt(r, n)
}

// attempt begins the n-th attempt, or does so when VMs are there again.
func (w *world) attempt(r *Request, n int) {
	c := &w.site.Classes[r.Class]
	if back, stopped := w.stopped(); stopped {
		w.comeLater(r, n, back)
		return
	}
	prompt := *r.Prompt
	a := &Attempt{
		Request: r, Class: c, Prompt: &prompt, Retry: n, Sent: w.now, dc: r.DataCentre,
		Deadline: r.At + millis(c.DeadlineMS), Tried: place.Tried{},
	}
	callers := w.callers[r.DataCentre]
	a.VM = callers[r.Caller]
	if n > 0 {
		// A retry opens a new connection, which may reach another VM.
		a.VM = callers[w.random.IntN(len(callers))]
	}
	w.inHand = append(w.inHand, a)
	w.after(millis(w.site.Network.CallerMS), func() {
		a.Arrived = w.now
		a.Prompt.Limit, a.Prompt.FullLimit = a.Deadline-w.now, millis(c.DeadlineMS)
		w.place(a)
	})
}

// place decides for an attempt and sends it on.
func (w *world) place(a *Attempt) {
	if a.ended {
		return
	}
	if w.now >= a.Deadline {
		w.fail(a)
		return
	}
	d := w.policy.Read(a, w.now)
	if d.Refused {
		w.refuse(a, d.After)
		return
	}
	if d.Deferred {
		w.after(d.After, func() { w.place(a) })
		return
	}
	if d.Target == nil {
		w.refuse(a, time.Second)
		return
	}
	a.Sends++
	if d.InPlace {
		w.submit(a, d, &decoding{w: w, a: a, d: d})
		return
	}
	w.submit(a, d, &prefilling{w: w, a: a, d: d})
}

// job is a run at an engine with what the VM does next.
type job interface {
	outcome
	make() *run
}

// submit sends an attempt to an engine.
func (w *world) submit(a *Attempt, d Decision, j job) {
	e := w.byID[d.Target.ID]
	if !w.reaches(a.dc, e) || (e.down && e.silent) {
		w.after(dialTimeout, func() { w.unreachable(a, d) })
		return
	}
	hop := w.hop(a.dc, e)
	if e.down {
		w.after(2*hop, func() { w.unreachable(a, d) })
		return
	}
	w.after(hop, func() {
		r := j.make()
		w.at(r.ready, func() { w.enter(a, d, r) })
	})
}

// enter queues a run at its engine, or has it placed again where that is full.
func (w *world) enter(a *Attempt, d Decision, r *run) {
	e := w.byID[d.Target.ID]
	if e.submit(r) {
		w.watch(a, e, r)
		return
	}
	w.after(w.hop(a.dc, e), func() {
		d.Ticket.End(place.Refused, epoch.Add(w.now))
		w.again(a, d.Target.ID)
	})
}

// watch ends a run whose caller leaves before the first event.
func (w *world) watch(a *Attempt, e *engine, r *run) {
	w.at(a.Sent+patience, func() {
		if a.first == 0 && !r.over {
			r.expires = w.now
			e.wake()
		}
	})
	w.at(r.expires, e.wake)
}

func (w *world) unreachable(a *Attempt, d Decision) {
	d.Ticket.End(place.Unreachable, epoch.Add(w.now))
	w.again(a, d.Target.ID)
}

// maxSends bounds the engines that one attempt is sent to.
const maxSends = 4

// again places an attempt that has not run once more.
func (w *world) again(a *Attempt, not string) {
	a.Tried[not] = true
	if a.Sends >= maxSends {
		w.refuse(a, time.Second)
		return
	}
	w.place(a)
}

// hop is the time from a data centre to an engine.
func (w *world) hop(dc int, e *engine) time.Duration {
	if w.site.DataCentres[dc].Name == e.target.DataCentre {
		return millis(w.site.Network.WithinMS)
	}
	return millis(w.site.Network.BetweenMS)
}

// reaches says whether no cut lies between a data centre and an engine.
func (w *world) reaches(dc int, e *engine) bool {
	name := w.site.DataCentres[dc].Name
	for _, c := range w.day.Cuts {
		if w.now >= seconds(c.AtS) && w.now < seconds(c.AtS+c.ForS) &&
			name != e.target.DataCentre && (c.DataCentre == name || c.DataCentre == e.target.DataCentre) {
			return false
		}
	}
	return true
}

// refuse answers that the attempt has not run; the caller comes back once.
func (w *world) refuse(a *Attempt, after time.Duration) {
	if a.ended {
		return
	}
	w.end(a)
	w.after(millis(w.site.Network.CallerMS), func() {
		back := w.now + min(after, time.Duration(heededShare*float64(a.Deadline-w.now)))
		if a.Retry > 0 || back >= a.Deadline {
			w.result.refused(a)
			return
		}
		a.Request.refusedIn = w.now - a.Sent
		w.result.turnedAway(a)
		w.at(back, func() { w.attempt(a.Request, a.Retry+1) })
	})
}

// fail settles an attempt that is not answered in full.
func (w *world) fail(a *Attempt) {
	if !a.ended {
		w.end(a)
		w.result.failed(a)
	}
}

func (w *world) end(a *Attempt) {
	a.ended = true
	w.policy.Over(a)
}
