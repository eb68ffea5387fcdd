// Package node assembles garnet-node, the program that runs on each VM, from its modules: the
// gateway for callers, the watchers of the store's tables, the exchange with other VMs, and the
// control of the engines' stages (prefill or decode).
package node

import (
	"io"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/gateway"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/origin"
	"garnethoist.org/garnethoist/internal/peers"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/quarantine"
	"garnethoist.org/garnethoist/internal/quota"
	"garnethoist.org/garnethoist/internal/scaling"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/stages"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/tunnel"
	"garnethoist.org/garnethoist/internal/usage"
	"garnethoist.org/garnethoist/internal/watch"
)

// Names under which the modules are registered with the kernel. Most consist of the package of the
// module and a short name for it.
const (
	ModuleLogWriter     = "telemetry.writer"  // the rate-limited output of the log
	ModuleLog           = "telemetry.log"     // the logger
	ModuleMetrics       = "telemetry.metrics" // the meter and the metrics endpoint
	ModuleAdmin         = "telemetry.admin"   // the server for health and metrics
	ModuleStore         = "store.client"      // the client of the platform's store
	ModuleStoreLink     = "watch.link"        // a watch.Link
	ModuleFleetKeeper   = "fleet.keeper"      // a fleet.Keeper, which holds the current view
	ModuleFleet         = "watch.fleet"       // a watch.Fleet, which applies changes of both tables
	ModuleConfigTable   = "watch.config"      // follows the configuration table
	ModuleTargetsTable  = "watch.targets"     // follows the targets table
	ModuleFreshness     = "watch.knowledge"   // a watch.Freshness; the name of the module differs from that of its type
	ModulePeers         = "peers"             // exchanges reports with other VMs
	ModuleSnapshots     = "snapshot.server"   // sends copies of the tables to other VMs
	ModulePlacer        = "place.placer"      // chooses targets
	ModuleStats         = "gateway.stats"     // the gateway's metrics
	ModuleReadyServer   = "gateway.ready"     // answers the load balancer's readiness checks
	ModuleTunnelDialer  = "tunnel.dialer"     // a tunnel.Dialer, which opens connections to targets
	ModuleTunnelServer  = "tunnel.server"     // a tunnel.Server, which opens connections for other VMs
	ModuleHTTPClient    = "httpsend.client"   // sends requests to targets
	ModuleVersions      = "origin.versions"   // admits software versions of targets
	ModuleJournal       = "origin.journal"    // keeps in the store where streams began
	ModuleOrigins       = "origin"            // tells at which software version a stream may go on
	ModuleStages        = "stages"            // controls the stages of engines, prefill or decode
	ModuleQuarantine    = "quarantine"        // keeps requests that crash targets from all targets
	ModuleDuties        = "node.duties"       // depends on the modules of the configured duties
	ModuleDutyHolder    = "duty"              // a duty.Holder, which decides whether this VM performs the duties
	ModuleUsageCounter  = "usage.counter"     // counts the requests of client accounts
	ModuleQuota         = "quota"             // a quota.Keeper, which limits what client accounts use
	ModuleUsageReporter = "usage.reporter"    // reports usage to the platform
	ModuleScaling       = "scaling"           // orders engines from the platform
	ModuleCloud         = "platform.cloud"    // the client of the platform's calls for duties
	ModuleGateway       = "gateway"           // serves callers
	ModuleReload        = "node.reload"       // applies changes of the settings file
)

// Roots lists the modules that the program asks the kernel to start. All other modules are started
// because a module in Roots depends on them, directly or not. All modules stop in the reverse of
// the order in which they started, so that a stopping VM hands over its duties before it drains its
// requests.
var Roots = []string{ModuleAdmin, ModuleReadyServer, ModulePlacer, ModulePeers, ModuleTunnelServer, ModuleStages, ModuleReload, ModuleGateway, ModuleDuties}

// Store is a client of the platform's store: transactions on keys, and the feeds of tables.
type Store interface {
	store.Table
	store.Feed
}

// Cloud makes the calls to the platform that only one VM at a time makes, on behalf of all.
type Cloud interface {
	usage.Platform
	scaling.Platform
}

// Adapter supplies everything that depends on the platform: clients, protocols and names.
type Adapter struct {
	// NewStore returns a client of the store.
	NewStore func(cfg settings.Endpoint) Store
	// Protocol translates the HTTP headers and bodies that the gateway exchanges with callers and
	// targets.
	Protocol gateway.Protocol
	// Decoder decodes the rows of the configuration table and the targets table.
	Decoder watch.Decoder
	// NewTargetChecker returns a client that asks targets whether they are running.
	NewTargetChecker func(c *httpsend.Client) gateway.TargetChecker
	// NewEngineClient returns a client that reads engines' reports and sends them orders.
	NewEngineClient func(c *httpsend.Client) stages.EngineClient
	// NewCloud returns a client for the calls that one VM at a time makes on behalf of all.
	NewCloud func(c *httpsend.Client, cfg settings.Cloud) Cloud
	// TargetDialer opens connections to targets. If it is nil, garnet-node's own dialer opens them.
	TargetDialer httpsend.Dialer
	// ReadyPath is the path of the load balancer's health check.
	ReadyPath string
	// ConfigTable is the name of the store's table that holds the configuration.
	ConfigTable string
	// TargetsTable is the name of the store's table that holds the list of targets.
	TargetsTable string
}

// Time limits of the HTTP client's connections to targets.
const (
	// targetDialTimeout limits the time to open a connection.
	targetDialTimeout = 250 * time.Millisecond
	// targetMaxIdle is how long an unused connection is kept.
	targetMaxIdle = 3 * time.Second
	// targetUnackedTimeout is how long sent bytes may stay unacknowledged in calls that set no
	// limit of their own: orders to engines and requests for their reports, which time out after
	// 700 ms.
	targetUnackedTimeout = 250 * time.Millisecond
)

// Register registers the node's modules with k. path is the settings file that cfg was read
// from. Log lines are written to logs.
func Register(k *kernel.Kernel, path string, cfg *settings.Node, a Adapter, logs io.Writer) {
	k.Register(ModuleLogWriter, func(*kernel.Kernel) (any, error) { return telemetry.NewBoundedWriter(logs, int(cfg.LogLinesPerS)), nil })
	k.Register(ModuleLog, func(k *kernel.Kernel) (any, error) {
		w, err := kernel.Get[*telemetry.BoundedWriter](k, ModuleLogWriter)
		if err != nil {
			return nil, err
		}
		return telemetry.NewLogger(w, "garnet-node", cfg.VM), nil
	})
	k.Register(ModuleMetrics, func(*kernel.Kernel) (any, error) { return telemetry.NewMetrics("garnet-node") })
	k.Register(ModuleAdmin, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		m, log := kernel.Need[*telemetry.Metrics](g, ModuleMetrics), kernel.Need[*telemetry.Logger](g, ModuleLog)
		if g.Err != nil {
			return nil, g.Err
		}
		if err := log.CountBadRows(m.Meter); err != nil {
			return nil, err
		}
		return telemetry.NewAdmin(string(cfg.MetricsListen), m), nil
	})
	k.Register(ModuleStore, func(k *kernel.Kernel) (any, error) {
		log, err := kernel.Get[*telemetry.Logger](k, ModuleLog)
		return loggedStore{Store: a.NewStore(cfg.Store), log: log}, err
	})
	k.Register(ModuleFleetKeeper, func(*kernel.Kernel) (any, error) { return fleet.NewKeeper(), nil })
	k.Register(ModuleStoreLink, func(k *kernel.Kernel) (any, error) {
		log, err := kernel.Get[*telemetry.Logger](k, ModuleLog)
		return watch.NewLink(log), err
	})
	k.Register(ModuleFleet, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		f := watch.NewFleet(kernel.Need[*fleet.Keeper](g, ModuleFleetKeeper), a.Decoder,
			kernel.Need[*watch.Link](g, ModuleStoreLink), kernel.Need[*telemetry.Logger](g, ModuleLog))
		return f, g.Err
	})
	registerTables(k, cfg, a)
	k.Register(ModuleSnapshots, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		return snapshot.NewServer(string(cfg.PeerAddress), kernel.Need[*telemetry.Logger](g, ModuleLog)), g.Err
	})
	k.Register(ModuleFreshness, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		freshness := watch.NewFreshness(kernel.Need[*watch.Table](g, ModuleConfigTable), cfg.ConfigBound.D())
		freshness.SetRevokeBound(cfg.RevokeBound.D())
		return freshness, g.Err
	})
	k.Register(ModulePeers, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		self := peers.Member{VM: cfg.VM, Address: string(cfg.PeerAddress), DataCentre: cfg.DataCentre, LinkMbps: cfg.LinkMbps}
		group := peers.New(self, time.Now().UnixNano(), kernel.Need[Store](g, ModuleStore), kernel.Need[*telemetry.Logger](g, ModuleLog))
		if cfg.FirstStart {
			group.SetFirstStart()
		}
		server := kernel.Need[*snapshot.Server](g, ModuleSnapshots)
		if g.Err != nil {
			return nil, g.Err
		}
		server.Provide(peers.MembersTable, group)
		group.SetCopier(snapshot.NewClient(string(cfg.PeerAddress), group.SnapshotSources))
		return group, g.Err
	})
	k.Register(ModuleQuarantine, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group := kernel.Need[*peers.Peers](g, ModulePeers)
		keeper := quarantine.NewKeeper(kernel.Need[Store](g, ModuleStore), kernel.Need[*telemetry.Logger](g, ModuleLog), clock.Now)
		if g.Err != nil {
			return nil, g.Err
		}
		group.SetSuspects(keeper)
		return keeper, nil
	})
	k.Register(ModuleQuota, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group := kernel.Need[*peers.Peers](g, ModulePeers)
		views := kernel.Need[*fleet.Keeper](g, ModuleFleetKeeper)
		if g.Err != nil {
			return nil, g.Err
		}
		keeper := quota.New(group, cfg.FirstStart, clock.Now())
		group.SetQuota(keeper)
		views.OnChange(func(v *fleet.View) {
			if v.Config != nil {
				keeper.SetConfig(v.Config, clock.Now())
			}
		})
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
	k.Register(ModuleReadyServer, func(*kernel.Kernel) (any, error) {
		return gateway.NewReadyServer(string(cfg.ReadyListen), a.ReadyPath), nil
	})
	k.Register(ModuleHTTPClient, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		dialer, stats := kernel.Need[*tunnel.Dialer](g, ModuleTunnelDialer), kernel.Need[*gateway.Stats](g, ModuleStats)
		if g.Err != nil {
			return nil, g.Err
		}
		client := httpsend.New(httpsend.Config{Dialer: dialer, OnDial: stats.Dial, MaxIdleTime: targetMaxIdle, UnackedTimeout: targetUnackedTimeout})
		dialer.SetOnPathChange(client.CloseIdle)
		return client, nil
	})
	registerTunnels(k, cfg, a)
	registerOrigins(k, cfg)
	k.Register(ModuleStages, func(k *kernel.Kernel) (any, error) { return provideStages(k, cfg, a) })
	registerDuties(k, cfg, a)
	k.Register(ModuleGateway, func(k *kernel.Kernel) (any, error) { return provideGateway(k, cfg, a) })
	k.Register(ModuleReload, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		return &reloader{
			path: path, active: *cfg, gateway: kernel.Need[*gateway.Gateway](g, ModuleGateway),
			writer: kernel.Need[*telemetry.BoundedWriter](g, ModuleLogWriter), log: kernel.Need[*telemetry.Logger](g, ModuleLog),
		}, g.Err
	})
}

// registerTables registers the modules that follow the configuration table and the targets
// table.
func registerTables(k *kernel.Kernel, cfg *settings.Node, a Adapter) {
	register := func(name, table string, apply func(f *watch.Fleet) (watch.Apply, watch.ApplyCopy, snapshot.Provider), options ...func(*watch.Table, *watch.Fleet)) {
		k.Register(name, func(k *kernel.Kernel) (any, error) {
			g := &kernel.Getter{Kernel: k}
			group, tables := kernel.Need[*peers.Peers](g, ModulePeers), kernel.Need[*watch.Fleet](g, ModuleFleet)
			server := kernel.Need[*snapshot.Server](g, ModuleSnapshots)
			if g.Err != nil {
				return nil, g.Err
			}
			rows, copied, copies := apply(tables)
			server.Provide(table, copies)
			t := watch.NewTable(kernel.Need[Store](g, ModuleStore), table, kernel.Need[*watch.Link](g, ModuleStoreLink),
				group, rows, kernel.Need[*telemetry.Logger](g, ModuleLog))
			t.SetCopier(snapshot.NewClient(string(cfg.PeerAddress), group.SnapshotSources), copied)
			for _, option := range options {
				option(t, tables)
			}
			return t, g.Err
		})
	}
	register(ModuleConfigTable, a.ConfigTable, func(f *watch.Fleet) (watch.Apply, watch.ApplyCopy, snapshot.Provider) {
		return f.ApplyConfig, f.ApplyConfigCopy, f.ConfigCopies()
	}, func(t *watch.Table, f *watch.Fleet) {
		t.SetListOnPoll()
		t.SetUsable(f.IsConfig)
	})
	register(ModuleTargetsTable, a.TargetsTable, func(f *watch.Fleet) (watch.Apply, watch.ApplyCopy, snapshot.Provider) {
		return f.ApplyTargets, f.ApplyTargetCopy, f.TargetCopies()
	}, func(t *watch.Table, f *watch.Fleet) { t.SetUsable(f.HasTarget) })
}

// providePlacer returns the placer. It also connects the peers, the placer and the stage controller
// with each other, because each of them needs the other two.
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
	group.SetLimits(placer)
	placer.SetMembership(group.Membership)
	placer.SetOnWork(group.NotifyWork)
	placer.SetCoverage(group.Coverage)
	group.SetOrders(controller)
	keeper := kernel.Need[*fleet.Keeper](g, ModuleFleetKeeper)
	controller.SetDecodeDemand(func(targets []*fleet.Target) float64 { return decodeDemand(placer, keeper.View(), targets) })
	controller.SetPrefillBacklog(func(targets []*fleet.Target) bool { return prefillOverloaded(placer, keeper.View(), targets) })
	// In a large group only its sentinels contend for the lease: the few VMs that read changes from
	// the store and forward them to the others.
	controller.SetCandidate(func() bool { return !group.ForwardsChanges() || group.Sentinel() })
	controller.SetGroupSize(group.Size)
	controller.SetEngineState(placer.Streams, func(engine string) bool {
		_, changing := group.Changing(engine)
		return changing
	})
	group.Follow(kernel.Need[*watch.Table](g, ModuleConfigTable), kernel.Need[*watch.Table](g, ModuleTargetsTable))
	return placer, nil
}

// decodeDemand returns how many decode engines the running requests of a service occupy, or 0 if
// the service runs no model. targets are the engines of that service.
func decodeDemand(p *place.Placer, v *fleet.View, targets []*fleet.Target) float64 {
	if v.Config == nil || len(targets) == 0 {
		return 0
	}
	s := v.Config.Services[targets[0].Service]
	if s == nil || s.Engine == nil {
		return 0
	}
	return p.DecodeLoad(targets, s.Engine, time.Now())
}

// prefillOverloaded reports whether prompts wait longer for the prefill engines of a service
// than the service's objective allows. targets are the engines of that service.
func prefillOverloaded(p *place.Placer, v *fleet.View, targets []*fleet.Target) bool {
	if v.Config == nil || len(targets) == 0 {
		return false
	}
	s := v.Config.Services[targets[0].Service]
	return s != nil && s.Engine != nil && s.Engine.Objective > 0 && p.PrefillOverloaded(targets, s.Engine.Objective)
}

// provideStages returns the controller of the engines' stages.
func provideStages(k *kernel.Kernel, cfg *settings.Node, a Adapter) (any, error) {
	g := &kernel.Getter{Kernel: k}
	sc := stages.Config{VM: cfg.VM, PrefillShare: cfg.PrefillShare, HandoverGap: cfg.LeaseGap.D()}
	client := kernel.Need[*httpsend.Client](g, ModuleHTTPClient)
	if g.Err != nil {
		return nil, g.Err
	}
	c := stages.New(sc, kernel.Need[*fleet.Keeper](g, ModuleFleetKeeper), kernel.Need[Store](g, ModuleStore), a.NewEngineClient(client),
		clock.Boot, uint64(time.Now().UnixNano()), kernel.Need[*telemetry.Logger](g, ModuleLog))
	return c, g.Err
}

// gatewayLimits returns the gateway's settings that can change while it runs.
func gatewayLimits(cfg *settings.Node) gateway.Limits {
	return gateway.Limits{
		Grace: cfg.Grace.D(), RetryRatio: cfg.RetryRatio, RetryBurst: cfg.RetryBurst, RetryWindow: cfg.RetryWindow.D(),
		NoDeferral: cfg.IsOff(settings.MechanismDeferral),
	}
}

// provideGateway returns the gateway. Its readiness becomes that of the readiness server and of the
// admin server.
func provideGateway(k *kernel.Kernel, cfg *settings.Node, a Adapter) (any, error) {
	g := &kernel.Getter{Kernel: k}
	group := kernel.Need[*peers.Peers](g, ModulePeers)
	client := kernel.Need[*httpsend.Client](g, ModuleHTTPClient)
	descriptors, err := gateway.Descriptors(cfg.FileDescriptors)
	if err != nil {
		return nil, err
	}
	gw := gateway.New(gateway.Options{
		Listen: string(cfg.Listen), Descriptors: descriptors, Memory: cfg.MemoryMB << 20,
		CallerMemory: int64(cfg.CallerMemoryShare * float64(cfg.MemoryMB<<20)), Keeper: kernel.Need[*fleet.Keeper](g, ModuleFleetKeeper),
		Placer: kernel.Need[*place.Placer](g, ModulePlacer), Protocol: a.Protocol, Group: group,
		Freshness: kernel.Need[*watch.Freshness](g, ModuleFreshness), Client: client, Checker: a.NewTargetChecker(client),
		Usage:      kernel.Need[*usage.Counter](g, ModuleUsageCounter),
		Allowances: kernel.Need[*quota.Keeper](g, ModuleQuota),
		Origins:    kernel.Need[*origin.Origins](g, ModuleOrigins),
		FirstStart: cfg.FirstStart, Quarantine: kernel.Need[*quarantine.Keeper](g, ModuleQuarantine),
		Log: kernel.Need[*telemetry.Logger](g, ModuleLog), Stats: kernel.Need[*gateway.Stats](g, ModuleStats),
	}, gatewayLimits(cfg))
	if g.Err != nil {
		return nil, g.Err
	}
	group.SetOutcomes(gw.Sizes())
	kernel.Need[*gateway.ReadyServer](g, ModuleReadyServer).SetReady(gw.Ready)
	kernel.Need[*telemetry.Admin](g, ModuleAdmin).SetReady(gw.Ready)
	return gw, g.Err
}
