package model

import (
	"math/rand/v2"
	"time"

	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// reportInterval is the time between what VMs tell each other, for up to eight
// VMs.
const reportInterval = 10 * time.Millisecond

// epoch is the moment at which the virtual time begins.
var epoch = time.Unix(0, 0)

// Admission says whether a choice is taken.
type Admission interface {
	// Admit decides at now.
	Admit(a *Attempt, c place.Choice, now time.Duration) place.Verdict
	// Over says that an attempt is not in hand any more.
	Over(a *Attempt)
	// Priority is sent to the engines.
	Priority(a *Attempt) int
}

// placed places as the product does: a placer on each VM, which knows its own
// work and what the others last said.
type placed struct {
	fleet   Fleet
	spec    *fleet.EngineSpec
	views   []*view
	admit   Admission
	random  *rand.Rand
	placers []*place.Placer
}

// view is what one VM knows of the others' work.
type view struct{ work map[string]place.Work }

// Work implements place.Others.
func (v *view) Work(id string) place.Work { return v.work[id] }

// Age implements place.Others.
func (*view) Age() time.Duration { return reportInterval / 2 }

// NewPlaced places with the product's own placer on each VM of the site.
func NewPlaced(s *Site, f Fleet, admit Admission, random *rand.Rand) Policy {
	p := &placed{
		fleet: f, admit: admit, random: random,
		spec: &fleet.EngineSpec{Slots: s.Engine.Slots, KVTokens: s.Engine.KVTokens, MaxGap: s.maxGap()},
	}
	for _, dc := range s.DataCentres {
		for range dc.VMs {
			cfg := place.DefaultConfig(dc.Name)
			cfg.LinkMbps = s.Network.VMMbps
			cfg.Seed = random.Uint64() | 1
			v := &view{}
			p.views = append(p.views, v)
			p.placers = append(p.placers, place.New(cfg, v, func(t *fleet.Target) bool { return f.Changing(t.ID) }))
		}
	}
	return p
}

// maxGap is the shortest pause that a class of the site allows.
func (s *Site) maxGap() time.Duration {
	shortest := 0.0
	for i := range s.Classes {
		if ms := s.Classes[i].GapMS; ms > 0 && (shortest == 0 || ms < shortest) {
			shortest = ms
		}
	}
	return millis(shortest)
}

// Read implements Policy.
func (p *placed) Read(a *Attempt, now time.Duration) Decision {
	placer, at := p.placers[a.VM], epoch.Add(now)
	a.Prompt.Deferred = a.queued != nil
	c, ok := placer.Read(p.fleet.Targets(), p.spec, a.Prompt, a.Tried, at)
	if !ok {
		return Decision{}
	}
	verdict := place.Send
	if a.Sends == 0 {
		verdict = p.admit.Admit(a, c, now)
	}
	switch verdict {
	case place.Refuse:
		c.Ticket.End(place.Neutral, at)
		p.unqueue(a)
		return Decision{Refused: true, After: p.comeBack(a, now)}
	case place.Defer:
		c.Ticket.End(place.Neutral, at)
		if a.queued == nil {
			a.queued = placer.Wait(p.fleet.Targets()[0].Service, c)
		}
		return Decision{Deferred: true, After: lookAgain}
	}
	p.unqueue(a)
	placer.Commit(c, a.Prompt, at)
	return Decision{Target: c.Target, InPlace: c.InPlace, Ticket: c.Ticket, Priority: p.admit.Priority(a)}
}

// lookAgain is the time between two looks of a deferred request.
const lookAgain = 60 * time.Millisecond

// Bounds of the wait that a refused caller is told, in aims, and the part of
// what is left of its time that it heeds, as in package gateway.
const (
	minComeBack = 1.2
	maxComeBack = 3.0
	heededShare = 1.0 / 3
)

func (p *placed) comeBack(a *Attempt, now time.Duration) time.Duration {
	aims := minComeBack + (maxComeBack-minComeBack)*p.random.Float64()
	return min(millis(aims*a.Class.AimMS), time.Duration(heededShare*float64(a.Deadline-now)))
}

// Decode implements Policy.
func (p *placed) Decode(a *Attempt, from *fleet.Target, now time.Duration) Decision {
	c, ok := p.placers[a.VM].Decode(p.fleet.Targets(), p.spec, a.Prompt, from.DataCentre, a.Tried, epoch.Add(now))
	if !ok {
		return Decision{}
	}
	return Decision{Target: c.Target, Ticket: c.Ticket, Priority: p.admit.Priority(a)}
}

// Over implements Policy.
func (p *placed) Over(a *Attempt) {
	p.unqueue(a)
	p.admit.Over(a)
}

// unqueue notes that an attempt waits no longer.
func (p *placed) unqueue(a *Attempt) {
	a.queued.End(place.Neutral, epoch)
	a.queued = nil
}

// Exchange implements Policy.
func (p *placed) Exchange(now time.Duration) {
	total := make(map[string]place.Work)
	own := make([]map[string]place.Work, len(p.placers))
	uses := make([][]place.Use, len(p.placers))
	for i, placer := range p.placers {
		own[i], uses[i] = placer.Own(), placer.TakeUses()
		for id, w := range own[i] {
			total[id] = total[id].Plus(w)
		}
	}
	for i, placer := range p.placers {
		others := make(map[string]place.Work, len(total))
		for id, w := range total {
			others[id] = w.Minus(own[i][id])
		}
		p.views[i].work = others
		for j := range p.placers {
			if j != i {
				placer.Observe(uses[j], epoch.Add(now))
			}
		}
	}
}

// Today admits as the gateway does, but for the bound on what is deferred.
type Today struct {
	// sizes is what each VM knows of its callers' requests.
	sizes map[int]*fair.Sizes
	// placed is the bands of the attempts in hand.
	placed map[*Attempt]fair.Size
}

// NewToday returns the admission of a VM that starts.
func NewToday() *Today {
	return &Today{sizes: make(map[int]*fair.Sizes), placed: make(map[*Attempt]fair.Size)}
}

// Admit implements Admission.
func (t *Today) Admit(a *Attempt, c place.Choice, now time.Duration) place.Verdict {
	sizes, size := t.place(a)
	ruling := place.Judge(c, place.Asked{
		Objective: millis(a.Class.AimMS), Waited: now - a.Request.At,
		Held: now - a.Arrived, Left: a.Deadline - now, Patience: max(a.Sent+patience-now, 1),
		Favor: sizes.Favor(a.Class.Name, size),
	})
	if ruling.Verdict != place.Defer {
		sizes.Count(a.Class.Name, size, a.Retry == 0, ruling.Verdict == place.Send)
	}
	return ruling.Verdict
}

// place returns what the attempt's VM knows of sizes, and the attempt's own.
func (t *Today) place(a *Attempt) (*fair.Sizes, fair.Size) {
	sizes := t.sizes[a.VM]
	if sizes == nil {
		sizes = &fair.Sizes{}
		t.sizes[a.VM] = sizes
	}
	size, ok := t.placed[a]
	if !ok {
		size = sizes.Place(a.Class.Name, a.Prompt.Tokens, a.Prompt.Output)
		t.placed[a] = size
	}
	return sizes, size
}

// Over implements Admission.
func (t *Today) Over(a *Attempt) { delete(t.placed, a) }

// Priority implements Admission.
func (*Today) Priority(a *Attempt) int { return a.Class.Priority }

// Feasible admits what can begin by its deadline, and has the engines serve in
// the order of deadlines: the aims lie within 50 ms of each other, so that is
// nearly the order of arrival.
type Feasible struct{}

// Admit implements Admission.
func (Feasible) Admit(a *Attempt, c place.Choice, now time.Duration) place.Verdict {
	if c.Expected > millis(a.Class.AimMS)-(now-a.Request.At) {
		return place.Refuse
	}
	return place.Send
}

// Over implements Admission.
func (Feasible) Over(*Attempt) {}

// Priority implements Admission.
func (Feasible) Priority(*Attempt) int { return 0 }

// Shares reserves each class its part of the engines' time: what is in hand of
// a class, on all VMs, stays below its part.
type Shares struct {
	limits map[*Class]float64
	inHand map[*Class]float64
	work   map[*Attempt]float64
	engine *Engine
}

// NewShares deals the engines' time to the classes by what their mean requests
// take and how many come.
func NewShares(s *Site) *Shares {
	out := &Shares{limits: map[*Class]float64{}, inHand: map[*Class]float64{}, work: map[*Attempt]float64{}, engine: &s.Engine}
	engines, total := 0, 0.0
	for _, dc := range s.DataCentres {
		engines += dc.Engines
	}
	demand := make([]float64, len(s.Classes))
	for i := range s.Classes {
		if c := &s.Classes[i]; !c.Plain {
			demand[i] = c.Weight * out.time(c.Own.Mean, c.Events.Mean*float64(s.Engine.EventTokens))
			total += demand[i]
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if !c.Plain {
			stay := c.AimMS + c.Events.Mean*float64(s.Engine.EventTokens)*s.Engine.StepMS
			out.limits[c] = demand[i] / total * float64(engines) * stay
		}
	}
	return out
}

// time is the engine's time in milliseconds for a prompt and an answer.
func (s *Shares) time(prompt, output float64) float64 {
	return prompt/s.engine.PrefillPerMS + output*s.engine.StepMS/float64(s.engine.Slots)
}

// Admit implements Admission.
func (s *Shares) Admit(a *Attempt, c place.Choice, _ time.Duration) place.Verdict {
	need := s.time(float64(a.Prompt.Tokens-c.Cached), float64(a.Prompt.Output))
	if s.inHand[a.Class]+need > s.limits[a.Class] {
		return place.Refuse
	}
	s.inHand[a.Class] += need
	s.work[a] = need
	return place.Send
}

// Over implements Admission.
func (s *Shares) Over(a *Attempt) {
	s.inHand[a.Class] -= s.work[a]
	delete(s.work, a)
}

// Priority implements Admission.
func (*Shares) Priority(a *Attempt) int { return a.Class.Priority }
