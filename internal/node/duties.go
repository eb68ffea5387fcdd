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

// duties stands for the modules that the settings' duties need.
type duties struct{}

// provideDuties makes the modules of the duties that the settings name.
func provideDuties(k *kernel.Kernel, cfg *settings.Node) (any, error) {
	g := &kernel.Getter{Kernel: k}
	if cfg.Cloud.Has(settings.DutyUsage) {
		kernel.Need[*usage.Reporter](g, ModuleUsage)
	}
	if cfg.Cloud.Has(settings.DutyScaling) {
		kernel.Need[*scaling.Controller](g, ModuleScaling)
	}
	return duties{}, g.Err
}

// registerDuties adds what counts, and what one VM at a time does for all.
func registerDuties(k *kernel.Kernel, cfg *settings.Node, a Adapter) {
	k.Register(ModuleDuties, func(k *kernel.Kernel) (any, error) { return provideDuties(k, cfg) })
	k.Register(ModuleCounter, func(*kernel.Kernel) (any, error) {
		return usage.NewCounter(cfg.UsageWindow.D(), time.Now().UnixNano()), nil
	})
	k.Register(ModuleCloud, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		client := kernel.Need[*httpsend.Client](g, ModuleSender)
		if g.Err != nil {
			return nil, g.Err
		}
		return a.Cloud(client, cfg.Cloud), nil
	})
	k.Register(ModuleDuty, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group := kernel.Need[*peers.Peers](g, ModulePeers)
		h := duty.New(duty.Config{VM: cfg.VM, Gap: cfg.LeaseGap.D()}, kernel.Need[Store](g, ModuleStore), clock.Boot,
			uint64(time.Now().UnixNano()), kernel.Need[*telemetry.Logger](g, ModuleLog))
		if g.Err != nil {
			return nil, g.Err
		}
		h.SetGroup(group)
		group.SetDuty(h.Fence)
		return h, nil
	})
	k.Register(ModuleScaling, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		placer := kernel.Need[*place.Placer](g, ModulePlacer)
		keeper := kernel.Need[*fleet.Keeper](g, ModuleKeeper)
		if g.Err != nil {
			return nil, g.Err
		}
		busy := func(service string) bool { return placer.Busy(keeper.View().Targets[service]) }
		c := scaling.New(scaling.Config{Busy: busy}, keeper, kernel.Need[Store](g, ModuleStore), kernel.Need[Cloud](g, ModuleCloud),
			kernel.Need[*duty.Holder](g, ModuleDuty), kernel.Need[*telemetry.Logger](g, ModuleLog))
		return c, g.Err
	})
	k.Register(ModuleUsage, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group := kernel.Need[*peers.Peers](g, ModulePeers)
		r := usage.NewReporter(usage.Config{VM: cfg.VM, Length: cfg.UsageWindow.D()}, kernel.Need[*usage.Counter](g, ModuleCounter),
			kernel.Need[Store](g, ModuleStore), kernel.Need[Cloud](g, ModuleCloud), kernel.Need[*duty.Holder](g, ModuleDuty),
			kernel.Need[*telemetry.Logger](g, ModuleLog))
		if g.Err != nil {
			return nil, g.Err
		}
		r.SetGroup(group)
		group.SetUsage(r)
		return r, nil
	})
}
