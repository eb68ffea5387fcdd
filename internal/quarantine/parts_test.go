package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/quarantine"
)

// promptOf returns a request of an account with the given shared parts of its prompt.
func promptOf(account string, parts ...string) *quarantine.Request {
	return &quarantine.Request{Account: account, Source: account, Service: "m", Parts: parts}
}

// crashedPart records the n-th successive crash of a target that had begun to answer the request, one
// second after the previous crash, and returns its time.
func crashedPart(t *quarantine.PartTable, r *quarantine.Request, n int, version string) time.Time {
	at := start.Add(time.Duration(n) * time.Second)
	t.RecordCrash(r, quarantine.Crash{Run: fmt.Sprint("run", n), Version: version, Began: at.Add(-100 * time.Millisecond), At: at})
	return at
}

// heldPart returns a table in which the parts of r were at three crashes, and the time of the last one.
func heldPart(r *quarantine.Request) (*quarantine.PartTable, time.Time) {
	table := quarantine.NewPartTable()
	var now time.Time
	for n := range 3 {
		now = crashedPart(table, r, n, "v1")
	}
	return table, now
}

// sent reports whether a request may be sent, be it as a trial.
func sent(v quarantine.PartVerdict) bool { return !v.Blocked }

// A part that is at three crashes is held, and the parts that its requests share with requests that run
// well between these crashes are not.
func TestPartsThatRunWellElsewhereAreNotHeld(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewPartTable()
	guilty, sound := promptOf("a", "first", "bad"), promptOf("a", "first", "good")
	var now time.Time
	for n := range 3 {
		is.True(sent(table.Verdict(guilty, start)))
		table.RecordSuccess(sound, "v1")
		now = crashedPart(table, guilty, n, "v1")
	}
	v := table.Verdict(guilty, now)
	is.True(v.Blocked)
	is.Equal(v.Part, "bad")
	is.Equal(v.Crashes, 3)
	is.True(!table.Verdict(sound, now).Held())
	is.True(!table.Verdict(promptOf("b", "first", "bad"), now).Held())
}

// If two parts were at the same crashes, requests with one of them tell which is at fault, one at a time.
func TestPartsAtTheSameCrashesAreToldApart(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewPartTable()
	guilty, sound := promptOf("a", "first", "bad"), promptOf("a", "first", "good")
	var now time.Time
	for n := range 3 {
		now = crashedPart(table, guilty, n, "v1")
	}
	is.True(table.Verdict(guilty, now).Blocked)
	is.True(!table.Verdict(guilty, now.Add(time.Hour)).TrialDue(now.Add(time.Hour)))
	v := table.Verdict(sound, now)
	is.True(v.Held() && sent(v))
	is.True(table.BeginTrial(v.ID))
	is.True(!table.BeginTrial(v.ID))
	table.EndTrial(v.ID)
	is.Equal(len(table.RecordSuccess(sound, "v1")), 1)
	is.True(!table.Verdict(sound, now).Held())
	v = table.Verdict(guilty, now)
	is.True(v.Blocked)
	is.Equal(v.Part, "bad")
}

// Two parts that crash targets, and share a part with each other and with rare sound requests, do not
// get the shared one held.
func TestTwoPartsDoNotAccuseTheOneTheyShare(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewPartTable()
	var now time.Time
	for n := range 6 {
		now = crashedPart(table, promptOf("a", "first", fmt.Sprint("bad", n%2)), n, "v1")
	}
	sound := promptOf("a", "first", "good")
	is.True(sent(table.Verdict(sound, now)))
	table.RecordSuccess(sound, "v1")
	for i := range 2 {
		is.True(table.Verdict(promptOf("a", "first", fmt.Sprint("bad", i)), now).Blocked)
	}
	is.True(!table.Verdict(sound, now).Held())
}

// The part that all requests share may itself crash targets.
func TestFirstPartIsHeldIfAllItsRequestsCrashTargets(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewPartTable()
	var now time.Time
	for n := range 3 {
		now = crashedPart(table, promptOf("a", "bad", fmt.Sprint("session", n)), n, "v1")
	}
	v := table.Verdict(promptOf("a", "bad", "session9"), now)
	is.True(v.Blocked)
	is.Equal(v.Part, "bad")
}

// A part that runs well at targets of one software version may crash those of another.
func TestRunsAtAnotherVersionDoNotClearAPart(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewPartTable()
	r := promptOf("a", "bad")
	var now time.Time
	for n := range 3 {
		table.RecordSuccess(r, "v1")
		now = crashedPart(table, r, n, "v2")
		table.RecordSuccess(r, "v1")
	}
	is.True(table.Verdict(r, now).Blocked)
	is.Equal(len(table.RecordSuccess(r, "v2")), 1)
	is.True(!table.Verdict(r, now).Held())
}

// A held part is tried by one VM in each period: soon after the third crash, and later after each further one.
func TestHeldPartIsTried(t *testing.T) {
	is := is.New(t)
	r := promptOf("a", "bad")
	table, now := heldPart(r)
	is.True(!table.Verdict(r, now).TrialDue(now))
	first, second := table.Verdict(r, now.Add(1500*time.Millisecond)), table.Verdict(r, now.Add(2500*time.Millisecond))
	is.True(first.TrialDue(now.Add(1500 * time.Millisecond)))
	is.True(string(first.TrialKey) != string(second.TrialKey))
	now = crashedPart(table, r, 3, "v1")
	is.True(!table.Verdict(r, now.Add(19*time.Second)).TrialDue(now.Add(19 * time.Second)))
	is.True(table.Verdict(r, now.Add(21*time.Second)).TrialDue(now.Add(21 * time.Second)))
	now = crashedPart(table, r, 4, "v1")
	is.True(!table.Verdict(r, now.Add(4*time.Minute)).TrialDue(now.Add(4 * time.Minute)))
	is.True(table.Verdict(r, now.Add(6*time.Minute)).TrialDue(now.Add(6 * time.Minute)))
}

// A caller that sends parts of its own making does not displace the parts of others, and the table stays
// within its size.
func TestPartsOfOneCallerDoNotDisplaceOthers(t *testing.T) {
	is := is.New(t)
	r := promptOf("a", "bad")
	table, now := heldPart(r)
	for i := range 3000 {
		flood := promptOf("b", fmt.Sprint("x", i), fmt.Sprint("y", i))
		for n := range 3 {
			crashedPart(table, flood, 3*i+n+3, "v1")
		}
	}
	is.True(table.Verdict(r, now).Blocked)
	is.True(table.Size() <= 1100)
}

// A caller that keeps a part of its own at all crashes delays the verdict on another part, but not for long.
func TestPartAtAllCrashesDoesNotShieldOthers(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewPartTable()
	guilty := promptOf("a", "bad")
	now, sends, late := start, 0, 0
	var fifthCrash time.Time
	for now.Before(start.Add(2 * time.Minute)) {
		now = now.Add(100 * time.Millisecond)
		v := table.Verdict(guilty, now)
		if v.Blocked && !v.TrialDue(now) {
			continue
		}
		sends++
		if sends > 5 && now.After(fifthCrash.Add(stabilityWindow)) {
			late++
		}
		c := quarantine.Crash{Run: fmt.Sprint("run", sends), Version: "v1", Began: now, At: now.Add(60 * time.Millisecond)}
		if sends == 5 {
			fifthCrash = c.At
		}
		table.RecordCrash(guilty, c)
		table.RecordCrash(promptOf("b", "shield"), c)
	}
	is.True(late <= maxLateSends)
}

// Tables that receive each other's snapshots, late and several times, come to the same verdicts.
func TestSnapshotsOfPartsReachTheSameVerdict(t *testing.T) {
	is := is.New(t)
	a, b := quarantine.NewPartTable(), quarantine.NewPartTable()
	guilty, sound := promptOf("a", "first", "bad"), promptOf("a", "first", "good")
	var now time.Time
	for n := range 4 {
		table := a
		if n%2 == 1 {
			table = b
		}
		now = crashedPart(table, guilty, n, "v1")
	}
	toB, toA := a.TakeChanged(now), b.TakeChanged(now)
	is.Equal(len(b.Merge(toB, now)), 2)
	a.Merge(toA, now)
	a.Merge(toA, now)
	is.Equal(a.Verdict(guilty, now), b.Verdict(guilty, now))
	a.RecordSuccess(sound, "v1")
	b.Merge(a.TakeCleared(now), now)
	b.Merge(toB, now)
	is.True(!b.Verdict(sound, now).Held())
	is.True(b.Verdict(guilty, now).Blocked)
}

// BenchmarkPartsOfAPrompt measures what parts cost a request: its verdict, twice, and its success.
func BenchmarkPartsOfAPrompt(b *testing.B) {
	for _, known := range []int{0, 1000} {
		b.Run(fmt.Sprintf("%d known", known), func(b *testing.B) {
			table := quarantine.NewPartTable()
			for i := range known {
				crashedPart(table, promptOf("a", fmt.Sprint("part", i)), i%7, "v1")
			}
			r := promptOf("a", "first", "session", "document")
			now := start.Add(10 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				table.Verdict(r, now)
				table.Verdict(r, now)
				table.RecordSuccess(r, "v1")
			}
		})
	}
}

// Guards against a part that is held for crashes of targets of one software version being refused at those of
// another version, which run it well.
func TestPartIsHeldAtTheVersionsThatItCrashesOnly(t *testing.T) {
	is := is.New(t)
	r := promptOf("a", "first")
	table, now := heldPart(r) // at v1
	is.True(!table.Verdict(r, now).RunsWellAt("v1"))
	is.True(!table.Verdict(r, now).RunsWellAt("v2")) // not known
	is.Equal(len(table.RecordSuccess(r, "v2")), 0)
	v := table.Verdict(r, now)
	is.True(v.Blocked && v.RunsWellAt("v2") && !v.RunsWellAt("v1"))
	// Other VMs learn of it.
	other := quarantine.NewPartTable()
	other.Merge(table.TakeChanged(now), now)
	is.True(other.Verdict(r, now).RunsWellAt("v2") && !other.Verdict(r, now).RunsWellAt("v1"))
	// A prompt with another part that is held at both versions is refused at both.
	bad := promptOf("a", "first", "bad")
	for n := 10; n < 13; n++ {
		crashedPart(table, promptOf("a", "bad"), n, "v2")
	}
	is.True(!table.Verdict(bad, now).RunsWellAt("v2"))
	is.True(table.Verdict(r, now).RunsWellAt("v2"))
	// Three crashes at v2 end the exception there.
	for n := 20; n < 23; n++ {
		is.True(table.Verdict(r, now).RunsWellAt("v2"))
		now = crashedPart(table, r, n, "v2")
	}
	is.True(!table.Verdict(r, now).RunsWellAt("v2"))
}
