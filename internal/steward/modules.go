// Package steward is the control plane of garnethoist: it distributes the operators'
// table to all entries, tracks peers and targets, holds the services' leases, and sends
// orders to engines.
package steward

import (
	"io"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/member"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/store/httpstore"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Names of the steward's kernel modules.
const (
	ModuleLog          = "telemetry.log"
	ModuleMetrics      = "telemetry.metrics"
	ModuleAdmin        = "telemetry.admin"
	ModulePlatform     = "platform.client"
	ModuleTargets      = "target.client"
	ModuleTables       = "table.store"
	ModuleStore        = "gossip.store"
	ModuleDialer       = "steward.dialer"
	ModuleTraffic      = "steward.traffic"
	ModuleGossip       = "member.gossip"
	ModuleTableSync    = "steward.tablesync"
	ModulePoller       = "steward.poller"
	ModuleLeaseManager = "steward.authority"
	ModuleDecisions    = "steward.records"
	ModuleBurn         = "steward.burns"
	ModuleServer       = "steward.server"
)

// targetTimeout bounds a call that reads a target's status or sends it an order.
const targetTimeout = time.Second

// Register adds the steward's modules to k. Log lines are written to logs.
func Register(k *kernel.Kernel, cfg *settings.Steward, logs io.Writer) {
	k.Register(ModuleLog, func(*kernel.Kernel) (any, error) {
		return telemetry.NewLogger(logs, "garnet-steward", cfg.VM), nil
	})
	k.Register(ModuleMetrics, func(*kernel.Kernel) (any, error) { return telemetry.NewMetrics("garnet-steward") })
	k.Register(ModuleAdmin, func(k *kernel.Kernel) (any, error) {
		m, err := kernel.Get[*telemetry.Metrics](k, ModuleMetrics)
		if err != nil {
			return nil, err
		}
		return telemetry.NewAdmin(string(cfg.AdminListen), m), nil
	})
	k.Register(ModulePlatform, func(k *kernel.Kernel) (any, error) {
		t, err := kernel.Get[*traffic](k, ModuleTraffic)
		if err != nil {
			return nil, err
		}
		return httpstore.NewCounted(string(cfg.Platform.Address), cfg.Platform.Timeout.D(), t.countBytes), nil
	})
	k.Register(ModuleTargets, func(k *kernel.Kernel) (any, error) {
		t, err := kernel.Get[*traffic](k, ModuleTraffic)
		if err != nil {
			return nil, err
		}
		return target.NewCountedClient(targetTimeout, t.countBytes), nil
	})
	k.Register(ModuleStore, func(*kernel.Kernel) (any, error) { return gossip.NewStore(time.Now), nil })
	k.Register(ModuleDialer, func(k *kernel.Kernel) (any, error) {
		t, err := kernel.Get[*traffic](k, ModuleTraffic)
		return newDialer(t), err
	})
	k.Register(ModuleTraffic, provideTraffic)
	k.Register(ModuleDecisions, func(*kernel.Kernel) (any, error) { return newDecisionHistory(cfg.VM), nil })
	k.Register(ModuleBurn, func(*kernel.Kernel) (any, error) { return newBurnTracker(), nil })
	k.Register(ModuleTables, func(k *kernel.Kernel) (any, error) {
		p, err := kernel.Get[*httpstore.Client](k, ModulePlatform)
		return table.NewStore(p, time.Now), err
	})
	k.Register(ModuleGossip, func(k *kernel.Kernel) (any, error) { return provideGossip(k, cfg) })
	k.Register(ModuleTableSync, func(k *kernel.Kernel) (any, error) { return provideTableSync(k, cfg) })
	k.Register(ModulePoller, func(k *kernel.Kernel) (any, error) { return providePoller(k, cfg) })
	k.Register(ModuleLeaseManager, func(k *kernel.Kernel) (any, error) { return provideLeaseManager(k, cfg) })
	k.Register(ModuleServer, func(k *kernel.Kernel) (any, error) { return provideServer(k, cfg) })
}

func provideTraffic(k *kernel.Kernel) (any, error) {
	g := &kernel.Getter{Kernel: k}
	m, store := kernel.Need[*telemetry.Metrics](g, ModuleMetrics), kernel.Need[*gossip.Store](g, ModuleStore)
	if g.Err != nil {
		return nil, g.Err
	}
	t := &traffic{}
	return t, registerMetrics(m, t, store)
}

func provideGossip(k *kernel.Kernel, cfg *settings.Steward) (any, error) {
	g := &kernel.Getter{Kernel: k}
	self := member.Self{
		VM: cfg.VM, DataCentre: cfg.DataCentre, Address: string(cfg.Listen), Incarnation: uint64(time.Now().UnixNano()),
	}
	seeds := make([]member.Seed, len(cfg.Peers))
	for i, p := range cfg.Peers {
		seeds[i] = member.Seed{VM: p.VM, DataCentre: p.DataCentre, Address: string(p.Address)}
	}
	store, d := kernel.Need[*gossip.Store](g, ModuleStore), kernel.Need[*dialer](g, ModuleDialer)
	log := kernel.Need[*telemetry.Logger](g, ModuleLog)
	if g.Err != nil {
		return nil, g.Err
	}
	return member.New(self, cfg.GossipInterval.D(), store, d, seeds, log), nil
}

func provideTableSync(k *kernel.Kernel, cfg *settings.Steward) (any, error) {
	g := &kernel.Getter{Kernel: k}
	t := &tableSync{
		store: kernel.Need[*gossip.Store](g, ModuleStore), gossip: kernel.Need[*member.Gossip](g, ModuleGossip),
		tables: kernel.Need[*table.Store](g, ModuleTables), vms: kernel.Need[*httpstore.Client](g, ModulePlatform),
		interval: cfg.PlatformInterval.D(), log: kernel.Need[*telemetry.Logger](g, ModuleLog),
	}
	return t, g.Err
}

func providePoller(k *kernel.Kernel, cfg *settings.Steward) (any, error) {
	g := &kernel.Getter{Kernel: k}
	p := &poller{
		dataCentre: cfg.DataCentre, interval: cfg.PollInterval.D(), failures: map[string]int{},
		store: kernel.Need[*gossip.Store](g, ModuleStore), gossip: kernel.Need[*member.Gossip](g, ModuleGossip),
		targets: kernel.Need[*target.Client](g, ModuleTargets), log: kernel.Need[*telemetry.Logger](g, ModuleLog),
	}
	return p, g.Err
}

func provideLeaseManager(k *kernel.Kernel, cfg *settings.Steward) (any, error) {
	g := &kernel.Getter{Kernel: k}
	p := kernel.Need[*httpstore.Client](g, ModulePlatform)
	m := &leaseManager{
		cfg: cfg, store: kernel.Need[*gossip.Store](g, ModuleStore), gossip: kernel.Need[*member.Gossip](g, ModuleGossip),
		table: p, weights: p, engines: kernel.Need[*target.Client](g, ModuleTargets), clock: clock.Boot,
		log: kernel.Need[*telemetry.Logger](g, ModuleLog), decisions: kernel.Need[*decisionHistory](g, ModuleDecisions),
		controllers: map[string]*controller{},
	}
	return m, g.Err
}

func provideServer(k *kernel.Kernel, cfg *settings.Steward) (any, error) {
	g := &kernel.Getter{Kernel: k}
	admin := kernel.Need[*telemetry.Admin](g, ModuleAdmin)
	s := &server{
		listen: string(cfg.Listen), stopping: make(chan struct{}), store: kernel.Need[*gossip.Store](g, ModuleStore),
		gossip: kernel.Need[*member.Gossip](g, ModuleGossip), tableSync: kernel.Need[*tableSync](g, ModuleTableSync),
		tables: kernel.Need[*table.Store](g, ModuleTables), leases: kernel.Need[*leaseManager](g, ModuleLeaseManager),
		decisions: kernel.Need[*decisionHistory](g, ModuleDecisions), burn: kernel.Need[*burnTracker](g, ModuleBurn),
		grantAllocators: newGrantAllocators(clock.Boot), dialer: kernel.Need[*dialer](g, ModuleDialer),
		traffic: kernel.Need[*traffic](g, ModuleTraffic),
		log:     kernel.Need[*telemetry.Logger](g, ModuleLog),
	}
	if g.Err != nil {
		return nil, g.Err
	}
	admin.SetReady(s.notReadyReason)
	return s, nil
}
