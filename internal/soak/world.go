package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// grace is the VMs' time from SIGTERM to SIGKILL.
	grace = 4 * time.Second
	// restartAfter is the pause before an ended process is started again.
	restartAfter = 200 * time.Millisecond
	// settled is how long after its start a VM still counts as disturbed.
	settled = time.Second
	// stageTakes is how long an engine takes to change its stage.
	stageTakes = 500 * time.Millisecond
	// entryStays is how long a crashed target stays listed.
	entryStays = 1500 * time.Millisecond
	// leaveTakes is how long a leaving target serves on.
	leaveTakes = 4 * time.Second
	// eventGap is the pause between the events of a stream, and longGap that at
	// every third target: its streams end within the callers' timeout, long after
	// the time that a VM reckons for their few tokens.
	eventGap = 50 * time.Millisecond
	longGap  = 350 * time.Millisecond
	// dataCentres is how many data centres the VMs and targets are dealt to.
	dataCentres = 2
)

// vm is one garnet-node, its settings and its link to the store.
type vm struct {
	name  string
	cfg   *settings.Node
	store *proc.Relay

	mu      sync.Mutex
	process *proc.Process
	started time.Time
	life    int
	// expected says that the process was signalled to end.
	expected bool
	// ready is what the balancer found, and misses its misses in a row.
	ready  bool
	misses int
}

func (v *vm) current() (*proc.Process, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process, v.life
}

// slot is one place for a target: its address and link stay while targets come
// and go.
type slot struct {
	index   int
	service string
	link    *proc.Relay
	address string

	mu     sync.Mutex
	engine *platformtest.Engine
	life   int
	// away is set while the target leaves or has crashed.
	away bool
}

func (s *slot) dataCentre() string { return dataCentreOf(s.index) }

func dataCentreOf(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

// world is all that the VMs meet, and the VMs.
type world struct {
	cfg     Config
	check   *Checker
	store   *platformtest.Store
	cluster *proc.Cluster
	vms     []*vm
	slots   []*slot
	began   time.Time
	// served is when all VMs were ready first.
	served time.Time
	bg     sync.WaitGroup

	// keys and cloud are nil in histories without client accounts.
	keys  *keyring
	cloud *platformtest.Cloud

	mu      sync.Mutex
	version int
	// storeTurn tells the newest fault of the store from older ones.
	storeTurn int
	stopping  bool
	tallies   map[string]int
}

func (w *world) now() time.Duration { return time.Since(w.began) }

// newWorld starts the stand-ins and the VMs.
func newWorld(cfg Config) (*world, error) {
	w := &world{
		cfg: cfg, check: NewChecker(), store: platformtest.NewStore(), cluster: proc.NewCluster(cfg.Dir, cfg.Bin, cfg.Ports),
		began: time.Now(), tallies: make(map[string]int),
	}
	if cfg.Accounts {
		w.keys, w.cloud = newKeyring(), platformtest.NewCloud()
		w.cloud.LeaseGap = holderGap
	}
	w.change()
	if err := w.addSlots(); err != nil {
		w.close()
		return nil, err
	}
	for i := range cfg.VMs {
		if err := w.addVM(i); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addSlots() error {
	addrs, err := w.cfg.Ports.Take(w.cfg.Engines + w.cfg.Plains)
	if err != nil {
		return err
	}
	for i, addr := range addrs {
		s := &slot{index: i, service: platformtest.ServiceModel, address: string(addr)}
		if i >= w.cfg.Engines {
			s.service = platformtest.ServicePlain
		}
		if s.link, err = proc.NewRelay(s.address); err != nil {
			return err
		}
		w.slots = append(w.slots, s)
		if err := w.fill(s); err != nil {
			return err
		}
	}
	return nil
}

// fill starts a new target at a slot and lists it.
func (w *world) fill(s *slot) error {
	s.mu.Lock()
	s.life++
	id := fmt.Sprintf("t%d-%d", s.index, s.life)
	s.mu.Unlock()
	return w.fillAs(s, id)
}

// fillAs starts a target under an id at a slot and lists it.
func (w *world) fillAs(s *slot, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	stage := ""
	if s.service == platformtest.ServiceModel {
		stage = "decode"
	}
	e, err := platformtest.NewEngineAt(s.address, id, stage)
	if err != nil {
		return err
	}
	e.Born = time.Now().UnixMilli()
	e.Observe(observer{w: w, s: s})
	gap := eventGap
	if s.index%3 == 0 {
		gap = longGap
	}
	e.SetGap(gap)
	w.inspect(e)
	e.CrashOn(deadlyBody, func(e *platformtest.Engine) { w.ended(s, e) })
	s.engine, s.away = e, false
	w.list(s, e)
	return nil
}

func (w *world) list(s *slot, e *platformtest.Engine) {
	w.store.Put(platformtest.TableTargets, e.ID, platformtest.WithAddress(e.Row(s.service, s.dataCentre()), s.link.Addr()))
}

func (w *world) addVM(i int) error {
	addrs, err := w.cfg.Ports.Take(4)
	if err != nil {
		return err
	}
	v := &vm{name: fmt.Sprintf("vm-%d", i+1), cfg: settings.DefaultNode()}
	if v.store, err = proc.NewRelay(w.store.Address()); err != nil {
		return err
	}
	v.cfg.VM, v.cfg.DataCentre = v.name, dataCentreOf(i)
	v.cfg.Listen, v.cfg.ReadyListen, v.cfg.MetricsListen, v.cfg.PeerAddress = addrs[0], addrs[1], addrs[2], addrs[3]
	v.cfg.Store.Address = settings.Addr(v.store.Addr())
	v.cfg.Grace = settings.Duration(grace)
	w.addAccounts(v.cfg)
	w.vms = append(w.vms, v)
	if err := w.cluster.Write(v.name, v.cfg); err != nil {
		return err
	}
	return w.startProcess(v)
}

// startProcess starts a VM's process and sees to it that one that ends is
// started again.
func (w *world) startProcess(v *vm) error {
	p, err := w.cluster.Rerun("garnet-node", v.name)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.process, v.started, v.expected = p, time.Now(), false
	v.life++
	v.mu.Unlock()
	w.check.Disturbed(v.name, w.now(), w.now()+settled)
	w.bg.Go(func() { w.keepAlive(v, p) })
	return nil
}

func (w *world) keepAlive(v *vm, p *proc.Process) {
	// How it ended does not matter: what was asked for is known.
	_ = p.Wait()
	v.mu.Lock()
	expected := v.expected
	v.mu.Unlock()
	if w.ending() {
		return
	}
	if !expected {
		w.check.EndedByItself(v.name, w.now())
	}
	time.Sleep(restartAfter)
	if w.ending() {
		return
	}
	if err := w.startProcess(v); err != nil {
		w.check.EndedByItself(v.name+": "+err.Error(), w.now())
	}
}

func (w *world) ending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}

// close ends what the world started.
func (w *world) close() {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	for _, v := range w.vms {
		if p, _ := v.current(); p != nil {
			// A paused process ends only once it goes on; one that has ended
			// already takes no signal.
			_ = p.Signal(syscall.SIGCONT)
			_ = p.Terminate()
		}
	}
	w.cluster.StopAll(grace)
	w.bg.Wait()
	for _, v := range w.vms {
		v.store.Close()
	}
	for _, s := range w.slots {
		s.link.Close()
		s.mu.Lock()
		if s.engine != nil {
			s.engine.Close()
		}
		s.mu.Unlock()
	}
	w.store.Close()
	if w.cloud != nil {
		w.cloud.Close()
	}
}

// change writes a new version of the configuration, whose route is named after
// it.
func (w *world) change() {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	config := platformtest.Config(version, routeOf(version))
	if w.keys != nil {
		config = platformtest.WithAccounts(config, w.keys.inForce())
	}
	w.store.Put(platformtest.TableOperator, platformtest.KeyConfig, config)
	w.check.Changed(version, w.now())
}

func routeOf(version int) string { return fmt.Sprintf("v%d", version) }

func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// heal ends every fault that lasts.
func (w *world) heal() {
	w.store.SetFault(platformtest.FaultNone)
	for _, v := range w.vms {
		v.store.Heal()
		if p, _ := v.current(); p != nil && !p.Exited() {
			// It may end at this moment.
			_ = p.Signal(syscall.SIGCONT)
		}
	}
	for _, s := range w.slots {
		s.link.Heal()
		s.mu.Lock()
		s.engine.SetFault(platformtest.EngineHealthy)
		s.mu.Unlock()
	}
}

// observer tells the checker what comes to a target.
type observer struct {
	w *world
	s *slot
}

func (o observer) Arrived(e *platformtest.Engine, id string) { o.w.check.Arrived(id, e.ID, o.w.now()) }

func (o observer) Ran(e *platformtest.Engine, id, source string) {
	if request, ok := deadlyRequest(id); ok {
		o.w.check.Killed(request, e.ID, o.w.now(), o.w.now()+settled)
	}
	o.w.check.Ran(id, e.ID, platformtest.RequestOfHandle(source), o.w.now())
}

// endings maps the stand-in's endings.
var endings = map[platformtest.Ending]Ending{
	platformtest.EndedComplete: Written, platformtest.EndedByPeer: HungUp, platformtest.EndedByFault: Spoiled,
}

func (o observer) Ended(_ *platformtest.Engine, id string, how platformtest.Ending) {
	o.w.check.Ended(id, endings[how])
}

// Ordered lets the engine change its stage a little later.
func (o observer) Ordered(e *platformtest.Engine, order platformtest.Order) {
	o.w.check.Ordered(e.ID, order.Holder, order.Fence, o.w.now())
	time.AfterFunc(stageTakes, func() {
		e.SetStage(order.Stage)
		o.s.mu.Lock()
		listed := o.s.engine == e && !o.s.away
		o.s.mu.Unlock()
		if listed {
			o.w.list(o.s, e)
		}
	})
}

var errNotReady = errors.New("soak: not all VMs are ready")

// awaitReady waits until every VM is ready.
func (w *world) awaitReady(ctx context.Context) error {
	return proc.Until(ctx, "all VMs to be ready", func(context.Context) error {
		for _, v := range w.vms {
			if !platformtest.Ready(string(v.cfg.ReadyListen), askTimeout) {
				return errNotReady
			}
		}
		return nil
	})
}
