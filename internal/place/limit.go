package place

import (
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
)

// rateLimit is a limit that a target states on the requests which it accepts from all VMs together.
// The zero value is no limit.
type rateLimit struct {
	// stated is set if the target stated a limit in its latest response, and perS is that limit in
	// requests a second.
	stated bool
	perS   float64
}

// ObserveLimit records whether a response of the target stated a limit, and which, in requests a
// second. It returns whether that differs from the target's last response.
func (p *Placer) ObserveLimit(t *fleet.Target, perS float64, stated bool, _ time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, next := p.stateByID(t.RunID()), rateLimit{}
	if stated {
		next = rateLimit{stated: true, perS: perS}
	}
	changed = s.limit != next
	s.limit = next
	return changed
}

// Limited reports whether the target states a limit.
func (p *Placer) Limited(t *fleet.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stateByID(t.RunID()).limit.stated
}
