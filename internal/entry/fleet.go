package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/relay"
	"garnethoist.org/garnethoist/internal/route"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// defaultSecondsPerToken is the prefill time assumed until one was measured.
const defaultSecondsPerToken = 50e-6

// speedShare is the weight of a measurement that is slower than the estimate:
// it may have waited.
const speedShare = 0.0025

// minMeasuredTokens is the shortest prompt that says something of the prefill
// speed; the time of a shorter one is mostly that of everything else.
const minMeasuredTokens = 256

const (
	// seenFacts is how many facts on cached prefixes an entry remembers for a
	// service, and seenHorizon for how many seconds it believes them.
	seenFacts   = 1 << 14
	seenHorizon = 300
	// heatPrefixes is how many prefixes' rates it tells apart, and heatWindow
	// the time constant of the rates, in seconds.
	heatPrefixes = 1 << 12
	heatWindow   = 10
	// cachedShare is the part of a prompt's prefill that a cached prefix is
	// taken to save.
	cachedShare = 0.5
)

func newMemory() *route.Memory {
	return &route.Memory{Seen: route.NewSeen(seenFacts, seenHorizon), Heat: route.NewHeat(heatPrefixes, heatWindow)}
}

// fleet is the entry's picture of the targets: the last view corrected by its
// own work since. It implements relay.Router and is safe for concurrent use.
type fleet struct {
	dataCentre string
	log        *telemetry.Logger
	start      time.Time
	decisions  *decisionLog

	mu       sync.Mutex
	services map[string]*pool
	members  map[string]*member
}

// pool is the targets of one service. targets[i] belongs to members[i].
type pool struct {
	row             table.Row
	members         []*member
	targets         []route.Target
	split           bool
	secondsPerToken float64
	memory          *route.Memory
	// pace bounds the work that this entry lets in; reported is the targets'
	// mean wait at their last reports, in seconds, over usable targets.
	pace     *limit.Pace
	reported float64
	usable   int
	// entries is how many entries share the targets.
	entries int
}

// member is one target across views.
type member struct {
	name    string
	address string
	boot    uint64
	health  route.Health
	load    route.Load
	busy    route.Busy
	// running is the own requests in hand.
	running int
}

func newFleet(dataCentre string, log *telemetry.Logger, decisions *decisionLog) *fleet {
	return &fleet{
		dataCentre: dataCentre, log: log, start: time.Now(), decisions: decisions,
		services: map[string]*pool{}, members: map[string]*member{},
	}
}

// now is the fleet's clock, in seconds since its start.
func (f *fleet) now() float64 { return time.Since(f.start).Seconds() }

// apply puts a new view in force.
func (f *fleet) apply(v *gossip.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	services := make(map[string]*pool, len(v.Table.Rows))
	for _, row := range v.Table.Rows {
		p := &pool{row: row, secondsPerToken: defaultSecondsPerToken, entries: f.entriesIn(v)}
		if old, ok := f.services[row.Service]; ok {
			p.secondsPerToken, p.memory, p.pace = old.secondsPerToken, old.memory, old.pace
		} else {
			p.memory, p.pace = newMemory(), &limit.Pace{}
		}
		services[row.Service] = p
	}
	members := make(map[string]*member, len(v.Targets))
	for name, t := range v.Targets {
		m := f.memberFor(t)
		members[name] = m
		if p, ok := services[t.Service]; ok {
			p.add(m, t, f.dataCentre, now)
		}
	}
	for _, p := range services {
		p.split = p.hasRole(route.Prefill) && p.hasRole(route.Decode)
		p.reported /= float64(max(p.usable, 1))
	}
	f.services, f.members = services, members
}

// entriesIn counts the VMs of the data centre, each of which has an entry.
func (f *fleet) entriesIn(v *gossip.View) int {
	n := 0
	for _, it := range v.Peers {
		if it.GetPeer().GetDataCentre() == f.dataCentre && it.GetPeer().GetState() == api.PeerState_PEER_ALIVE {
			n++
		}
	}
	return max(n, 1)
}

// memberFor keeps what is known of a target as long as it is the same
// incarnation at the same address.
func (f *fleet) memberFor(t gossip.TargetView) *member {
	m, ok := f.members[t.Name]
	if ok && m.boot == t.Boot && m.address == t.Address {
		return m
	}
	next := &member{name: t.Name, address: t.Address, boot: t.Boot}
	if ok && m.boot == 0 && m.address == t.Address {
		m.boot = t.Boot
		return m
	}
	return next
}

func (p *pool) add(m *member, t gossip.TargetView, dataCentre string, now float64) {
	s := t.Status
	if s != nil {
		observed := now - time.Since(t.ObservedAt).Seconds()
		m.load.Report(observed, observed+float64(s.GetQueuedTokens())*p.secondsPerToken)
		// In tokens, as the estimate of their time changes.
		m.busy.Report(observed, float64(s.GetPrefillTokens()))
	}
	blocked := !t.Usable() || s.GetModel() != p.row.Model
	if !blocked && t.DataCentre == dataCentre && t.Status.GetRole() != string(target.RoleDecode) {
		p.usable++
		p.reported += m.load.Reported()
	}
	p.members = append(p.members, m)
	p.targets = append(p.targets, route.Target{
		Hash: xxhash.Sum64String(t.Name), Until: m.load.Until(), Busy: m.busy.Share() * p.secondsPerToken,
		Running: max(float64(s.GetRunning()), float64(m.running)), Slots: float64(s.GetSlots()),
		Roles: rolesOf(t), Remote: t.DataCentre != dataCentre, Blocked: blocked,
	})
}

// rolesOf returns what a target can be used for. An engine split off for one
// phase still serves whole requests when no other is left; see pick.
func rolesOf(t gossip.TargetView) route.Roles {
	switch target.Role(t.Status.GetRole()) {
	case target.RolePrefill:
		return route.Prefill
	case target.RoleDecode:
		return route.Decode
	}
	return route.Whole
}

func (p *pool) hasRole(r route.Roles) bool {
	for i := range p.targets {
		t := &p.targets[i]
		if t.Roles == r && !t.Blocked && !t.Remote {
			return true
		}
	}
	return false
}

// Split implements relay.Router.
func (f *fleet) Split(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.services[service]
	return ok && p.split
}

// Find implements relay.Router.
func (f *fleet) Find(name string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[name]
	if !ok {
		return "", false
	}
	return m.address, true
}

// row returns the service's row.
func (f *fleet) row(service string) (table.Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.services[service]
	if !ok {
		return table.Row{}, false
	}
	return p.row, true
}

// covered reports whether every service has a usable target.
func (f *fleet) covered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.services {
		usable := false
		for i := range p.targets {
			usable = usable || !p.targets[i].Blocked
		}
		if !usable {
			return false
		}
	}
	return true
}

// totalWeight is the sum of all services' weights.
func (f *fleet) totalWeight() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0.0
	for _, p := range f.services {
		sum += p.row.Weight
	}
	return sum
}

// rows returns the table's rows.
func (f *fleet) rows() []table.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]table.Row, 0, len(f.services))
	for _, p := range f.services {
		out = append(out, p.row)
	}
	return out
}

// wantedRoles lists what to look for, in order of preference. A whole request
// that finds no engine for both phases goes to a decode engine, which can
// prefill, before a prefill engine.
func wantedRoles(r target.Role) []route.Roles {
	switch r {
	case target.RolePrefill:
		return []route.Roles{route.Prefill}
	case target.RoleDecode:
		return []route.Roles{route.Decode | route.Whole, route.Prefill}
	}
	return []route.Roles{route.Whole, route.Decode, route.Prefill}
}

// Route implements relay.Router.
func (f *fleet) Route(n relay.Need) (relay.Route, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.services[n.Service]
	if !ok {
		return relay.Route{}, errkind.New(errkind.UnknownService, "there is no service called %s", n.Service)
	}
	choice := f.pick(p, n)
	if choice.Index < 0 {
		return relay.Route{}, errkind.New(errkind.NoTarget, "no target of %s can take the request now", n.Service)
	}
	if err := f.admit(p, n, choice); err != nil {
		return relay.Route{}, err
	}
	return f.send(p, n, choice.Index), nil
}

func (f *fleet) pick(p *pool, n relay.Need) route.Choice {
	now := f.now()
	elapsed := time.Since(f.start)
	blocked := p.block(n.Avoid, elapsed)
	defer p.unblock(blocked)
	seconds := float64(n.PromptTokens) * p.secondsPerToken
	if !n.Retry && n.Prefix != 0 {
		p.memory.Heat.Add(n.Prefix, now)
	}
	for _, role := range wantedRoles(n.Role) {
		c := route.Pick(p.targets, route.Request{
			Now: now, Role: role, Prefix: n.Prefix, Entries: p.entries,
			Seconds: seconds, CachedSeconds: seconds * cachedShare, Random: rand.Uint64(),
		}, p.memory)
		if c.Index >= 0 {
			return c
		}
	}
	return route.Choice{Index: -1, Reason: route.ReasonNone}
}

// block marks targets that this request must not use and returns their
// indices, to be unblocked after the decision.
func (p *pool) block(avoid []string, now time.Duration) []int {
	var blocked []int
	for i, m := range p.members {
		if p.targets[i].Blocked {
			continue
		}
		if !m.health.Available(now) || slices.Contains(avoid, m.name) {
			p.targets[i].Blocked = true
			blocked = append(blocked, i)
		}
	}
	return blocked
}

func (p *pool) unblock(blocked []int) {
	for _, i := range blocked {
		p.targets[i].Blocked = false
	}
}

// admit refuses a first try that cannot finish in time.
func (f *fleet) admit(p *pool, n relay.Need, c route.Choice) error {
	if n.Retry || p.row.Kind != table.Language {
		return nil
	}
	work := float64(n.PromptTokens) * p.secondsPerToken
	v := limit.Admit(limit.Estimate{Wait: seconds(c.Wait), Work: seconds(work), Deadline: p.row.Deadline})
	if v.Admit && p.usable > 0 {
		over, ok := p.pace.Admit(f.now(), p.usable, p.entries, p.reported, p.row.Deadline.Seconds()-work)
		v = limit.Verdict{Admit: ok, RetryAfter: seconds(over)}
	}
	if v.Admit {
		p.pace.Sent(work)
		return nil
	}
	e := errkind.New(errkind.CannotFinish, "the request could not be answered within %s", p.row.Deadline)
	e.RetryAfter = v.RetryAfter
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// send books the request's work on the target.
func (f *fleet) send(p *pool, n relay.Need, i int) relay.Route {
	m, t := p.members[i], &p.targets[i]
	now := f.now()
	work := float64(n.PromptTokens) * p.secondsPerToken
	if n.Prefix != 0 {
		if p.memory.Seen.Has(n.Prefix, t.Hash, now) {
			work *= 1 - cachedShare
		}
		p.memory.Seen.Set(n.Prefix, t.Hash, now)
	}
	m.load.Sent(now, work)
	t.Until = m.load.Until()
	t.Running++
	m.running++
	m.health.Sent()
	var once sync.Once
	return relay.Route{Name: m.name, Address: m.address, Done: func(o relay.Outcome) {
		once.Do(func() { f.done(n.Service, m, o) })
	}}
}

// done books the end of a request.
func (f *fleet) done(service string, m *member, o relay.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.running--
	switch o {
	case relay.OutcomeOK, relay.OutcomeRefused:
		m.health.OK()
	case relay.OutcomeAbandoned:
		m.health.Unknown()
	case relay.OutcomeFailed:
		if wait := m.health.Failed(time.Since(f.start)); wait > 0 {
			id := f.decisions.setAside(service, m.name, wait)
			f.log.Warn(telemetry.EventTargetSetAside, telemetry.F("target", m.name),
				telemetry.F("service", service), telemetry.F("wait", wait), telemetry.F("decision", id))
		}
	}
}

// observeFirst takes in how long a prompt took to its first token.
func (f *fleet) observeFirst(service string, tokens int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.services[service]
	if !ok || tokens < minMeasuredTokens {
		return
	}
	perToken := took.Seconds() / float64(tokens)
	// Waiting counts into the time, so only shorter times are believed at
	// once; longer ones raise the estimate slowly.
	if perToken < p.secondsPerToken {
		p.secondsPerToken = perToken
		return
	}
	p.secondsPerToken += speedShare * (perToken - p.secondsPerToken)
}
