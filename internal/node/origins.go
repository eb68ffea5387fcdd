package node

import (
	"fmt"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/origin"
	"garnethoist.org/garnethoist/internal/peers"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// registerOrigins registers the modules that tell at which software version a stream may go on.
func registerOrigins(k *kernel.Kernel, cfg *settings.Node) {
	k.Register(ModuleVersions, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group, keeper := kernel.Need[*peers.Peers](g, ModulePeers), kernel.Need[*fleet.Keeper](g, ModuleFleetKeeper)
		if g.Err != nil {
			return nil, g.Err
		}
		v := origin.NewVersions(keeper, kernel.Need[Store](g, ModuleStore), group, kernel.Need[*telemetry.Logger](g, ModuleLog))
		keeper.OnChange(func(*fleet.View) { v.NotifyView() })
		group.SetVersions(v)
		return v, g.Err
	})
	k.Register(ModuleJournal, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group := kernel.Need[*peers.Peers](g, ModulePeers)
		if g.Err != nil {
			return nil, g.Err
		}
		j := origin.NewJournal(kernel.Need[Store](g, ModuleStore), group, fmt.Sprintf("%s/%d", cfg.VM, time.Now().UnixNano()), kernel.Need[*telemetry.Logger](g, ModuleLog))
		group.SetJournal(j)
		return j, g.Err
	})
	k.Register(ModuleOrigins, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group, versions, journal := kernel.Need[*peers.Peers](g, ModulePeers), kernel.Need[*origin.Versions](g, ModuleVersions), kernel.Need[*origin.Journal](g, ModuleJournal)
		if g.Err != nil {
			return nil, g.Err
		}
		records := origin.NewRecords()
		group.SetOrigins(records)
		return origin.New(records, versions, group, journal), nil
	})
}
