package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/quarantine"
)

// start is the time at which the tests begin.
var start = time.Unix(1_000_000, 0)

// newRequest returns the i-th request of an account.
func newRequest(account string, i int) quarantine.Request {
	return quarantine.Request{Account: account, Source: account, Method: "POST", Host: "h",
		URI: "/x", Body: fmt.Appendf(nil, "body %d", i)}
}

// crashed records the n-th successive crash of a target that had begun to run the request, one
// second after the previous crash. It returns the results of RecordCrash.
func crashed(table *quarantine.Table, r *quarantine.Request, n int) (quarantine.Verdict, bool) {
	return crashedAt(table, r, fmt.Sprint("run", n), start.Add(time.Duration(n)*time.Second))
}

// crashedAt records a crash of a target's run to which the request was sent 100 ms before.
func crashedAt(table *quarantine.Table, r *quarantine.Request, run string,
	at time.Time) (quarantine.Verdict, bool) {
	return table.RecordCrash(r, quarantine.Crash{Run: run, Began: at.Add(-100 * time.Millisecond), At: at})
}

// The third crash quarantines a request. Another request of the same account, and the same request
// of another account, are not affected.
func TestThirdCrashStartsQuarantine(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	r := newRequest("a", 1)
	is.Equal(table.Verdict(&r, start).Crashes, 0)
	for i, want := range []bool{false, false, true} {
		_, starts := crashed(table, &r, i)
		is.Equal(starts, want)
	}
	v := table.Verdict(&r, start)
	is.True(v.Suspect() && v.Quarantined(start, true) && v.Quarantined(start, false))
	other := newRequest("a", 2)
	is.True(!table.Verdict(&other, start).Suspect())
	// The account is part of a request's identity.
	same := newRequest("b", 1)
	is.True(!table.Verdict(&same, start).Suspect())
}

// Many callers may send identical requests, which then run on all targets of a service. When these
// crash together, as in a power failure, that counts as one crash.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	r := newRequest("a", 1)
	for i := range 12 {
		crashedAt(table, &r, fmt.Sprint("run", i), start.Add(time.Duration(i)*5*time.Millisecond))
	}
	is.Equal(table.Verdict(&r, start).Crashes, 1)
	// The crash of a target to which the request was sent later counts as the second crash.
	_, starts := crashedAt(table, &r, "next", start.Add(time.Second))
	is.True(!starts)
	is.Equal(table.Verdict(&r, start).Crashes, 2)
}

// When a target crashes that runs several attempts of the same request, that counts as one crash.
func TestCrashOfOneRunCountsOnce(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	r := newRequest("a", 1)
	for range 5 {
		crashedAt(table, &r, "run", start)
	}
	is.Equal(table.Verdict(&r, start).Crashes, 1)
}

// A prompt that many callers send is involved in many crashes that it does not cause. A successful
// run on one VM clears its crashes on all VMs. Merging an older snapshot does not undo that.
func TestSuccessfulRunClearsCrashes(t *testing.T) {
	is := is.New(t)
	here, there := quarantine.NewTable(), quarantine.NewTable()
	r := newRequest("a", 1)
	for i := range 3 {
		crashed(here, &r, i)
	}
	there.Merge(here.TakeChanged(start), start)
	is.True(there.RecordSuccess(&r))
	here.Merge(there.TakeChanged(start), start)
	is.True(!here.Verdict(&r, start).Quarantined(start, false))
	// A snapshot from before the clearing changes nothing.
	is.Equal(len(here.Merge(there.Top(10, start), start)), 0)
	is.Equal(here.Verdict(&r, start).Crashes, 0)
	is.True(!here.RecordSuccess(&r)) // there is nothing left to clear
}

// After the third crash, one VM soon sends the request again as a trial. Each trial in which the
// target crashes extends the quarantine and the time until the next trial.
func TestTrialDelaysGrow(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	r := newRequest("a", 1)
	now := start
	for n, want := range []time.Duration{0, 0, 5 * time.Second, time.Minute, 10 * time.Minute,
		24 * time.Hour, 24 * time.Hour} {
		crashedAt(table, &r, fmt.Sprint("run", n), now)
		v := table.Verdict(&r, now)
		if want == 0 {
			is.True(!v.Quarantined(now, true) && !v.Quarantined(now, false))
			now = now.Add(time.Second)
			continue
		}
		wait := v.TrialAt.Sub(now)
		is.True(wait >= want && wait <= 2*want)
		is.Equal(v.Until.Sub(now), min(12*want, 24*time.Hour))
		is.True(v.Quarantined(now.Add(wait-1), true))
		now = now.Add(wait)
		is.True(!v.Quarantined(now, true) && v.Suspect())
	}
}

// Only one trial of a suspect is in progress at a time.
func TestTrialsOfASuspectDoNotOverlap(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	r := newRequest("a", 1)
	id := r.ID()
	crashed(table, &r, 0)
	crashed(table, &r, 1)
	is.True(table.Verdict(&r, start).Suspect())
	is.True(table.BeginTrial(id))
	is.True(!table.BeginTrial(id))
	table.EndTrial(id)
	is.True(table.BeginTrial(id))
}

// The crashes of a request that is not quarantined expire after ten minutes.
func TestCrashesExpire(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	r := newRequest("a", 1)
	crashed(table, &r, 0)
	later := start.Add(10 * time.Minute)
	is.Equal(table.Verdict(&r, later).Crashes, 0)
	snapshots := table.Top(10, later)
	table.Expire(later)
	is.Equal(table.Size(), 0)
	// Expired entries of other VMs are not added again.
	table.Merge(snapshots, later)
	is.Equal(table.Size(), 0)
}

// However many requests of one account are involved in crashes, they do not displace entries of
// other accounts from the table, nor the most severe entry of their own.
func TestOneAccountDoesNotDisplaceAnother(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable()
	mine := newRequest("a", 1)
	crashedAt(table, &mine, "run", start)
	deadly := newRequest("b", 0)
	crashed(table, &deadly, 0)
	crashed(table, &deadly, 1)
	for i := range 2000 {
		other := newRequest("b", i+1)
		crashedAt(table, &other, "run", start.Add(time.Duration(i)*time.Millisecond))
	}
	is.True(table.Size() <= 1025)
	is.Equal(table.Verdict(&mine, start).Crashes, 1)
	// An account's harmless requests do not displace its own request that is at fault either.
	is.Equal(table.Verdict(&deadly, start).Crashes, 2)
	for i := range 9 {
		for j := range 1000 {
			other := newRequest(fmt.Sprint("c", i), j)
			crashedAt(table, &other, "run", start)
		}
	}
	is.True(table.Size() <= 8192)
	is.Equal(table.Verdict(&mine, start).Crashes, 1)
}

// VMs that merge each other's snapshots in any order, late or twice, reach the same state.
func TestSnapshotsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*quarantine.Table{quarantine.NewTable(), quarantine.NewTable(), quarantine.NewTable()}
		r := newRequest("a", 1)
		now := start
		var snapshots []quarantine.Snapshot
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, 2).Draw(t, "vm")]
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				crashedAt(table, &r, fmt.Sprint("run", rapid.IntRange(0, 5).Draw(t, "run")), now)
			case 1:
				table.RecordSuccess(&r)
			case 2:
				snapshots = append(snapshots, table.Top(10, now)...)
			}
			if len(snapshots) > 0 && rapid.Bool().Draw(t, "hears") {
				table.Merge(snapshots[rapid.IntRange(0, len(snapshots)-1).Draw(t, "word"):][:1], now)
			}
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(from.Top(10, now), now)
				}
			}
		}
		first := tables[0].Verdict(&r, now)
		for _, table := range tables[1:] {
			if v := table.Verdict(&r, now); v.Crashes != first.Crashes || !v.Until.Equal(first.Until) {
				t.Fatalf("%+v and %+v", first, v)
			}
		}
	})
}

// An empty table gives its verdict without hashing the request.
func BenchmarkVerdictOfEmptyTable(b *testing.B) {
	table := quarantine.NewTable()
	r := newRequest("a", 1)
	r.Body = make([]byte, 40<<10)
	for b.Loop() {
		table.Verdict(&r, start)
	}
}

// A table with entries of other requests hashes the request without the content of its body.
func BenchmarkVerdictWithOtherEntries(b *testing.B) {
	table := quarantine.NewTable()
	for i := range 1000 {
		other := newRequest("b", i)
		crashedAt(table, &other, "run", start)
	}
	r := newRequest("a", 1)
	r.Body = make([]byte, 40<<10)
	for b.Loop() {
		table.Verdict(&r, start)
	}
}
