package clock_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/clock"
)

// slack is ample for two readings of the clock.
const slack = 200 * time.Millisecond

// A VM was suspended for some seconds. Its timers and Go's monotonic time stood still, and
// what it knew from before would have been taken for fresh.
func TestTimeAsleepCounts(t *testing.T) {
	is := is.New(t)
	s := clock.Simulate()
	defer s.Restore()
	began := clock.Now()
	is.True(clock.Since(began) < slack)
	for n := 1; n <= 3; n++ {
		s.Suspend(5 * time.Second)
		slept := clock.Since(began)
		is.True(slept >= time.Duration(n)*5*time.Second && slept < time.Duration(n)*5*time.Second+slack)
	}
}

// Whoever sets the time of day moves nothing, back or ahead, also beside a suspension.
func TestSettingTheTimeOfDayMovesNothing(t *testing.T) {
	is := is.New(t)
	s := clock.Simulate()
	defer s.Restore()
	began := clock.Now()
	for _, step := range []time.Duration{2 * time.Second, -time.Hour, 40 * time.Hour} {
		s.Set(step)
		is.True(clock.Since(began) >= 0 && clock.Since(began) < slack)
	}
	s.Set(-5 * time.Second)
	s.Suspend(5 * time.Second)
	// Both together leave the time of day where it would be: the sleep shows with the next
	// change.
	s.Set(time.Second)
	is.True(clock.Since(began) >= 5*time.Second)
}

func TestDeadlineHoldsWhileAsleep(t *testing.T) {
	is := is.New(t)
	s := clock.Simulate()
	defer s.Restore()
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(time.Minute))
	defer cancel()
	child, cancelChild := context.WithCancelCause(ctx)
	defer cancelChild(nil)
	s.Suspend(30 * time.Second)
	clock.Now()
	is.NoErr(ctx.Err())
	s.Suspend(31 * time.Second)
	clock.Now()
	select {
	case <-child.Done():
	case <-time.After(slack):
		t.Fatal("the deadline has passed")
	}
	is.True(errors.Is(context.Cause(child), context.DeadlineExceeded))
}

func TestDeadlinePassesAwake(t *testing.T) {
	is := is.New(t)
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(20*time.Millisecond))
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(slack):
		t.Fatal("the deadline has passed")
	}
	is.True(errors.Is(context.Cause(ctx), context.DeadlineExceeded))
}

// Watch notices a suspension though nobody else reads the clock.
func TestWatchNoticesASuspension(t *testing.T) {
	s := clock.Simulate()
	defer s.Restore()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go clock.Watch(ctx)
	deadline, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(time.Minute))
	defer cancel()
	s.Suspend(2 * time.Minute)
	select {
	case <-deadline.Done():
	case <-time.After(time.Second):
		t.Fatal("nobody noticed")
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
