package live_test

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"garnethoist.org/garnethoist/internal/live"
	"garnethoist.org/garnethoist/internal/model"
	"garnethoist.org/garnethoist/internal/proc/proctest"
)

// bin is the directory of the garnet-node program built for the tests.
var bin string

// TestMain builds the garnet-node program and runs the tests.
func TestMain(m *testing.M) {
	os.Exit(proctest.Main("../../cmd/garnet-node", func(dir string) { bin = dir }, m.Run))
}

// oneDataCentre returns an example site and one of its days. The site has only its first data
// centre, and engines at the given factor of their speed. The day has only the traffic of that data
// centre and ends after until seconds.
func oneDataCentre(t *testing.T, site, day string, speed, until float64) (*model.Site, *model.Day) {
	t.Helper()
	s, err := model.Load("../../examples/model/" + site + ".jsonc")
	if err != nil {
		t.Fatal(err)
	}
	s.Scale(speed, 1)
	s.DataCentres = s.DataCentres[:1]
	d, err := s.Day(day)
	if err != nil {
		t.Fatal(err)
	}
	d.PerS = d.PerS[:1]
	d.LimitLength(until)
	return s, d
}

// allDataCentres returns an example site and one of its days. The traffic of the day is multiplied
// by traffic, and the day ends after until seconds.
func allDataCentres(t *testing.T, site, day string, speed, traffic, until float64) (*model.Site, *model.Day) {
	t.Helper()
	s, err := model.Load("../../examples/model/" + site + ".jsonc")
	if err != nil {
		t.Fatal(err)
	}
	s.Scale(speed, traffic)
	d, err := s.Day(day)
	if err != nil {
		t.Fatal(err)
	}
	d.LimitLength(until)
	return s, d
}

// Guards against large requests being served less than half as often as their class on slow
// engines. In that fault, the longest answers ended at their callers' deadline. With real processes
// and all of a site's engines at 0.6 of their speed, 0.26 of the largest tenth were served, but 0.85
// of all. TestLargeRequestsAreServedBySlowEngines in
// package model checks the same in virtual time and explains the fault. Here processes are also
// stopped for a fraction of the time, as on busy VMs.
func TestLargeRequestsAreServedOnTheWallClock(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s, d := oneDataCentre(t, "nairobi", "scale-1", 0.6, 14)
	checkSizes(t, live.Config{Site: s, Day: d, Seed: 1, Busy: 0.2})
}

// Guards against large requests being served less than half as often as their class in an overload
// that lasts longer than callers wait, with more prompts arriving than the engines can prefill.
func TestLargePromptsAreServedInOverloadOnTheWallClock(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s, d := allDataCentres(t, "kochi", "quiet-1", 1, 2.5, 24)
	checkSizes(t, live.Config{Site: s, Day: d, Seed: 1})
}

// checkSizes plays a day and fails if the large requests of a class are served less than half as
// often as the class. It returns the report of the day.
func checkSizes(t *testing.T, cfg live.Config) *live.Report {
	t.Helper()
	cfg.Bin, cfg.Dir = bin, t.TempDir()
	r, err := live.Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	t.Log(text.String())
	for _, u := range r.Underserved() {
		t.Errorf("%s: served share of the %s by %s is %.2f, of all %.2f", u.Class, u.Band, u.Measure, u.Share, u.All)
	}
	return r
}

// Guards against the loss of the longest answers while engines crash and routes' timeouts are
// shortened: they were cut at the timeout with a few events missing, or found no seat.
func TestLongAnswersAreServedWhileEnginesCrashOnTheWallClock(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, c := range []struct {
		site, day      string
		speed, traffic float64
	}{
		{"kochi", "scale-1", 0.6, 1},
		{"nairobi", "quiet-1", 0.62, 1},
	} {
		t.Run(c.site, func(t *testing.T) {
			s, d := allDataCentres(t, c.site, c.day, c.speed, c.traffic, 24)
			faults := append(live.DayFaults(s, d), live.Fault{Kind: live.ShortTimeouts, At: time.Second, Duration: time.Minute})
			checkSizes(t, live.Config{Site: s, Day: d, Seed: 1, Faults: faults})
		})
	}
}

// Guards against large prompts being refused behind a full queue while smaller ones are sent: in an
// overload of slow engines on busy VMs, some of which crash or stop, 0.27 of the largest tenth of a class
// were served and 0.69 of the class.
func TestAllSizesAreServedInOverloadWithFaultsOnTheWallClock(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const share, minRequests = 0.8, 60
	s, d := allDataCentres(t, "ljubljana", "scale-2", 0.8, 1.6, 20)
	faults := append(live.DayFaults(s, d), live.DealFaults(5, time.Duration(d.LengthS*float64(time.Second)))...)
	r := checkSizes(t, live.Config{Site: s, Day: d, Seed: 1, Busy: 0.2, Faults: faults})
	for _, u := range r.BelowShare(share, minRequests) {
		t.Errorf("%s: served share of %s by %s is %.2f, of all %.2f", u.Class, u.Band, u.Measure, u.Share, u.All)
	}
}
