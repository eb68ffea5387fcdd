package steward

import (
	"fmt"
	"strconv"
	"time"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/roles"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// queueDrainTime is the time within which queued prefill work should be done. Queued
// work divided by it counts as demand.
const queueDrainTime = 10 * time.Second

// rolePlan decides on the roles of a service's engines, from the mix of prefill and
// decode work that their counters show. It belongs to one tenure of the lease.
type rolePlan struct {
	speed    settings.EngineSpeed
	interval time.Duration

	planner *roles.Planner
	// engines is the number of engines that the planner plans for.
	engines int
	// counters holds each engine's work counters at the last observation, which was
	// at observedAt on the lease's clock.
	counters   map[string]workCounters
	observedAt time.Duration
	// pendingRoles holds the new roles of engines whose role is being changed.
	pendingRoles map[string]roles.Role
}

// workCounters is the work, in tokens, that an engine has done since its process
// started. boot identifies the process.
type workCounters struct {
	boot            uint64
	prefill, decode uint64
}

// newRolePlan returns a plan without observations.
func newRolePlan(cfg *settings.Steward) *rolePlan {
	return &rolePlan{
		speed: cfg.Engine, interval: cfg.RoleInterval.D(),
		counters: map[string]workCounters{}, pendingRoles: map[string]roles.Role{},
	}
}

// desiredRole returns the role that an engine is to have: its pending one, or else the
// one that it has.
func (p *rolePlan) desiredRole(t gossip.TargetView) roles.Role {
	if r, ok := p.pendingRoles[t.Name]; ok {
		return r
	}
	if r := roles.Role(t.Status.GetRole()); r != "" {
		return r
	}
	return roles.RoleBoth
}

// planRoles observes the mix of work once in each interval and decides how many engines
// each role is to have. It starts one role change at a time; the next decision waits
// until that change is done.
func (c *controller) planRoles(row table.Row, targets []gossip.TargetView) {
	now := c.clock()
	if now-c.plan.observedAt < c.plan.interval {
		return
	}
	serving := servingEngines(targets, row.Model)
	current := c.plan.currentSplit(serving)
	if c.plan.engines != len(serving) {
		c.plan.resetPlanner(row, current, len(serving))
	}
	mix, valid := c.plan.observe(serving, now)
	if !valid || !current.Usable() {
		return
	}
	c.plan.clearCompleted(serving)
	if len(c.plan.pendingRoles) > 0 {
		return
	}
	d := c.plan.planner.Decide(current)
	if d.Target == current {
		return
	}
	c.beginRoleChange(row, serving, current, d, mix)
}

// servingEngines returns the engines that count when engines are divided among roles:
// those that are reachable, not leaving and serve the model.
func servingEngines(targets []gossip.TargetView, model string) []gossip.TargetView {
	var out []gossip.TargetView
	for _, t := range targets {
		if t.Status.GetReachable() && !t.Leaving() && servesModel(t, model) {
			out = append(out, t)
		}
	}
	return out
}

// currentSplit returns how many of the engines have each role.
func (p *rolePlan) currentSplit(serving []gossip.TargetView) roles.Split {
	var s roles.Split
	for _, t := range serving {
		switch roles.Role(t.Status.GetRole()) {
		case roles.RolePrefill:
			s.Prefill++
		case roles.RoleDecode:
			s.Decode++
		default:
			s.Both++
		}
	}
	return s
}

// resetPlanner replaces the planner by one for another number of engines, and drops the
// pending role changes.
func (p *rolePlan) resetPlanner(row table.Row, current roles.Split, engines int) {
	p.engines = engines
	p.pendingRoles = map[string]roles.Role{}
	p.planner = roles.NewPlanner(roles.Config{
		Engines: engines, Mixed: p.speed.MixedFactor, Away: p.speed.RoleChangeTime.D().Seconds(), ChangeCost: row.ChangeCost,
	}, current)
}

// observe computes the mix of work since the last observation, in busy engines for
// prefill and for decode, and passes it to the planner. Queued requests count as work.
// valid is false for the first observation, which has no earlier one to compare with.
func (p *rolePlan) observe(serving []gossip.TargetView, now time.Duration) (mix roles.Mix, valid bool) {
	seconds := (now - p.observedAt).Seconds()
	valid = p.observedAt > 0
	p.observedAt = now
	for _, t := range serving {
		s := t.Status
		next := workCounters{boot: t.Boot, prefill: s.GetPrefillTokens(), decode: s.GetDecodeTokens()}
		last, ok := p.counters[t.Name]
		p.counters[t.Name] = next
		if !ok || last.boot != next.boot {
			continue
		}
		mix.Prefill += float64(next.prefill-last.prefill) / p.speed.PrefillTokensPerS / seconds
		mix.Decode += float64(next.decode-last.decode) / p.speed.DecodeTokensPerS / seconds
		mix.Prefill += float64(s.GetQueuedTokens()) / p.speed.PrefillTokensPerS / queueDrainTime.Seconds()
		if s.GetSlots() > 0 {
			mix.Decode += float64(s.GetWaiting()) / float64(s.GetSlots())
		}
	}
	if valid {
		p.planner.Observe(mix, seconds)
	}
	return mix, valid
}

// clearCompleted removes the pending roles that the engines have taken.
func (p *rolePlan) clearCompleted(serving []gossip.TargetView) {
	for _, t := range serving {
		if r, ok := p.pendingRoles[t.Name]; ok && roles.Role(t.Status.GetRole()) == r {
			delete(p.pendingRoles, t.Name)
		}
	}
}

// beginRoleChange starts the first role change of a decision: it chooses the engine
// with the fewest running requests among those of the role that has too many. The
// decision is recorded and logged.
func (c *controller) beginRoleChange(row table.Row, serving []gossip.TargetView, current roles.Split, d roles.Decision, mix roles.Mix) {
	from, to, ok := roles.NextChange(current, d.Target)
	if !ok {
		return
	}
	engine := ""
	leastRunning := uint32(0)
	for _, t := range serving {
		if roles.Role(t.Status.GetRole()) != from || t.Status.GetChanging() {
			continue
		}
		if engine == "" || t.Status.GetRunning() < leastRunning {
			engine, leastRunning = t.Name, t.Status.GetRunning()
		}
	}
	if engine == "" {
		return
	}
	c.plan.pendingRoles[engine] = to
	id := c.decisions.record(roleChangeDecision(row, current, d, mix, engine, from, to))
	c.log.Info(telemetry.EventRoleDecision, telemetry.F("decision", id), telemetry.F("service", row.Service),
		telemetry.F("target", engine), telemetry.F("from", from), telemetry.F("to", to),
		telemetry.F("regret", d.Regret), telemetry.F("cost", d.Cost))
}

// roleChangeDecision returns the decision record of one role change.
func roleChangeDecision(row table.Row, current roles.Split, d roles.Decision, mix roles.Mix, engine string, from, to roles.Role) *api.Decision {
	r := &api.Decision{
		Service: row.Service, What: "role_change",
		Choice: fmt.Sprintf("%s from %s to %s", engine, from, to),
		Cause:  fmt.Sprintf("the split %s has lost %.3g engine-seconds more than %s, a change costs %.3g", formatSplit(current), d.Regret, formatSplit(d.Target), d.Cost),
		Inputs: []*api.Input{
			{Name: "prefill_engines_busy", Value: formatFloat(mix.Prefill)},
			{Name: "decode_engines_busy", Value: formatFloat(mix.Decode)},
			{Name: "change_cost", Value: formatFloat(row.ChangeCost)},
		},
	}
	for _, o := range d.Options {
		r.Options = append(r.Options, &api.Option{Name: formatSplit(o.Split), Price: o.Price})
	}
	return r
}

// formatSplit formats a split as the numbers of engines for prefill, decode and both.
func formatSplit(s roles.Split) string {
	return fmt.Sprintf("%dp+%dd+%db", s.Prefill, s.Decode, s.Both)
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', 4, 64) }
