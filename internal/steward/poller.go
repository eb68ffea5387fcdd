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
	// targetPollers is how many stewards ask each target, so that the loss of
	// one goes unnoticed. The first asks in each round, the others only in
	// one of backupEvery rounds.
	targetPollers = 2
	backupEvery   = 6
	// refresh is how long a report of an unchanged load is kept back.
	refresh = 5 * time.Second
	// pollsAtOnce bounds the targets asked at the same time.
	pollsAtOnce = 32
	// failuresToUnreachable is how many polls in a row must fail before a
	// target is called unreachable.
	failuresToUnreachable = 2
)

// viewAge is how old a view may be for decisions that are made again and again.
const viewAge = 500 * time.Millisecond

// statusReader reads a target's status.
type statusReader interface {
	Status(ctx context.Context, address string) (target.Status, error)
}

// poller asks targets of the data centre for their status and puts it into
// the store. Stewards share the targets out by rendezvous hashing.
type poller struct {
	dataCentre string
	store      *gossip.Store
	gossip     *member.Gossip
	targets    statusReader
	interval   time.Duration
	log        *telemetry.Logger

	rounds int

	mu       sync.Mutex
	failures map[string]int

	kernel.Background
}

// Start begins to poll.
func (p *poller) Start(context.Context) error {
	p.Run(func(ctx context.Context) { kernel.Every(ctx, p.interval, p.round) })
	return nil
}

// round polls this steward's part of the targets once.
func (p *poller) round(ctx context.Context) {
	alive := p.gossip.Alive()
	self := p.gossip.Self().VM
	p.rounds++
	ranks := 1
	if p.rounds%backupEvery == 0 {
		ranks = targetPollers
	}
	var g errgroup.Group
	g.SetLimit(pollsAtOnce)
	for _, t := range p.store.RecentView(viewAge).Targets {
		if t.DataCentre != p.dataCentre || member.Rank(alive, self, t.Name) >= ranks {
			continue
		}
		g.Go(func() error {
			p.poll(ctx, t)
			return nil
		})
	}
	// The polls report by the store, never by an error.
	_ = g.Wait()
}

func (p *poller) poll(ctx context.Context, t gossip.TargetView) {
	s, err := p.targets.Status(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.failed(t, err)
		return
	}
	p.mu.Lock()
	delete(p.failures, t.Name)
	p.mu.Unlock()
	it := statusItem(t.Name, t.DataCentre, s)
	if age, ok := p.store.Age(it.GetKey()); ok && age < refresh && sameReport(p.store.Get(it.GetKey()), it) {
		return
	}
	p.take(t, it)
}

// sameReport reports whether two statuses of one boot say the same.
func sameReport(a, b *api.Item) bool {
	return a.GetEpoch() == b.GetEpoch() && proto.Equal(a.GetTarget(), b.GetTarget())
}

// failed marks a target unreachable after failures in a row. The mark carries
// the version after the last status seen, so that any later status of the
// target replaces it.
func (p *poller) failed(t gossip.TargetView, err error) {
	p.mu.Lock()
	p.failures[t.Name]++
	n := p.failures[t.Name]
	p.mu.Unlock()
	last := p.store.Get(gossip.TargetKey(t.Name))
	if n < failuresToUnreachable || last == nil || !last.GetTarget().GetReachable() {
		return
	}
	p.log.Warn(telemetry.EventTargetState, telemetry.F("target", t.Name), telemetry.F("state", "unreachable"), telemetry.F("cause", err))
	gone := &api.Target{DataCentre: t.DataCentre, Role: last.GetTarget().GetRole()}
	p.take(t, &api.Item{
		Key: gossip.TargetKey(t.Name), Epoch: last.GetEpoch(), Seq: last.GetSeq() + 1,
		Body: &api.Item_Target{Target: gone},
	})
}

func (p *poller) take(t gossip.TargetView, it *api.Item) {
	if len(p.store.Merge([]*api.Item{it}, "")) == 0 || !p.store.IsState(it.GetKey()) {
		return
	}
	p.gossip.Spread()
	p.log.Info(telemetry.EventTargetState, telemetry.F("target", t.Name), telemetry.F("state", StateName(it.GetTarget(), t)),
		telemetry.F("role", it.GetTarget().GetRole()))
}

// seqScale leaves room between two reports of a target for an unreachable mark
// between them.
const seqScale = 2

func statusItem(name, dataCentre string, s target.Status) *api.Item {
	return &api.Item{Key: gossip.TargetKey(name), Epoch: s.Boot, Seq: s.Seq * seqScale, Body: &api.Item_Target{Target: &api.Target{
		Role: string(s.Role), Reachable: true, Leaving: s.Leaving, Changing: s.Changing,
		Running: uint32(s.Running), Waiting: uint32(s.Waiting), QueuedTokens: uint32(s.QueuedTokens), Slots: uint32(s.Slots),
		Fence: s.Fence, Model: s.Model, Version: s.Version, Adapters: s.Adapters,
		PrefillTokens: s.PrefillTokens, DecodeTokens: s.DecodeTokens, DataCentre: dataCentre,
	}}}
}

// StateName is the word for a target's state in logs and status.
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
