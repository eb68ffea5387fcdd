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
	// CachedSeconds is the prefill work that a cached prefix saves.
	CachedSeconds float64
	// Random is a random number for this request.
	Random uint64
}

// Reason is why a target was chosen.
type Reason string

// The reasons.
const (
	ReasonNone       Reason = "no_usable_target"
	ReasonPrefix     Reason = "prefix_home"
	ReasonSecondHome Reason = "prefix_second_home"
	ReasonSpill      Reason = "prefix_spill"
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
	// homes is how many targets of a prefix are weighed: those most likely to
	// have it cached.
	homes = 2
	// spills is how many random targets are weighed against the homes.
	spills = 2
	// batchPrice is the price in seconds of joining a full batch.
	batchPrice = 0.25
)

// Pick chooses among targets. The homes of the prefix are priced without the
// work that a cached prefix saves; a few random targets catch what a hot
// prefix spills. The least price wins.
func Pick(targets []Target, r Request) Choice {
	var home [homes]int
	remote := false
	n := rendezvous(targets, r, remote, home[:])
	if n == 0 {
		remote = true
		n = rendezvous(targets, r, remote, home[:])
	}
	if n == 0 {
		return Choice{Index: -1, Reason: ReasonNone}
	}
	best := Choice{Index: -1}
	bestPrice := math.Inf(1)
	for i := range n {
		t := &targets[home[i]]
		price := t.price(r.Now)
		if r.Prefix != 0 {
			price -= r.CachedSeconds
		}
		if price < bestPrice {
			bestPrice = price
			best = Choice{Index: home[i], Wait: t.wait(r.Now), Reason: homeReason(i)}
		}
	}
	rnd := r.Random
	for range spills {
		rnd = mix(rnd)
		i := int(rnd % uint64(len(targets)))
		t := &targets[i]
		if !t.fits(r.Role, remote) {
			continue
		}
		if price := t.price(r.Now); price < bestPrice {
			bestPrice = price
			best = Choice{Index: i, Wait: t.wait(r.Now), Reason: ReasonSpill}
		}
	}
	return best
}

func homeReason(i int) Reason {
	if i == 0 {
		return ReasonPrefix
	}
	return ReasonSecondHome
}

func (t *Target) fits(role Roles, remote bool) bool {
	return !t.Blocked && t.Remote == remote && t.Roles&role != 0
}

// wait is the estimated time until prefill starts, in seconds.
func (t *Target) wait(now float64) float64 { return max(t.Until-now, 0) }

// price is the wait plus the cost of joining the batch.
func (t *Target) price(now float64) float64 {
	p := t.wait(now)
	if t.Slots > 0 {
		p += batchPrice * t.Running / t.Slots
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
