package model

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// reportInterval is the interval at which VMs exchange reports in deployments of up to eight VMs.
const reportInterval = 10 * time.Millisecond

// epoch is the wall-clock time that corresponds to virtual time 0.
var epoch = time.Unix(0, 0)

// Admission decides whether an attempt is sent to the engine chosen for it, deferred or refused.
type Admission interface {
	// Admit decides at virtual time now on the attempt a, for which c was chosen. deferred describes
	// the deferred attempts of all VMs.
	Admit(a *Attempt, c place.Choice, deferred Deferred, now time.Duration) place.Verdict
	// Finish tells the admission that an attempt has ended, and whether it was served.
	Finish(a *Attempt, served bool, now time.Duration)
	// ExchangeReports has the VMs exchange what they share of their decisions.
	ExchangeReports()
	// Priority returns the priority to send to the engines, which serve lower values first.
	Priority(a *Attempt) int
}

// Deferred describes the deferred attempts of all VMs.
type Deferred struct {
	// Queue returns the queue for an attempt, of a favored size or not, and Engines is the number of engines.
	Queue   func(favored bool) place.Queue
	Engines int
	// Random is a random number, uniform in [0, 1).
	Random float64
}

// placerPolicy places attempts with the code that real VMs use: each VM has a place.Placer, which
// knows the work of its own VM and the latest reports of the other VMs. peers and placers are
// indexed by VM.
type placerPolicy struct {
	fleet     Fleet
	spec      *fleet.EngineSpec
	peers     []*peerWork
	admission Admission
	random    *rand.Rand
	placers   []*place.Placer
}

// peerWork is one VM's view of the work of the other VMs, by target id. It implements
// place.PeerWork.
type peerWork struct{ work map[string]place.Work }

// Work implements place.PeerWork.
func (v *peerWork) Work(id string) place.Work { return v.work[id] }

// Age implements place.PeerWork. It returns the mean age of the reports.
func (*peerWork) Age() time.Duration { return reportInterval / 2 }

// NewPlacerPolicy returns a policy that runs a place.Placer on each VM of the site.
func NewPlacerPolicy(s *Site, f Fleet, admission Admission, random *rand.Rand) Policy {
	p := &placerPolicy{
		fleet: f, admission: admission, random: random,
		spec: &fleet.EngineSpec{Slots: s.Engine.Slots, KVTokens: s.Engine.KVTokens, MaxGap: s.maxGap()},
	}
	for _, dc := range s.DataCentres {
		for range dc.VMs {
			cfg := place.DefaultConfig(dc.Name)
			cfg.LinkMbps = s.Network.VMMbps
			cfg.Seed = random.Uint64() | 1
			v := &peerWork{}
			p.peers = append(p.peers, v)
			p.placers = append(p.placers, place.New(cfg, v, func(t *fleet.Target) bool { return f.Changing(t.ID) }))
		}
	}
	return p
}

// maxGap returns the least of the classes' limits on the pause between two events, or 0 if no class
// has one.
func (s *Site) maxGap() time.Duration {
	shortest := 0.0
	for i := range s.Classes {
		if ms := s.Classes[i].GapMS; ms > 0 && (shortest == 0 || ms < shortest) {
			shortest = ms
		}
	}
	return millis(shortest)
}

// Prefill implements Policy.
func (p *placerPolicy) Prefill(a *Attempt, now time.Duration) Decision {
	placer, at := p.placers[a.VM], epoch.Add(now)
	targets := p.fleet.Targets()
	a.Prompt.Deferred = a.deferral != nil
	a.Prompt.MaxWait = a.admissionInput(now).MaxWait()
	c, ok := placer.Prefill(targets, p.spec, a.Prompt, a.Tried, at)
	if !ok {
		return Decision{}
	}
	verdict := place.Send
	if a.Sends == 0 {
		queue := func(favored bool) place.Queue { return placer.QueueFor(targets, a.Class.Name, favored) }
		verdict = p.admission.Admit(a, c, Deferred{Queue: queue, Engines: len(targets), Random: p.random.Float64()}, now)
	}
	switch verdict {
	case place.Refuse:
		c.Ticket.End(place.Neutral, at)
		p.endDeferral(a)
		return Decision{Refused: true, After: p.retryAfter(a, now)}
	case place.Defer:
		c.Ticket.End(place.Neutral, at)
		if a.deferral == nil {
			a.deferral = placer.AddDeferred(targets[0].Service, c)
			if a.favored {
				a.favoredDeferral = placer.AddFavored(targets[0].Service, a.Class.Name, c)
			}
		}
		return Decision{Deferred: true, After: recheckInterval}
	}
	p.endDeferral(a)
	if !placer.Commit(c, a.Prompt, at) {
		c.Ticket.End(place.Neutral, at)
		return Decision{Deferred: true, After: recheckInterval}
	}
	return Decision{Target: c.Target, InPlace: c.InPlace, Ticket: c.Ticket, Priority: p.admission.Priority(a)}
}

// recheckInterval is the time between two decisions on a deferred attempt.
const recheckInterval = 60 * time.Millisecond

// A refused caller is told to retry after minRetryObjectives to maxRetryObjectives times its
// latency objective, but waits for at most the fraction maxRetryShare of its remaining time, as in
// package gateway.
const (
	// minRetryObjectives is the minimum delay of a retry in multiples of the latency objective.
	minRetryObjectives = 1.2
	// maxRetryObjectives is the maximum delay of a retry in multiples of the latency objective, and
	// maxRetryShare the largest fraction of its remaining time for which a refused caller waits.
	maxRetryObjectives = 3.0
	maxRetryShare      = 1.0 / 3
)

// retryAfter returns the random delay after which a refused caller should retry.
func (p *placerPolicy) retryAfter(a *Attempt, now time.Duration) time.Duration {
	objectives := minRetryObjectives + (maxRetryObjectives-minRetryObjectives)*p.random.Float64()
	return min(millis(objectives*a.Class.AimMS), time.Duration(maxRetryShare*float64(a.Deadline-now)))
}

// Decode implements Policy.
func (p *placerPolicy) Decode(a *Attempt, from *fleet.Target, now time.Duration) Decision {
	c, ok := p.placers[a.VM].Decode(p.fleet.Targets(), p.spec, a.Prompt, from.DataCentre, a.Tried, epoch.Add(now))
	if !ok {
		return Decision{}
	}
	return Decision{Target: c.Target, Ticket: c.Ticket, Priority: p.admission.Priority(a)}
}

// Finish implements Policy.
func (p *placerPolicy) Finish(a *Attempt, served bool, now time.Duration) {
	p.endDeferral(a)
	p.admission.Finish(a, served, now)
}

// endDeferral ends the deferral of an attempt. It does nothing if the attempt is not deferred.
func (p *placerPolicy) endDeferral(a *Attempt) {
	a.deferral.End(place.Neutral, epoch)
	a.favoredDeferral.End(place.Neutral, epoch)
	a.deferral, a.favoredDeferral = nil, nil
}

// ExchangeReports implements Policy.
func (p *placerPolicy) ExchangeReports(now time.Duration) {
	p.admission.ExchangeReports()
	total := make(map[string]place.Work)
	own := make([]map[string]place.Work, len(p.placers))
	records := make([][]place.SendRecord, len(p.placers))
	for i, placer := range p.placers {
		own[i], records[i] = placer.Own(), placer.TakeSendRecords()
		for id, w := range own[i] {
			total[id] = total[id].Plus(w)
		}
	}
	for i, placer := range p.placers {
		others := make(map[string]place.Work, len(total))
		for id, w := range total {
			others[id] = w.Minus(own[i][id])
		}
		p.peers[i].work = others
		for j := range p.placers {
			if j != i {
				placer.Observe(records[j], epoch.Add(now))
			}
		}
	}
}

// GatewayAdmission admits as package gateway does.
type GatewayAdmission struct {
	// sizes counts, by VM, the requests of each size class that were decided on and admitted.
	sizes map[int]*fair.Sizes
	// classified holds the size class of each attempt that has not ended.
	classified map[*Attempt]fair.Size
}

// NewGatewayAdmission returns an admission without statistics, as in newly started VMs.
func NewGatewayAdmission() *GatewayAdmission {
	return &GatewayAdmission{sizes: make(map[int]*fair.Sizes), classified: make(map[*Attempt]fair.Size)}
}

// Admit implements Admission.
func (g *GatewayAdmission) Admit(a *Attempt, c place.Choice, deferred Deferred, now time.Duration) place.Verdict {
	sizes, size := g.classify(a)
	in := a.admissionInput(now)
	in.Favor = sizes.Favor(a.Class.Name, size)
	queue := deferred.Queue(in.Favor > 0)
	a.favored, in.Ahead = in.Favor > 0, queue.Ahead
	if a.deferral == nil {
		in.QueueTime = queue.Prefill / time.Duration(max(deferred.Engines, 1))
	} else {
		in.QueuedPrefill, in.CheckInterval, in.Random = queue.Prefill, recheckInterval, deferred.Random
	}
	ruling := place.Admit(c, in)
	if ruling.Verdict != place.Defer && ruling.Reason != place.TooLongToPrefill && !a.admitted {
		a.admitted = ruling.Verdict == place.Send
		sizes.Count(a.Class.Name, size, a.Retry == 0, a.admitted, epoch.Add(now))
	}
	return ruling.Verdict
}

// admissionInput returns the part of the input of an admission decision that does not depend on the
// chosen engine.
func (a *Attempt) admissionInput(now time.Duration) place.AdmissionInput {
	return place.AdmissionInput{
		Objective: millis(a.Class.AimMS), Waited: now - a.Request.At,
		HeldFor: now - a.Arrived, TimeLeft: a.Deadline - now, Patience: max(a.Sent+a.Class.Patience()-now, 1),
	}
}

// classify returns the statistics of the attempt's VM and the attempt's size class.
func (g *GatewayAdmission) classify(a *Attempt) (*fair.Sizes, fair.Size) {
	sizes := g.sizes[a.VM]
	if sizes == nil {
		sizes = &fair.Sizes{}
		sizes.SetGroupSize(func() int { return len(g.sizes) })
		g.sizes[a.VM] = sizes
	}
	size, ok := g.classified[a]
	if !ok {
		size = sizes.Classify(a.Class.Name, a.Prompt.Tokens, a.Prompt.Output)
		g.classified[a] = size
	}
	return sizes, size
}

// ExchangeReports implements Admission.
func (g *GatewayAdmission) ExchangeReports() {
	vms := slices.Sorted(maps.Keys(g.sizes))
	for _, from := range vms {
		shared := g.sizes[from].TakeOutcomes()
		for _, to := range vms {
			if to != from && len(shared) > 0 {
				g.sizes[to].ObserveOutcomes(shared)
			}
		}
	}
}

// Finish implements Admission.
func (g *GatewayAdmission) Finish(a *Attempt, served bool, now time.Duration) {
	if a.admitted {
		sizes, size := g.classify(a)
		sizes.End(a.Class.Name, size, a.Retry == 0, served, epoch.Add(now))
	}
	delete(g.classified, a)
}

// Priority implements Admission.
func (*GatewayAdmission) Priority(a *Attempt) int { return a.Class.Priority }

// DeadlineAdmission admits attempts that can begin within their latency objective. All have one
// priority, so engines serve them in order of arrival. This is nearly the order in which they must
// begin, since the objectives of the classes lie within 50 ms of each other.
type DeadlineAdmission struct{}

// Admit implements Admission.
func (DeadlineAdmission) Admit(a *Attempt, c place.Choice, _ Deferred, now time.Duration) place.Verdict {
	if c.Expected > millis(a.Class.AimMS)-(now-a.Request.At) {
		return place.Refuse
	}
	return place.Send
}

// ExchangeReports implements Admission.
func (DeadlineAdmission) ExchangeReports() {}

// Finish implements Admission.
func (DeadlineAdmission) Finish(*Attempt, bool, time.Duration) {}

// Priority implements Admission.
func (DeadlineAdmission) Priority(*Attempt) int { return 0 }

// ShareAdmission reserves a fraction of the engines' time for each class: the admitted work of a
// class over all VMs stays within its limit.
//
// limits holds the limit of each class, admitted the unfinished work of each class, and work the
// work of each unfinished attempt. All are engine time in milliseconds.
type ShareAdmission struct {
	limits   map[*Class]float64
	admitted map[*Class]float64
	work     map[*Attempt]float64
	engine   *Engine
}

// NewShareAdmission divides the engines' time among the classes in proportion to their weight
// times the engine time of their mean request.
func NewShareAdmission(s *Site) *ShareAdmission {
	out := &ShareAdmission{limits: map[*Class]float64{}, admitted: map[*Class]float64{}, work: map[*Attempt]float64{}, engine: &s.Engine}
	engines, total := 0, 0.0
	for _, dc := range s.DataCentres {
		engines += dc.Engines
	}
	demand := make([]float64, len(s.Classes))
	for i := range s.Classes {
		if c := &s.Classes[i]; !c.Plain {
			demand[i] = c.Weight * out.engineTimeMS(c.Own.Mean, c.Events.Mean*float64(s.Engine.EventTokens))
			total += demand[i]
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if !c.Plain {
			duration := c.AimMS + c.Events.Mean*float64(s.Engine.EventTokens)*s.Engine.StepMS
			out.limits[c] = demand[i] / total * float64(engines) * duration
		}
	}
	return out
}

// engineTimeMS returns the engine time in milliseconds that a prompt and an answer take, given
// in tokens.
func (s *ShareAdmission) engineTimeMS(prompt, output float64) float64 {
	return prompt/s.engine.PrefillPerMS + output*s.engine.StepMS/float64(s.engine.Slots)
}

// Admit implements Admission.
func (s *ShareAdmission) Admit(a *Attempt, c place.Choice, _ Deferred, _ time.Duration) place.Verdict {
	need := s.engineTimeMS(float64(a.Prompt.Tokens-c.Cached), float64(a.Prompt.Output))
	if s.admitted[a.Class]+need > s.limits[a.Class] {
		return place.Refuse
	}
	s.admitted[a.Class] += need
	s.work[a] = need
	return place.Send
}

// ExchangeReports implements Admission.
func (*ShareAdmission) ExchangeReports() {}

// Finish implements Admission.
func (s *ShareAdmission) Finish(a *Attempt, _ bool, _ time.Duration) {
	s.admitted[a.Class] -= s.work[a]
	delete(s.work, a)
}

// Priority implements Admission.
func (*ShareAdmission) Priority(a *Attempt) int { return a.Class.Priority }
