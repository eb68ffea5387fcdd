package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/internal/fleet"
)

// A target may limit the requests that it accepts from all VMs together. The limit is divided into
// permits, one for each request, at equal intervals. The VMs own the permits in turn, in the order of
// their indexes in the group, and a VM sends a request to the target only if it owns a permit that it
// has not used. What the VMs send together therefore does not depend on how soon they learn of each
// other's requests, on how many they are, or on which of them reach each other.
//
// When the limit or the size of the group changes, the permits are divided anew.
//
// Permits are due by the wall clock. Clocks that differ shift the permits of a VM and change neither
// their number nor their rate.

const (
	// permitValidity is how long a permit may be used after it is due, besides the time of validPermits
	// permits. Unused permits lapse, because a group of any size could otherwise save up one for each of
	// its VMs. In a window of any length W, the VMs use the permits of W + permitValidity, and
	// validPermits + 1, at most.
	permitValidity = time.Second
	validPermits   = 2
	// minPermitSpacing is the least time between two permits that a VM uses, as a fraction of the time
	// between two of its permits. It limits what a VM gains when its permits are due at other times
	// because the limit, or the size of the group, has changed.
	minPermitSpacing = 0.75
	// minLimitPerS is the least rate at which a limited target is sent requests. Its responses state
	// when the limit ends.
	minLimitPerS = 0.25
	// minLimitChange is the smallest change of a limit, as a fraction, that changes the permits. Those
	// that are due lapse with each change.
	minLimitChange = 0.1
	// limitReportTTL is how long a limit that this VM has received is reported to other VMs.
	limitReportTTL = 1200 * time.Millisecond
	// limitClockSkew is how much later than the known limit a reported one must have been stated to
	// replace it. It covers the time that reports take, which their ages do not contain.
	limitClockSkew = 250 * time.Millisecond
)

// RateLimit is a limit that a target states on the requests which it accepts from all VMs together.
// The zero value is no limit.
type RateLimit struct {
	// Stated is set if the target states a limit, and PerS is that limit in requests a second.
	Stated bool
	PerS   float64
}

// LimitReport is a limit that a response of a target stated, or no longer stated.
type LimitReport struct {
	// Target is the id of the target's run.
	Target string
	Limit  RateLimit
	// HeardAt is when a VM received the response.
	HeardAt time.Time
}

// limitState is what this VM knows of a target's limit.
type limitState struct {
	RateLimit
	// heardAt is when a VM received the response that stated the limit, or the first one that did not,
	// and ownAt is when this VM itself received such a response. They are zero if there was none.
	heardAt time.Time
	ownAt   time.Time
	// permitsPerS is the rate of the permits, and size the number of VMs that share them. They hold since
	// permitsSince. Permits that were due before are not used: others may have used the same part of the
	// limit, or a former process of this VM.
	permitsPerS  float64
	size         int
	permitsSince time.Time
	// usedPermit is when the permit that this VM used last was due.
	usedPermit time.Time
}

// Membership returns this VM's index among the VMs of its group and the size of the group. All VMs
// that know the same members have different indexes, from 0 to size-1.
type Membership func() (index, size int)

// SetMembership sets what tells this VM's share of the targets' limits. Without it this VM counts as
// the only one. It must be called before the placer is used.
func (p *Placer) SetMembership(m Membership) { p.membership = m }

// ObserveLimit records the limit that a response of the target states, or that it states none. It
// returns whether that differs from what was known.
func (p *Placer) ObserveLimit(t *fleet.Target, l RateLimit, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.stateByID(t.RunID()).limit
	if !l.Stated && s.heardAt.IsZero() {
		return false
	}
	changed = s.RateLimit != l
	if changed || l.Stated {
		s.ownAt = now
		p.ownLimits[t.RunID()] = s
		s.set(l, now, now)
	}
	return changed
}

// Limits returns the limits that this VM has received from targets within limitReportTTL, and those
// that have ended within that time.
func (p *Placer) Limits(now time.Time) []LimitReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []LimitReport
	for id, l := range p.ownLimits {
		if now.Sub(l.ownAt) > limitReportTTL {
			delete(p.ownLimits, id)
			continue
		}
		out = append(out, LimitReport{Target: id, Limit: l.RateLimit, HeardAt: l.ownAt})
	}
	return out
}

// ObserveLimits takes in the limits that other VMs report.
func (p *Placer) ObserveLimits(reports []LimitReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		s := &p.stateByID(r.Target).limit
		if s.heardAt.IsZero() || r.HeardAt.Sub(s.heardAt) > limitClockSkew {
			s.set(r.Limit, r.HeardAt, now)
		}
	}
}

// set sets the limit, which a VM received at heardAt. The caller holds Placer.mu.
func (l *limitState) set(limit RateLimit, heardAt, now time.Time) {
	if perS := max(limit.PerS, minLimitPerS); limit.Stated && (!l.Stated || math.Abs(perS-l.permitsPerS) > minLimitChange*l.permitsPerS) {
		l.permitsPerS, l.permitsSince = perS, now
	}
	l.RateLimit, l.heardAt = limit, heardAt
}

// Limited reports whether the target states a limit.
func (p *Placer) Limited(t *fleet.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stateByID(t.RunID()).limit.Stated
}

// LimitsUsedUp reports whether some target could take a request if it did not limit them.
func (p *Placer) LimitsUsedUp(targets []*fleet.Target, tried Tried, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range targets {
		if p.usable(t, tried) && !p.withinLimit(t.RunID(), now) {
			return true
		}
	}
	return false
}

// withinLimit reports whether the limit of the target run with this id permits this VM to send a
// request. The caller holds p.mu.
func (p *Placer) withinLimit(id string, now time.Time) bool {
	s := p.states[id]
	if s == nil || !s.limit.Stated {
		return true
	}
	_, ok := p.nextPermit(id, &s.limit, now)
	return ok
}

// takePermit takes the permit for a request to the target run with this id. It returns false if the
// target's limit does not permit the request. The caller holds p.mu.
func (p *Placer) takePermit(id string, now time.Time) bool {
	s := p.states[id]
	if s == nil || !s.limit.Stated {
		return true
	}
	due, ok := p.nextPermit(id, &s.limit, now)
	if ok {
		s.limit.usedPermit = due
	}
	return ok
}

// nextPermit returns when the oldest permit that this VM may use now was due. It returns false if there
// is none. The caller holds p.mu.
func (p *Placer) nextPermit(id string, l *limitState, now time.Time) (due time.Time, ok bool) {
	index, size := p.membership()
	if size != l.size {
		l.size, l.permitsSince = size, now
	}
	interval := float64(time.Second) / l.permitsPerS
	period := interval * float64(max(size, 1))
	earliest := now.Add(-permitValidity - time.Duration(validPermits*interval))
	for _, t := range []time.Time{l.permitsSince, l.usedPermit.Add(time.Duration(minPermitSpacing * period))} {
		if t.After(earliest) {
			earliest = t
		}
	}
	// The offset differs by target, so that the permits of several targets are not due at once.
	offset := period*float64(xxhash.Sum64String(id)>>32)/(1<<32) + interval*float64(index)
	n := math.Ceil((float64(earliest.UnixNano()) - offset) / period)
	due = time.Unix(0, int64(offset+n*period))
	return due, !due.After(now)
}
