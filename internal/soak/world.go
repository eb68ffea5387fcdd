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
	// grace is the time that a VM has between SIGTERM and SIGKILL.
	grace = 4 * time.Second
	// restartDelay is the pause before an exited process is started again.
	restartDelay = 200 * time.Millisecond
	// settleTime is how long a VM still counts as disturbed after its start.
	settleTime = time.Second
	// stageChangeTime is how long an engine takes to change its stage (prefill or decode).
	stageChangeTime = 500 * time.Millisecond
	// crashedEntryTTL is how long the entry of a crashed target remains.
	crashedEntryTTL = 1500 * time.Millisecond
	// drainTime is how long a leaving target still serves.
	drainTime = 4 * time.Second
	// eventInterval is the pause between the events of a stream, and longEventInterval that of
	// every third target. Streams of the latter end within the callers' timeout, but long after the
	// time that a VM estimates for their few tokens.
	eventInterval     = 50 * time.Millisecond
	longEventInterval = 350 * time.Millisecond
	// dataCentreCount is the number of data centres among which VMs and targets are distributed.
	dataCentreCount = 2
)

// vm is one garnet-node with its settings and its link to the store.
type vm struct {
	name      string
	cfg       *settings.Node
	storeLink *proc.Relay

	mu sync.Mutex
	// process is the latest process, startedAt when it was started, and incarnation how many
	// processes of the VM were started so far.
	process     *proc.Process
	startedAt   time.Time
	incarnation int
	// exitExpected says that the process was signalled to end.
	exitExpected bool
	// ready is whether the load balancer considers the VM ready. failedPolls counts the failed
	// readiness checks in a row.
	ready       bool
	failedPolls int
}

// current returns the VM's latest process and its incarnation.
func (v *vm) current() (*proc.Process, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process, v.incarnation
}

// softwareVersions are the versions of the engines' software, which serve side by side. The engine that
// replaces another one is of the next version.
var softwareVersions = []string{"s1", "s2"}

// slot is a fixed address and link, at which one target after the other runs.
type slot struct {
	index   int
	service string
	link    *proc.Relay
	address string

	mu sync.Mutex
	// target is the stand-in that runs here now, an engine or a plain target. incarnation
	// counts the ids that were given to targets of the slot.
	target      *platformtest.Engine
	incarnation int
	// unavailable is set while the target leaves or has crashed.
	unavailable bool
}

func (s *slot) dataCentre() string { return dataCentreOf(s.index) }

// dataCentreOf returns the data centre of VM or slot i.
func dataCentreOf(i int) string { return fmt.Sprintf("dc-%d", i%dataCentreCount) }

// harness runs the VMs under test and the stand-ins for the store, the targets and the platform.
type harness struct {
	cfg       Config
	check     *Checker
	store     *platformtest.Store
	cluster   *proc.Cluster
	vms       []*vm
	slots     []*slot
	startedAt time.Time
	// readyAt is when all VMs were ready for the first time.
	readyAt    time.Time
	background sync.WaitGroup

	// keys and cloud are nil in runs without client accounts.
	keys  *keyring
	cloud *platformtest.Cloud

	mu sync.Mutex
	// version is the newest configuration version.
	version int
	// storeFaultSeq numbers the faults of the store, so that the end of an older fault does not end
	// a newer one.
	storeFaultSeq int
	stopping      bool
	outcomes      map[string]int
}

// now returns the time since the start of the run.
func (h *harness) now() time.Duration { return time.Since(h.startedAt) }

// newHarness starts the stand-ins and the VMs.
func newHarness(cfg Config) (*harness, error) {
	h := &harness{
		cfg: cfg, check: NewChecker(), store: platformtest.NewStore(),
		cluster:   proc.NewCluster(cfg.Dir, cfg.Bin, cfg.Ports),
		startedAt: time.Now(), outcomes: make(map[string]int),
	}
	if cfg.Accounts {
		h.keys, h.cloud = newKeyring(), platformtest.NewCloud()
		h.cloud.LeaseGap = handoverGap
	}
	h.changeConfig()
	if err := h.addSlots(); err != nil {
		h.close()
		return nil, err
	}
	for i := range cfg.VMs {
		if err := h.addVM(i); err != nil {
			h.close()
			return nil, err
		}
	}
	return h, nil
}

// addSlots creates the slots, first those of engines and then those of plain targets, and starts a
// target in each.
func (h *harness) addSlots() error {
	addrs, err := h.cfg.Ports.Take(h.cfg.Engines + h.cfg.PlainTargets)
	if err != nil {
		return err
	}
	for i, addr := range addrs {
		s := &slot{index: i, service: platformtest.ServiceModel, address: string(addr)}
		if i >= h.cfg.Engines {
			s.service = platformtest.ServicePlain
		}
		if s.link, err = proc.NewRelay(s.address); err != nil {
			return err
		}
		h.slots = append(h.slots, s)
		if err := h.startTarget(s); err != nil {
			return err
		}
	}
	return nil
}

// startTarget starts a new target with a new id in a slot and writes its entry.
func (h *harness) startTarget(s *slot) error {
	s.mu.Lock()
	s.incarnation++
	id := fmt.Sprintf("t%d-%d", s.index, s.incarnation)
	s.mu.Unlock()
	return h.startTargetAs(s, id)
}

// startTargetAs starts a target with the given id in a slot and writes its entry.
func (h *harness) startTargetAs(s *slot, id string) error {
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
	if stage != "" {
		e.Version = softwareVersions[(s.index+s.incarnation)%len(softwareVersions)]
	}
	e.Observe(observer{h: h, s: s})
	gap := eventInterval
	if s.index%3 == 0 {
		gap = longEventInterval
	}
	e.SetGap(gap)
	// The responses of half of the targets end with their connections.
	e.SetEndsWithConn((uint64(s.index)+h.cfg.Seed)%2 == 0)
	h.inspectAccounts(e)
	e.CrashWhen(0, func(e *platformtest.Engine) { h.replaceCrashed(s, e) }, crashes)
	s.target, s.unavailable = e, false
	h.writeEntry(s, e)
	return nil
}

// writeEntry writes a target's entry, with the address of the slot's link, to the store.
func (h *harness) writeEntry(s *slot, e *platformtest.Engine) {
	h.store.Put(platformtest.TableTargets, e.ID,
		platformtest.WithAddress(e.Row(s.service, s.dataCentre()), s.link.Addr()))
}

// addVM creates VM i with its link to the store and starts it.
func (h *harness) addVM(i int) error {
	addrs, err := h.cfg.Ports.Take(4)
	if err != nil {
		return err
	}
	v := &vm{name: fmt.Sprintf("vm-%d", i+1), cfg: settings.DefaultNode()}
	if v.storeLink, err = proc.NewRelay(h.store.Address()); err != nil {
		return err
	}
	v.cfg.VM, v.cfg.DataCentre = v.name, dataCentreOf(i)
	v.cfg.Listen, v.cfg.ReadyListen, v.cfg.MetricsListen, v.cfg.PeerAddress =
		addrs[0], addrs[1], addrs[2], addrs[3]
	v.cfg.Store.Address = settings.Addr(v.storeLink.Addr())
	v.cfg.Grace = settings.Duration(grace)
	h.configureAccounts(v.cfg)
	h.vms = append(h.vms, v)
	if err := h.cluster.Write(v.name, v.cfg); err != nil {
		return err
	}
	return h.startProcess(v)
}

// startProcess starts a VM's process, and restarts it whenever it exits.
func (h *harness) startProcess(v *vm) error {
	p, err := h.cluster.Rerun("garnet-node", v.name)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.process, v.startedAt, v.exitExpected = p, time.Now(), false
	v.incarnation++
	v.mu.Unlock()
	h.check.Disturbed(v.name, h.now(), h.now()+settleTime)
	h.background.Go(func() { h.supervise(v, p) })
	return nil
}

// supervise waits for a process to exit and starts the VM again, unless the harness is closing. An
// exit that was not expected is a violation.
func (h *harness) supervise(v *vm, p *proc.Process) {
	// The exit status does not matter: exitExpected says whether the process was told to end.
	_ = p.Wait()
	v.mu.Lock()
	expected := v.exitExpected
	v.mu.Unlock()
	if h.isStopping() {
		return
	}
	if !expected {
		h.check.UnexpectedExit(v.name, h.now())
	}
	time.Sleep(restartDelay)
	if h.isStopping() {
		return
	}
	if err := h.startProcess(v); err != nil {
		h.check.UnexpectedExit(v.name+": "+err.Error(), h.now())
	}
}

// isStopping reports whether the harness is closing.
func (h *harness) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

// close stops everything that the harness started.
func (h *harness) close() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	for _, v := range h.vms {
		if p, _ := v.current(); p != nil {
			// A paused process ends only after SIGCONT. A process that has exited already takes no
			// signal.
			_ = p.Signal(syscall.SIGCONT)
			_ = p.Terminate()
		}
	}
	h.cluster.StopAll(grace)
	h.background.Wait()
	for _, v := range h.vms {
		v.storeLink.Close()
	}
	for _, s := range h.slots {
		s.link.Close()
		s.mu.Lock()
		if s.target != nil {
			s.target.Close()
		}
		s.mu.Unlock()
	}
	h.store.Close()
	if h.cloud != nil {
		h.cloud.Close()
	}
}

// changeConfig writes a new configuration version with a route named after the version.
func (h *harness) changeConfig() {
	h.mu.Lock()
	h.version++
	version := h.version
	h.mu.Unlock()
	config := platformtest.Config(version, versionRoute(version))
	if h.keys != nil {
		config = platformtest.WithAccounts(config, h.keys.activeKeys())
	}
	h.store.Put(platformtest.TableOperator, platformtest.KeyConfig, config)
	h.check.ConfigWritten(version, h.now())
}

// versionRoute returns the name of the route that marks a configuration version.
func versionRoute(version int) string { return fmt.Sprintf("v%d", version) }

// newestVersion returns the newest configuration version that was written.
func (h *harness) newestVersion() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// clearFaults ends every lasting fault.
func (h *harness) clearFaults() {
	h.store.SetFault(platformtest.FaultNone)
	for _, v := range h.vms {
		v.storeLink.Heal()
		if p, _ := v.current(); p != nil && !p.Exited() {
			// The process may exit at this moment.
			_ = p.Signal(syscall.SIGCONT)
		}
	}
	for _, s := range h.slots {
		s.link.Heal()
		s.mu.Lock()
		s.target.SetFault(platformtest.EngineHealthy)
		s.mu.Unlock()
	}
}

// observer reports what happens at the target of a slot to the checker.
type observer struct {
	h *harness
	s *slot
}

// Arrived implements platformtest.Observer.
func (o observer) Arrived(e *platformtest.Engine, id string) {
	if id == "" {
		arrivals := e.Arrivals()
		o.h.count(fmt.Sprintf("without an id at %s: %s", e.ID, arrivals[len(arrivals)-1]))
	}
	o.h.check.Arrived(id, e.ID, o.h.now())
}

// Ran implements platformtest.Observer.
func (o observer) Ran(e *platformtest.Engine, id, source string) {
	if request, ok := crashingRequestOf(id); ok {
		o.h.check.TargetCrashed(request, e.ID, o.h.now(), o.h.now()+settleTime)
	}
	o.h.check.Ran(id, e.ID, platformtest.RequestOfHandle(source), o.h.now())
}

// workEndings maps the endings that a stand-in reports to those of the checker.
var workEndings = map[platformtest.Ending]WorkEnding{
	platformtest.EndedComplete: Completed, platformtest.EndedByPeer: HungUp, platformtest.EndedByFault: BrokenOff,
}

// Ended implements platformtest.Observer.
func (o observer) Ended(_ *platformtest.Engine, id string, how platformtest.Ending) {
	o.h.check.Ended(id, workEndings[how])
}

// Ordered implements platformtest.Observer. It also makes the engine change its stage after
// stageChangeTime.
func (o observer) Ordered(e *platformtest.Engine, order platformtest.Order) {
	o.h.check.OrderAccepted(e.ID, order.Holder, order.Fence, o.h.now())
	time.AfterFunc(stageChangeTime, func() {
		e.SetStage(order.Stage)
		o.s.mu.Lock()
		listed := o.s.target == e && !o.s.unavailable
		o.s.mu.Unlock()
		if listed {
			o.h.writeEntry(o.s, e)
		}
	})
}

var errNotReady = errors.New("soak: not all VMs are ready")

// awaitReady waits until every VM is ready, or ctx ends.
func (h *harness) awaitReady(ctx context.Context) error {
	return proc.WaitFor(ctx, "all VMs to be ready", func(context.Context) error {
		for _, v := range h.vms {
			if !platformtest.Ready(string(v.cfg.ReadyListen), askTimeout) {
				return errNotReady
			}
		}
		return nil
	})
}
