package proc

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/settings"
)

// Layout is the usual deployment of the product: stand-ins for the outside systems (platform,
// engines and plain services), and VMs with two processes each, an entry, which serves callers, and
// a steward, which is part of the control plane.
type Layout struct {
	*Cluster
	DataCentre   string
	Platform     settings.Addr
	Engines      []Target
	PlainTargets []Target
	VMs          []VM
}

// Target is a stand-in target: an engine or a plain service.
type Target struct {
	Name    string
	Address settings.Addr
	Process *Process
}

// VM is one VM with an entry and a steward.
type VM struct {
	Name    string
	Entry   *Process
	Steward *Process
	// Callers is the entry's address for callers, and EntryAdmin that for readiness and metrics.
	// StewardGRPC is the steward's address for entries, other stewards and garnetctl, and
	// StewardAdmin that for readiness and metrics.
	Callers      settings.Addr
	EntryAdmin   settings.Addr
	StewardGRPC  settings.Addr
	StewardAdmin settings.Addr
}

// Shape sets the size of a layout and the settings of its parts.
type Shape struct {
	Engines      int
	PlainTargets int
	VMs          int
	// NoEntries starts stewards only.
	NoEntries bool
	// Engine, Steward and Entry, if not nil, change the settings of engine i, or of the steward or
	// entry of VM i, before it starts.
	Engine  func(i int, s *settings.Standin)
	Steward func(i int, s *settings.Steward)
	Entry   func(i int, s *settings.Entry)
}

// addrsPerVM is the number of addresses that one VM needs.
const addrsPerVM = 4

// NewLayout starts every process of a layout, in one data centre. If it returns an error, processes
// that were already started go on running until the cluster is stopped.
func NewLayout(c *Cluster, shape Shape) (*Layout, error) {
	addrs, err := c.ports.Take(1 + shape.Engines + shape.PlainTargets + addrsPerVM*shape.VMs)
	if err != nil {
		return nil, err
	}
	l := &Layout{Cluster: c, DataCentre: "kakkanad", Platform: addrs[0]}
	addrs = addrs[1:]
	for i := range shape.Engines {
		l.Engines = append(l.Engines, Target{Name: fmt.Sprintf("engine-%d", i+1), Address: addrs[i]})
	}
	addrs = addrs[shape.Engines:]
	for i := range shape.PlainTargets {
		l.PlainTargets = append(l.PlainTargets,
			Target{Name: fmt.Sprintf("desk-%d", i+1), Address: addrs[i]})
	}
	addrs = addrs[shape.PlainTargets:]
	for i := range shape.VMs {
		a := addrs[addrsPerVM*i:]
		l.VMs = append(l.VMs, VM{Name: fmt.Sprintf("vm-%d", i+1), Callers: a[0], EntryAdmin: a[1],
			StewardGRPC: a[2], StewardAdmin: a[3]})
	}
	return l, l.start(shape)
}

// start starts the stand-ins and then the VMs.
func (l *Layout) start(shape Shape) error {
	if err := l.startStandins(shape); err != nil {
		return err
	}
	for i := range l.VMs {
		if err := l.startVM(i, shape); err != nil {
			return err
		}
	}
	return nil
}

// startStandins starts the platform, the engines and the plain services.
func (l *Layout) startStandins(shape Shape) error {
	p := settings.DefaultStandin()
	p.Kind, p.Name, p.Listen = "platform", "platform", l.Platform
	for _, t := range l.Engines {
		p.VMs = append(p.VMs, settings.StandinVM{Name: t.Name, DataCentre: l.DataCentre,
			Address: t.Address, Kind: "engine"})
	}
	for _, t := range l.PlainTargets {
		p.VMs = append(p.VMs, settings.StandinVM{Name: t.Name, DataCentre: l.DataCentre,
			Address: t.Address, Kind: "plain"})
	}
	if _, err := l.Run("garnet-standin", "platform", p); err != nil {
		return err
	}
	for i := range l.Engines {
		s := settings.DefaultStandin()
		s.Kind, s.Name, s.Listen = "engine", l.Engines[i].Name, l.Engines[i].Address
		if shape.Engine != nil {
			shape.Engine(i, s)
		}
		if err := l.runTarget(&l.Engines[i], s); err != nil {
			return err
		}
	}
	for i := range l.PlainTargets {
		s := settings.DefaultStandin()
		s.Kind, s.Name, s.Listen = "plain", l.PlainTargets[i].Name, l.PlainTargets[i].Address
		if err := l.runTarget(&l.PlainTargets[i], s); err != nil {
			return err
		}
	}
	return nil
}

// runTarget starts the stand-in t with the settings s.
func (l *Layout) runTarget(t *Target, s *settings.Standin) error {
	p, err := l.Run("garnet-standin", t.Name, s)
	t.Process = p
	return err
}

// startVM starts the steward and the entry of VM i. Their intervals are much shorter than the
// defaults, so that tests need not wait for long.
func (l *Layout) startVM(i int, shape Shape) error {
	vm := &l.VMs[i]
	st := settings.DefaultSteward()
	st.VM, st.DataCentre, st.Listen, st.AdminListen =
		vm.Name, l.DataCentre, vm.StewardGRPC, vm.StewardAdmin
	st.Platform.Address = l.Platform
	st.GossipInterval = settings.Duration(200 * time.Millisecond)
	st.PollInterval = settings.Duration(200 * time.Millisecond)
	st.PlatformInterval = settings.Duration(500 * time.Millisecond)
	st.LeaseTTL = settings.Duration(2 * time.Second)
	st.EngineReadTimeout = settings.Duration(time.Second)
	en := settings.DefaultEntry()
	en.VM, en.DataCentre, en.Listen, en.AdminListen = vm.Name, l.DataCentre, vm.Callers, vm.EntryAdmin
	en.Platform.Address = l.Platform
	en.MaxEntries = len(l.VMs)
	en.ReadyGrace = settings.Duration(200 * time.Millisecond)
	for j := range l.VMs {
		peer := l.VMs[(i+j)%len(l.VMs)]
		en.Stewards = append(en.Stewards, peer.StewardGRPC)
		st.Peers = append(st.Peers, settings.Peer{VM: peer.Name, DataCentre: l.DataCentre,
			Address: peer.StewardGRPC})
	}
	if shape.Steward != nil {
		shape.Steward(i, st)
	}
	if shape.Entry != nil {
		shape.Entry(i, en)
	}
	var err error
	if vm.Steward, err = l.Run("garnet-steward", vm.Name+"-steward", st); err != nil {
		return err
	}
	if shape.NoEntries {
		return nil
	}
	vm.Entry, err = l.Run("garnet-entry", vm.Name+"-entry", en)
	return errors.Wrap(err, "start VM")
}
