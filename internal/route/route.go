// Package route chooses the target for a request. Each prompt prefix has a home
// target, or several when it is hot (requested often), where requests with that
// prefix go so that they find it in the target's cache. The homes follow from
// rendezvous hashing, so all entries choose the same ones without coordination.
//
// The package is pure: it uses no clock and no network, and a decision comes
// with its reason.
package route

import "math"

// Roles is the set of roles that a target can fill.
type Roles uint8

// The roles that a request can need.
const (
	Prefill Roles = 1 << iota
	Decode
	// EndToEnd is the role of serving a request from the prompt to the last token.
	EndToEnd
)

// Target is one candidate with its state as this entry knows it.
type Target struct {
	// Hash identifies the target for rendezvous hashing.
	Hash uint64
	// BusyUntil is when the target will have finished the queued prefill work, in
	// seconds on the clock of Request.Now: the work last reported plus the work
	// that this entry has sent since.
	BusyUntil float64
	// Busy is the share of recent time that the target spent on prefill. It
	// changes slowly, so an outdated report matters less than for the wait.
	Busy float64
	// Running is the number of requests in the batch: those last reported plus
	// those that this entry has sent since.
	Running float64
	// Slots is the batch size, or zero for a target without one.
	Slots float64
	// Roles is the set of roles that the target can fill.
	Roles Roles
	// Remote is set for a target in another data centre. Remote targets are
	// used only when no local one is eligible.
	Remote bool
	// Blocked is set for a target that gets no requests because it is leaving,
	// changing its role or model, or set aside after failures.
	Blocked bool
}

// Request is what Pick needs to know about a request.
type Request struct {
	// Now is the present time, in seconds since an arbitrary start.
	Now float64
	// Role is the single role that the request needs.
	Role Roles
	// Prefix is the hash of the prompt's prefix; zero for none.
	Prefix uint64
	// Seconds is the prefill time of the whole prompt, and CachedSeconds the
	// part of it that a cached prefix saves.
	Seconds       float64
	CachedSeconds float64
	// Entries is how many entries share the targets, this one included.
	Entries int
	// Random is a random number drawn for this request.
	Random uint64
}

// Reason is why a target was chosen.
type Reason string

// The reasons for a choice: no eligible target, the first home of the prefix,
// another home of a prefix that has one, and a home of a hot prefix.
const (
	ReasonNone      Reason = "no_usable_target"
	ReasonPrefix    Reason = "prefix_home"
	ReasonOtherHome Reason = "prefix_other_home"
	ReasonHot       Reason = "hot_prefix_home"
)

// Choice is the decision for one request.
type Choice struct {
	// Index is the index of the chosen target, or -1 if none is eligible.
	Index int
	// Wait is the estimated time until its prefill starts, in seconds.
	Wait   float64
	Reason Reason
}

const (
	// maxTopHomes is how many homes of a prefix are ranked exactly by their
	// rendezvous weights; a prefix with more homes gets a random one.
	maxTopHomes = 4
	// maxPrefixShare is the share of one target's time that a single prefix may
	// take before it gets another home.
	maxPrefixShare = 0.1
	// maxDraws bounds the random draws for one of many homes.
	maxDraws = 16
	// busyCost is the cost in seconds of choosing a target that is always busy.
	// It evens out the uneven distribution of prefixes by the hash.
	busyCost = 0.15
	// batchCost is the cost in seconds of joining a full batch.
	batchCost = 0.25
	// missCost is the cost of one second of prefill that a cached prefix would
	// have saved: this request's second, and the waits of those queued behind.
	missCost = 3
)

// State is what an entry remembers about prefixes for its choices in one
// service. It is not safe for concurrent use.
type State struct {
	// Caches records which targets have which prefixes cached.
	Caches *Caches
	// Rates estimates how often each prefix arrives at this entry.
	Rates *Rates
}

// Pick chooses one of the targets. A prefix has as many homes as its arrival
// rate needs, and every entry computes the same ones. The arrival rate is taken
// as the rate at this entry times the number of entries, so spreading a hot
// prefix needs no reports. Of two homes the one with the lower cost is chosen:
// the wait, the load, and the extra work if the prefix is not cached there.
func Pick(targets []Target, r Request, m *State) Choice {
	var top [maxTopHomes]int
	remote := false
	n := rendezvous(targets, r, remote, top[:])
	if n == 0 {
		remote = true
		n = rendezvous(targets, r, remote, top[:])
	}
	if n == 0 {
		return Choice{Index: -1, Reason: ReasonNone}
	}
	homeCount := homesFor(r, m.Rates)
	a, b := top[0], top[min(1, n-1)]
	switch {
	case homeCount > n && n == maxTopHomes:
		share := float64(homeCount) / float64(len(targets))
		a = drawHome(targets, r, remote, share, r.Random, a)
		b = drawHome(targets, r, remote, share, mix(r.Random), b)
	case homeCount > 1:
		first := int(mix(r.Random) % uint64(min(homeCount, n)))
		a, b = top[first], top[(first+1)%min(homeCount, n)]
	}
	return pickCheaper(targets, r, m, a, b, homeCount, top[0])
}

// homesFor returns how many homes the prefix of r needs.
func homesFor(r Request, rates *Rates) int {
	if r.Prefix == 0 {
		return 1
	}
	work := rates.Rate(r.Prefix, r.Now) * float64(r.Entries) * (r.Seconds - r.CachedSeconds)
	return 1 + int(work/maxPrefixShare)
}

// drawHome returns the index of a random home of a prefix that has more than
// maxTopHomes. Its homes are the eligible targets whose rendezvous weight is in
// the upper share of the range of weights. If maxDraws draws from random find
// none, it returns fallback.
func drawHome(targets []Target, r Request, remote bool, share float64, random uint64, fallback int) int {
	minWeight := uint64(0)
	if share < 1 {
		minWeight = uint64((1 - share) * math.MaxUint64)
	}
	for range maxDraws {
		random = mix(random)
		i := int(random % uint64(len(targets)))
		t := &targets[i]
		if t.eligible(r.Role, remote) && mix(t.Hash^r.Prefix) >= minWeight {
			return i
		}
	}
	return fallback
}

// pickCheaper chooses the cheaper of the targets a and b, which are homes of the
// request's prefix if it has homeCount of them. first is the first home.
func pickCheaper(targets []Target, r Request, m *State, a, b, homeCount, first int) Choice {
	costA := targets[a].cost(r, homeCount > 1 || a == first, m.Caches)
	costB := targets[b].cost(r, homeCount > 1 || b == first, m.Caches)
	i := a
	if costB < costA {
		i = b
	}
	c := Choice{Index: i, Wait: targets[i].wait(r.Now), Reason: ReasonOtherHome}
	switch {
	case i == first:
		c.Reason = ReasonPrefix
	case homeCount > 1:
		c.Reason = ReasonHot
	}
	return c
}

// eligible reports whether the target may get a request that needs role, among
// the remote or the local targets.
func (t *Target) eligible(role Roles, remote bool) bool {
	return !t.Blocked && t.Remote == remote && t.Roles&role != 0
}

// wait returns the estimated time until prefill starts, in seconds.
func (t *Target) wait(now float64) float64 { return max(t.BusyUntil-now, 0) }

// cost returns the cost of sending r to t, in seconds. home means that t is a
// home of the prefix, which is then assumed to be cached.
func (t *Target) cost(r Request, home bool, caches *Caches) float64 {
	p := t.wait(r.Now) + busyCost*t.Busy
	if t.Slots > 0 {
		p += batchCost * t.Running / t.Slots
	}
	if r.Prefix != 0 && !home && !caches.Has(r.Prefix, t.Hash, r.Now) {
		p += missCost * r.CachedSeconds
	}
	return p
}

// rendezvous fills top with the indices of the eligible targets that have the
// highest rendezvous weights for the prefix, highest first, and returns how many
// it found. For a request without a prefix the order is random.
func rendezvous(targets []Target, r Request, remote bool, top []int) int {
	key := r.Prefix
	if key == 0 {
		key = r.Random
	}
	var weights [maxTopHomes]uint64
	n := 0
	for i := range targets {
		if !targets[i].eligible(r.Role, remote) {
			continue
		}
		w := mix(targets[i].Hash ^ key)
		if n == len(top) && w <= weights[n-1] {
			continue
		}
		if n < len(top) {
			n++
		}
		j := n - 1
		for j > 0 && weights[j-1] < w {
			weights[j], top[j] = weights[j-1], top[j-1]
			j--
		}
		weights[j], top[j] = w, i
	}
	return n
}

// mix hashes x with the splitmix64 generator's increment and finalizer.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
