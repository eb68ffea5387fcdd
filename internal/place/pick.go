package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/internal/fleet"
)

// Choice is a target chosen for a request.
type Choice struct {
	Target *fleet.Target
	// Ticket counts the request as work in progress at the target.
	Ticket *Ticket
	// Expected is the estimated time until the answer begins.
	Expected time.Duration
	// OwnPrefill is the part of Expected that the prefill of this request's own prompt takes.
	// PrefillKnown is set if prefills of about the prompt's size have been observed recently.
	OwnPrefill   time.Duration
	PrefillKnown bool
	// SeatWait is the part of Expected that the request waits for a seat in a batch.
	SeatWait time.Duration
	// Cached is the estimated number of the prompt's tokens that the target has cached.
	Cached int
	// InPlace is set if the decode target that runs the request also prefills its prompt.
	InPlace bool
	// FreeCapacity is how much more prefill work the targets can be given before this request would
	// no longer be sent.
	FreeCapacity time.Duration
	// ReportAge is the average age of the reports on the work of other VMs.
	ReportAge time.Duration
	// Failing is the fraction of the recent requests to the target that failed, as far as this VM knows.
	Failing float64
	// Seat is the estimate of decoding the answer at the target, if it is a decode target.
	Seat Seat
	// reserved is the id of the run of the limited decode target to which the request is to be handed
	// off, or empty.
	reserved string
}

// Seat holds the estimates for a request's place in the batch of a decode target, made when the
// target was chosen.
type Seat struct {
	// Running is the number of other requests that the target ran already.
	Running int
	// LongestAnswer is the estimated time of the longest answer that the request may have, at the
	// speed of a batch with Running other requests.
	LongestAnswer time.Duration
	// EventTokens is the number of tokens in an event that LongestAnswer is estimated with, and
	// StepSamples the number of measurements of decode steps that it is based on.
	EventTokens float64
	StepSamples int
}

// Wait returns the expected time until the answer begins, less the request's own prefill.
func (c Choice) Wait() time.Duration { return c.Expected - c.OwnPrefill }

// Tried is the set of ids of targets that must not be chosen again for a request.
type Tried map[string]bool

// Plain chooses the target of a plain request: the one with the least cost by load, health and data
// centre. It starts the comparison at the target that random selects, so that ties are broken at
// random. It returns false if no target can be used.
func (p *Placer) Plain(targets []*fleet.Target, tried Tried, random uint64, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *fleet.Target
	var lowest time.Duration
	for i := range targets {
		t := targets[(i+int(random%uint64(len(targets))))%len(targets)]
		if t.Leaving || tried[t.ID] || !p.withinLimit(t.RunID(), now) {
			continue
		}
		cost := p.plainCost(t, now)
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	p.takePermit(best.RunID(), now)
	p.recordOwn(SendRecord{Target: best.RunID()}, now)
	ticket := p.begin(best, Work{Running: 1}, now)
	ticket.task = taskPlain
	return Choice{Target: best, Expected: lowest, Ticket: ticket}, true
}

// plainCost returns the cost of a plain request at t. The caller holds p.mu.
func (p *Placer) plainCost(t *fleet.Target, now time.Time) time.Duration {
	load := float64(p.totalWork(t.RunID()).Running+1) / float64(max(t.Slots, 1))
	cost := time.Duration(load * load * float64(p.profile(t.Service).PlainTime()))
	return cost + p.remotePenalty(t) + p.healthPenalty(p.stateOf(t), now)
}

// Prefill chooses where a prompt is prefilled: at a prefill target, or in place at the decode
// target that then runs the request. spec describes the engines, and targets that were tried are
// not chosen. It returns false if no target can be used.
func (p *Placer) Prefill(targets []*fleet.Target, spec *fleet.EngineSpec, q *Prompt, tried Tried, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(targets) == 0 {
		return Choice{}, false
	}
	req := prefillRequest{service: targets[0].Service, est: p.estimatesFor(targets, spec), prompt: q, tried: tried, now: now, keepMaxGap: !p.cfg.Off.Pauses}
	p.setBatchNeeds(&req.est, targets, q, now)
	req.decodeTarget, req.decodeSeat = p.pickDecode(p.sampleDecodeTargets(targets), req.est, "", tried, now)
	best, chosen := p.bestPrefill(p.sampleTargets(targets, q), req)
	if best.Target == nil {
		// No target was found that keeps the maximum gap of its streams. Without that limit, the
		// streams of the chosen target may have to wait for this prompt.
		req.keepMaxGap = false
		req.decodeTarget, req.decodeSeat = p.pickDecode(targets, req.est, "", tried, now)
		best, chosen = p.bestPrefill(targets, req)
	}
	if best.Target == nil {
		return Choice{}, false
	}
	best.Ticket = p.begin(best.Target, chosen.work, now)
	best.Ticket.setExpected(chosen, q)
	return best, true
}

// pickCandidate returns the index of the candidate to use. This is the cheapest one whose target
// has all shared parts of the prompt cached, if the picker finds it worth keeping the session
// there, and otherwise one that the picker draws. The caller holds p.mu.
func (p *Placer) pickCandidate(candidates []candidate, picker *staleLoadPicker, q *Prompt) int {
	shared := q.sharedTokens()
	for _, i := range picker.order[:picker.reached] {
		if shared > 0 && candidates[i].cached >= shared && picker.keepsSession(i) {
			return i
		}
	}
	return picker.pick(p.random.Float64())
}

// prefillRequest describes a prompt to be prefilled and what its placement depends on.
type prefillRequest struct {
	// service is the name of the targets' service.
	service string
	est     estimates
	prompt  *Prompt
	tried   Tried
	now     time.Time
	// decodeTarget is the target with the cheapest seat for the request if it is prefilled separately
	// and handed off, and decodeSeat is that seat. decodeTarget is nil if there is none.
	decodeTarget *fleet.Target
	decodeSeat   seat
	// keepMaxGap is set if no running stream may be delayed beyond its maximum gap between events.
	keepMaxGap bool
}

// bestPrefill chooses one of the targets to prefill the prompt, and returns the choice and the
// candidate that it was made from. It chooses by cost, and allows for work of other VMs that has
// not been reported yet (see staleLoadPicker). Both results are zero if no target can be used. The
// caller holds p.mu.
func (p *Placer) bestPrefill(targets []*fleet.Target, req prefillRequest) (Choice, candidate) {
	link := p.linkWait(req.now) + p.linkTime(req.prompt)
	candidates := make([]candidate, 0, len(targets))
	costs := make([]time.Duration, 0, len(targets))
	for _, t := range targets {
		if !p.usable(t, req.tried) || (t.Stage == fleet.Prefill && req.decodeTarget == nil) || !p.withinLimit(t.RunID(), req.now) {
			continue
		}
		c, ok := p.evaluate(t, req)
		if !ok {
			continue
		}
		c.expected += link
		candidates, costs = append(candidates, c), append(costs, c.cost)
	}
	if len(candidates) == 0 {
		return Choice{}, candidate{}
	}
	age := p.others.Age()
	unreported := p.peerInflow(req.service).expectedWithin(age, req.now)
	chosen := candidates[p.pickCandidate(candidates, newStaleLoadPicker(costs, unreported), req.prompt)]
	reserved := ""
	if chosen.target.Stage == fleet.Prefill && p.stateOf(req.decodeTarget).limit.Stated {
		reserved = req.decodeTarget.RunID()
	}
	return Choice{
		reserved: reserved, Failing: p.stateOf(chosen.target).failing(req.now),
		Target: chosen.target, Expected: chosen.expected, OwnPrefill: chosen.ownPrefill, SeatWait: chosen.seatWait, Cached: chosen.cached, InPlace: chosen.target.Stage != fleet.Prefill,
		PrefillKnown: req.est.KnowsPrefill(req.prompt.Tokens, chosen.cached),
		FreeCapacity: freeCapacity(candidates, req.prompt.MaxWait, unreported), ReportAge: age, Seat: req.est.seatEstimate(p.stateOf(chosen.target), chosen.running, req.prompt),
	}, chosen
}

// Commit records that the request of a choice by Prefill is sent to the chosen target, which has
// the prompt cached from now on, and reserves the VM's link for the send. It returns false, and
// records nothing, if other requests have used up the limit of the target, or that of the decode
// target, since the choice. The request must not be sent then.
func (p *Placer) Commit(c Choice, q *Prompt, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.withinLimit(c.Target.RunID(), now) || (c.reserved != "" && !p.withinLimit(c.reserved, now)) {
		return false
	}
	p.takePermit(c.Target.RunID(), now)
	if q.reservedTarget = c.reserved; c.reserved != "" {
		p.takePermit(c.reserved, now)
	}
	p.recordOwnPrompt(SendRecord{Target: c.Target.RunID(), Missing: q.Tokens - c.Cached, Prefills: true}, q, now)
	p.occupyLink(q, now)
	return true
}

// AllButOne returns the set of all targets except one, so that a request can only be sent to that
// target. The target left out is the one with the highest hash of its run id and key, among the
// targets that run requests, can be reached and are not in tried. If there is no such target, the
// set holds all targets. Requests that may crash their targets are sent to different targets this
// way. If two were sent to the same one, its crash would count against both requests.
func (p *Placer) AllButOne(targets []*fleet.Target, tried Tried, key []byte) Tried {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept *fleet.Target
	var highest uint64
	out := make(Tried, len(targets))
	for _, t := range targets {
		out[t.ID] = true
		if t.Stage == fleet.Prefill || !p.usable(t, tried) || p.stateOf(t).connErrors > 0 {
			continue
		}
		if weight := xxhash.Sum64(append([]byte(t.RunID()), key...)); kept == nil || weight > highest {
			kept, highest = t, weight
		}
	}
	if kept != nil {
		delete(out, kept.ID)
	}
	return out
}

// usable reports whether t may be given a request: t is neither leaving nor changing its stage, and
// is not in tried.
func (p *Placer) usable(t *fleet.Target, tried Tried) bool {
	return !t.Leaving && !tried[t.ID] && !p.changingStage(t)
}

// pickDecode returns the decode target with the cheapest seat for a prefilled prompt, together with
// that seat. It returns a nil target if none can decode the prompt. near is the data centre of the
// target that holds the prompt's KV cache, or empty if it is not known. The caller holds p.mu.
func (p *Placer) pickDecode(targets []*fleet.Target, est estimates, near string, tried Tried, now time.Time) (*fleet.Target, seat) {
	var best *fleet.Target
	var lowest seat
	for _, t := range targets {
		if t.Stage == fleet.Prefill || !p.usable(t, tried) || !p.withinLimit(t.RunID(), now) {
			continue
		}
		s := est.seatAt(t, p.stateOf(t), p.totalWork(t.RunID()), now)
		s.cost += p.remotePenalty(t) + p.healthPenalty(p.stateOf(t), now) + p.jitter()
		if near != "" && t.DataCentre != near {
			s.cost += max(p.cfg.RemotePenalty, p.distance(t.DataCentre), p.distance(near))
		}
		if best == nil || s.cost < lowest.cost {
			best, lowest = t, s
		}
	}
	return best, lowest
}

// reservedSeat returns the decode target whose permit Commit has taken for the request, and the seat
// there. It returns a nil target if there is none, or if that target cannot be used any more. The
// caller holds p.mu.
func (p *Placer) reservedSeat(targets []*fleet.Target, est estimates, q *Prompt, tried Tried, now time.Time) (*fleet.Target, seat) {
	reserved := q.reservedTarget
	q.reservedTarget = ""
	if reserved == "" {
		return nil, seat{}
	}
	for _, t := range targets {
		if t.RunID() == reserved && t.Stage != fleet.Prefill && p.usable(t, tried) {
			return t, est.seatAt(t, p.stateOf(t), p.totalWork(t.RunID()), now)
		}
	}
	return nil, seat{}
}

// Decode chooses the decode target for a prefilled prompt and records that the request is sent to
// that target. near is the data centre of the target that holds the prompt's KV cache, or empty if
// it is not known. It returns false if no target can be used.
func (p *Placer) Decode(targets []*fleet.Target, spec *fleet.EngineSpec, q *Prompt, near string, tried Tried, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	est := p.estimatesFor(targets, spec)
	p.setBatchNeeds(&est, targets, q, now)
	t, s := p.reservedSeat(targets, est, q, tried, now)
	if t == nil {
		t, s = p.pickDecode(p.sampleDecodeTargets(targets), est, near, tried, now)
		if t == nil {
			t, s = p.pickDecode(targets, est, near, tried, now)
		}
		if t == nil {
			return Choice{}, false
		}
		p.takePermit(t.RunID(), now)
	}
	p.recordOwnPrompt(SendRecord{Target: t.RunID(), Missing: q.Tokens}, q, now)
	p.occupyLink(q, now)
	ticket := p.begin(t, Work{Running: 1, Streams: est.longStreams(q), Tokens: q.Tokens + q.Output/2}, now)
	ticket.task, ticket.prompt, ticket.waitedForSeat, ticket.span.running = taskDecode, q, s.wait > 0, p.totalWork(t.RunID()).Running-1
	return Choice{Target: t, Expected: s.wait, Ticket: ticket, Failing: p.stateOf(t).failing(now), Seat: est.seatEstimate(p.stateOf(t), ticket.span.running, q)}, true
}
