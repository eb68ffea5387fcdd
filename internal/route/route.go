// Package route decides which target gets a request. It is pure: plain values
// in, a decision and its reason out; no clock and no network.
package route

import "math"

// Roles is the set of roles that a target can fill.
type Roles uint8

// The roles that a request can need.
const (
	Prefill Roles = 1 << iota
	Decode
	// Whole is a request that one target serves from prompt to last token.
	Whole
)

// Target is one candidate as the entry sees it now.
type Target struct {
	// Hash identifies the target for rendezvous hashing.
	Hash uint64
	// Until is when the prefill work known to be queued will be done, on the
	// clock of Request.Now, in seconds: what was last reported, plus what this
	// entry has sent since.
	Until float64
	// Busy is the share of the last while that the target spent on prefill. It
	// moves slowly and so does not age as the wait does; see Busy.
	Busy float64
	// Running is the requests in the batch, reported and own since.
	Running float64
	// Slots is the batch size; zero where there is none.
	Slots float64
	// Roles is what the target can be used for.
	Roles Roles
	// Remote targets are in another data centre and are used only when the
	// own one has none.
	Remote bool
	// Blocked targets get nothing: leaving, changing, or set aside.
	Blocked bool
}

// Request is what the decision needs to know of a request.
type Request struct {
	// Now is the present, in seconds from an arbitrary zero.
	Now float64
	// Role is the one role needed.
	Role Roles
	// Prefix is the hash of the prompt's prefix; zero for none.
	Prefix uint64
	// Seconds is the prefill work of the prompt, and CachedSeconds the part of
	// it that a cached prefix saves.
	Seconds       float64
	CachedSeconds float64
	// Entries is how many entries share the targets, this one included.
	Entries int
	// Random is a random number for this request.
	Random uint64
}

// Reason is why a target was chosen.
type Reason string

// The reasons.
const (
	ReasonNone      Reason = "no_usable_target"
	ReasonPrefix    Reason = "prefix_home"
	ReasonOtherHome Reason = "prefix_other_home"
	ReasonHot       Reason = "hot_prefix_home"
)

// Choice is the decision.
type Choice struct {
	// Index is the chosen target, or -1.
	Index int
	// Wait is its estimated wait before prefill starts, in seconds.
	Wait   float64
	Reason Reason
}

const (
	// homes is how many targets of a prefix are found exactly, in the order
	// of its rendezvous hash.
	homes = 4
	// homeShare is the part of one target's time that a single prefix may
	// take before it is given a further home.
	homeShare = 0.1
	// drawTries bounds the search for a random one of many homes.
	drawTries = 16
	// busyPrice is the price in seconds of a target that is always busy. It
	// evens out what the hash deals unevenly.
	busyPrice = 0.15
	// batchPrice is the price in seconds of joining a full batch.
	batchPrice = 0.25
	// missPrice is the price of a second of prefill that a cached prefix
	// would save: the request's own second, and what those behind it wait.
	missPrice = 3
)

// Memory is what an entry remembers for its decisions on one service. It is
// not safe for concurrent use.
type Memory struct {
	Seen *Seen
	Heat *Heat
}

// Pick chooses among targets. A prefix has as many homes as its arrival rate
// needs, the same ones for every entry; as the rate is that at this entry
// times the number of entries, no report is needed to spread a hot prefix. Two
// homes are weighed: the least price wins, which is the wait plus the extra
// work where the prefix is not cached.
func Pick(targets []Target, r Request, m *Memory) Choice {
	var top [homes]int
	remote := false
	n := rendezvous(targets, r, remote, top[:])
	if n == 0 {
		remote = true
		n = rendezvous(targets, r, remote, top[:])
	}
	if n == 0 {
		return Choice{Index: -1, Reason: ReasonNone}
	}
	wanted := homesFor(r, m.Heat)
	a, b := top[0], top[min(1, n-1)]
	switch {
	case wanted > n && n == homes:
		share := float64(wanted) / float64(len(targets))
		a = draw(targets, r, remote, share, r.Random, a)
		b = draw(targets, r, remote, share, mix(r.Random), b)
	case wanted > 1:
		first := int(mix(r.Random) % uint64(min(wanted, n)))
		a, b = top[first], top[(first+1)%min(wanted, n)]
	}
	return cheaper(targets, r, m, a, b, wanted, top[0])
}

// homesFor returns how many homes the prefix needs.
func homesFor(r Request, heat *Heat) int {
	if r.Prefix == 0 {
		return 1
	}
	work := heat.Rate(r.Prefix, r.Now) * float64(r.Entries) * (r.Seconds - r.CachedSeconds)
	return 1 + int(work/homeShare)
}

// draw returns a random one of the homes of a prefix that has many: those
// whose rendezvous weight lies in the upper share of all weights.
func draw(targets []Target, r Request, remote bool, share float64, random uint64, otherwise int) int {
	bar := uint64(0)
	if share < 1 {
		bar = uint64((1 - share) * math.MaxUint64)
	}
	for range drawTries {
		random = mix(random)
		i := int(random % uint64(len(targets)))
		t := &targets[i]
		if t.fits(r.Role, remote) && mix(t.Hash^r.Prefix) >= bar {
			return i
		}
	}
	return otherwise
}

func cheaper(targets []Target, r Request, m *Memory, a, b, wanted, first int) Choice {
	priceA := targets[a].price(r, wanted > 1 || a == first, m.Seen)
	priceB := targets[b].price(r, wanted > 1 || b == first, m.Seen)
	i := a
	if priceB < priceA {
		i = b
	}
	c := Choice{Index: i, Wait: targets[i].wait(r.Now), Reason: ReasonOtherHome}
	switch {
	case i == first:
		c.Reason = ReasonPrefix
	case wanted > 1:
		c.Reason = ReasonHot
	}
	return c
}

func (t *Target) fits(role Roles, remote bool) bool {
	return !t.Blocked && t.Remote == remote && t.Roles&role != 0
}

// wait is the estimated time until prefill starts, in seconds.
func (t *Target) wait(now float64) float64 { return max(t.Until-now, 0) }

// price is what it costs to send r to t, in seconds.
func (t *Target) price(r Request, home bool, seen *Seen) float64 {
	p := t.wait(r.Now) + busyPrice*t.Busy
	if t.Slots > 0 {
		p += batchPrice * t.Running / t.Slots
	}
	if r.Prefix != 0 && !home && !seen.Has(r.Prefix, t.Hash, r.Now) {
		p += missPrice * r.CachedSeconds
	}
	return p
}

// rendezvous fills top with the fitting targets of highest weight for the
// prefix, best first, and returns how many there are. A request without a
// prefix gets random ones.
func rendezvous(targets []Target, r Request, remote bool, top []int) int {
	key := r.Prefix
	if key == 0 {
		key = r.Random
	}
	var weights [homes]uint64
	n := 0
	for i := range targets {
		if !targets[i].fits(r.Role, remote) {
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

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
