package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// nodeProgram is the program of the deploy file, from the root of the repository.
	nodeProgram = "garnet-node"
	// programDir is where the deploy file's build puts it.
	programDir = "target"
	// startTimeout limits the start of the VMs.
	startTimeout = 30 * time.Second
	// readyTimeout limits one readiness check.
	readyTimeout = time.Second
	// grace is GraceS of a small deployment.
	grace = 8 * time.Second
)

// rig holds the processes and stand-ins of a case.
type rig struct {
	// trouble says that the disruption is to be played.
	trouble bool
	store   *platformtest.Store
	cluster *proc.Cluster
	ports   *proc.Ports
	dir     string
	self    string

	mu      sync.Mutex
	record  *os.File
	relays  []*proc.Relay
	nodes   []*node
	targets []*target
	// requests counts the requests whose ids were given out.
	requests int
}

// node is one VM.
type node struct {
	name    string
	cfg     *settings.Node
	process *proc.Process
}

// newRig returns a rig with an empty store, which writes its record to the file recordPath.
func newRig(recordPath string, trouble bool) (*rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	tmp, err := os.MkdirTemp("", "garnet-case-")
	if err != nil {
		return nil, errors.Wrap(err, "create a folder")
	}
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find this program")
	}
	if _, err := os.Stat(filepath.Join(programDir, nodeProgram)); err != nil {
		return nil, errors.Wrap(err, "find the program")
	}
	ports := proc.NewPorts()
	return &rig{
		trouble: trouble, store: platformtest.NewStore(), ports: ports, dir: tmp, self: self, record: record,
		cluster: proc.NewCluster(tmp, programDir, ports),
	}, nil
}

// notef writes a line to the record.
func (r *rig) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that cannot be written shows nothing, and its reader sees that.
	_, _ = fmt.Fprintf(r.record, stamp()+" "+format+"\n", args...)
}

// noteTargets adds what the targets have printed to the record.
func (r *rig) noteTargets() {
	for _, t := range r.targets {
		for run := 1; run <= t.starts; run++ {
			data, err := os.ReadFile(filepath.Join(r.dir, fmt.Sprintf("%s-%d.log", t.id, run)))
			if err != nil {
				continue
			}
			r.mu.Lock()
			_, _ = fmt.Fprintf(r.record, "\n%s, run %d:\n%s\n", t.id, run, strings.TrimSpace(string(data)))
			r.mu.Unlock()
		}
	}
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	r.noteTargets()
	for _, n := range r.nodes {
		// The case is over, so the VMs need not drain. A process that has exited takes no signal.
		_ = n.process.Kill()
	}
	r.cluster.StopAll(time.Second)
	for _, l := range r.relays {
		l.Close()
	}
	r.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	_ = r.record.Close()
}

// smallSettings returns the settings that the platform fills in for a VM of a small deployment.
func smallSettings() *settings.Node {
	cfg := settings.DefaultNode()
	cfg.FirstStart = true
	cfg.MemoryMB, cfg.FileDescriptors, cfg.LinkMbps = 284, 4200, 1000
	cfg.Grace, cfg.LeaseGap, cfg.ConfigBound = settings.Duration(grace), settings.Duration(3*time.Second), settings.Duration(2*time.Second)
	cfg.RetryBurst, cfg.RetryWindow = 54, settings.Duration(10*time.Second)
	return cfg
}

// startNodes starts n VMs in the given number of data centres and waits until all are ready.
func (r *rig) startNodes(n, dataCentres int) error {
	for i := range n {
		cfg := smallSettings()
		cfg.VM, cfg.DataCentre = fmt.Sprintf("front-%02d", i+1), dataCentre(i%dataCentres)
		addrs, err := r.ports.Take(4)
		if err != nil {
			return err
		}
		cfg.Listen, cfg.ReadyListen, cfg.MetricsListen, cfg.PeerAddress = addrs[0], addrs[1], addrs[2], addrs[3]
		cfg.Store.Address = settings.Addr(r.store.Address())
		p, err := r.cluster.Run(nodeProgram, cfg.VM, cfg)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, &node{name: cfg.VM, cfg: cfg, process: p})
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return proc.WaitFor(ctx, "the VMs", func(context.Context) error {
		for _, n := range r.nodes {
			if !platformtest.Ready(string(n.cfg.ReadyListen), readyTimeout) {
				return errors.Errorf("%s is not ready", n.name)
			}
		}
		return nil
	})
}

// dataCentre returns the name of data centre i.
func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i+1) }

// target is a target that runs as a process of its own behind a relay.
type target struct {
	id, service, stage, dataCentre string
	address                        string
	args                           []string
	link                           *proc.Relay
	process                        *proc.Process
	born                           int64
	// clockAhead is how far the time of day of the target's machine is ahead.
	clockAhead time.Duration
	starts     int
}

// addTarget starts a target and lists it. args are further arguments of the process.
func (r *rig) addTarget(id, service, stage, dataCentre string, args ...string) (*target, error) {
	addrs, err := r.ports.Take(1)
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, stage: stage, dataCentre: dataCentre, address: string(addrs[0]), args: args}
	if t.link, err = proc.NewRelay(t.address); err != nil {
		return nil, err
	}
	r.relays, r.targets = append(r.relays, t.link), append(r.targets, t)
	return t, r.startTarget(t)
}

// startTarget starts the process of a target, under the same id each time, and lists its new run.
func (r *rig) startTarget(t *target) error {
	t.starts++
	t.born = time.Now().Add(t.clockAhead).UnixMilli()
	args := append([]string{"target", "-address", t.address, "-id", t.id, "-stage", t.stage, "-born", strconv.FormatInt(t.born, 10)}, t.args...)
	p, err := r.cluster.Exec(fmt.Sprintf("%s-%d", t.id, t.starts), r.self, args...)
	if err != nil {
		return err
	}
	t.process = p
	r.list(t, "ready")
	return nil
}

// list writes the entry of a target in the store, as the target does.
func (r *rig) list(t *target, state string) {
	r.store.Put(platformtest.TableTargets, t.id, map[string]any{
		"Service": t.service, "Address": t.link.Addr(), "Zone": t.dataCentre, "Version": platformtest.DefaultVersion, "Slots": 8,
		"State": state, "Stage": t.stage, "Sequence": 0, "ColdRemainingMs": 0, "born": t.born,
	})
}
