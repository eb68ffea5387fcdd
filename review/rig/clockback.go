package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// clockStep is how far the time of day of the target's machine is ahead at first.
	clockStep = 2 * time.Second
	// settledAfter is the time from the last restart to the target's report that it is draining.
	settledAfter = 10 * time.Second
)

// playClockBack has a target crash twice within two seconds and start again under its id. The time of day of
// its machine is ahead at the first of these starts and right at the second. Later the target leaves.
func playClockBack(r *rig) (bool, error) {
	r.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.Config(1))
	var leaving *target
	for i := range plainTargets {
		t, err := r.addTarget(fmt.Sprintf("i-desk-%d", i+1), platformtest.ServicePlain, "", dataCentre(i%3), "-work", plainWork.String())
		if err != nil {
			return false, err
		}
		leaving = t
	}
	if err := r.startNodes(3, 3); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if r.trouble {
		leaving.clockAhead = clockStep
	}
	for range 2 {
		if err := r.restartTarget(leaving); err != nil {
			return false, err
		}
		leaving.clockAhead = 0
		time.Sleep(time.Second)
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range r.nodes {
		callers.Go(func() { r.callUntil(n, stop) })
	}
	time.Sleep(settledAfter)
	r.list(leaving, "draining")
	leavesAt := time.Now()
	r.notef("the store has accepted that %s is draining", leaving.id)
	time.Sleep(servesFor)
	if err := leaving.process.Kill(); err != nil {
		return false, err
	}
	r.notef("%s has exited", leaving.id)
	time.Sleep(callsFor)
	close(stop)
	callers.Wait()
	late, runs, err := r.runsAfter(leaving, leavesAt.Add(drainTime))
	if err != nil {
		return false, err
	}
	r.notef("%s ran %d requests, %d of them later than %s after that", leaving.id, runs, late, drainTime)
	if runs == 0 {
		return false, errors.New("the target ran no request at all")
	}
	return late > 0, nil
}

// restartTarget kills a target and starts it again under its id.
func (r *rig) restartTarget(t *target) error {
	if err := t.process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	// The exit status of a killed process says nothing.
	_ = t.process.Wait()
	time.Sleep(200 * time.Millisecond)
	err := r.startTarget(t)
	r.notef("%s was killed and started again, born %d", t.id, t.born)
	return err
}
