package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/internal/fleet"
)

// Choice is a target with the request on its account.
type Choice struct {
	Target *fleet.Target
	Ticket *Ticket
	// Expected is the reckoned time to the answer's begin.
	Expected time.Duration
	// Own is the part of Expected that the request's own prefill takes.
	Own time.Duration
	// SeatWait is the part of Expected that the request waits for a seat in a batch.
	SeatWait time.Duration
	// Cached is the prompt's tokens that the target is reckoned to hold.
	Cached int
	// InPlace says that the decode target reads the prompt itself.
	InPlace bool
	// Room is how much reading the targets can take on before the request would not be sent,
	// and Age how old what is known of the others' work is.
	Room time.Duration
	Age  time.Duration
	// Seat is what the choice of a decode target rests on.
	Seat Seat
}

// Seat is what a run at a decode target was reckoned with.
type Seat struct {
	// Beside is the requests that the target ran, and Longest the time of the longest answer
	// that the request may have, as fast as answers are made beside so many.
	Beside  int
	Longest time.Duration
}

// Wait is the time to the answer's begin but for the request's own prefill.
func (c Choice) Wait() time.Duration { return c.Expected - c.Own }

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
		price := p.plainPrice(t, now)
		if best == nil || price < least {
			best, least = t, price
		}
	}
	if best == nil {
		return Choice{}, false
	}
	p.tell(Use{Target: best.RunID()}, now)
	ticket := p.begin(best, Work{Running: 1}, now)
	ticket.way = plainCall
	return Choice{Target: best, Expected: least, Ticket: ticket}, true
}

func (p *Placer) plainPrice(t *fleet.Target, now time.Time) time.Duration {
	load := float64(p.total(t.RunID()).Running+1) / float64(max(t.Slots, 1))
	price := time.Duration(load * load * float64(p.profile(t.Service).PlainTime()))
	return price + p.remote(t) + p.unsound(p.at(t), now)
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
	if len(targets) == 0 {
		return Choice{}, false
	}
	r := reading{service: targets[0].Service, engines: p.engines(targets, spec), prompt: q, tried: tried, now: now, keepPauses: !p.cfg.Off.Pauses}
	p.setBatch(&r.engines, targets, q, now)
	r.next, r.apart = p.bestDecode(p.decoders(targets), r.engines, "", tried, now)
	best, chosen := p.bestRead(p.thin(targets, q), r)
	if best.Target == nil {
		// Where nothing else is left, streams wait for the prompt.
		r.keepPauses = false
		r.next, r.apart = p.bestDecode(targets, r.engines, "", tried, now)
		best, chosen = p.bestRead(targets, r)
	}
	if best.Target == nil {
		return Choice{}, false
	}
	best.Ticket = p.begin(best.Target, chosen.work, now)
	best.Ticket.expect(chosen, q)
	return best, true
}

// pickWay returns the way to take: the cheapest to the session's cache, where that is not
// above the level of the others, or a way that is drawn. The caller holds p.mu.
func (p *Placer) pickWay(ways []weighed, s *spread, q *Prompt) int {
	shared := q.sharedTokens()
	for _, i := range s.order[:s.reached] {
		if shared > 0 && ways[i].cached >= shared && s.stays(i) {
			return i
		}
	}
	return s.draw(p.random.Float64())
}

// reading is a prompt to be prefilled.
type reading struct {
	service string
	engines engines
	prompt  *Prompt
	tried   Tried
	now     time.Time
	// next is the best seat for a prompt that is prefilled apart, which apart says
	// is possible.
	next  seat
	apart bool
	// keepPauses says that no stream may be kept waiting beyond its pauses.
	keepPauses bool
}

// bestRead returns a way to prefill at one of the targets, and what it was weighed at:
// the cheapest, as far as the others' work is known. The caller holds p.mu.
func (p *Placer) bestRead(targets []*fleet.Target, r reading) (Choice, weighed) {
	link := p.linkWait(r.now) + p.linkTime(r.prompt)
	ways := make([]weighed, 0, len(targets))
	prices := make([]time.Duration, 0, len(targets))
	for _, t := range targets {
		if !p.usable(t, r.tried) || (t.Stage == fleet.Prefill && !r.apart) {
			continue
		}
		w, ok := p.weigh(t, r)
		if !ok {
			continue
		}
		w.expected += link
		ways, prices = append(ways, w), append(prices, w.price)
	}
	if len(ways) == 0 {
		return Choice{}, weighed{}
	}
	age := p.others.Age()
	unseen := p.inflow(r.service).within(age, r.now)
	w := ways[p.pickWay(ways, newSpread(prices, unseen), r.prompt)]
	return Choice{
		Target: w.target, Expected: w.expected, Own: w.own, SeatWait: w.seatWait, Cached: w.cached, InPlace: w.target.Stage != fleet.Prefill,
		Room: room(ways, r.prompt.MaxWait, unseen), Age: age, Seat: r.engines.seatOf(p.at(w.target), w.beside, r.prompt),
	}, w
}

// Commit notes that the request of a choice is sent: the target has its prompt
// from now on, and the VM's link is busy with it.
func (p *Placer) Commit(c Choice, q *Prompt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteUse(Use{Target: c.Target.RunID(), Missing: q.Tokens - c.Cached, Reads: true}, q, now)
	p.occupyLink(q, now)
}

// AllButOne returns tried and all other targets but one that can run a request and be reached:
// that with the highest hash of its run and a key. Requests that may end their targets are
// tried apart from each other so: where two went to one target, its end would be held against
// both.
func (p *Placer) AllButOne(targets []*fleet.Target, tried Tried, key []byte) Tried {
	p.mu.Lock()
	defer p.mu.Unlock()
	var one *fleet.Target
	var highest uint64
	out := make(Tried, len(targets))
	for _, t := range targets {
		out[t.ID] = true
		if t.Stage == fleet.Prefill || !p.usable(t, tried) || p.at(t).misses > 0 {
			continue
		}
		if weight := xxhash.Sum64(append([]byte(t.RunID()), key...)); one == nil || weight > highest {
			one, highest = t, weight
		}
	}
	if one != nil {
		delete(out, one.ID)
	}
	return out
}

func (p *Placer) usable(t *fleet.Target, tried Tried) bool {
	return !t.Leaving && !tried[t.ID] && !p.changing(t)
}

// bestDecode returns the least price of a seat, or false where no target can
// go on with a prefilled prompt.
func (p *Placer) bestDecode(targets []*fleet.Target, e engines, near string, tried Tried, now time.Time) (seat, bool) {
	t, s := p.pickDecode(targets, e, near, tried, now)
	return s, t != nil
}

func (p *Placer) pickDecode(targets []*fleet.Target, e engines, near string, tried Tried, now time.Time) (*fleet.Target, seat) {
	var best *fleet.Target
	var least seat
	for _, t := range targets {
		if t.Stage == fleet.Prefill || !p.usable(t, tried) {
			continue
		}
		s := e.seat(t, p.at(t), p.total(t.RunID()), now)
		s.price += p.remote(t) + p.unsound(p.at(t), now) + p.scatter()
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
func (p *Placer) Decode(targets []*fleet.Target, spec *fleet.EngineSpec, q *Prompt, near string, tried Tried, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines(targets, spec)
	p.setBatch(&e, targets, q, now)
	t, s := p.pickDecode(p.decoders(targets), e, near, tried, now)
	if t == nil {
		t, s = p.pickDecode(targets, e, near, tried, now)
	}
	if t == nil {
		return Choice{}, false
	}
	p.noteUse(Use{Target: t.RunID(), Missing: q.Tokens}, q, now)
	p.occupyLink(q, now)
	ticket := p.begin(t, Work{Running: 1, Streams: e.streams(q), Tokens: q.Tokens + q.Output/2}, now)
	ticket.way, ticket.prompt, ticket.waits, ticket.span.beside = goOn, q, s.wait > 0, p.total(t.RunID()).Running-1
	return Choice{Target: t, Expected: s.wait, Ticket: ticket, Seat: e.seatOf(p.at(t), ticket.span.beside, q)}, true
}
