// Package entry serves callers over HTTP: it applies limits and admission control,
// routes requests to targets, relays streams, and runs calls that must not be
// repeated at most once.
package entry

import (
	"io"
	"time"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/limit"
	"garnethoist.org/garnethoist/internal/once"
	"garnethoist.org/garnethoist/internal/relay"
	"garnethoist.org/garnethoist/internal/retry"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/store/httpstore"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Names of the entry's kernel modules.
const (
	ModuleLog      = "telemetry.log"
	ModuleMetrics  = "telemetry.metrics"
	ModuleAdmin    = "telemetry.admin"
	ModulePlatform = "platform.client"
	ModuleStore    = "gossip.store"
	ModuleFleet    = "entry.fleet"
	ModuleFeed     = "entry.feed"
	ModuleUsage    = "entry.usage"
	ModuleDecision = "entry.decisions"
	ModuleShares   = "entry.shares"
	ModuleRelay    = "entry.relay"
	ModulePlain    = "entry.plain"
	ModuleBodies   = "entry.bodies"
	ModuleClaims   = "entry.claims"
	ModuleServer   = "entry.server"
)

// Register adds the entry's modules to k. Log lines are written to logs.
func Register(k *kernel.Kernel, cfg *settings.Entry, logs io.Writer) {
	incarnation := uint64(time.Now().UnixNano())
	k.Register(ModuleLog, func(*kernel.Kernel) (any, error) {
		return telemetry.NewLogger(logs, "garnet-entry", cfg.VM), nil
	})
	k.Register(ModuleMetrics, func(*kernel.Kernel) (any, error) { return telemetry.NewMetrics("garnet-entry") })
	k.Register(ModulePlatform, func(*kernel.Kernel) (any, error) {
		return httpstore.New(string(cfg.Platform.Address), cfg.Platform.Timeout.D()), nil
	})
	k.Register(ModuleStore, func(*kernel.Kernel) (any, error) { return gossip.NewStore(time.Now), nil })
	k.Register(ModuleDecision, func(*kernel.Kernel) (any, error) { return newDecisionLog(cfg.VM), nil })
	k.Register(ModuleShares, func(*kernel.Kernel) (any, error) { return newShares(cfg.MaxEntries), nil })
	k.Register(ModuleBodies, func(*kernel.Kernel) (any, error) { return body.NewStaged(cfg.ResponseMemoryMB << 20), nil })
	k.Register(ModulePlain, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		return newPlainForwarder(kernel.Need[*body.Staged](g, ModuleBodies)), g.Err
	})
	k.Register(ModuleUsage, provideUsage)
	k.Register(ModuleFleet, func(k *kernel.Kernel) (any, error) { return provideFleet(k, cfg) })
	k.Register(ModuleFeed, func(k *kernel.Kernel) (any, error) { return provideFeed(k, cfg, incarnation) })
	k.Register(ModuleRelay, provideRelay)
	k.Register(ModuleClaims, func(k *kernel.Kernel) (any, error) {
		p, err := kernel.Get[*httpstore.Client](k, ModulePlatform)
		if err != nil {
			return nil, err
		}
		return once.NewStore(p, p, cfg.VM, time.Now), nil
	})
	k.Register(ModuleServer, func(k *kernel.Kernel) (any, error) { return provideServer(k, cfg, incarnation) })
	k.Register(ModuleAdmin, func(k *kernel.Kernel) (any, error) {
		m, err := kernel.Get[*telemetry.Metrics](k, ModuleMetrics)
		if err != nil {
			return nil, err
		}
		return telemetry.NewAdmin(string(cfg.AdminListen), m), nil
	})
}

func provideUsage(k *kernel.Kernel) (any, error) {
	m, err := kernel.Get[*telemetry.Metrics](k, ModuleMetrics)
	if err != nil {
		return nil, err
	}
	return newUsage(m)
}

func provideFleet(k *kernel.Kernel, cfg *settings.Entry) (any, error) {
	g := &kernel.Getter{Kernel: k}
	f := newFleet(cfg.DataCentre, kernel.Need[*telemetry.Logger](g, ModuleLog), kernel.Need[*decisionLog](g, ModuleDecision))
	return f, g.Err
}

func provideFeed(k *kernel.Kernel, cfg *settings.Entry, incarnation uint64) (any, error) {
	g := &kernel.Getter{Kernel: k}
	f := &feed{
		vm: cfg.VM, incarnation: incarnation, stewards: cfg.Stewards,
		store: kernel.Need[*gossip.Store](g, ModuleStore), fleet: kernel.Need[*fleet](g, ModuleFleet),
		usage: kernel.Need[*usage](g, ModuleUsage), decisions: kernel.Need[*decisionLog](g, ModuleDecision),
		shares: kernel.Need[*shares](g, ModuleShares), log: kernel.Need[*telemetry.Logger](g, ModuleLog),
	}
	return f, g.Err
}

func provideRelay(k *kernel.Kernel) (any, error) {
	g := &kernel.Getter{Kernel: k}
	f, log := kernel.Need[*fleet](g, ModuleFleet), kernel.Need[*telemetry.Logger](g, ModuleLog)
	cfg := relay.DefaultConfig()
	cfg.Bodies = kernel.Need[*body.Staged](g, ModuleBodies)
	return relay.New(cfg, f, log), g.Err
}

func provideServer(k *kernel.Kernel, cfg *settings.Entry, incarnation uint64) (any, error) {
	g := &kernel.Getter{Kernel: k}
	admin := kernel.Need[*telemetry.Admin](g, ModuleAdmin)
	s := &server{
		cfg: cfg, drain: newDrain(), ids: newRequestIDs(cfg.VM, incarnation), start: time.Now(),
		accounts: map[string]*limit.Accounts{}, budgets: map[string]*retry.Budget{},
		fleet: kernel.Need[*fleet](g, ModuleFleet), feed: kernel.Need[*feed](g, ModuleFeed), relay: kernel.Need[*relay.Relay](g, ModuleRelay),
		plain: kernel.Need[*plainForwarder](g, ModulePlain), claims: kernel.Need[*once.Store](g, ModuleClaims),
		usage: kernel.Need[*usage](g, ModuleUsage), decisions: kernel.Need[*decisionLog](g, ModuleDecision),
		shares: kernel.Need[*shares](g, ModuleShares), log: kernel.Need[*telemetry.Logger](g, ModuleLog),
	}
	if g.Err != nil {
		return nil, g.Err
	}
	admin.SetReady(s.notReadyReason)
	return s, nil
}
