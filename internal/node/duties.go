package node

import (
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/duty"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/peers"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/scaling"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/usage"
)

// dutyModules is an empty module. It exists only because it depends on the modules of the
// configured duties, so that they are started.
type dutyModules struct{}

// provideDuties provisions the modules of the duties in the settings.
func provideDuties(k *kernel.Kernel, cfg *settings.Node) (any, error) {
	g := &kernel.Getter{Kernel: k}
	if cfg.Cloud.HasDuty(settings.DutyUsage) {
		kernel.Need[*usage.Reporter](g, ModuleUsageReporter)
	}
	if cfg.Cloud.HasDuty(settings.DutyScaling) {
		kernel.Need[*scaling.Controller](g, ModuleScaling)
	}
	return dutyModules{}, g.Err
}

// registerDuties registers the modules of the duties, which one VM at a time performs on behalf of
// all, and the usage counter, which every VM runs.
func registerDuties(k *kernel.Kernel, cfg *settings.Node, a Adapter) {
	k.Register(ModuleDuties, func(k *kernel.Kernel) (any, error) { return provideDuties(k, cfg) })
	k.Register(ModuleUsageCounter, func(*kernel.Kernel) (any, error) {
		return usage.NewCounter(cfg.UsageWindow.D(), time.Now().UnixNano()), nil
	})
	k.Register(ModuleCloud, func(*kernel.Kernel) (any, error) {
		client := httpsend.New(httpsend.Config{DialTimeout: targetDialTimeout, MaxIdleTime: targetMaxIdle, UnackedTimeout: targetUnackedTimeout})
		return a.NewCloud(client, cfg.Cloud), nil
	})
	k.Register(ModuleDutyHolder, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group := kernel.Need[*peers.Peers](g, ModulePeers)
		h := duty.New(duty.Config{VM: cfg.VM, HandoverGap: cfg.LeaseGap.D()}, kernel.Need[Store](g, ModuleStore), clock.Boot,
			uint64(time.Now().UnixNano()), kernel.Need[*telemetry.Logger](g, ModuleLog))
		if g.Err != nil {
			return nil, g.Err
		}
		h.SetGroup(group)
		group.SetDutyFence(h.Fence)
		return h, nil
	})
	k.Register(ModuleScaling, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		placer := kernel.Need[*place.Placer](g, ModulePlacer)
		keeper := kernel.Need[*fleet.Keeper](g, ModuleFleetKeeper)
		if g.Err != nil {
			return nil, g.Err
		}
		busy := func(service string) bool { return placer.Busy(keeper.View().Targets[service]) }
		c := scaling.New(scaling.Config{Busy: busy}, keeper, kernel.Need[Store](g, ModuleStore), kernel.Need[Cloud](g, ModuleCloud),
			kernel.Need[*duty.Holder](g, ModuleDutyHolder), kernel.Need[*telemetry.Logger](g, ModuleLog))
		return c, g.Err
	})
	k.Register(ModuleUsageReporter, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group := kernel.Need[*peers.Peers](g, ModulePeers)
		r := usage.NewReporter(usage.Config{VM: cfg.VM, Length: cfg.UsageWindow.D()}, kernel.Need[*usage.Counter](g, ModuleUsageCounter),
			kernel.Need[Store](g, ModuleStore), kernel.Need[Cloud](g, ModuleCloud), kernel.Need[*duty.Holder](g, ModuleDutyHolder),
			kernel.Need[*telemetry.Logger](g, ModuleLog))
		if g.Err != nil {
			return nil, g.Err
		}
		r.SetGroup(group)
		group.SetUsage(r)
		return r, nil
	})
}
