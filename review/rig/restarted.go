package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// eventGap is the pause between two events of a stream, or two parts of another answer.
	eventGap = 100 * time.Millisecond
	// plainTargets is the number of targets of the plain service.
	plainTargets = 6
	// rounds is the number of requests of each kind that are disrupted, and roundPause the time between them.
	rounds     = 6
	roundPause = 3 * time.Second
	// cutTime is how long an engine is cut off in all.
	cutTime = 800 * time.Millisecond
	// killedAfter is the part of cutTime after which the engine is killed, and restartedAfter that after which
	// it is started again.
	killedAfter    = 150 * time.Millisecond
	restartedAfter = 350 * time.Millisecond
)

// playRestartedEngine cuts a target off while it sends an answer that ends with its connection, kills and
// restarts it behind the cut under the id that it had, and heals the cut. It does so with streams of model
// engines and with answers of a plain service.
func playRestartedEngine(r *rig) (bool, error) {
	r.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.Config(1))
	targets := make(map[string]*target)
	add := func(id, service, stage string, dc int, gap time.Duration) error {
		t, err := r.addTarget(id, service, stage, dataCentre(dc), "-gap", gap.String(), "-ends-with-conn")
		targets[id] = t
		return err
	}
	for dc := range 3 {
		for _, stage := range []string{"prefill", "decode"} {
			if err := add(fmt.Sprintf("i-%s-%d", stage, dc+1), platformtest.ServiceModel, stage, dc, eventGap); err != nil {
				return false, err
			}
		}
	}
	for i := range plainTargets {
		if err := add(fmt.Sprintf("i-desk-%d", i+1), platformtest.ServicePlain, "", i%3, eventGap); err != nil {
			return false, err
		}
	}
	if err := r.startNodes(3, 3); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	disrupt := func(id string) error {
		if !r.trouble {
			return nil
		}
		return r.restartBehindCut(targets[id])
	}
	streams, err := r.playRounds(func(n *node, id string) (bool, error) {
		got, err := r.streamOnce(n, id, "once", func(seal string) error {
			serving, _, _ := strings.Cut(seal, ".")
			return disrupt(serving)
		})
		r.notef("%s: status %d, %d of %d events, complete by its framing: %t (%v)", id, got.status, strings.Count(got.body, "\n\n"), streamEvents, err == nil, err)
		return err == nil && got.status == http.StatusOK && got.body != streamBody(id), err
	})
	if err != nil {
		return false, err
	}
	plain, err := r.playRounds(func(n *node, id string) (bool, error) {
		done := make(chan error, 1)
		// The answer comes as a whole, so the caller does not know who sends it before.
		go func() {
			serving, err := r.awaitRun(targets, id)
			if err == nil {
				err = disrupt(serving)
			}
			done <- err
		}()
		got, err := r.callOnce(n, "unsafe", id)
		if derr := <-done; derr != nil {
			return false, derr
		}
		serving, _, _ := strings.Cut(got.seal, ".")
		r.notef("%s: status %d, answer %q of %s, complete by its framing: %t (%v)", id, got.status, got.body, serving, err == nil, err)
		return err == nil && got.status == http.StatusOK && got.body != plainBody(serving, id), err
	})
	if err != nil {
		return false, err
	}
	r.notef("%d of %d streams and %d of %d answers of the plain service ended as complete without their ends", streams, rounds, plain, rounds)
	return streams+plain > 0, nil
}

// playRounds plays rounds requests, one after the other, and returns in how many of them the rule was broken.
// Without a disruption no request may fail.
func (r *rig) playRounds(play func(n *node, id string) (broken bool, err error)) (int, error) {
	count := 0
	for i := range rounds {
		r.requests++
		broken, err := play(r.nodes[i%len(r.nodes)], fmt.Sprintf("%016x", 0x1c41d07be2a35f00+r.requests))
		if err != nil && !r.trouble {
			return count, errors.Wrap(err, "a request without a disruption failed")
		}
		if broken {
			count++
		}
		time.Sleep(roundPause)
	}
	return count, nil
}

// awaitRun waits until a target has printed that it has sent a part of the answer to a request, and returns its
// id.
func (r *rig) awaitRun(targets map[string]*target, id string) (string, error) {
	for began := time.Now(); time.Since(began) < callerTimeout; time.Sleep(10 * time.Millisecond) {
		for name, t := range targets {
			if strings.Contains(t.process.Log(), "sent part 1 of "+id) {
				return name, nil
			}
		}
	}
	return "", errors.Errorf("no target has begun to answer %s", id)
}

// restartBehindCut cuts a target off, kills it with SIGKILL, starts it again under its id, and heals the cut.
// What the target had sent before it was killed arrives then, and so does the end of its connections.
func (r *rig) restartBehindCut(t *target) error {
	if t == nil {
		return errors.New("the answer names no target")
	}
	began := time.Now()
	r.notef("%s is cut off", t.id)
	t.link.Inject(proc.Silent)
	defer t.link.Heal()
	time.Sleep(killedAfter)
	if err := t.process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	// The exit status of a killed process says nothing.
	_ = t.process.Wait()
	r.notef("%s is killed", t.id)
	time.Sleep(restartedAfter - time.Since(began))
	if err := r.startTarget(t); err != nil {
		return err
	}
	time.Sleep(cutTime - time.Since(began))
	r.notef("%s runs again under its id, the cut heals", t.id)
	return nil
}
