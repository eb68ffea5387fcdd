package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

const (
	// plainWork is the usual time of a plain call, from the users' sheets.
	plainWork = 15 * time.Millisecond
	// failurePrice is the price of a target all of whose answers fail.
	failurePrice = time.Second
	// refusalPrice is the price of a target that refuses all requests: less than
	// that of one that fails, as a refused request has lost little.
	refusalPrice = 300 * time.Millisecond
	// transferTime is what moving a prompt's KV cache and the first step of
	// the decode target take, from the users' sheets.
	transferTime = 8 * time.Millisecond
	// batchPrice is the price of joining a batch whose slots are all taken.
	batchPrice = 20 * time.Millisecond
	// spareSlots of each decode target are kept for the short runs of prompts
	// prefilled elsewhere.
	spareSlots = 4
	// streamShare is the part of its time limit that the longest answer may
	// take by reckoning.
	streamShare = 0.8
	// slotWait is the reckoned wait for each request that is ahead in the
	// queue for a slot: a long answer takes about four seconds, and 48 slots
	// end one every 80 ms (users' sheets).
	slotWait = 80 * time.Millisecond
	// streamPrice is the price of reading a long prompt beside one stream.
	streamPrice = 2 * time.Millisecond
	// openPrice is the price of the first stream at a target.
	openPrice = 20 * time.Millisecond
	// pausePrice weighs the prefills in hand where a stream joins.
	pausePrice = 1
	// linkShare is the part of the VM's link that is there for prompts; the rest
	// is for reports, answers and the store.
	linkShare = 0.8
	// shortPrompt is the length in tokens below which a second hop never pays.
	shortPrompt = 1024
	// maxInPlace bounds the prefills in hand at a decode target that runs
	// streams: their tokens wait for the chunks read between them.
	maxInPlace = 60 * time.Millisecond
	// workPrice weighs the time that a prefill takes the target: it delays
	// whoever comes next.
	workPrice = 1.0
	// cacheShare is the part of a target's free KV cache that parts are
	// reckoned to be held in.
	cacheShare = 0.9
)

// Choice is a target with the request on its account.
type Choice struct {
	Target *fleet.Target
	Ticket *Ticket
	// Expected is the reckoned time to the answer's begin.
	Expected time.Duration
	// Own is the part of Expected that the request's own prefill takes.
	Own time.Duration
	// Cached is the prompt's tokens that the target is reckoned to hold.
	Cached int
	// InPlace says that the decode target reads the prompt itself.
	InPlace bool
}

// Tried holds the ids of targets that are not to be chosen again.
type Tried map[string]bool

// Plain chooses the target of a plain call: the least loaded that is sound,
// the own data centre's before others.
func (p *Placer) Plain(targets []*fleet.Target, tried Tried, random uint64, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *fleet.Target
	var least time.Duration
	for i := range targets {
		t := targets[(i+int(random%uint64(len(targets))))%len(targets)]
		if t.Leaving || tried[t.ID] {
			continue
		}
		s := p.state(t.ID)
		price := p.plainPrice(t, s, now)
		if best == nil || price < least {
			best, least = t, price
		}
	}
	if best == nil {
		return Choice{}, false
	}
	p.tell(Use{Target: best.ID}, now)
	return Choice{Target: best, Expected: least, Ticket: p.begin(best.ID, Work{Running: 1}, 0, now)}, true
}

func (p *Placer) plainPrice(t *fleet.Target, s *state, now time.Time) time.Duration {
	load := float64(p.total(t.ID).Running+1) / float64(max(t.Slots, 1))
	price := time.Duration(load*load*float64(plainWork)) + p.remote(t)
	return price + p.unsound(s, now)
}

func (p *Placer) remote(t *fleet.Target) time.Duration {
	if t.DataCentre == p.cfg.DataCentre {
		return 0
	}
	return p.cfg.RemotePenalty
}

// Read chooses where a prompt is prefilled: at a prefill target, or in place
// at the decode target that then goes on.
func (p *Placer) Read(targets []*fleet.Target, spec *fleet.EngineSpec, q *Prompt, tried Tried, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := reading{spec: spec, prompt: q, tried: tried, now: now}
	r.next, r.apart = p.bestDecode(p.decoders(targets), "", tried, now)
	best, chosen := p.bestRead(p.thin(targets, q), r)
	if best.Target == nil {
		r.next, r.apart = p.bestDecode(targets, "", tried, now)
		best, chosen = p.bestRead(targets, r)
	}
	if best.Target == nil {
		return Choice{}, false
	}
	best.Ticket = p.begin(best.Target.ID, chosen.work, chosen.reckoned, now)
	return best, true
}

// reading is a prompt to be prefilled.
type reading struct {
	spec   *fleet.EngineSpec
	prompt *Prompt
	tried  Tried
	now    time.Time
	// next is the best seat for a prompt that is prefilled apart, which apart says
	// is possible.
	next  seat
	apart bool
}

// bestRead returns the cheapest way to prefill at one of the targets, and what it
// was weighed at; the caller holds p.mu.
func (p *Placer) bestRead(targets []*fleet.Target, r reading) (Choice, weighed) {
	q := r.prompt
	link := p.linkWait(r.now) + p.linkTime(q)
	var best Choice
	var chosen weighed
	for _, t := range targets {
		if !p.usable(t, r.tried) || (t.Stage == fleet.Prefill && (!r.apart || q.Tokens < shortPrompt)) {
			continue
		}
		w, ok := p.weigh(t, r.spec, q, r.now)
		if !ok {
			continue
		}
		if t.Stage == fleet.Prefill {
			w.expected += r.next.wait + transferTime + p.linkTime(q)
			w.price += r.next.price + transferTime + p.linkTime(q)
		}
		w.expected += link
		if best.Target == nil || w.price < chosen.price {
			best = Choice{Target: t, Expected: w.expected, Own: w.own, Cached: w.cached, InPlace: t.Stage != fleet.Prefill}
			chosen = w
		}
	}
	return best, chosen
}

// Commit notes that the request of a choice is sent: the target has its prompt
// from now on, and the VM's link is busy with it.
func (p *Placer) Commit(c Choice, q *Prompt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteUse(c.Target.ID, q, q.Tokens-c.Cached, now)
	p.occupyLink(q, now)
}

// linkTime is how long sending the request takes this VM's link.
func (p *Placer) linkTime(q *Prompt) time.Duration {
	if p.cfg.LinkMbps <= 0 {
		return 0
	}
	us := 8 * float64(q.BodyBytes) / (linkShare * p.cfg.LinkMbps)
	return time.Duration(us * float64(time.Microsecond))
}

// linkWait is how long what is being sent already keeps the link busy; the
// caller holds p.mu.
func (p *Placer) linkWait(now time.Time) time.Duration { return max(p.linkFree.Sub(now), 0) }

// occupyLink counts one send of the request; the caller holds p.mu.
func (p *Placer) occupyLink(q *Prompt, now time.Time) {
	p.linkFree = now.Add(p.linkWait(now) + p.linkTime(q))
}

func (p *Placer) usable(t *fleet.Target, tried Tried) bool {
	return !t.Leaving && !tried[t.ID] && !p.changing(t)
}

// weighed is one way to prefill a prompt.
type weighed struct {
	work Work
	// cached is the prompt's tokens that the target holds.
	cached int
	// reckoned is the target's time for the prefill and what is before it, at
	// the speed of the settings; expected is the time to the answer's begin.
	reckoned time.Duration
	expected time.Duration
	own      time.Duration
	price    time.Duration
}

// weigh reckons what prefilling q at t takes. It returns false where t must
// not read it.
func (p *Placer) weigh(t *fleet.Target, spec *fleet.EngineSpec, q *Prompt, now time.Time) (weighed, bool) {
	s := p.state(t.ID)
	load := p.total(t.ID)
	rate := p.cfg.PrefillRate
	w := weighed{work: Work{Prefills: 1, Tokens: q.Tokens}}
	inPlace := t.Stage != fleet.Prefill
	if inPlace {
		rate = p.cfg.InPlaceRate
		w.work.Running = 1
		w.work.Streams = q.streams()
		w.work.Tokens += q.Output / 2
	}
	w.cached = s.cache.held(q, cacheShare*float64(spec.KVTokens-load.Tokens))
	w.work.Prefill = p.readTime(q.Tokens, w.cached, rate)
	long := q.Tokens >= shortPrompt
	if inPlace && long && load.Streams > 0 && load.Prefill+w.work.Prefill > maxInPlace {
		return weighed{}, false
	}
	w.reckoned = load.Prefill + w.work.Prefill
	w.expected = time.Duration(float64(w.reckoned)*s.slowdown) + p.remote(t)
	w.own = time.Duration(float64(w.work.Prefill) * s.slowdown)
	w.price = w.expected + time.Duration(workPrice*float64(w.work.Prefill)) + p.unsound(s, now) + p.scatter()
	if inPlace {
		b := batch(load, p.seats(t, q))
		w.expected += b.wait
		w.price += b.price + gather(load, long)
	}
	return w, true
}

// gather is the price that keeps long answers and long prompts read in place
// apart: the tokens of a stream wait while a prompt is read beside it, so
// streams gather at few targets and prompts go to the others.
func gather(load Work, longPrompt bool) time.Duration {
	switch {
	case longPrompt:
		return time.Duration(load.Streams) * streamPrice
	case load.Streams == 0:
		return openPrice + pausePrice*load.Prefill
	}
	return pausePrice * load.Prefill
}

// readTime is the time to read the tokens behind the cached ones: a part that
// grows with their number and one with the pairs of tokens that attend to each
// other.
func (p *Placer) readTime(tokens, cached int, rate float64) time.Duration {
	missing := float64(tokens - cached)
	pairs := missing * float64(tokens+cached) / 2
	ms := missing/rate + pairs*p.cfg.PairsMS/1e6
	return time.Duration(ms * float64(time.Millisecond))
}

// unsound is the price of a target that fails, refuses or cannot be reached.
func (p *Placer) unsound(s *state, now time.Time) time.Duration {
	failing := max(s.failures, s.record.share(now))
	price := time.Duration(failing*float64(failurePrice) + s.refusing(now)*float64(refusalPrice))
	if !s.reachable(now) {
		price += failurePrice
	}
	return price
}

// seat is what joining a decode target's batch costs.
type seat struct {
	wait  time.Duration
	price time.Duration
}

// seats is how many requests may run at t for q to end in time: a fuller batch
// makes each step longer.
func (p *Placer) seats(t *fleet.Target, q *Prompt) int {
	seats := max(t.Slots-spareSlots, 1)
	if q.streams() == 0 || q.Limit <= 0 {
		return seats
	}
	step := streamShare * float64(q.Limit.Microseconds()) / 1e3 / float64(max(q.MaxOutput, 1))
	bound := int((step - p.cfg.StepMS) / p.cfg.StepPerRunMS)
	return max(min(seats, bound), 1)
}

// batch reckons the seat of one more request where seats may run.
func batch(load Work, seats int) seat {
	used := float64(load.Running) / float64(seats)
	s := seat{price: time.Duration(used * used * float64(batchPrice))}
	if over := load.Running - seats; over >= 0 {
		s.wait = time.Duration(over+1) * slotWait
		s.price += s.wait
	}
	return s
}

// bestDecode returns the least price of a seat, or false where no target can
// go on with a prefilled prompt.
func (p *Placer) bestDecode(targets []*fleet.Target, near string, tried Tried, now time.Time) (seat, bool) {
	t, s := p.pickDecode(targets, near, tried, now)
	return s, t != nil
}

func (p *Placer) pickDecode(targets []*fleet.Target, near string, tried Tried, now time.Time) (*fleet.Target, seat) {
	var best *fleet.Target
	var least seat
	for _, t := range targets {
		if t.Stage == fleet.Prefill || !p.usable(t, tried) {
			continue
		}
		s := batch(p.total(t.ID), max(t.Slots-spareSlots, 1))
		s.price += p.remote(t) + p.unsound(p.state(t.ID), now) + p.scatter()
		if near != "" && t.DataCentre != near {
			s.price += p.cfg.RemotePenalty
		}
		if best == nil || s.price < least.price {
			best, least = t, s
		}
	}
	return best, least
}

// Decode chooses the decode target that goes on with a prefilled prompt; near
// is the data centre of the target that keeps it.
func (p *Placer) Decode(targets []*fleet.Target, q *Prompt, near string, tried Tried, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, s := p.pickDecode(p.decoders(targets), near, tried, now)
	if t == nil {
		t, s = p.pickDecode(targets, near, tried, now)
	}
	if t == nil {
		return Choice{}, false
	}
	p.noteUse(t.ID, q, q.Tokens, now)
	p.occupyLink(q, now)
	return Choice{Target: t, Expected: s.wait, Ticket: p.begin(t.ID, Work{Running: 1, Streams: q.streams(), Tokens: q.Tokens + q.Output/2}, 0, now)}, true
}
