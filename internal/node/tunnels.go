package node

import (
	"sync"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/gateway"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/peers"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/silence"
	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/tunnel"
)

// descriptorsPerTunnel sets how many tunnels of other VMs a VM has open: one for each so many file
// descriptors that it may use. A tunnel uses two.
const descriptorsPerTunnel = 16

// registerTunnels registers the modules that open connections to targets through other VMs, and for
// them.
func registerTunnels(k *kernel.Kernel, cfg *settings.Node, a Adapter) {
	k.Register(ModuleTunnelDialer, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		group, log := kernel.Need[*peers.Peers](g, ModulePeers), kernel.Need[*telemetry.Logger](g, ModuleLog)
		if g.Err != nil {
			return nil, g.Err
		}
		o := tunnel.Options{Direct: a.TargetDialer, Peer: group.RandomPeer, Log: log}
		if o.Direct == nil {
			o.Direct = silence.Dialer(targetDialTimeout, targetUnackedTimeout)
		}
		dialer := tunnel.NewDialer(o)
		group.SetPathLost(dialer.PathLost)
		return dialer, nil
	})
	k.Register(ModuleTunnelServer, func(k *kernel.Kernel) (any, error) {
		g := &kernel.Getter{Kernel: k}
		dialer, server := kernel.Need[*tunnel.Dialer](g, ModuleTunnelDialer), kernel.Need[*snapshot.Server](g, ModuleSnapshots)
		known := &targetAddresses{keeper: kernel.Need[*fleet.Keeper](g, ModuleFleetKeeper)}
		if g.Err != nil {
			return nil, g.Err
		}
		descriptors, err := gateway.Descriptors(cfg.FileDescriptors)
		if err != nil {
			return nil, err
		}
		s := tunnel.NewServer(tunnel.ServerOptions{Dial: dialer.DialDirect, Allowed: known.contains, Limit: descriptors / descriptorsPerTunnel})
		server.HandleConnect(s)
		return s, nil
	})
}

// targetAddresses is the set of the addresses of all targets. It is safe for concurrent use.
type targetAddresses struct {
	keeper *fleet.Keeper

	mu sync.Mutex
	// view is the one that addresses was made from.
	view      *fleet.View
	addresses map[string]bool
}

// contains reports whether a target has the given address.
func (a *targetAddresses) contains(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v := a.keeper.View(); v != a.view {
		a.view, a.addresses = v, make(map[string]bool)
		for _, targets := range v.Targets {
			for _, t := range targets {
				a.addresses[t.Address] = true
			}
		}
	}
	return a.addresses[address]
}
