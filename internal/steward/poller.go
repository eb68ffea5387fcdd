package steward

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/member"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// targetPollers is how many stewards poll each target, so that the loss of one
	// does not leave a target without polls. The first polls in every round, the
	// others only in every backupPollRounds-th round.
	targetPollers    = 2
	backupPollRounds = 6
	// unchangedReportInterval is the least time between two reports of a target whose
	// status has not changed.
	unchangedReportInterval = 5 * time.Second
	// maxConcurrentPolls is how many targets are polled at the same time.
	maxConcurrentPolls = 32
	// failuresToUnreachable is how many consecutive polls must fail before a target
	// is marked unreachable.
	failuresToUnreachable = 2
)

// maxViewAge is how old a view may be for decisions that are repeated often, so that
// they do not decode the store each time.
const maxViewAge = 500 * time.Millisecond

// statusReader reads the status of the target at an address.
type statusReader interface {
	Status(ctx context.Context, address string) (target.Status, error)
}

// poller polls targets of the data centre for their status and puts it into the
// store. Stewards divide the targets among themselves by rendezvous hashing.
type poller struct {
	dataCentre string
	store      *gossip.Store
	gossip     *member.Gossip
	targets    statusReader
	interval   time.Duration
	log        *telemetry.Logger

	// rounds counts the poll rounds.
	rounds int

	mu sync.Mutex
	// failures is the number of consecutive failed polls by target name.
	failures map[string]int

	kernel.Background
}

// Start starts polling.
func (p *poller) Start(context.Context) error {
	p.Run(func(ctx context.Context) { kernel.Every(ctx, p.interval, p.pollRound) })
	return nil
}

// pollRound polls each target that is assigned to this steward once.
func (p *poller) pollRound(ctx context.Context) {
	alive := p.gossip.Alive()
	self := p.gossip.Self().VM
	p.rounds++
	ranks := 1
	if p.rounds%backupPollRounds == 0 {
		ranks = targetPollers
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, t := range p.store.RecentView(maxViewAge).Targets {
		if t.DataCentre != p.dataCentre || member.Rank(alive, self, t.Name) >= ranks {
			continue
		}
		g.Go(func() error {
			p.poll(ctx, t)
			return nil
		})
	}
	// Polls put their results into the store and never return an error.
	_ = g.Wait()
}

// poll reads one target's status and publishes it, unless it is unchanged and was
// reported within unchangedReportInterval.
func (p *poller) poll(ctx context.Context, t gossip.TargetView) {
	s, err := p.targets.Status(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.recordFailure(t, err)
		return
	}
	p.mu.Lock()
	delete(p.failures, t.Name)
	p.mu.Unlock()
	it := statusItem(t.Name, t.DataCentre, s)
	if age, ok := p.store.Age(it.GetKey()); ok && age < unchangedReportInterval && sameReport(p.store.Get(it.GetKey()), it) {
		return
	}
	p.publish(t, it)
}

// sameReport reports whether two items show the same status of the same process.
func sameReport(a, b *api.Item) bool {
	return a.GetEpoch() == b.GetEpoch() && proto.Equal(a.GetTarget(), b.GetTarget())
}

// recordFailure counts a failed poll and marks the target unreachable after
// failuresToUnreachable of them. The mark has the sequence number after the last
// known status, so that any later status of the target replaces it.
func (p *poller) recordFailure(t gossip.TargetView, err error) {
	p.mu.Lock()
	p.failures[t.Name]++
	n := p.failures[t.Name]
	p.mu.Unlock()
	last := p.store.Get(gossip.TargetKey(t.Name))
	if n < failuresToUnreachable || last == nil || !last.GetTarget().GetReachable() {
		return
	}
	p.log.Warn(telemetry.EventTargetState, telemetry.F("target", t.Name), telemetry.F("state", "unreachable"), telemetry.F("cause", err))
	unreachable := &api.Target{DataCentre: t.DataCentre, Role: last.GetTarget().GetRole()}
	p.publish(t, &api.Item{
		Key: gossip.TargetKey(t.Name), Epoch: last.GetEpoch(), Seq: last.GetSeq() + 1,
		Body: &api.Item_Target{Target: unreachable},
	})
}

// publish puts an item into the store. If it changes more than the target's load, it
// is logged and spread by gossip at once.
func (p *poller) publish(t gossip.TargetView, it *api.Item) {
	if len(p.store.Merge([]*api.Item{it}, "")) == 0 || !p.store.LastChangeIsState(it.GetKey()) {
		return
	}
	p.gossip.RequestUrgentRound()
	p.log.Info(telemetry.EventTargetState, telemetry.F("target", t.Name), telemetry.F("state", StateName(it.GetTarget(), t)),
		telemetry.F("role", it.GetTarget().GetRole()))
}

// seqStride is the factor from a status's own sequence number to that of its item. It
// leaves a number free between two statuses for an unreachable mark.
const seqStride = 2

// statusItem returns the item that reports a target's status by gossip.
func statusItem(name, dataCentre string, s target.Status) *api.Item {
	return &api.Item{Key: gossip.TargetKey(name), Epoch: s.Boot, Seq: s.Seq * seqStride, Body: &api.Item_Target{Target: &api.Target{
		Role: string(s.Role), Reachable: true, Leaving: s.Leaving, Changing: s.Changing,
		Running: uint32(s.Running), Waiting: uint32(s.Waiting), QueuedTokens: uint32(s.QueuedTokens), Slots: uint32(s.Slots),
		Fence: s.Fence, Model: s.Model, Version: s.Version, Adapters: s.Adapters,
		PrefillTokens: s.PrefillTokens, DecodeTokens: s.DecodeTokens, DataCentre: dataCentre,
	}}}
}

// StateName returns the name of a target's state in log lines and in the status
// response.
func StateName(s *api.Target, t gossip.TargetView) string {
	switch {
	case s == nil:
		return "unknown"
	case !s.GetReachable():
		return "unreachable"
	case s.GetLeaving() || t.Leaving():
		return "leaving"
	case s.GetChanging():
		return "changing"
	case t.Draining:
		return "draining"
	}
	return "live"
}
