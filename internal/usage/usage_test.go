package usage

import (
	"bytes"
	"context"
	"fmt"
	"maps"
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

const length = 5 * time.Second

// vm is a VM's counts, which answers unless it is silent.
type vm struct {
	*Counter
	silent bool
}

// group is the VMs that are asked.
type group struct {
	vms  map[string]*vm
	hear func(vm string, a Answer)
}

func (g *group) AskUsage(name string, q Question) {
	if v := g.vms[name]; !v.silent {
		g.hear(name, v.Answer(q))
	}
}

func (g *group) Others() []string {
	var names []string
	for name := range g.vms {
		names = append(names, name)
	}
	return names
}

func (g *group) Candidate() bool { return true }

// platform keeps what was reported and notes a window with two reports.
type platform struct {
	reports map[Window]map[string]int
	twice   []Window
	err     error
	// lost says that reports are taken and the call fails all the same.
	lost bool
}

func (p *platform) ReportUsage(_ context.Context, _ duty.Call, w Window, counts map[string]int) error {
	if p.err != nil && !p.lost {
		return p.err
	}
	if known, ok := p.reports[w]; ok && !maps.Equal(known, counts) {
		p.twice = append(p.twice, w)
	}
	p.reports[w] = maps.Clone(counts)
	return p.err
}

// holder holds the duty while fence is not 0.
type holder struct{ fence uint64 }

func (h *holder) Held() (duty.Tenure, bool) {
	return duty.Tenure{Tenure: lease.Tenure{Fence: h.fence}, Condition: store.Cond{Key: "fence"}}, h.fence != 0
}

func (h *holder) Call(t duty.Tenure) duty.Call { return duty.Call{Holder: "vm", Fence: t.Fence} }

// flaky is a store whose writes may be done and not answered, or not done.
type flaky struct {
	store.Table
	lost bool
	away bool
}

func (f *flaky) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if f.away {
		return 0, store.ErrUnavailable
	}
	v, err := f.Table.Commit(ctx, txn)
	if err == nil && f.lost {
		return 0, store.ErrUnknown
	}
	return v, err
}

type scene struct {
	t        *testing.T
	time     *clock.Simulated
	group    *group
	platform *platform
	table    *flaky
}

func newScene(t *testing.T) *scene {
	t.Helper()
	s := &scene{
		t: t, time: clock.Simulate(), group: &group{vms: make(map[string]*vm)},
		platform: &platform{reports: make(map[Window]map[string]int)}, table: &flaky{Table: store.NewMemory()},
	}
	t.Cleanup(s.time.Restore)
	for _, name := range []string{"vm-1", "vm-2"} {
		s.group.vms[name] = &vm{Counter: NewCounter(length, 1)}
	}
	return s
}

// reporter returns the reporter of one more VM, and its hold on the duty.
func (s *scene) reporter(fence uint64) (*Reporter, *holder) {
	h := &holder{fence: fence}
	r := NewReporter(Config{VM: "own", Length: length}, NewCounter(length, 1), s.table, s.platform, h, telemetry.NewLogger(&bytes.Buffer{}, "test", "own"))
	r.SetGroup(s.group)
	s.group.hear = r.Hear
	return r, h
}

// run lets a reporter look at its duty for a span.
func (s *scene) run(r *Reporter, span time.Duration) {
	s.group.hear = r.Hear
	for range int(span / tick) {
		s.time.Suspend(tick)
		r.step(context.Background())
	}
}

// window is the present window, of which a good part is left for a test that takes real time.
func (s *scene) window(r *Reporter) Window {
	for {
		now := clock.Now()
		if w := WindowAt(now, length); w.End(length).Sub(now) > length/2 {
			return w
		}
		s.run(r, tick)
	}
}

func (s *scene) sum(account string) int {
	n := 0
	for _, counts := range s.platform.reports {
		n += counts[account]
	}
	return n
}

func TestWindowsAreReportedInTime(t *testing.T) {
	is := is.New(t)
	s := newScene(t)
	r, _ := s.reporter(1)
	for i := range 60 {
		s.group.vms["vm-1"].Ran("a", clock.Now())
		s.group.vms["vm-2"].Ran("b", clock.Now())
		r.Ran("a", clock.Now())
		s.run(r, tick)
		if i%2 == 0 {
			r.Ran("", clock.Now()) // an anonymous request
		}
	}
	s.run(r, 2*length)
	is.Equal(s.sum("a"), 120)
	is.Equal(s.sum("b"), 60)
	is.Equal(s.sum(""), 0)
	is.Equal(len(s.platform.twice), 0)
}

// A VM that is killed takes what it counted since it was asked with it, and no more: the
// process that follows counts anew.
func TestCountsOfAKilledProcessStay(t *testing.T) {
	is := is.New(t)
	s := newScene(t)
	r, _ := s.reporter(1)
	for range 10 {
		s.group.vms["vm-1"].Ran("a", clock.Now())
	}
	s.run(r, askEvery)
	s.group.vms["vm-1"] = &vm{Counter: NewCounter(length, 2)}
	s.group.vms["vm-1"].Ran("a", clock.Now())
	s.run(r, 3*length)
	is.Equal(s.sum("a"), 11)
}

// A VM that is cut off is waited for, and does not keep the window back for good.
func TestSilentVMsAreWaitedFor(t *testing.T) {
	is := is.New(t)
	s := newScene(t)
	r, _ := s.reporter(1)
	s.run(r, time.Second)
	first := s.group.vms["vm-1"]
	w := s.window(r)
	first.Ran("a", clock.Now())
	first.silent = true
	s.run(r, w.End(length).Sub(clock.Now())+2*time.Second)
	is.True(s.platform.reports[w] == nil)
	first.silent = false
	s.run(r, time.Second)
	is.Equal(s.platform.reports[w], map[string]int{"a": 1})
	first.silent = true
	next := w + 1
	s.run(r, next.End(length).Sub(clock.Now())+waitFor+time.Second)
	is.True(s.platform.reports[next] != nil)
}

// Whoever becomes holder after a window was fixed sends what was fixed, though it knows other
// counts, and whatever became of the calls before.
func TestSuccessorRepeatsWhatWasFixed(t *testing.T) {
	for name, err := range map[string]error{"not sent": duty.ErrBusy, "answer lost": duty.ErrUnknown} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScene(t)
			r, h := s.reporter(1)
			s.run(r, time.Second)
			w := s.window(r)
			s.group.vms["vm-1"].Ran("a", clock.Now())
			s.platform.err, s.platform.lost = err, err == duty.ErrUnknown
			s.run(r, w.End(length).Sub(clock.Now())+2*time.Second)
			h.fence = 0
			s.platform.err = nil
			s.group.vms["vm-1"].Ran("a", w.End(length).Add(-time.Second)) // told late
			next, _ := s.reporter(2)
			s.run(next, 3*length)
			is.Equal(s.platform.reports[w], map[string]int{"a": 1})
			is.Equal(len(s.platform.twice), 0)
		})
	}
}

// Writes whose answers are lost were done: the window is fixed once.
func TestUnknownWritesAreReadBack(t *testing.T) {
	is := is.New(t)
	s := newScene(t)
	r, _ := s.reporter(1)
	s.run(r, time.Second)
	w := s.window(r)
	s.group.vms["vm-1"].Ran("a", clock.Now())
	s.table.lost = true
	s.run(r, w.End(length).Sub(clock.Now())+2*time.Second)
	s.group.vms["vm-1"].Ran("a", w.End(length).Add(-time.Second))
	s.table.lost = false
	s.run(r, length)
	is.Equal(s.platform.reports[w], map[string]int{"a": 1})
	is.Equal(len(s.platform.twice), 0)
}

// After an outage of the store, or of the platform's calls, the windows follow in order.
func TestWindowsFollowAfterAnOutage(t *testing.T) {
	for name, out := range map[string]func(s *scene, on bool){
		"store": func(s *scene, on bool) { s.table.away = on },
		"calls": func(s *scene, on bool) { s.platform.err = map[bool]error{true: duty.ErrBusy}[on] },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScene(t)
			r, _ := s.reporter(1)
			s.run(r, time.Second)
			out(s, true)
			w := s.window(r)
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

// Short windows were kept for as many of them as long ones, so that an outage of half a minute left
// nine windows of a second without any report.
func TestShortWindowsAreKeptAsLong(t *testing.T) {
	for _, length := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		is := is.New(t)
		c := NewCounter(length, 1)
		now := time.UnixMilli(1e12)
		c.Ran("a", now)
		c.Ran("a", now.Add(keptFor))
		is.Equal(len(c.Answer(Question{}).Counts), 2)
		c.Ran("a", now.Add(keptFor+2*length))
		is.Equal(len(c.Answer(Question{}).Counts), 2) // the first one is forgotten
	}
}

// A report of many accounts takes several rows of the store, and several answers of a VM.
func TestManyAccounts(t *testing.T) {
	is := is.New(t)
	const accounts = 16000
	s := newScene(t)
	r, _ := s.reporter(1)
	s.run(r, time.Second)
	w := s.window(r)
	at := clock.Now()
	for i := range accounts {
		s.group.vms["vm-1"].Ran(fmt.Sprintf("account-%06d", i), at)
	}
	s.run(r, 40*time.Second)
	is.Equal(len(s.platform.reports[w]), accounts)
	fixed, err := readLedger(context.Background(), s.table)
	is.NoErr(err)
	is.True(fixed.sent >= w)
}

// Answers that come twice, late, in any order, or not at all change no sum but by what is
// missing.
func TestAnswersInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, tally := NewCounter(length, 1), NewTally()
		now := time.UnixMilli(0)
		var answers []Answer
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "runs") {
				c.Ran("a", now)
			}
			answers = append(answers, c.Answer(tally.Again("vm", tally.Ask(now))))
			if i := rapid.IntRange(-1, len(answers)-1).Draw(t, "heard"); i >= 0 {
				tally.Hear("vm", answers[i])
			}
		}
		tally.Hear("vm", c.Answer(tally.Again("vm", tally.Ask(now))))
		if want, got := c.counts[countKey{0, "a"}], tally.Sums(0)["a"]; want != nil && got != want.runs {
			t.Fatalf("%d runs, told %d", want.runs, got)
		}
	})
}

// Whatever stands in the store, it is read or named as unreadable.
func FuzzReadLedger(f *testing.F) {
	f.Add("usage/w/00000000000000000007/000", []byte(`{"a":5}`))
	f.Add("usage/sent", []byte(`{"window":9223372036854775807}`))
	f.Add("usage/w/x", []byte("\xff"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := store.NewMemory()
		if _, err := table.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}}); err != nil {
			return
		}
		l, err := readLedger(context.Background(), table)
		if err != nil {
			return
		}
		for _, r := range l.open {
			if r.rows == 0 {
				t.Errorf("a report without rows: %+v", r)
			}
		}
	})
}
