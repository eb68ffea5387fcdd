// Package node composes the one program that runs on each VM: the callers'
// gateway, the followers of the store, the exchange with other VMs and the
// control of the engines' stages.
package node

import (
	"io"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/gateway"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/peers"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/quarantine"
	"garnethoist.org/garnethoist/internal/scaling"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/stages"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/usage"
	"garnethoist.org/garnethoist/internal/watch"
)

// Names of the node's modules.
const (
	ModuleWriter   = "telemetry.writer"
	ModuleLog      = "telemetry.log"
	ModuleMetrics  = "telemetry.metrics"
	ModuleAdmin    = "telemetry.admin"
	ModuleStore    = "store.client"
	ModuleLink     = "watch.link"
	ModuleKeeper   = "fleet.keeper"
	ModuleFleet    = "watch.fleet"
	ModuleConfig   = "watch.config"
	ModuleTargets  = "watch.targets"
	ModuleKnown    = "watch.knowledge"
	ModulePeers    = "peers"
	ModulePlacer   = "place.placer"
	ModuleStats    = "gateway.stats"
	ModuleReady    = "gateway.ready"
	ModuleSender   = "httpsend.client"
	ModuleStages   = "stages"
	ModuleSuspects = "quarantine"
	ModuleDuties   = "node.duties"
	ModuleDuty     = "duty"
	ModuleCounter  = "usage.counter"
	ModuleUsage    = "usage.reporter"
	ModuleScaling  = "scaling"
	ModuleCloud    = "platform.cloud"
	ModuleGateway  = "gateway"
	ModuleReload   = "node.reload"
)

// Roots names the modules that the program is there for. They stop in reverse: a VM that stops
// hands its duties over before it drains.
var Roots = []string{ModuleAdmin, ModuleReady, ModulePlacer, ModulePeers, ModuleStages, ModuleReload, ModuleGateway, ModuleDuties}

// Store is what the node needs of the platform's store.
type Store interface {
	store.Table
	store.Feed
}

// Cloud is the calls to the platform that one VM at a time makes for all.
type Cloud interface {
	usage.Platform
	scaling.Platform
}

// Adapter is the platform as the node meets it.
type Adapter struct {
	// Store returns the client of the store.
	Store func(cfg settings.Platform) Store
	// Protocol is spoken with callers and targets.
	Protocol gateway.Protocol
	Decoder  watch.Decoder
	// Engines returns the carrier of orders to engines.
	Engines func(c *httpsend.Client) stages.Engines
	// Cloud returns the carrier of the calls that one VM makes for all.
	Cloud func(c *httpsend.Client, cfg settings.Cloud) Cloud
	// ReadyPath is what the balancer asks for.
	ReadyPath string
	// The store's tables.
	ConfigTable  string
	TargetsTable string
}

const (
	dialTimeout = 250 * time.Millisecond
	maxIdle     = 3 * time.Second
	// unacked is how long bytes sent to a target may stay unacknowledged where a
	// request does not say: orders and reports, which are given 700 ms.
	unacked = 250 * time.Millisecond
)

// Register adds the node's modules to k. path is the settings file that cfg was
// read from; logs go to logs.
func Register(k *kernel.Kernel, path string, cfg *settings.Node, a Adapter, logs io.Writer) {
	k.Register(ModuleWriter, func(*kernel.Kernel) (any, error) { return telemetry.NewBoundedWriter(logs, int(cfg.LogLinesPerS)), nil })
	k.Register(ModuleLog, func(k *kernel.Kernel) (any, error) {
		w, err := kernel.Get[*telemetry.BoundedWriter](k, ModuleWriter)
		if err != nil {
			return nil, err
		}
		return telemetry.NewLogger(w, "garnet-node", cfg.VM), nil
	})
	k.Register(ModuleMetrics, func(*kernel.Kernel) (any, error) { return telemetry.NewMetrics("garnet-node") })
	k.Register(ModuleAdmin, func(k *kernel.Kernel) (any, error) {
		m, err := kernel.Get[*telemetry.Metrics](k, ModuleMetrics)
		if err != nil {
			return nil, err
		}
		return telemetry.NewAdmin(string(cfg.MetricsListen), m), nil
	})
	k.Register(ModuleStore, func(k *kernel.Kernel) (any, error) {
		log, err := kernel.Get[*telemetry.Logger](k, ModuleLog)
		return loggedStore{Store: a.Store(cfg.Store), log: log}, err
	})
	k.Register(ModuleKeeper, func(*kernel.Kernel) (any, error) { return fleet.NewKeeper(), nil })
	k.Register(ModuleLink, func(k *kernel.Kernel) (any, error) {
		log, err := kernel.Get[*telemetry.Logger](k, ModuleLog)
		return watch.NewLink(log), err
	})
	k.Register(ModuleFleet, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		f := watch.NewFleet(kernel.Need[*fleet.Keeper](g, ModuleKeeper), a.Decoder,
			kernel.Need[*watch.Link](g, ModuleLink), kernel.Need[*telemetry.Logger](g, ModuleLog))
		return f, g.Err
	})
	registerFollowers(k, a)
	k.Register(ModuleKnown, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		known := watch.NewKnowledge(kernel.Need[*watch.Table](g, ModuleConfig), cfg.ConfigBound.D())
		known.SetRevokeBound(cfg.RevokeBound.D())
		return known, g.Err
	})
	k.Register(ModulePeers, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		self := peers.Member{VM: cfg.VM, Address: string(cfg.PeerAddress), DataCentre: cfg.DataCentre, LinkMbps: cfg.LinkMbps}
		group := peers.New(self, time.Now().UnixNano(), kernel.Need[Store](g, ModuleStore), kernel.Need[*telemetry.Logger](g, ModuleLog))
		if cfg.FirstStart {
			group.SetFirstStart()
		}
		return group, g.Err
	})
	k.Register(ModuleSuspects, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group := kernel.Need[*peers.Peers](g, ModulePeers)
		keeper := quarantine.NewKeeper(kernel.Need[Store](g, ModuleStore), kernel.Need[*telemetry.Logger](g, ModuleLog), clock.Now)
		if g.Err != nil {
			return nil, g.Err
		}
		group.SetSuspects(keeper)
		return keeper, nil
	})
	k.Register(ModulePlacer, func(k *kernel.Kernel) (any, error) { return providePlacer(k, cfg) })
	k.Register(ModuleStats, func(k *kernel.Kernel) (any, error) {
		m, err := kernel.Get[*telemetry.Metrics](k, ModuleMetrics)
		if err != nil {
			return nil, err
		}
		return gateway.NewStats(m.Meter)
	})
	k.Register(ModuleReady, func(*kernel.Kernel) (any, error) {
		return gateway.NewReadyServer(string(cfg.ReadyListen), a.ReadyPath), nil
	})
	k.Register(ModuleSender, func(*kernel.Kernel) (any, error) {
		return httpsend.New(httpsend.Config{DialTimeout: dialTimeout, MaxIdle: maxIdle, UnackedTimeout: unacked}), nil
	})
	k.Register(ModuleStages, func(k *kernel.Kernel) (any, error) { return provideStages(k, cfg, a) })
	registerDuties(k, cfg, a)
	k.Register(ModuleGateway, func(k *kernel.Kernel) (any, error) { return provideGateway(k, cfg, a) })
	k.Register(ModuleReload, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		return &reloader{
			path: path, running: *cfg, gateway: kernel.Need[*gateway.Gateway](g, ModuleGateway),
			writer: kernel.Need[*telemetry.BoundedWriter](g, ModuleWriter), log: kernel.Need[*telemetry.Logger](g, ModuleLog),
		}, g.Err
	})
}

func registerFollowers(k *kernel.Kernel, a Adapter) {
	follow := func(name, table string, apply func(g *kernel.Getter) watch.Apply, options ...func(*watch.Table)) {
		k.Register(name, func(k *kernel.Kernel) (any, error) {
			g := &kernel.Getter{Kernel: k}
			t := watch.NewTable(kernel.Need[Store](g, ModuleStore), table, kernel.Need[*watch.Link](g, ModuleLink),
				kernel.Need[*peers.Peers](g, ModulePeers), apply(g), kernel.Need[*telemetry.Logger](g, ModuleLog))
			for _, option := range options {
				option(t)
			}
			return t, g.Err
		})
	}
	follow(ModuleConfig, a.ConfigTable, func(g *kernel.Getter) watch.Apply {
		return kernel.Need[*watch.Fleet](g, ModuleFleet).ApplyConfig
	}, (*watch.Table).SetWhole)
	follow(ModuleTargets, a.TargetsTable, func(g *kernel.Getter) watch.Apply {
		return kernel.Need[*watch.Fleet](g, ModuleFleet).ApplyTargets
	})
}

func providePlacer(k *kernel.Kernel, cfg *settings.Node) (any, error) {
	g := &kernel.Getter{Kernel: k}
	group := kernel.Need[*peers.Peers](g, ModulePeers)
	if g.Err != nil {
		return nil, g.Err
	}
	pc := place.DefaultConfig(cfg.DataCentre)
	pc.LinkMbps = cfg.LinkMbps
	pc.Off = place.Off{
		Profile: cfg.IsOff(settings.MechanismProfile), Pauses: cfg.IsOff(settings.MechanismPauses),
		Slowdown: cfg.IsOff(settings.MechanismSlowdown), Cache: cfg.IsOff(settings.MechanismCache),
		Stay: cfg.IsOff(settings.MechanismStay),
	}
	controller := kernel.Need[*stages.Controller](g, ModuleStages)
	placer := place.New(pc, group, func(t *fleet.Target) bool {
		stage, ok := group.Changing(t.RunID())
		return controller.Changing(t) || (ok && stage != t.Stage)
	})
	group.SetPlacer(placer)
	group.SetOrders(controller)
	keeper := kernel.Need[*fleet.Keeper](g, ModuleKeeper)
	controller.SetDemand(func(targets []*fleet.Target) float64 { return demand(placer, keeper.View(), targets) })
	controller.SetPressed(func(targets []*fleet.Target) bool { return pressed(placer, keeper.View(), targets) })
	controller.SetCandidate(func() bool { return !group.PassesOn() || group.Sentinel() })
	controller.SetView(placer.Streams, func(engine string) bool {
		_, changing := group.Changing(engine)
		return changing
	})
	group.Follow(kernel.Need[*watch.Table](g, ModuleConfig), kernel.Need[*watch.Table](g, ModuleTargets))
	return placer, nil
}

// demand is how many decode engines the runs in hand of a service fill.
func demand(p *place.Placer, v *fleet.View, targets []*fleet.Target) float64 {
	if v.Config == nil || len(targets) == 0 {
		return 0
	}
	s := v.Config.Services[targets[0].Service]
	if s == nil || s.Engine == nil {
		return 0
	}
	return p.Decoding(targets, s.Engine, time.Now())
}

// pressed reports whether prompts queue for longer at the engines of a service that prefill than
// their objective allows.
func pressed(p *place.Placer, v *fleet.View, targets []*fleet.Target) bool {
	if v.Config == nil || len(targets) == 0 {
		return false
	}
	s := v.Config.Services[targets[0].Service]
	return s != nil && s.Engine != nil && s.Engine.Objective > 0 && p.Pressed(targets, s.Engine.Objective)
}

func provideStages(k *kernel.Kernel, cfg *settings.Node, a Adapter) (any, error) {
	g := &kernel.Getter{Kernel: k}
	sc := stages.Config{VM: cfg.VM, Share: cfg.PrefillShare, Gap: cfg.LeaseGap.D()}
	client := kernel.Need[*httpsend.Client](g, ModuleSender)
	if g.Err != nil {
		return nil, g.Err
	}
	c := stages.New(sc, kernel.Need[*fleet.Keeper](g, ModuleKeeper), kernel.Need[Store](g, ModuleStore), a.Engines(client),
		clock.Boot, uint64(time.Now().UnixNano()), kernel.Need[*telemetry.Logger](g, ModuleLog))
	return c, g.Err
}

// gatewayLimits returns the gateway's part of the settings that may change while it
// runs.
func gatewayLimits(cfg *settings.Node) gateway.Limits {
	return gateway.Limits{
		Grace: cfg.Grace.D(), RetryRatio: cfg.RetryRatio, RetryBurst: cfg.RetryBurst, RetryWindow: cfg.RetryWindow.D(),
		NoDeferral: cfg.IsOff(settings.MechanismDeferral),
	}
}

func provideGateway(k *kernel.Kernel, cfg *settings.Node, a Adapter) (any, error) {
	g := &kernel.Getter{Kernel: k}
	group := kernel.Need[*peers.Peers](g, ModulePeers)
	client := kernel.Need[*httpsend.Client](g, ModuleSender)
	descriptors, err := gateway.Descriptors(cfg.FileDescriptors)
	if err != nil {
		return nil, err
	}
	gw := gateway.New(gateway.Parts{
		Listen: string(cfg.Listen), Descriptors: descriptors, Keeper: kernel.Need[*fleet.Keeper](g, ModuleKeeper),
		Placer: kernel.Need[*place.Placer](g, ModulePlacer), Protocol: a.Protocol, Group: group,
		Known: kernel.Need[*watch.Knowledge](g, ModuleKnown), Client: client,
		Usage:      kernel.Need[*usage.Counter](g, ModuleCounter),
		FirstStart: cfg.FirstStart, Quarantine: kernel.Need[*quarantine.Keeper](g, ModuleSuspects),
		Log: kernel.Need[*telemetry.Logger](g, ModuleLog), Stats: kernel.Need[*gateway.Stats](g, ModuleStats),
	}, gatewayLimits(cfg))
	if g.Err != nil {
		return nil, g.Err
	}
	kernel.Need[*gateway.ReadyServer](g, ModuleReady).SetReady(gw.Ready)
	kernel.Need[*telemetry.Admin](g, ModuleAdmin).SetReady(gw.Ready)
	return gw, g.Err
}
