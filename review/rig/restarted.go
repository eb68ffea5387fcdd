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
	// eventGap is the pause between two events of a stream.
	eventGap = 100 * time.Millisecond
	// rounds is the number of streams that are disrupted.
	rounds = 6
	// cutTime is how long an engine is cut off in all.
	cutTime = 800 * time.Millisecond
	// killedAfter is the part of cutTime after which the engine is killed, and restartedAfter that after which
	// it is started again.
	killedAfter    = 150 * time.Millisecond
	restartedAfter = 350 * time.Millisecond
)

// playRestartedEngine cuts an engine off while it streams an answer that ends with its connection, kills
// and restarts it behind the cut under the id that it had, and heals the cut. The engine is one of six.
func playRestartedEngine(r *rig) (bool, error) {
	r.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.Config(1))
	engines := make(map[string]*target)
	for dc := range 3 {
		for _, stage := range []string{"prefill", "decode"} {
			id := fmt.Sprintf("i-%s-%d", stage, dc+1)
			e, err := r.addTarget(id, platformtest.ServiceModel, stage, dataCentre(dc), "-gap", eventGap.String(), "-ends-with-conn")
			if err != nil {
				return false, err
			}
			engines[id] = e
		}
	}
	if err := r.startNodes(3, 3); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	broken := 0
	for i := range rounds {
		id := fmt.Sprintf("%016x", 0x1c41d07be2a35f00+i)
		got, err := r.streamOnce(r.nodes[i%len(r.nodes)], id, "once", func(seal string) error {
			serving, _, _ := strings.Cut(seal, ".")
			if !r.trouble {
				return nil
			}
			return r.restartBehindCut(engines[serving])
		})
		r.notef("%s: status %d, %d of %d events, complete by its framing: %t (%v)", id, got.status, strings.Count(got.body, "\n\n"), streamEvents, err == nil, err)
		if err == nil && got.status == http.StatusOK && got.body != streamBody(id) {
			broken++
		}
		if err != nil && !r.trouble {
			return false, errors.Wrap(err, "a stream without a disruption failed")
		}
		time.Sleep(3 * time.Second)
	}
	r.notef("%d of %d streams ended as complete without their last events", broken, rounds)
	return broken > 0, nil
}

// restartBehindCut cuts a target off, kills it with SIGKILL, starts it again under its id, and heals the cut.
// What the target had sent before it was killed arrives then, and so does the end of its connections.
func (r *rig) restartBehindCut(t *target) error {
	if t == nil {
		return errors.New("the answer names no engine")
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
