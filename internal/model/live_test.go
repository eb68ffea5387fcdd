package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// liveWithin bounds what a live engine takes for a few events on a busy host.
const liveWithin = 10 * time.Second

// newLive returns a prefill and a decode engine that make an event of ten tokens in 20 ms.
func newLive(t *testing.T) *Live {
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

func liveJob(events int) Job {
	return Job{
		Prompt: &place.Prompt{Tokens: 1000, Parts: []place.Part{{Hash: 1, Tokens: 400}, {Hash: 2, Tokens: 600}}},
		Output: events * 10, Limit: liveWithin,
	}
}

// last waits for a run's end, and returns the events that came.
func last(t *testing.T, r *LiveRun) (events int, dropped bool) {
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
		case <-time.After(liveWithin):
			t.Fatal("the run does not end")
		}
	}
}

func TestLiveEngineMakesEventsAtItsPace(t *testing.T) {
	is := is.New(t)
	l := newLive(t)
	began := time.Now()
	events, dropped := last(t, l.Submit("d", liveJob(11)))
	is.Equal(events, 11)
	is.True(!dropped)
	is.True(time.Since(began) > 200*time.Millisecond) // ten pauses of 20 ms
}

// A prompt that one engine has read goes on at another, from the event that the caller has.
func TestLiveEngineGoesOnFromAHandle(t *testing.T) {
	is := is.New(t)
	l := newLive(t)
	read := liveJob(5)
	read.PrefillOnly = true
	handle := l.Submit("p", read)
	is.True((<-handle.Progress).Read)
	next := liveJob(5)
	next.From, next.Seen = handle, 2
	events, dropped := last(t, l.Submit("d", next))
	is.Equal(events, 3)
	is.True(!dropped)
}

func TestLiveEngineDropsWhatItsCallerLeaves(t *testing.T) {
	is := is.New(t)
	l := newLive(t)
	r := l.Submit("d", liveJob(1000))
	r.Cancel()
	_, dropped := last(t, r)
	is.True(dropped)
	full := 0
	for range 4 {
		if l.Submit("d", liveJob(1000)) == nil {
			full++
		}
	}
	is.True(full > 0) // two run and one waits at the most
}

func TestLiveEngineChangesItsStage(t *testing.T) {
	is := is.New(t)
	l := newLive(t)
	done := make(chan struct{})
	l.Order("d", fleet.Prefill, func() { close(done) })
	is.True(l.Submit("d", liveJob(5)) == nil)
	<-done
	stage, changing := l.Stage("d")
	is.Equal(stage, fleet.Prefill)
	is.True(!changing)
}
