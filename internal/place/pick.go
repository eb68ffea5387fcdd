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
	// transferTime is what moving a prompt's KV cache and the first step of
	// the decode target take, from the users' sheets.
	transferTime = 8 * time.Millisecond
	// runningPrice is the price of one more request in a decode batch.
	runningPrice = 200 * time.Microsecond
	// homeCached is the part of a session's tokens that its home is reckoned
	// to hold when this VM has not sent it there lately.
	homeCached = 0.5
	// missPrice weighs the time that a target spends on tokens which another
	// one has cached; it delays whoever comes next.
	missPrice = 1.0
)

// Choice is a target with the request on its account.
type Choice struct {
	Target *fleet.Target
	Ticket *Ticket
	// Expected is the reckoned time to the answer's begin.
	Expected time.Duration
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
	return Choice{Target: best, Expected: least, Ticket: p.begin(best.ID, Work{Running: 1}, 0, now)}, true
}

func (p *Placer) plainPrice(t *fleet.Target, s *state, now time.Time) time.Duration {
	load := float64(p.total(t.ID).Running+1) / float64(max(t.Slots, 1))
	price := time.Duration(load*load*float64(plainWork)) + p.remote(t) + time.Duration(s.failures*float64(failurePrice))
	if !s.reachable(now) {
		price += failurePrice
	}
	return price
}

func (p *Placer) remote(t *fleet.Target) time.Duration {
	if t.DataCentre == p.cfg.DataCentre {
		return 0
	}
	return p.cfg.RemotePenalty
}

// Read chooses where a prompt is prefilled: at a prefill target, or in place
// at the decode target that then goes on.
func (p *Placer) Read(targets []*fleet.Target, q *Prompt, tried Tried, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	home := homeOf(targets, q.Session())
	var best Choice
	var least time.Duration
	for _, t := range targets {
		if t.Leaving || tried[t.ID] || p.changing(t) {
			continue
		}
		w := p.weigh(t, q, t.ID == home, now)
		if best.Target == nil || w.price < least {
			best = Choice{Target: t, Expected: w.expected, InPlace: t.Stage != fleet.Prefill}
			best.Ticket = &Ticket{work: w.work}
			least = w.price
		}
	}
	if best.Target == nil {
		return Choice{}, false
	}
	best.Ticket = p.begin(best.Target.ID, best.Ticket.work, best.Expected, now)
	p.seen.note(q.Session(), best.Target.ID, now)
	return best, true
}

// homeOf is the prefill target that a session's parts are kept at, by
// rendezvous hash.
func homeOf(targets []*fleet.Target, session uint64) string {
	best, most := "", uint64(0)
	for _, t := range targets {
		if t.Leaving || t.Stage != fleet.Prefill {
			continue
		}
		if w := rendezvous(session, t.ID); best == "" || w > most {
			best, most = t.ID, w
		}
	}
	return best
}

// weighed is one way to prefill a prompt.
type weighed struct {
	work     Work
	expected time.Duration
	price    time.Duration
}

func (p *Placer) weigh(t *fleet.Target, q *Prompt, home bool, now time.Time) weighed {
	s := p.state(t.ID)
	load := p.total(t.ID)
	rate := p.cfg.PrefillRate
	w := weighed{work: Work{Prefills: 1}}
	extra := p.remote(t)
	if t.Stage == fleet.Prefill {
		extra += transferTime
	} else {
		rate = p.cfg.InPlaceRate
		w.work.Running = 1
		extra += time.Duration(load.Running) * runningPrice
	}
	common, session, own := q.shared()
	_ = common
	missing := float64(own)
	miss := 0.0
	switch {
	case p.seen.has(q.Session(), t.ID, now):
	case home:
		miss = float64(session) * (1 - homeCached)
	default:
		miss = float64(session)
	}
	missing += miss
	w.work.Prefill = time.Duration(missing / rate * float64(time.Millisecond))
	w.expected = time.Duration(float64(load.Prefill+w.work.Prefill)*s.slowdown) + extra
	w.price = w.expected + time.Duration(missPrice*miss/rate*float64(time.Millisecond)) + time.Duration(s.failures*float64(failurePrice))
	if !s.reachable(now) {
		w.price += failurePrice
	}
	return w
}

// Decode chooses the decode target that goes on with a prefilled prompt; near
// is the data centre of the target that keeps it.
func (p *Placer) Decode(targets []*fleet.Target, near string, tried Tried, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *fleet.Target
	var least time.Duration
	for _, t := range targets {
		if t.Leaving || tried[t.ID] || t.Stage == fleet.Prefill || p.changing(t) {
			continue
		}
		s := p.state(t.ID)
		load := p.total(t.ID)
		price := time.Duration(load.Running)*runningPrice + p.remote(t) + time.Duration(s.failures*float64(failurePrice))
		if t.DataCentre != near {
			price += p.cfg.RemotePenalty
		}
		if !s.reachable(now) {
			price += failurePrice
		}
		if best == nil || price < least {
			best, least = t, price
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Target: best, Ticket: p.begin(best.ID, Work{Running: 1}, 0, now)}, true
}
