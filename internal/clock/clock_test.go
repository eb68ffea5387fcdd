package clock_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/clock"
)

// slack exceeds the time that passes unintentionally between two steps of a test.
const slack = 200 * time.Millisecond

// Guards against a suspended VM taking old data for fresh: timers and Go's monotonic time stop
// during a suspension.
func TestSuspendedTimeCounts(t *testing.T) {
	is := is.New(t)
	s := clock.Simulate()
	defer s.Restore()
	began := clock.Now()
	is.True(clock.Since(began) < slack)
	for n := 1; n <= 3; n++ {
		s.Suspend(5 * time.Second)
		elapsed := clock.Since(began)
		is.True(elapsed >= time.Duration(n)*5*time.Second && elapsed < time.Duration(n)*5*time.Second+slack)
	}
}

// Setting the wall clock forwards or back does not affect the clock, even together with a
// suspension.
func TestSettingTheWallClockHasNoEffect(t *testing.T) {
	is := is.New(t)
	s := clock.Simulate()
	defer s.Restore()
	began := clock.Now()
	for _, step := range []time.Duration{2 * time.Second, -time.Hour, 40 * time.Hour} {
		s.AdjustWallClock(step)
		is.True(clock.Since(began) >= 0 && clock.Since(began) < slack)
	}
	s.AdjustWallClock(-5 * time.Second)
	s.Suspend(5 * time.Second)
	// Together they leave the drift of the wall clock unchanged, so the suspension is detected only
	// when the drift changes next.
	s.AdjustWallClock(time.Second)
	is.True(clock.Since(began) >= 5*time.Second)
}

// A context of WithDeadline ends at its deadline even if the machine was suspended in the meantime.
func TestDeadlineIncludesSuspendedTime(t *testing.T) {
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
		t.Fatal("the context did not end at its deadline")
	}
	is.True(errors.Is(context.Cause(child), context.DeadlineExceeded))
}

// A context of WithDeadline ends at its deadline without a suspension.
func TestDeadlinePasses(t *testing.T) {
	is := is.New(t)
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(20*time.Millisecond))
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(slack):
		t.Fatal("the context did not end at its deadline")
	}
	is.True(errors.Is(context.Cause(ctx), context.DeadlineExceeded))
}

// Watch detects a suspension even if nothing else reads the clock.
func TestWatchDetectsASuspension(t *testing.T) {
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
		t.Fatal("the suspension was not detected")
	}
}

// BenchmarkNow measures clock.Now, which requests call a dozen times or more.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

// BenchmarkTimeNow measures time.Now, for comparison with BenchmarkNow.
func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
