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

// queueHorizon is the time within which queued work should be done; it turns a
// queue into demand.
const queueHorizon = 10 * time.Second

// rolePlan is what a holder knows of its service's mix and the roles it wants.
type rolePlan struct {
	speed    settings.EngineSpeed
	interval time.Duration

	planner *roles.Planner
	engines int
	// counters holds each engine's work counters at the last observation.
	counters map[string]workCounters
	lastAt   time.Duration
	// moved is the engines that are to have another role than they show.
	moved map[string]roles.Role
}

// workCounters is an engine's cumulative work in one boot.
type workCounters struct {
	boot            uint64
	prefill, decode uint64
}

func newRolePlan(cfg *settings.Steward) *rolePlan {
	return &rolePlan{
		speed: cfg.Engine, interval: cfg.RoleInterval.D(),
		counters: map[string]workCounters{}, moved: map[string]roles.Role{},
	}
}

// roleOf returns the role that an engine is to have.
func (p *rolePlan) roleOf(t gossip.TargetView) roles.Role {
	if r, ok := p.moved[t.Name]; ok {
		return r
	}
	if r := roles.Role(t.Status.GetRole()); r != "" {
		return r
	}
	return roles.RoleBoth
}

// planRoles observes the mix and, once in each interval, decides on the split.
// One change is begun at a time; the next is decided when it is done.
func (c *controller) planRoles(row table.Row, targets []gossip.TargetView) {
	now := c.clock()
	if now-c.plan.lastAt < c.plan.interval {
		return
	}
	serving := servingEngines(targets, row.Model)
	current := c.plan.split(serving)
	if c.plan.engines != len(serving) {
		c.plan.reset(row, current, len(serving))
	}
	mix, complete := c.plan.observe(serving, now)
	if !complete || !current.Usable() {
		return
	}
	c.plan.settle(serving)
	if len(c.plan.moved) > 0 {
		return
	}
	d := c.plan.planner.Decide(current)
	if d.Target == current {
		return
	}
	c.begin(row, serving, current, d, mix)
}

// servingEngines are those whose roles count in the split.
func servingEngines(targets []gossip.TargetView, model string) []gossip.TargetView {
	var out []gossip.TargetView
	for _, t := range targets {
		if t.Status.GetReachable() && !t.Leaving() && serves(t, model) {
			out = append(out, t)
		}
	}
	return out
}

func (p *rolePlan) split(serving []gossip.TargetView) roles.Split {
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

// reset starts the planner anew for another number of engines.
func (p *rolePlan) reset(row table.Row, current roles.Split, engines int) {
	p.engines = engines
	p.moved = map[string]roles.Role{}
	p.planner = roles.NewPlanner(roles.Config{
		Engines: engines, Mixed: p.speed.Mixed, Away: p.speed.Away.D().Seconds(), ChangeCost: row.ChangeCost,
	}, current)
}

// observe turns the engines' counters into the mix since the last observation
// and gives it to the planner. complete is false when there was no earlier
// observation to compare with.
func (p *rolePlan) observe(serving []gossip.TargetView, now time.Duration) (mix roles.Mix, complete bool) {
	seconds := (now - p.lastAt).Seconds()
	complete = p.lastAt > 0
	p.lastAt = now
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
		mix.Prefill += float64(s.GetQueuedTokens()) / p.speed.PrefillTokensPerS / queueHorizon.Seconds()
		if s.GetSlots() > 0 {
			mix.Decode += float64(s.GetWaiting()) / float64(s.GetSlots())
		}
	}
	if complete {
		p.planner.Observe(mix, seconds)
	}
	return mix, complete
}

// settle forgets the moves that the engines have made.
func (p *rolePlan) settle(serving []gossip.TargetView) {
	for _, t := range serving {
		if r, ok := p.moved[t.Name]; ok && roles.Role(t.Status.GetRole()) == r {
			delete(p.moved, t.Name)
		}
	}
}

// begin takes the first step of a decision: the least busy engine of the role
// that has too many.
func (c *controller) begin(row table.Row, serving []gossip.TargetView, current roles.Split, d roles.Decision, mix roles.Mix) {
	take, give, ok := roles.Step(current, d.Target)
	if !ok {
		return
	}
	engine := ""
	least := uint32(0)
	for _, t := range serving {
		if roles.Role(t.Status.GetRole()) != take || t.Status.GetChanging() {
			continue
		}
		if engine == "" || t.Status.GetRunning() < least {
			engine, least = t.Name, t.Status.GetRunning()
		}
	}
	if engine == "" {
		return
	}
	c.plan.moved[engine] = give
	id := c.records.record(roleRecord(row, current, d, mix, engine, take, give))
	c.log.Info(telemetry.EventRoleDecision, telemetry.F("decision", id), telemetry.F("service", row.Service),
		telemetry.F("target", engine), telemetry.F("from", take), telemetry.F("to", give),
		telemetry.F("regret", d.Regret), telemetry.F("cost", d.Cost))
}

func roleRecord(row table.Row, current roles.Split, d roles.Decision, mix roles.Mix, engine string, take, give roles.Role) *api.Decision {
	r := &api.Decision{
		Service: row.Service, What: "role_change",
		Choice: fmt.Sprintf("%s from %s to %s", engine, take, give),
		Cause:  fmt.Sprintf("the split %s has lost %.3g engine-seconds more than %s, a change costs %.3g", splitName(current), d.Regret, splitName(d.Target), d.Cost),
		Inputs: []*api.Input{
			{Name: "prefill_engines_busy", Value: formatFloat(mix.Prefill)},
			{Name: "decode_engines_busy", Value: formatFloat(mix.Decode)},
			{Name: "change_cost", Value: formatFloat(row.ChangeCost)},
		},
	}
	for _, o := range d.Options {
		r.Options = append(r.Options, &api.Option{Name: splitName(o.Split), Price: o.Price})
	}
	return r
}

func splitName(s roles.Split) string {
	return fmt.Sprintf("%dp+%dd+%db", s.Prefill, s.Decode, s.Both)
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', 4, 64) }
