package soak_test

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/proc/proctest"
	"garnethoist.org/garnethoist/internal/soak"
)

// binDir holds the program that is soaked.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(proctest.Main("garnethoist.org/garnethoist/cmd/garnet-node", func(dir string) { binDir = dir }, m.Run))
}

// The seeds that are soaked by every run of the tests: first one for CI, then
// each that ever failed, with its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, ""},
	{206, "SIGHUP ended a process that had just been started"},
	{105, "requests that waited for a hung target were cut when a stopping VM's grace ended"},
}

func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ports := proc.NewPorts()
	for _, s := range seeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			run(t, soak.Config{Seed: s.seed, Length: 14 * time.Second, Ports: ports})
		})
	}
}

// run soaks and fails the test for each broken promise.
func run(t *testing.T, cfg soak.Config) *soak.Report {
	t.Helper()
	is := is.New(t)
	cfg.VMs, cfg.Engines, cfg.Plains, cfg.Callers = 3, engines, 3, 8
	cfg.Bin, cfg.Dir = binDir, keptDir(t)
	r, err := soak.Run(context.Background(), cfg)
	is.NoErr(err)
	var text strings.Builder
	is.NoErr(r.Write(&text))
	t.Log(text.String())
	is.Equal(len(r.Violations), 0)
	return r
}

// keptDir returns a folder that stays where the test fails: the VMs' lines are all that
// tells the cause of a failure seen once.
func keptDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "garnet-soak-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the VMs' lines are in %s", dir)
			return
		}
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	return dir
}

// engines is the number of model engines; the targets of plain calls come after
// them.
const engines = 4

// While connections to the store and to targets fall silent, and nothing else
// happens, every idempotent call is served.
func TestSilenceCostsNoIdempotentCall(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	history := []soak.Fault{
		{Kind: soak.TargetSilence, At: 3 * time.Second, Index: engines},
		{Kind: soak.StoreSilence, At: 4 * time.Second},
		{Kind: soak.TargetSilence, At: 5 * time.Second, Index: engines + 1, Variant: 1},
		{Kind: soak.Change, At: 7100 * time.Millisecond},
		{Kind: soak.TargetSilence, At: 8 * time.Second, Index: engines + 2},
		{Kind: soak.StoreSilence, At: 9 * time.Second, Variant: 1},
		{Kind: soak.TargetSilence, At: 10 * time.Second, Index: engines, Variant: 1},
		{Kind: soak.Change, At: 12100 * time.Millisecond},
	}
	r := run(t, soak.Config{Seed: 1, Length: 15 * time.Second, Faults: history, Ports: proc.NewPorts()})
	for outcome, n := range r.Outcomes {
		if strings.HasPrefix(outcome, "safe ") && outcome != "safe 200" {
			t.Errorf("%s: %d", outcome, n)
		}
	}
}

// Targets start again under their ids in the middle of their work, and another program
// writes into their list, while VMs are stopped and killed.
func TestTargetsBornAgainAndForeignEntries(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	history := []soak.Fault{
		{Kind: soak.Foreign, At: 2 * time.Second, Index: 0},
		{Kind: soak.Reborn, At: 3 * time.Second, Index: 1},
		{Kind: soak.Reborn, At: 4 * time.Second, Index: engines},
		{Kind: soak.Kill, At: 5 * time.Second, Index: 0},
		{Kind: soak.Reborn, At: 5500 * time.Millisecond, Index: 2},
		{Kind: soak.Foreign, At: 6 * time.Second, Index: engines + 1},
		{Kind: soak.Reborn, At: 6500 * time.Millisecond, Index: 2},
		{Kind: soak.Stop, At: 7 * time.Second, Index: 1},
		{Kind: soak.Reborn, At: 7500 * time.Millisecond, Index: 0},
	}
	run(t, soak.Config{Seed: 1, Length: 13 * time.Second, Faults: history, Ports: proc.NewPorts()})
}

func TestPlanFollowsItsSeed(t *testing.T) {
	is := is.New(t)
	is.True(reflect.DeepEqual(soak.Plan(7, time.Minute), soak.Plan(7, time.Minute)))
	is.True(!reflect.DeepEqual(soak.Plan(7, time.Minute), soak.Plan(8, time.Minute)))
	dealt := make(map[soak.Kind]bool)
	for _, f := range soak.Plan(1, 10*time.Minute) {
		dealt[f.Kind] = true
	}
	is.Equal(len(dealt), 15) // every kind comes but for rolls
	is.Equal(rolls(soak.Plan(1, time.Minute)), 0)
	is.Equal(rolls(soak.Plan(4, time.Minute)), 2)
}

func rolls(plan []soak.Fault) (n int) {
	for _, f := range plan {
		if f.Kind == soak.Roll {
			n++
		}
	}
	return n
}

func TestReport(t *testing.T) {
	is := is.New(t)
	r := soak.Report{
		Seed: 3, Length: 10 * time.Second, Faults: []soak.Fault{{Kind: soak.Kill, At: 2 * time.Second, For: time.Second}},
		Outcomes: map[string]int{"safe 200": 5}, Checks: map[soak.Promise]int{soak.Once: 4},
		Violations: []soak.Violation{{At: 3 * time.Second, Promise: soak.Once, What: "q1 runs twice"}},
	}
	var text, svg strings.Builder
	is.NoErr(r.Write(&text))
	for _, want := range []string{"seed 3", "vm_kill=1", "safe/200=5", "at_most_once=4", "broken at_most_once at 3s: q1 runs twice"} {
		is.True(strings.Contains(text.String(), want))
	}
	is.NoErr(r.WriteTimeline(&svg))
	is.True(strings.Contains(svg.String(), "vm_kill at 2s for 1s"))
}

// Requests that end each target that runs them are sent again and again, while VMs are killed,
// stopped and paused, links to the store fail and the store itself is away.
func TestDeadlyRequestsAreContained(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	history := []soak.Fault{
		{Kind: soak.Deadly, At: 2 * time.Second, For: 14 * time.Second},
		{Kind: soak.Deadly, At: 4 * time.Second, For: 12 * time.Second, Variant: 1},
		{Kind: soak.Pause, At: 4500 * time.Millisecond, For: 2 * time.Second, Index: 2},
		{Kind: soak.StoreFault, At: 5 * time.Second, For: 3 * time.Second},
		{Kind: soak.Kill, At: 5500 * time.Millisecond, Index: 0},
		{Kind: soak.Deadly, At: 6 * time.Second, For: 10 * time.Second, Variant: 2},
		{Kind: soak.Stop, At: 8 * time.Second, Index: 1},
		{Kind: soak.Kill, At: 11 * time.Second, Index: 0},
		{Kind: soak.Kill, At: 11 * time.Second, Index: 1},
		{Kind: soak.Kill, At: 11 * time.Second, Index: 2},
	}
	r := run(t, soak.Config{Seed: 1, Length: 20 * time.Second, Faults: history, Ports: proc.NewPorts()})
	is := is.New(t)
	is.True(r.Checks[soak.Contained] > 0)
	refused := 0
	for outcome, n := range r.Outcomes {
		if strings.HasPrefix(outcome, "deadly ") && strings.HasSuffix(outcome, " 503") {
			refused += n
		}
	}
	is.True(refused > 0)
}

// Keys are taken away while VMs are cut off from the store, paused, killed and stopped, the
// holder of the duties among them, and while the store is silent for all, so that no VM can hear
// of it, or loses answers.
func TestRevokedKeysAndDuties(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	history := []soak.Fault{
		{Kind: soak.Revoke, At: at(2), Index: 0},
		{Kind: soak.StoreLink, At: at(2.5), For: at(6), Index: 0, Variant: 2},
		{Kind: soak.StoreLink, At: at(3), For: at(5), Index: 1, Variant: 3},
		{Kind: soak.Revoke, At: at(3.2), Index: 1},
		{Kind: soak.Revoke, At: at(3.4), Index: 1},
		{Kind: soak.Pause, At: at(4), For: at(4.5), Index: 2},
		{Kind: soak.Revoke, At: at(4.1), Index: 2},
		{Kind: soak.StoreFault, At: at(10), For: at(8), Variant: 2},
		{Kind: soak.Revoke, At: at(10.5), Index: 3},
		{Kind: soak.Kill, At: at(19), Index: 0},
		{Kind: soak.Stop, At: at(21), Index: 1},
		{Kind: soak.StoreFault, At: at(23), For: at(2), Variant: 4},
		{Kind: soak.Revoke, At: at(23.5), Index: 0},
		{Kind: soak.Kill, At: at(26), Index: 0},
		{Kind: soak.Kill, At: at(26), Index: 1},
		{Kind: soak.Kill, At: at(26), Index: 2},
	}
	r := run(t, soak.Config{Seed: 1, Length: 32 * time.Second, Faults: history, Ports: proc.NewPorts(), Accounts: true})
	is := is.New(t)
	for _, p := range []soak.Promise{soak.Secret, soak.Denied, soak.Duties} {
		is.True(r.Checks[p] > 0)
	}
}
