package gateway

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// soloGroup is a group that consists of this VM only.
type soloGroup struct{}

func (soloGroup) Size() int               { return 1 }
func (soloGroup) Owns([]byte) bool        { return true }
func (soloGroup) Joined() <-chan struct{} { return nil }

// busyOthers is a place.PeerWork that reports the given load of other VMs on the target "d".
type busyOthers struct {
	mu   sync.Mutex
	work place.Work
}

// Work implements place.PeerWork.
func (b *busyOthers) Work(target string) place.Work {
	if target != "d" {
		return place.Work{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work
}

// set replaces the load that Work returns.
func (b *busyOthers) set(w place.Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = w
}

// Age implements place.PeerWork. The reports of the other VMs are always new.
func (*busyOthers) Age() time.Duration { return 0 }

// lateExchange returns a request to a service that has one engine, the target "d". others reports
// the load of other VMs on that engine.
func lateExchange(others place.PeerWork) *exchange {
	k := fleet.NewKeeper()
	k.SetConfig(fleet.NewConfig(1, nil, []*fleet.Service{{Name: "m", Engine: &fleet.EngineSpec{Slots: 8, KVTokens: 100000}}}, fleet.Limits{}))
	target := &fleet.Target{ID: "d", Service: "m", Slots: 8, Stage: fleet.Decode}
	k.ApplyTargets([]fleet.TargetChange{{ID: target.ID, Target: target}}, 1)
	g := &Gateway{
		rng: newRNG(), keeper: k, group: soloGroup{},
		placer: place.New(place.DefaultConfig("a"), others, func(*fleet.Target) bool { return false }),
	}
	var err error
	if g.stats, err = NewStats(noop.NewMeterProvider().Meter("")); err != nil {
		panic(err)
	}
	g.abortCtx, g.abort = context.WithCancel(context.Background())
	g.limits.Store(&Limits{Grace: time.Second})
	now := time.Now()
	return &exchange{
		g: g, r: httptest.NewRequest("POST", "/", nil), arrived: now, deadline: now.Add(6 * time.Second), view: k.View(), service: "m",
		route: &fleet.Route{Name: "r", Objective: 100 * time.Millisecond, Patience: 2 * time.Second},
		meta:  Meta{Timeout: 6 * time.Second, Prompt: &place.Prompt{Tokens: 400, Output: 10, MaxOutput: 20}}, tried: place.Tried{},
	}
}

// fullWork keeps the engine so busy that no request is on time.
var fullWork = place.Work{Prefill: time.Second, Prefills: 5}

// A request that cannot be on time is deferred while the engines are full, and sent once they are
// idle.
func TestLateRequestIsSentOnceEnginesAreIdle(t *testing.T) {
	is := is.New(t)
	b := &busyOthers{work: fullWork}
	x := lateExchange(b)
	time.AfterFunc(300*time.Millisecond, func() { b.set(place.Work{}) })
	c, err := x.choosePrefill(context.Background())
	is.NoErr(err)
	is.Equal(c.Target.ID, "d")
	waited := time.Since(x.arrived)
	is.True(waited >= 300*time.Millisecond && waited < 600*time.Millisecond)
	is.Equal(x.g.placer.DeferredWork("m"), place.Work{})
}

// If the engines stay full, the caller is refused while it still has time to retry.
func TestLateRequestIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	x := lateExchange(&busyOthers{work: fullWork})
	_, err := x.choosePrefill(context.Background())
	is.True(errkind.Is(err, errkind.CannotFinish))
	is.True(errkind.From(err).RetryAfter > 0)
	waited := time.Since(x.arrived)
	is.True(waited > 800*time.Millisecond && waited < 1300*time.Millisecond)
}

// No more requests are deferred than the engines can serve in time. Any further request is refused
// at once.
func TestFullDeferralQueueRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	x := lateExchange(&busyOthers{work: fullWork})
	x.g.placer.AddDeferred("m", place.Choice{OwnPrefill: time.Second, Expected: time.Second})
	_, err := x.choosePrefill(context.Background())
	is.True(errkind.Is(err, errkind.CannotFinish))
	is.True(time.Since(x.arrived) < 100*time.Millisecond)
}

// A deferred request whose caller leaves is not sent to any target.
func TestDeferralEndsWhenCallerLeaves(t *testing.T) {
	is := is.New(t)
	x := lateExchange(&busyOthers{work: fullWork})
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(150*time.Millisecond, leave)
	_, err := x.choosePrefill(ctx)
	is.True(err != nil)
	is.True(time.Since(x.arrived) < 400*time.Millisecond)
	is.Equal(len(x.g.placer.Own()), 0)
}

// Guards against a request of a size that is served less often than others being refused behind a queue of
// others. It is deferred, and the rest of its route counts it as ahead.
func TestFavoredRequestIsDeferredBesideAFullQueue(t *testing.T) {
	is := is.New(t)
	x := lateExchange(&busyOthers{work: fullWork})
	x.g.placer.AddDeferred("m", place.Choice{OwnPrefill: time.Second, Expected: time.Second})
	for n := range 100 {
		size := x.g.sizes.Classify("r", x.meta.Prompt.Tokens, 10)
		x.g.sizes.Count("r", size, true, n%2 == 0, time.Now())
	}
	for x.g.sizes.Favor("r", x.size()) <= 0 {
		x.g.sizes.Count("r", x.size(), true, false, time.Now())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	targets, done := x.view.Targets["m"], make(chan struct{})
	go func() {
		defer close(done)
		_, err := x.choosePrefill(ctx)
		is.True(err != nil)
	}()
	time.Sleep(100 * time.Millisecond)
	is.True(x.g.placer.QueueFor(targets, "r", false).Ahead > 0)
	<-done
	is.Equal(x.g.placer.QueueFor(targets, "r", false).Ahead, time.Duration(0))
}
