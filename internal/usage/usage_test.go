package usage

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/duty"
	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// length is the length of a window.
const length = 5 * time.Second

// vm is the counter of a VM, which replies to questions unless it is unreachable.
type vm struct {
	*Counter
	unreachable bool
}

// group is a fake Group of all VMs but the reporter's own. It passes replies to deliver.
type group struct {
	vms     map[string]*vm
	deliver func(vm string, a Reply)
}

// AskUsage implements Group.
func (g *group) AskUsage(name string, q Question) {
	if v := g.vms[name]; !v.unreachable {
		g.deliver(name, v.Reply(q))
	}
}

// Others implements Group.
func (g *group) Others() []string {
	var names []string
	for name := range g.vms {
		names = append(names, name)
	}
	return names
}

// Candidate implements Group.
func (g *group) Candidate() bool { return true }

// fakePlatform records the reports, and the windows that were reported twice with different
// counts.
type fakePlatform struct {
	reports     map[Window]map[string]int
	conflicting []Window
	// err is returned by ReportUsage, which records no report while err is set.
	err error
	// loseResponses makes ReportUsage record reports and still return err.
	loseResponses bool
}

// ReportUsage implements Platform.
func (p *fakePlatform) ReportUsage(_ context.Context, _ duty.Call, w Window, counts map[string]int) error {
	if p.err != nil && !p.loseResponses {
		return p.err
	}
	if known, ok := p.reports[w]; ok && !maps.Equal(known, counts) {
		p.conflicting = append(p.conflicting, w)
	}
	p.reports[w] = maps.Clone(counts)
	return p.err
}

// holder is a fake Holder that holds the duty while fence is not 0.
type holder struct{ fence uint64 }

// Held implements Holder.
func (h *holder) Held() (duty.Tenure, bool) {
	return duty.Tenure{Tenure: lease.Tenure{Fence: h.fence}, Condition: store.Cond{Key: "fence"}}, h.fence != 0
}

// Call implements Holder.
func (h *holder) Call(t duty.Tenure) duty.Call { return duty.Call{Holder: "vm", Fence: t.Fence} }

// faultyTable is a store whose writes fail while unavailable is set, and take effect but return
// ErrUnknown while loseResponses is set.
type faultyTable struct {
	store.Table
	loseResponses bool
	unavailable   bool
}

// Commit implements store.Table.
func (f *faultyTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if f.unavailable {
		return 0, store.ErrUnavailable
	}
	v, err := f.Table.Commit(ctx, txn)
	if err == nil && f.loseResponses {
		return 0, store.ErrUnknown
	}
	return v, err
}

// fixture is a store, a platform and a group of two VMs that reply to questions.
type fixture struct {
	t        *testing.T
	time     *clock.Simulated
	group    *group
	platform *fakePlatform
	memory   *store.Memory
	table    *faultyTable
}

// newFixture returns a fixture with simulated time.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	m := store.NewMemory()
	s := &fixture{
		t: t, time: clock.Simulate(), group: &group{vms: make(map[string]*vm)},
		platform: &fakePlatform{reports: make(map[Window]map[string]int)}, memory: m, table: &faultyTable{Table: m},
	}
	t.Cleanup(s.time.Restore)
	for _, name := range []string{"vm-1", "vm-2"} {
		s.group.vms[name] = &vm{Counter: NewCounter(length, 1)}
	}
	return s
}

// newReporter returns the reporter of a third VM, and a fake holder with the given fencing number
// that decides whether this VM holds the duty.
func (s *fixture) newReporter(fence uint64) (*Reporter, *holder) {
	h := &holder{fence: fence}
	r := NewReporter(Config{VM: "own", Length: length}, NewCounter(length, 1), s.table, s.platform, h, telemetry.NewLogger(&bytes.Buffer{}, "test", "own"))
	r.SetGroup(s.group)
	s.group.deliver = r.HandleReply
	return r, h
}

// run calls the reporter's step at its usual interval for a span of simulated time.
func (s *fixture) run(r *Reporter, span time.Duration) {
	s.group.deliver = r.HandleReply
	for range int(span / stepInterval) {
		s.time.Suspend(stepInterval)
		r.step(context.Background())
	}
}

// currentWindow returns the current window. It first advances the time until more than half of the
// window is left, so that the window does not end because of the real time that a test takes.
func (s *fixture) currentWindow(r *Reporter) Window {
	for {
		now := clock.Now()
		if w := WindowAt(now, length); w.End(length).Sub(now) > length/2 {
			return w
		}
		s.run(r, stepInterval)
	}
}

// sum returns the runs of an account over all reported windows.
func (s *fixture) sum(account string) int {
	n := 0
	for _, counts := range s.platform.reports {
		n += counts[account]
	}
	return n
}

// Two windows after the last run, each account's runs at all VMs have been reported, and those of
// anonymous requests have not.
func TestWindowsAreReportedInTime(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r, _ := s.newReporter(1)
	for i := range 60 {
		s.group.vms["vm-1"].Ran("a", clock.Now())
		s.group.vms["vm-2"].Ran("b", clock.Now())
		r.Ran("a", clock.Now())
		s.run(r, stepInterval)
		if i%2 == 0 {
			r.Ran("", clock.Now()) // an anonymous request
		}
	}
	s.run(r, 2*length)
	is.Equal(s.sum("a"), 120)
	is.Equal(s.sum("b"), 60)
	is.Equal(s.sum(""), 0)
	is.Equal(len(s.platform.conflicting), 0)
}

// When a VM is killed, only its counts since the last round are lost. The next process on the VM
// starts from zero, and its counts are added to those of the killed one.
func TestCountsOfAKilledProcessAreKept(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r, _ := s.newReporter(1)
	for range 10 {
		s.group.vms["vm-1"].Ran("a", clock.Now())
	}
	s.run(r, queryInterval)
	s.group.vms["vm-1"] = &vm{Counter: NewCounter(length, 2)}
	s.group.vms["vm-1"].Ran("a", clock.Now())
	s.run(r, 3*length)
	is.Equal(s.sum("a"), 11)
}

// The reporter waits for a VM that does not reply, but no longer than missingVMTimeout.
func TestUnreachableVMsAreWaitedFor(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r, _ := s.newReporter(1)
	s.run(r, time.Second)
	first := s.group.vms["vm-1"]
	w := s.currentWindow(r)
	first.Ran("a", clock.Now())
	first.unreachable = true
	s.run(r, w.End(length).Sub(clock.Now())+2*time.Second)
	is.True(s.platform.reports[w] == nil)
	first.unreachable = false
	s.run(r, time.Second)
	is.Equal(s.platform.reports[w], map[string]int{"a": 1})
	first.unreachable = true
	next := w + 1
	s.run(r, next.End(length).Sub(clock.Now())+missingVMTimeout+time.Second)
	is.True(s.platform.reports[next] != nil)
}

// A holder that takes over after a window was finalized sends the stored sums, even if it knows
// other counts by then, and whatever the outcome of the previous holder's calls was.
func TestSuccessorSendsFinalizedSums(t *testing.T) {
	for name, err := range map[string]error{"not sent": duty.ErrBusy, "response lost": duty.ErrUnknown} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			r, h := s.newReporter(1)
			s.run(r, time.Second)
			w := s.currentWindow(r)
			s.group.vms["vm-1"].Ran("a", clock.Now())
			s.platform.err, s.platform.loseResponses = err, err == duty.ErrUnknown
			s.run(r, w.End(length).Sub(clock.Now())+2*time.Second)
			h.fence = 0
			s.platform.err = nil
			s.group.vms["vm-1"].Ran("a", w.End(length).Add(-time.Second)) // counted late
			next, _ := s.newReporter(2)
			s.run(next, 3*length)
			is.Equal(s.platform.reports[w], map[string]int{"a": 1})
			is.Equal(len(s.platform.conflicting), 0)
		})
	}
}

// A write whose response was lost has taken effect: the reporter reads the stored report back and
// does not finalize the window a second time.
func TestUnknownWritesAreReadBack(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r, _ := s.newReporter(1)
	s.run(r, time.Second)
	w := s.currentWindow(r)
	s.group.vms["vm-1"].Ran("a", clock.Now())
	s.table.loseResponses = true
	s.run(r, w.End(length).Sub(clock.Now())+2*time.Second)
	s.group.vms["vm-1"].Ran("a", w.End(length).Add(-time.Second))
	s.table.loseResponses = false
	s.run(r, length)
	is.Equal(s.platform.reports[w], map[string]int{"a": 1})
	is.Equal(len(s.platform.conflicting), 0)
}

// A write that is executed seconds late must not bring back the report of a window that was finalized with
// other counts and sent since: the next holder would send the window once more.
func TestLateLedgerWriteReportsASentWindowAgain(t *testing.T) {
	is := is.New(t)
	s := newFixture(t)
	r, h := s.newReporter(1)
	s.run(r, time.Second)
	w := s.currentWindow(r)
	s.group.vms["vm-1"].Ran("a", clock.Now())
	s.run(r, w.End(length).Add(countGrace).Sub(clock.Now()))
	s.memory.SetFault(store.FaultLateWrites)
	s.run(r, time.Second)
	s.memory.SetFault(store.FaultNone)
	s.group.vms["vm-1"].Ran("a", w.End(length).Add(-time.Second)) // counted late
	s.run(r, 2*length)
	is.True(len(s.platform.reports) > 1) // w and the window after it
	s.memory.RunLate()
	h.fence = 0
	next, _ := s.newReporter(2)
	s.run(next, 2*length)
	is.Equal(s.platform.conflicting, nil)
}

// After an outage of the store or of the platform, the missed windows are reported in order.
func TestMissedWindowsAreReportedAfterAnOutage(t *testing.T) {
	for name, out := range map[string]func(s *fixture, on bool){
		"store": func(s *fixture, on bool) { s.table.unavailable = on },
		"calls": func(s *fixture, on bool) { s.platform.err = map[bool]error{true: duty.ErrBusy}[on] },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture(t)
			r, _ := s.newReporter(1)
			s.run(r, time.Second)
			out(s, true)
			w := s.currentWindow(r)
			for range 4 {
				s.group.vms["vm-1"].Ran("a", clock.Now())
				s.run(r, length)
			}
			is.Equal(len(s.platform.reports[w]), 0)
			out(s, false)
			s.run(r, length)
			for i := range Window(3) {
				is.Equal(s.platform.reports[w+i], map[string]int{"a": 1})
			}
		})
	}
}

// Counts must be kept for a length of time, not for a number of windows. An outage of half a minute
// left nine windows of one second unreported when as few short windows were kept as long ones.
func TestRetentionDoesNotDependOnWindowLength(t *testing.T) {
	for _, length := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		is := is.New(t)
		c := NewCounter(length, 1)
		now := time.UnixMilli(1e12)
		c.Ran("a", now)
		c.Ran("a", now.Add(retention))
		is.Equal(len(c.Reply(Question{}).Counts), 2)
		c.Ran("a", now.Add(retention+2*length))
		is.Equal(len(c.Reply(Question{}).Counts), 2) // the first window has been dropped
	}
}

// A report with many accounts takes several replies of a VM and several rows in the store.
func TestManyAccounts(t *testing.T) {
	is := is.New(t)
	const accounts = 16000
	s := newFixture(t)
	r, _ := s.newReporter(1)
	s.run(r, time.Second)
	w := s.currentWindow(r)
	at := clock.Now()
	for i := range accounts {
		s.group.vms["vm-1"].Ran(fmt.Sprintf("account-%06d", i), at)
	}
	s.run(r, 40*time.Second)
	is.Equal(len(s.platform.reports[w]), accounts)
	l, err := readLedger(context.Background(), store.NewJournal(s.table, KeyPrefix, sentKey), store.Cond{Key: "fence"}, noteNothing)
	is.NoErr(err)
	is.True(l.lastSent >= w)
}

// Replies that arrive twice, late, out of order or not at all never make a sum wrong, except that
// counts are missing until a later reply brings them.
func TestRepliesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, tally := NewCounter(length, 1), NewTally()
		now := time.UnixMilli(0)
		var replies []Reply
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "runs") {
				c.Ran("a", now)
			}
			replies = append(replies, c.Reply(tally.NextQuestion("vm", tally.BeginRound(now))))
			if i := rapid.IntRange(-1, len(replies)-1).Draw(t, "answer"); i >= 0 {
				tally.Merge("vm", replies[i])
			}
		}
		tally.Merge("vm", c.Reply(tally.NextQuestion("vm", tally.BeginRound(now))))
		if want, got := c.counts[countKey{0, "a"}], tally.Sums(0)["a"]; want != nil && got != want.runs {
			t.Fatalf("counted %d runs, tally has %d", want.runs, got)
		}
	})
}

// noteNothing ignores malformed rows.
func noteNothing(string, uint64, error) {}

// Guards against usage that is never reported as one row of its journal cannot be read. The rows of the other windows
// are read, and those of the malformed one are removed with the next report.
func TestMalformedWindowHidesNoOther(t *testing.T) {
	is := is.New(t)
	table := store.NewMemory()
	for key, value := range map[string]string{
		rowKey(7, 0): `{"a":5}`, rowKey(8, 0): strings.Repeat("[", 20000), rowKey(9, 0): `{"a":1e99}`, windowsPrefix + "x": "\xff", rowKey(10, 0): `{"b":2}`,
	} {
		_, err := table.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
		is.NoErr(err)
	}
	var bad []string
	l, err := readLedger(context.Background(), store.NewJournal(table, KeyPrefix, sentKey), store.Cond{Key: "fence"},
		func(key string, version uint64, cause error) {
			is.True(version > 0 && cause != nil)
			bad = append(bad, key)
		})
	is.NoErr(err)
	is.Equal([]Window{l.unsent[0].window, l.unsent[1].window}, []Window{7, 10})
	is.Equal(len(bad), 3)
	is.Equal(l.stale, []string{rowKey(8, 0), rowKey(9, 0)})
}

// readLedger must read any store content or fail with an error, without a panic.
func FuzzReadLedger(f *testing.F) {
	f.Add("usage/w/00000000000000000007/000", []byte(`{"a":5}`))
	f.Add("usage/sent", []byte(`{"window":9223372036854775807}`))
	f.Add("usage/w/x", []byte("\xff"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := store.NewMemory()
		if _, err := table.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}}); err != nil {
			return
		}
		l, err := readLedger(context.Background(), store.NewJournal(table, KeyPrefix, sentKey), store.Cond{Key: "fence"}, noteNothing)
		if err != nil {
			return
		}
		for _, r := range l.unsent {
			if r.rows == 0 {
				t.Errorf("unsent report has no rows: %+v", r)
			}
		}
	})
}
