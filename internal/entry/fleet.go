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

// defaultSecondsPerToken is the prefill time per prompt token, in seconds, that
// is assumed until one is measured.
const defaultSecondsPerToken = 50e-6

// slowSampleWeight is the weight of a measurement that is slower than the
// estimate, in an exponential moving average. It is small because the time may
// include queueing.
const slowSampleWeight = 0.0025

// minMeasuredTokens is the length of the shortest prompt from which the prefill
// speed is measured. The time to the first token of a shorter one is mostly other
// overhead.
const minMeasuredTokens = 256

const (
	// maxSeenPrefixes is how many pairs of a prefix and a target that caches it an
	// entry remembers for each service. seenTTLSeconds is how long a pair is
	// assumed to hold, in seconds.
	maxSeenPrefixes = 1 << 14
	seenTTLSeconds  = 300
	// maxHeatPrefixes is for how many prefixes of a service an entry estimates the
	// arrival rate. heatWindowSeconds is the time constant of the estimates, in
	// seconds.
	maxHeatPrefixes   = 1 << 12
	heatWindowSeconds = 10
	// cachedPrefixSaving is the assumed fraction of a prompt's prefill time that a
	// cached prefix saves.
	cachedPrefixSaving = 0.5
)

// newPrefixMemory returns an empty record of a service's prompt prefixes: where
// they are cached and how often they arrive.
func newPrefixMemory() *route.State {
	return &route.State{Caches: route.NewCaches(maxSeenPrefixes, seenTTLSeconds), Rates: route.NewRates(maxHeatPrefixes, heatWindowSeconds)}
}

// fleet is what the entry knows of the targets: their state in the last view,
// updated by the requests that this entry has sent since. It implements
// relay.Router and is safe for concurrent use.
type fleet struct {
	dataCentre string
	log        *telemetry.Logger
	start      time.Time
	decisions  *decisionLog

	mu sync.Mutex
	// pools is keyed by service, and states by target name.
	pools  map[string]*targetPool
	states map[string]*targetState
}

// targetPool is the targets of one service. targets[i] and states[i] describe the
// same target.
type targetPool struct {
	row     table.Row
	states  []*targetState
	targets []route.Target
	// split is set when the service has usable engines for prefill alone and for
	// decode alone in this data centre.
	split bool
	// secondsPerToken is the estimated prefill time per prompt token.
	secondsPerToken float64
	memory          *route.State
	// pace limits the rate at which this entry admits work. reportedWait is the
	// mean wait before prefill in the last reports of the usableTargets, in
	// seconds; addTarget sums the waits and apply divides them. Targets of other
	// data centres and decode engines do not count.
	pace          *limit.Pacer
	reportedWait  float64
	usableTargets int
	// entries is how many entries of the data centre share the targets.
	entries int
}

// targetState is what the entry knows of one target. It is kept across views.
type targetState struct {
	name    string
	address string
	// boot identifies the target's process; zero until its first status is known.
	boot   uint64
	health route.Health
	load   route.Load
	busy   route.WorkRate
	// inFlight is the number of this entry's requests in flight at the target.
	inFlight int
}

func newFleet(dataCentre string, log *telemetry.Logger, decisions *decisionLog) *fleet {
	return &fleet{
		dataCentre: dataCentre, log: log, start: time.Now(), decisions: decisions,
		pools: map[string]*targetPool{}, states: map[string]*targetState{},
	}
}

// now returns the time in seconds since the fleet was created.
func (f *fleet) now() float64 { return time.Since(f.start).Seconds() }

// apply replaces the services and targets by those of a new view, and keeps what
// was learned of services and targets that are in both.
func (f *fleet) apply(v *gossip.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	services := make(map[string]*targetPool, len(v.Table.Rows))
	for _, row := range v.Table.Rows {
		p := &targetPool{row: row, secondsPerToken: defaultSecondsPerToken, entries: f.countEntries(v)}
		if old, ok := f.pools[row.Service]; ok {
			p.secondsPerToken, p.memory, p.pace = old.secondsPerToken, old.memory, old.pace
		} else {
			p.memory, p.pace = newPrefixMemory(), &limit.Pacer{}
		}
		services[row.Service] = p
	}
	members := make(map[string]*targetState, len(v.Targets))
	for name, t := range v.Targets {
		ts := f.stateFor(t)
		members[name] = ts
		if p, ok := services[t.Service]; ok {
			p.addTarget(ts, t, f.dataCentre, now)
		}
	}
	for _, p := range services {
		p.split = p.hasRole(route.Prefill) && p.hasRole(route.Decode)
		p.reportedWait /= float64(max(p.usableTargets, 1))
	}
	f.pools, f.states = services, members
}

// countEntries returns the number of VMs alive in the data centre, each of which
// runs one entry. It is at least one. It needs no lock.
func (f *fleet) countEntries(v *gossip.View) int {
	n := 0
	for _, it := range v.Peers {
		if it.GetPeer().GetDataCentre() == f.dataCentre && it.GetPeer().GetState() == api.PeerState_PEER_ALIVE {
			n++
		}
	}
	return max(n, 1)
}

// stateFor returns the known state of a target if it is still the same process at
// the same address, and otherwise an empty state. A state whose boot was unknown
// takes that of t. The caller must hold f.mu.
func (f *fleet) stateFor(t gossip.TargetView) *targetState {
	ts, ok := f.states[t.Name]
	if ok && ts.boot == t.Boot && ts.address == t.Address {
		return ts
	}
	next := &targetState{name: t.Name, address: t.Address, boot: t.Boot}
	if ok && ts.boot == 0 && ts.address == t.Address {
		ts.boot = t.Boot
		return ts
	}
	return next
}

// addTarget adds a target of the view to the pool and takes its status into ts. now
// is on the fleet's clock. The caller must hold the fleet's lock.
func (p *targetPool) addTarget(ts *targetState, t gossip.TargetView, dataCentre string, now float64) {
	s := t.Status
	if s != nil {
		observed := now - time.Since(t.ObservedAt).Seconds()
		ts.load.Report(observed, observed+float64(s.GetQueuedTokens())*p.secondsPerToken)
		// The work is kept in tokens and not in seconds, because the estimate of
		// the seconds per token changes between reports.
		ts.busy.Report(observed, float64(s.GetPrefillTokens()))
	}
	blocked := !t.Usable() || s.GetModel() != p.row.Model
	if !blocked && t.DataCentre == dataCentre && t.Status.GetRole() != string(target.RoleDecode) {
		p.usableTargets++
		p.reportedWait += ts.load.ReportedWait()
	}
	p.states = append(p.states, ts)
	p.targets = append(p.targets, route.Target{
		Hash: xxhash.Sum64String(t.Name), BusyUntil: ts.load.BusyUntil(), Busy: ts.busy.PerSecond() * p.secondsPerToken,
		Running: max(float64(s.GetRunning()), float64(ts.inFlight)), Slots: float64(s.GetSlots()),
		Roles: routeRoles(t), Remote: t.DataCentre != dataCentre, Blocked: blocked,
	})
}

// routeRoles returns the role that a target is used for. An engine for one phase
// still serves whole requests when no other is left; see rolePreference.
func routeRoles(t gossip.TargetView) route.Roles {
	switch target.Role(t.Status.GetRole()) {
	case target.RolePrefill:
		return route.Prefill
	case target.RoleDecode:
		return route.Decode
	}
	return route.EndToEnd
}

// hasRole reports whether the data centre has a usable target of the role.
func (p *targetPool) hasRole(r route.Roles) bool {
	for i := range p.targets {
		t := &p.targets[i]
		if t.Roles == r && !t.Blocked && !t.Remote {
			return true
		}
	}
	return false
}

// HasSeparatePrefill implements relay.Router. It reports whether prefill and decode of the
// service run on separate engines.
func (f *fleet) HasSeparatePrefill(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[service]
	return ok && p.split
}

// Find implements relay.Router. It returns the address of the target called name.
func (f *fleet) Find(name string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ts, ok := f.states[name]
	if !ok {
		return "", false
	}
	return ts.address, true
}

// row returns the service's row of the table, or false if there is none.
func (f *fleet) row(service string) (table.Row, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[service]
	if !ok {
		return table.Row{}, false
	}
	return p.row, true
}

// allServicesHaveTarget reports whether every service has a usable target.
func (f *fleet) allServicesHaveTarget() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
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

// totalWeight returns the sum of the weights of all services.
func (f *fleet) totalWeight() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0.0
	for _, p := range f.pools {
		sum += p.row.Weight
	}
	return sum
}

// rows returns the rows of the table in no particular order.
func (f *fleet) rows() []table.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]table.Row, 0, len(f.pools))
	for _, p := range f.pools {
		out = append(out, p.row)
	}
	return out
}

// rolePreference returns the target roles that can serve a request of role r, the
// preferred first. A request for both phases that finds no engine for both goes to
// a decode engine, which can prefill too, before a prefill engine.
func rolePreference(r target.Role) []route.Roles {
	switch r {
	case target.RolePrefill:
		return []route.Roles{route.Prefill}
	case target.RoleDecode:
		return []route.Roles{route.Decode | route.EndToEnd, route.Prefill}
	}
	return []route.Roles{route.EndToEnd, route.Decode, route.Prefill}
}

// Route implements relay.Router. It chooses a target for a request and counts the
// request there. The error's kind is UnknownService, NoTarget or CannotFinish.
func (f *fleet) Route(n relay.RouteRequest) (relay.Route, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[n.Service]
	if !ok {
		return relay.Route{}, errkind.New(errkind.UnknownService, "there is no service called %q", n.Service)
	}
	choice := f.pick(p, n)
	if choice.Index < 0 {
		return relay.Route{}, errkind.New(errkind.NoTarget, "no target of %s can take the request now", n.Service)
	}
	if err := f.admit(p, n, choice); err != nil {
		return relay.Route{}, err
	}
	return f.assign(p, n, choice.Index), nil
}

// pick chooses a target for the request. The choice's index is -1 if no target can
// take it. The caller must hold f.mu.
func (f *fleet) pick(p *targetPool, n relay.RouteRequest) route.Choice {
	now := f.now()
	elapsed := time.Since(f.start)
	blocked := p.block(n.Exclude, elapsed)
	defer p.unblock(blocked)
	prefillSeconds := float64(n.PromptTokens) * p.secondsPerToken
	if !n.Retry && n.Prefix != 0 {
		p.memory.Rates.Add(n.Prefix, now)
	}
	for _, role := range rolePreference(n.Role) {
		c := route.Pick(p.targets, route.Request{
			Now: now, Role: role, Prefix: n.Prefix, Entries: p.entries,
			Seconds: prefillSeconds, CachedSeconds: prefillSeconds * cachedPrefixSaving, Random: rand.Uint64(),
		}, p.memory)
		if c.Index >= 0 {
			return c
		}
	}
	return route.Choice{Index: -1, Reason: route.ReasonNone}
}

// block marks the targets that this request must not use, which are those in avoid
// and those set aside after failures, and returns their indices for unblock. now is
// the time since the fleet was created.
func (p *targetPool) block(avoid []string, now time.Duration) []int {
	var blocked []int
	for i, ts := range p.states {
		if p.targets[i].Blocked {
			continue
		}
		if !ts.health.Available(now) || slices.Contains(avoid, ts.name) {
			p.targets[i].Blocked = true
			blocked = append(blocked, i)
		}
	}
	return blocked
}

// unblock reverts block.
func (p *targetPool) unblock(blocked []int) {
	for _, i := range blocked {
		p.targets[i].Blocked = false
	}
}

// admit refuses a request to a language service that cannot be answered by its
// deadline. A retry is not checked again. The caller must hold f.mu.
func (f *fleet) admit(p *targetPool, n relay.RouteRequest, c route.Choice) error {
	if n.Retry || p.row.Kind != table.Language {
		return nil
	}
	prefillSeconds := float64(n.PromptTokens) * p.secondsPerToken
	verdict := limit.Admit(limit.Estimate{Wait: secondsToDuration(c.Wait), Work: secondsToDuration(prefillSeconds), Deadline: p.row.Deadline})
	if verdict.Admit && p.usableTargets > 0 {
		waitSeconds, ok := p.pace.Admit(f.now(), p.usableTargets, p.entries, p.reportedWait, p.row.Deadline.Seconds()-prefillSeconds)
		verdict = limit.Verdict{Admit: ok, RetryAfter: secondsToDuration(waitSeconds)}
	}
	if verdict.Admit {
		p.pace.Sent(prefillSeconds)
		return nil
	}
	e := errkind.New(errkind.CannotFinish, "the request could not be answered within %s", p.row.Deadline)
	e.RetryAfter = verdict.RetryAfter
	return e
}

// secondsToDuration converts seconds to a duration.
func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// assign adds the request's work to the load of target i and returns the route,
// whose Done reports the request's end to the fleet. The caller must hold f.mu.
func (f *fleet) assign(p *targetPool, n relay.RouteRequest, i int) relay.Route {
	ts, t := p.states[i], &p.targets[i]
	now := f.now()
	prefillSeconds := float64(n.PromptTokens) * p.secondsPerToken
	if n.Prefix != 0 {
		if p.memory.Caches.Has(n.Prefix, t.Hash, now) {
			prefillSeconds *= 1 - cachedPrefixSaving
		}
		p.memory.Caches.Set(n.Prefix, t.Hash, now)
	}
	ts.load.Sent(now, prefillSeconds)
	t.BusyUntil = ts.load.BusyUntil()
	t.Running++
	ts.inFlight++
	ts.health.Sent()
	var once sync.Once
	return relay.Route{Name: ts.name, Address: ts.address, Done: func(o relay.Outcome) {
		once.Do(func() { f.recordOutcome(n.Service, ts, o) })
	}}
}

// recordOutcome removes a request that has ended from the target's requests in flight
// and updates the target's health.
func (f *fleet) recordOutcome(service string, ts *targetState, o relay.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ts.inFlight--
	switch o {
	case relay.OutcomeOK, relay.OutcomeRefused:
		ts.health.OK()
	case relay.OutcomeAbandoned:
		ts.health.Unknown()
	case relay.OutcomeFailed:
		if wait := ts.health.Failed(time.Since(f.start)); wait > 0 {
			id := f.decisions.recordSetAside(service, ts.name, wait)
			f.log.Warn(telemetry.EventTargetSetAside, telemetry.F("target", ts.name),
				telemetry.F("service", service), telemetry.F("wait", wait), telemetry.F("decision", id))
		}
	}
}

// observeFirstToken updates the estimated prefill speed by the time that a prompt of
// so many tokens took to its first token.
func (f *fleet) observeFirstToken(service string, tokens int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pools[service]
	if !ok || tokens < minMeasuredTokens {
		return
	}
	perToken := took.Seconds() / float64(tokens)
	// The time includes queueing, so a shorter time is taken over at once, and a
	// longer one raises the estimate only slowly.
	if perToken < p.secondsPerToken {
		p.secondsPerToken = perToken
		return
	}
	p.secondsPerToken += slowSampleWeight * (perToken - p.secondsPerToken)
}
