package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

const (
	// listingDelay is the delay until a change appears in the listing of engines that VMs see, and
	// crashListingDelay the time for which a crashed engine stays listed: three intervals of its
	// regular writes to the listing, per the users' specification.
	listingDelay      = 800 * time.Millisecond
	crashListingDelay = 3600 * time.Millisecond
	// dialTimeout is how long a VM waits to connect to an engine that does not answer.
	dialTimeout = 250 * time.Millisecond
	// drainTime is how long a leaving engine keeps serving, per the users' specification.
	drainTime = 2 * time.Second
	// maxTransferWait is the longest wait for a link between engines. If a KV cache would have to
	// wait longer, the prompt is prefilled again instead.
	maxTransferWait = 2 * time.Second
	// remoteTransferFactor is how many times longer a transfer between data centres takes.
	remoteTransferFactor = 2
	// settleTime is how long the simulation continues after the day's last requests arrive.
	settleTime = 20 * time.Second
)

// Attempt is one attempt of a request, as sent to a VM.
type Attempt struct {
	Request *Request
	Class   *Class
	Prompt  *place.Prompt
	// VM is the index of the VM that serves the attempt, counted over all data centres.
	VM int
	// Retry is the number of attempts before this one.
	Retry int
	// Sent is when the caller sent the attempt, Arrived when it reached the VM, and Deadline
	// when the time limit of the request ends.
	Sent     time.Duration
	Arrived  time.Duration
	Deadline time.Duration
	// Tried holds the engines that are not to be tried again, and Sends counts how often the
	// attempt was sent to an engine.
	Tried place.Tried
	Sends int

	// deferral is the ticket that counts the attempt among those that its VM defers. It is nil
	// while the attempt is not deferred. favoredDeferral counts it among the favored ones.
	deferral        *place.Ticket
	favoredDeferral *place.Ticket
	// dataCentre is the index of the data centre of caller and VM.
	dataCentre int
	// firstEventAt and lastEventAt are when the caller received the first and the latest
	// event; 0 means none. gapExceeded says that a pause between two events was longer than
	// the class allows, and ended that the outcome of the attempt is decided.
	firstEventAt time.Duration
	lastEventAt  time.Duration
	gapExceeded  bool
	ended        bool
	// favored says that the size of the request is served less often than others, and admitted that the
	// attempt was sent to an engine.
	favored  bool
	admitted bool
}

// simulation is the state of one day being simulated.
type simulation struct {
	clock
	site *Site
	day  *Day
	// engines holds all engines including delisted ones, and listed the targets in the listing
	// that VMs see. byID holds the engines by target id.
	engines []*engine
	byID    map[string]*engine
	listed  []*fleet.Target
	policy  Policy
	random  *rand.Rand
	// callerVMs holds the VM index of each caller, by data centre, and dcIndex the index of each
	// data centre by name.
	callerVMs [][]int
	dcIndex   map[string]int
	result    *Result
	// attempts holds the attempts made since VMs were last stopped, ended or not.
	attempts []*Attempt
	// changeWantedSince is the start of the present period in which stage changes are wanted
	// without interruption, or 0 if none are wanted.
	changeWantedSince time.Duration
	// replacements counts the engines that replaced drained ones.
	replacements int
}

// Play simulates a day's requests under the policy that build returns. seed sets the random choices
// of the simulation and of the policy.
func Play(s *Site, d *Day, requests []*Request, seed uint64, build Builder) *Result {
	sim := &simulation{
		site: s, day: d, byID: map[string]*engine{}, dcIndex: map[string]int{},
		random: rand.New(rand.NewPCG(seed, simulationStream)), result: newResult(s, d),
	}
	sim.setUp()
	sim.policy = build(s, sim, rand.New(rand.NewPCG(seed, policyStream)))
	for _, r := range requests {
		sim.at(r.At, func() { sim.send(r, 0) })
	}
	end := seconds(d.LengthS) + settleTime
	for t := time.Duration(0); t < end; t += reportInterval {
		sim.at(t, func() { sim.policy.ExchangeReports(sim.now) })
	}
	for t := stageInterval; t < end; t += stageInterval {
		sim.at(t, sim.adjustStages)
	}
	sim.scheduleFaults()
	sim.runUntil(end)
	return sim.result
}

// Builder makes a policy for a fleet of engines.
type Builder func(s *Site, f Fleet, random *rand.Rand) Policy

// Second PCG seeds of the random generators of the simulation and of the policy; the first seed is
// the one given to Play. The generator of the requests has Day.Seed as its second seed.
const (
	// simulationStream is the second seed of the random generator of the simulation, and
	// policyStream that of the policy.
	simulationStream = 1
	policyStream     = 2
)

// setUp creates the engines and assigns each caller to a VM.
func (sim *simulation) setUp() {
	vm := 0
	for i, dc := range sim.site.DataCentres {
		sim.dcIndex[dc.Name] = i
		prefill := sim.site.PrefillEngines(dc)
		for k := range dc.Engines {
			stage := fleet.Decode
			if k < prefill {
				stage = fleet.Prefill
			}
			sim.addEngine(dc.Name, stage, sim.site.TimeFactor(len(sim.engines)))
		}
		var callers []int
		for range dc.Callers {
			callers = append(callers, vm+sim.random.IntN(dc.VMs))
		}
		sim.callerVMs = append(sim.callerVMs, callers)
		vm += dc.VMs
	}
	sim.refreshListing()
}

// addEngine adds an engine with an empty cache. It does not update the listing.
func (sim *simulation) addEngine(dc string, stage fleet.Stage, factor float64) {
	n := len(sim.engines)
	t := &fleet.Target{ID: fmt.Sprintf("e%d", n), DataCentre: dc, Slots: sim.site.Engine.Slots, Stage: stage}
	e := &engine{
		target: t, spec: &sim.site.Engine, timeFactor: factor, clock: &sim.clock,
		cache: newKVCache(sim.site.Engine.KVTokens), tokens: &sim.result.Tokens,
	}
	sim.engines = append(sim.engines, e)
	sim.byID[t.ID] = e
}

// refreshListing rebuilds the listing of engines. A listed target is never modified.
func (sim *simulation) refreshListing() {
	sim.listed = nil
	for _, e := range sim.engines {
		if !e.delisted {
			sim.listed = append(sim.listed, e.target)
		}
	}
}

// Targets implements Fleet.
func (sim *simulation) Targets() []*fleet.Target { return sim.listed }

// Load implements Fleet.
func (sim *simulation) Load(id string) (tokens, requests int) {
	e := sim.byID[id]
	for _, r := range e.waiting {
		tokens += r.prompt.Tokens
	}
	for _, r := range e.prefilling {
		tokens += r.toPrefill
	}
	return tokens, e.busySlots() + len(e.waiting)
}

// send starts the n-th attempt of a caller's request, counted from 0, or records a plain request.
func (sim *simulation) send(r *Request, n int) {
	c := &sim.site.Classes[r.Class]
	if c.Plain {
		sim.result.recordPlain(r)
		return
	}
	if n == 0 {
		sim.result.recordOffered(r)
	}
	sim.attempt(r, n)
}

// attempt starts the n-th attempt, counted from 0, or postpones it while the VMs are stopped.
func (sim *simulation) attempt(r *Request, n int) {
	c := &sim.site.Classes[r.Class]
	if back, stopped := sim.vmsStopped(); stopped {
		sim.retryAfterStop(r, n, back)
		return
	}
	prompt := *r.Prompt
	a := &Attempt{
		Request: r, Class: c, Prompt: &prompt, Retry: n, Sent: sim.now, dataCentre: r.DataCentre,
		Deadline: r.At + millis(c.DeadlineMS), Tried: place.Tried{},
	}
	callers := sim.callerVMs[r.DataCentre]
	a.VM = callers[r.Caller]
	if n > 0 {
		// A retry opens a new connection, which may reach another VM.
		a.VM = callers[sim.random.IntN(len(callers))]
	}
	sim.attempts = append(sim.attempts, a)
	sim.after(millis(sim.site.Network.CallerMS), func() {
		a.Arrived = sim.now
		a.Prompt.Limit, a.Prompt.InitialLimit = a.Deadline-sim.now, millis(c.DeadlineMS)
		sim.place(a)
	})
}

// place asks the policy for an engine and sends the attempt to it.
func (sim *simulation) place(a *Attempt) {
	if a.ended {
		return
	}
	if sim.now >= a.Deadline {
		sim.failAttempt(a)
		return
	}
	d := sim.policy.Prefill(a, sim.now)
	if d.Refused {
		sim.refuse(a, d.After)
		return
	}
	if d.Deferred {
		sim.after(d.After, func() { sim.place(a) })
		return
	}
	if d.Target == nil {
		sim.refuse(a, time.Second)
		return
	}
	a.Sends++
	if d.InPlace {
		sim.dispatch(a, d, &decodePhase{sim: sim, attempt: a, decision: d})
		return
	}
	sim.dispatch(a, d, &prefillPhase{sim: sim, attempt: a, decision: d})
}

// phase is one part of serving an attempt: its prefill on a prefill engine, or its decoding. It
// creates the sequence for the engine and reacts to the progress of the sequence.
type phase interface {
	sequenceObserver
	newSequence() *sequence
}

// dispatch sends an attempt to the engine of the decision, for the phase p.
func (sim *simulation) dispatch(a *Attempt, d Decision, p phase) {
	e := sim.byID[d.Target.ID]
	if !sim.reachable(a.dataCentre, e) || (e.down && e.silent) {
		sim.after(dialTimeout, func() { sim.handleUnreachable(a, d) })
		return
	}
	hop := sim.hopDelay(a.dataCentre, e)
	if e.down {
		sim.after(2*hop, func() { sim.handleUnreachable(a, d) })
		return
	}
	sim.after(hop, func() {
		seq := p.newSequence()
		sim.at(seq.readyAt, func() { sim.enqueue(a, d, seq) })
	})
}

// enqueue submits a sequence to its engine. If the engine's queue is full or the engine is down, it
// places the attempt elsewhere.
func (sim *simulation) enqueue(a *Attempt, d Decision, seq *sequence) {
	e := sim.byID[d.Target.ID]
	if e.submit(seq) {
		sim.scheduleExpiry(a, e, seq)
		return
	}
	sim.after(sim.hopDelay(a.dataCentre, e), func() {
		d.Ticket.End(place.Refused, epoch.Add(sim.now))
		sim.placeElsewhere(a, d.Target.ID)
	})
}

// scheduleExpiry schedules the end of a sequence at its deadline, and earlier if the caller has not
// received a first event within its patience.
func (sim *simulation) scheduleExpiry(a *Attempt, e *engine, seq *sequence) {
	sim.at(a.Sent+a.Class.Patience(), func() {
		if a.firstEventAt == 0 && !seq.finished {
			seq.expiresAt = sim.now
			e.wake()
		}
	})
	sim.at(seq.expiresAt, e.wake)
}

// handleUnreachable places an attempt elsewhere after the connection to its engine failed.
func (sim *simulation) handleUnreachable(a *Attempt, d Decision) {
	d.Ticket.End(place.Unreachable, epoch.Add(sim.now))
	sim.placeElsewhere(a, d.Target.ID)
}

// maxSends limits how many engines one attempt is sent to.
const maxSends = 4

// placeElsewhere places an attempt again, on an engine other than the excluded one. It refuses an
// attempt that has been sent maxSends times.
func (sim *simulation) placeElsewhere(a *Attempt, excluded string) {
	a.Tried[excluded] = true
	if a.Sends >= maxSends {
		sim.refuse(a, time.Second)
		return
	}
	sim.place(a)
}

// hopDelay returns the one-way delay between a data centre and an engine.
func (sim *simulation) hopDelay(dc int, e *engine) time.Duration {
	if sim.site.DataCentres[dc].Name == e.target.DataCentre {
		return millis(sim.site.Network.WithinMS)
	}
	return millis(sim.site.Network.BetweenMS)
}

// reachable reports whether no cut separates a data centre from an engine at present.
func (sim *simulation) reachable(dc int, e *engine) bool {
	name := sim.site.DataCentres[dc].Name
	for _, c := range sim.day.Cuts {
		if sim.now >= seconds(c.AtS) && sim.now < seconds(c.AtS+c.ForS) &&
			name != e.target.DataCentre && (c.DataCentre == name || c.DataCentre == e.target.DataCentre) {
			return false
		}
	}
	return true
}

// refuse ends an attempt that no engine serves. If it was the first attempt, the caller retries
// after the given delay or after the fraction maxRetryShare of its remaining time, whichever is
// shorter.
func (sim *simulation) refuse(a *Attempt, after time.Duration) {
	if a.ended {
		return
	}
	sim.endAttempt(a, false)
	sim.after(millis(sim.site.Network.CallerMS), func() {
		back := sim.now + min(after, time.Duration(maxRetryShare*float64(a.Deadline-sim.now)))
		if a.Retry > 0 || back >= a.Deadline {
			sim.result.recordRefused(a)
			return
		}
		a.Request.refusalDelay = sim.now - a.Sent
		sim.result.recordRetry(a)
		sim.at(back, func() { sim.attempt(a.Request, a.Retry+1) })
	})
}

// failAttempt ends an attempt whose answer is not completed.
func (sim *simulation) failAttempt(a *Attempt) {
	if !a.ended {
		sim.endAttempt(a, false)
		sim.result.recordFailed(a)
	}
}

// endAttempt marks an attempt as ended and tells the policy.
func (sim *simulation) endAttempt(a *Attempt, served bool) {
	a.ended = true
	sim.policy.Finish(a, served, sim.now)
}
