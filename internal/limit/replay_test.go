package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/route"
)

// The replay simulates independent entries with outdated reports that send
// requests to engines, at a multiple of the engines' capacity, in virtual time.

const (
	replayEngines  = 12
	replayEntries  = 8
	meanWork       = 0.1 // mean prefill time of a request, in seconds
	replayDeadline = 2.0 // time within which a request must finish, in seconds
	replayRequests = 60000
)

// replayEngine is an engine that works off its requests one after the other.
type replayEngine struct {
	until   float64 // when the queued work is done
	history []replayReport
}

// replayEntry is one entry with its view of the engines.
type replayEntry struct {
	loads []route.Load
	read  []int // how many reports of each engine's history have arrived
	pacer Pacer
	next  int // the engine of the last request
}

// admissionPolicy reports whether an entry admits a request that would wait for
// wait seconds at its target and then take work seconds; paced tells whether the
// entry's Pacer admits it.
type admissionPolicy func(wait, work float64, paced bool) bool

// admitAll admits every request.
func admitAll(float64, float64, bool) bool { return true }

// admitReported admits by deadline, from the estimated wait alone.
func admitReported(wait, work float64, _ bool) bool {
	return Admit(Estimate{Wait: toDuration(wait), Work: toDuration(work), Deadline: toDuration(replayDeadline)}).Admit
}

// admitPaced admits by deadline and by the entry's share of the engines.
func admitPaced(wait, work float64, paced bool) bool {
	return paced && admitReported(wait, work, paced)
}

// toDuration returns s seconds as a duration.
func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// goodput returns the work finished before its deadline as a share of the
// engines' time, for requests at load times the engines' capacity and reports
// that are age seconds old.
func goodput(load, age float64, admit admissionPolicy) float64 {
	rnd := rand.New(rand.NewPCG(5, 6))
	engines := make([]replayEngine, replayEngines)
	entries := make([]replayEntry, replayEntries)
	for i := range entries {
		entries[i] = replayEntry{loads: make([]route.Load, replayEngines), read: make([]int, replayEngines)}
	}
	rate := load * replayEngines / meanWork
	now, good := 0.0, 0.0
	for range replayRequests {
		now += rnd.ExpFloat64() / rate
		e := &entries[rnd.IntN(replayEntries)]
		work := meanWork * (0.5 + rnd.Float64())
		e.refresh(engines, now, age)
		i := e.nextEngine()
		wait := max(e.loads[i].BusyUntil()-now, 0)
		_, paced := e.pacer.Admit(now, replayEngines, replayEntries, e.meanWait(), replayDeadline-work)
		if !admit(wait, work, paced) {
			continue
		}
		e.loads[i].Sent(now, work)
		e.pacer.Sent(work)
		engine := &engines[i]
		engine.until = max(engine.until, now) + work
		engine.history = append(engine.history, replayReport{at: now, until: engine.until})
		if engine.until-now <= replayDeadline {
			good += work
		}
	}
	return good / (now * replayEngines)
}

// refresh records the reports that have arrived by now.
func (e *replayEntry) refresh(engines []replayEngine, now, age float64) {
	for i := range engines {
		h := engines[i].history
		for e.read[i] < len(h) && h[e.read[i]].at <= now-age {
			e.read[i]++
		}
		if e.read[i] > 0 {
			e.loads[i].Report(now-age, h[e.read[i]-1].until)
		}
	}
}

// meanWait returns the engines' mean wait by the entry's last reports, in
// seconds.
func (e *replayEntry) meanWait() float64 {
	sum := 0.0
	for i := range e.loads {
		sum += e.loads[i].ReportedWait()
	}
	return sum / float64(len(e.loads))
}

// nextEngine returns the index of the engine for the next request. It goes round
// the engines, so that the replay measures the admission and not the routing.
func (e *replayEntry) nextEngine() int {
	e.next++
	return e.next % replayEngines
}

func BenchmarkFigures(b *testing.B) {
	for b.Loop() {
		for _, age := range []float64{0.5, 2, 5} {
			capacity := goodput(1, age, admitPaced)
			for _, a := range []struct {
				name  string
				admit admissionPolicy
			}{{"all", admitAll}, {"reported", admitReported}, {"paced", admitPaced}} {
				fmt.Printf("figure admission_%s_age%g_goodput at_1x %.3f at_2x %.3f at_4x %.3f\n", a.name, age, goodput(1, age, a.admit), goodput(2, age, a.admit), goodput(4, age, a.admit))
			}
			fmt.Printf("figure goodput_at_2x_age%g %.3f of goodput at capacity\n", age, goodput(2, age, admitPaced)/capacity)
		}
	}
}

// At twice the engines' capacity, with reports that are 2 s old, at least 95% of
// the goodput at capacity remains.
func TestGoodputAtTwiceTheLoad(t *testing.T) {
	is := is.New(t)
	is.True(goodput(2, 2, admitPaced) >= 0.95*goodput(1, 2, admitPaced))
	is.True(goodput(2, 2, admitReported) < 0.5) // admission by the late reports alone
	is.True(goodput(2, 2, admitAll) < 0.5)      // no admission control
}

// replayReport is an engine's report at one time of when its queued work is done.
type replayReport struct{ at, until float64 }
