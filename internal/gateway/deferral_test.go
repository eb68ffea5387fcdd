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

// one is a group of this VM alone.
type one struct{}

func (one) Size() int               { return 1 }
func (one) Owns([]byte) bool        { return true }
func (one) Joined() <-chan struct{} { return nil }

// backlog is what other VMs have in hand at the engines.
type backlog struct {
	mu   sync.Mutex
	work place.Work
}

func (b *backlog) Work(target string) place.Work {
	if target != "d" {
		return place.Work{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work
}

func (b *backlog) set(w place.Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = w
}

func (*backlog) Age() time.Duration { return 0 }

// late returns a request for an engine that others keep busy.
func late(others place.Others) *exchange {
	k := fleet.NewKeeper()
	k.SetConfig(fleet.NewConfig(1, nil, []*fleet.Service{{Name: "m", Engine: &fleet.EngineSpec{Slots: 8, KVTokens: 100000}}}, fleet.Limits{}))
	target := &fleet.Target{ID: "d", Service: "m", Slots: 8, Stage: fleet.Decode}
	k.ApplyTargets([]fleet.TargetChange{{ID: target.ID, Target: target}}, 1)
	g := &Gateway{
		random: newRandom(), keeper: k, group: one{},
		placer: place.New(place.DefaultConfig("a"), others, func(*fleet.Target) bool { return false }),
	}
	var err error
	if g.stats, err = NewStats(noop.NewMeterProvider().Meter("")); err != nil {
		panic(err)
	}
	g.ending, g.endingNow = context.WithCancel(context.Background())
	g.limits.Store(&Limits{Grace: time.Second})
	now := time.Now()
	return &exchange{
		g: g, r: httptest.NewRequest("POST", "/", nil), arrived: now, deadline: now.Add(6 * time.Second), view: k.View(), service: "m",
		route: &fleet.Route{Name: "r", Objective: 100 * time.Millisecond, Patience: 2 * time.Second},
		meta:  Meta{Timeout: 6 * time.Second, Prompt: &place.Prompt{Tokens: 400, Output: 10, MaxOutput: 20}}, tried: place.Tried{},
	}
}

var full = place.Work{Prefill: time.Second, Prefills: 5}

// What cannot be on time is deferred while the engines are full, and goes once they are idle.
func TestLateRequestGoesOnceEnginesAreIdle(t *testing.T) {
	is := is.New(t)
	b := &backlog{work: full}
	x := late(b)
	time.AfterFunc(300*time.Millisecond, func() { b.set(place.Work{}) })
	c, err := x.choose(context.Background())
	is.NoErr(err)
	is.Equal(c.Target.ID, "d")
	waited := time.Since(x.arrived)
	is.True(waited >= 300*time.Millisecond && waited < 600*time.Millisecond)
	is.Equal(x.g.placer.Waiting("m"), place.Work{})
}

// Where engines stay full, the caller is refused while it still has time to come back.
func TestLateRequestIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	x := late(&backlog{work: full})
	_, err := x.choose(context.Background())
	is.True(errkind.Is(err, errkind.CannotFinish))
	is.True(errkind.From(err).RetryAfter > 0)
	waited := time.Since(x.arrived)
	is.True(waited > 800*time.Millisecond && waited < 1300*time.Millisecond)
}

// No more are deferred than the engines can take on in time: the others are refused at once.
func TestTooManyDeferredRefuseAtOnce(t *testing.T) {
	is := is.New(t)
	x := late(&backlog{work: full})
	x.g.placer.Wait("m", place.Choice{Own: time.Second, Expected: time.Second})
	_, err := x.choose(context.Background())
	is.True(errkind.Is(err, errkind.CannotFinish))
	is.True(time.Since(x.arrived) < 100*time.Millisecond)
}

// A caller that leaves while its request is deferred is not sent anywhere.
func TestDeferredCallerThatLeaves(t *testing.T) {
	is := is.New(t)
	x := late(&backlog{work: full})
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(150*time.Millisecond, leave)
	_, err := x.choose(ctx)
	is.True(err != nil)
	is.True(time.Since(x.arrived) < 400*time.Millisecond)
	is.Equal(len(x.g.placer.Own()), 0)
}
