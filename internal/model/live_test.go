package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// liveTimeout limits how long a live engine may take for a few events on a busy host.
const liveTimeout = 10 * time.Second

// newTestLive returns a Live with a prefill engine p and a decode engine d. They produce an event
// of ten tokens every 20 ms.
func newTestLive(t *testing.T) *Live {
	t.Helper()
	l := NewLive(Engine{
		Slots: 2, Queue: 1, StepMS: 2, PrefillPerMS: 100, Chunk: 1000, EventTokens: 10, KVTokens: 100000,
		KVTokenBytes: 1000, LinkMbps: 1e6, SwitchS: 0.01,
	})
	t.Cleanup(l.Close)
	l.Add(&fleet.Target{ID: "p", Stage: fleet.Prefill}, 1)
	l.Add(&fleet.Target{ID: "d", Stage: fleet.Decode}, 1)
	return l
}

// liveJob returns a job with a prompt of 1000 tokens and an answer of the given number of events.
func liveJob(events int) Job {
	return Job{
		Prompt: &place.Prompt{Tokens: 1000, Parts: []place.Part{{Hash: 1, Tokens: 400}, {Hash: 2, Tokens: 600}}},
		Output: events * 10, Limit: liveTimeout,
	}
}

// waitForEnd waits until a job ends. It returns the number of events received, and whether the
// engine dropped the job.
func waitForEnd(t *testing.T, r *LiveRun) (events int, dropped bool) {
	t.Helper()
	for {
		select {
		case p := <-r.Progress:
			switch {
			case p.Dropped:
				return events, true
			case p.Event > 0:
				events++
				if p.Last {
					return events, false
				}
			}
		case <-time.After(liveTimeout):
			t.Fatal("the job does not end")
		}
	}
}

// A live engine produces all events of an answer, and no faster than its figures say.
func TestLiveEngineProducesEventsAtItsSpeed(t *testing.T) {
	is := is.New(t)
	l := newTestLive(t)
	began := time.Now()
	events, dropped := waitForEnd(t, l.Submit("d", liveJob(11)))
	is.Equal(events, 11)
	is.True(!dropped)
	is.True(time.Since(began) > 200*time.Millisecond) // ten intervals of 20 ms
}

// An engine decodes a prompt that another engine has prefilled. The caller has received two of five
// events already, so the engine produces only the other three.
func TestLiveEngineDecodesFromHandle(t *testing.T) {
	is := is.New(t)
	l := newTestLive(t)
	prefill := liveJob(5)
	prefill.PrefillOnly = true
	handle := l.Submit("p", prefill)
	is.True((<-handle.Progress).Prefilled)
	next := liveJob(5)
	next.From, next.Seen = handle, 2
	events, dropped := waitForEnd(t, l.Submit("d", next))
	is.Equal(events, 3)
	is.True(!dropped)
}

// A cancelled job is dropped. Jobs are refused once the slots and the queue of an engine are full.
func TestLiveEngineDropsCancelledSequence(t *testing.T) {
	is := is.New(t)
	l := newTestLive(t)
	r := l.Submit("d", liveJob(1000))
	r.Cancel()
	_, dropped := waitForEnd(t, r)
	is.True(dropped)
	full := 0
	for range 4 {
		if l.Submit("d", liveJob(1000)) == nil {
			full++
		}
	}
	is.True(full > 0) // at most two run and one waits
}

// An engine refuses jobs from the order to change its stage until it has changed.
func TestLiveEngineChangesItsStage(t *testing.T) {
	is := is.New(t)
	l := newTestLive(t)
	done := make(chan struct{})
	l.ChangeStage("d", fleet.Prefill, func() { close(done) })
	is.True(l.Submit("d", liveJob(5)) == nil)
	<-done
	stage, changing := l.Stage("d")
	is.Equal(stage, fleet.Prefill)
	is.True(!changing)
}
