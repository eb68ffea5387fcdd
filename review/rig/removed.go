package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// groupSize is the number of VMs, in three data centres. From twelve on, only a few VMs of a group read
	// the list of targets from the store, and forward its changes to the others.
	groupSize = 12
	// killedVMs is the number of VMs that are killed at once, the first of each data centre.
	killedVMs = 3
	// removedAfter and restartAfter are the times from the kill to the removal of the entry, and to the restart
	// of the VMs.
	removedAfter = 200 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	// drainTime is DrainMs.
	drainTime = 2 * time.Second
	// servesFor is how long the target serves after its entry was removed, and callsFor how long the callers go
	// on after it has exited.
	servesFor = 8 * time.Second
	callsFor  = time.Second
	// plainWork is how long a request takes.
	plainWork = 15 * time.Millisecond
	// callPause is the time between two requests of a caller.
	callPause = 50 * time.Millisecond
)

// playRemovedTarget removes the entry of a target that leaves without a report, while the VMs are killed that
// would have told the others, and counts the requests that reach it later than it allows.
func playRemovedTarget(r *rig) (bool, error) {
	r.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.Config(1))
	var leaving *target
	for i := range plainTargets {
		t, err := r.addTarget(fmt.Sprintf("i-desk-%d", i+1), platformtest.ServicePlain, "", dataCentre(i%3), "-work", plainWork.String())
		if err != nil {
			return false, err
		}
		leaving = t
	}
	if err := r.startNodes(groupSize, 3); err != nil {
		return false, err
	}
	// The last target was listed last, so that the versions of the other entries are lower than its.
	time.Sleep(8 * time.Second)
	survivors := r.nodes[killedVMs:]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range survivors {
		callers.Go(func() { r.callUntil(n, stop) })
	}
	time.Sleep(time.Second)
	if r.trouble {
		if err := r.killFirst(); err != nil {
			return false, err
		}
	}
	time.Sleep(removedAfter)
	r.store.Remove(platformtest.TableTargets, leaving.id)
	removedAt := time.Now()
	r.notef("the store has removed the entry of %s", leaving.id)
	if r.trouble {
		time.Sleep(restartAfter - removedAfter)
		if err := r.restartFirst(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(removedAt.Add(servesFor)))
	if err := leaving.process.Kill(); err != nil {
		return false, err
	}
	r.notef("%s has exited", leaving.id)
	time.Sleep(callsFor)
	close(stop)
	callers.Wait()
	late, runs, err := r.runsAfter(leaving, removedAt.Add(drainTime))
	if err != nil {
		return false, err
	}
	r.notef("%s ran %d requests, %d of them later than %s after its entry was removed", leaving.id, runs, late, drainTime)
	if runs == 0 {
		return false, errors.New("the target ran no request at all")
	}
	return late > 0, nil
}

// killFirst kills the first killedVMs VMs at once.
func (r *rig) killFirst() error {
	for _, n := range r.nodes[:killedVMs] {
		if err := n.process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, n := range r.nodes[:killedVMs] {
		// The exit status of a killed process says nothing.
		_ = n.process.Wait()
		r.notef("%s is killed", n.name)
	}
	return nil
}

// restartFirst starts the VMs again that killFirst has killed.
func (r *rig) restartFirst() error {
	for _, n := range r.nodes[:killedVMs] {
		n.cfg.FirstStart = false
		p, err := r.cluster.Run(nodeProgram, n.name, n.cfg)
		if err != nil {
			return err
		}
		n.process = p
		r.notef("%s is started again", n.name)
	}
	return nil
}

// callUntil sends requests that must not run twice to a VM until stop is closed.
func (r *rig) callUntil(n *node, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		id := fmt.Sprintf("%s-%06d", n.name, i)
		got, err := r.callOnce(n, "unsafe", id)
		r.notef("%s: sent to %s, status %d, signed %q, complete: %t (%v)", id, n.name, got.status, got.seal, err == nil, err)
	}
}

// runsAfter returns how many requests a target has run, and how many of them after a time, by what it printed.
func (r *rig) runsAfter(t *target, after time.Time) (late, runs int, err error) {
	for run := 1; run <= t.starts; run++ {
		data, err := os.ReadFile(filepath.Join(r.dir, fmt.Sprintf("%s-%d.log", t.id, run)))
		if err != nil {
			return 0, 0, err
		}
		for line := range strings.SplitSeq(string(data), "\n") {
			words := strings.Fields(line)
			if len(words) < 3 || words[2] != "runs" {
				continue
			}
			runs++
			if words[0] > after.Format(stampLayout) {
				late++
			}
		}
	}
	return late, runs, nil
}
