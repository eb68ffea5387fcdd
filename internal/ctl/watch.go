package ctl

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/burn"
	"garnethoist.org/garnethoist/internal/daemon"
)

// statusCommand shows VMs, targets and leases.
type statusCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	s, err := c.app.fetchStatus()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.app.stdout, 0, 0, 2, ' ', 0)
	platform := "up"
	if !s.GetPlatformUp() {
		platform = "down"
	}
	fmt.Fprintf(w, "steward %s in %s\ttable version %d\tplatform %s\tentries fed %d\n",
		s.GetVm(), s.GetDataCentre(), s.GetTableVersion(), platform, s.GetEntries())
	fmt.Fprintln(w, "\nVM\tDATA CENTRE\tSTATE\tADDRESS")
	for _, p := range s.GetPeers() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", p.GetVm(), p.GetDataCentre(), p.GetState(), p.GetAddress())
	}
	fmt.Fprintln(w, "\nTARGET\tSERVICE\tDATA CENTRE\tSTATE\tROLE\tVERSION\tRUNNING\tWAITING")
	for _, t := range s.GetTargets() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", t.GetName(), t.GetService(),
			t.GetDataCentre(), t.GetState(), t.GetRole(), t.GetVersion(), t.GetRunning(), t.GetWaiting())
	}
	fmt.Fprintln(w, "\nLEASE\tHOLDER\tFENCE")
	for _, l := range s.GetLeases() {
		fmt.Fprintf(w, "%s\t%s\t%d\n", l.GetService(), l.GetHolder(), l.GetFence())
	}
	return errors.Wrap(w.Flush(), "write status")
}

// fetchStatus fetches the status from the steward in the options.
func (a *app) fetchStatus() (*api.StatusResponse, error) {
	var s *api.StatusResponse
	err := a.withSteward(a.opts.Steward, func(ctx context.Context, c api.StewardClient) error {
		var err error
		s, err = c.Status(ctx, &api.StatusRequest{})
		return errors.Wrap(err, "status")
	})
	return s, err
}

// forEachSteward calls f in parallel for each steward that the one in the options knows, itself
// included. It returns the number of calls that failed.
func (a *app) forEachSteward(f func(context.Context, api.StewardClient) error) (int, error) {
	s, err := a.fetchStatus()
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	missing := 0
	for _, p := range s.GetPeers() {
		wg.Go(func() {
			if err := a.withSteward(p.GetAddress(), f); err != nil {
				mu.Lock()
				missing++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return missing, nil
}

// printUnreachable prints how many stewards the output lacks, if any.
func (a *app) printUnreachable(missing int) {
	if missing > 0 {
		fmt.Fprintf(a.stdout, "(%d stewards could not be asked)\n", missing)
	}
}

// explainCommand shows the latest decisions on a service of all stewards together.
type explainCommand struct {
	app   *app
	Limit uint32 `long:"limit" default:"20" description:"maximum number of decisions to show"`
	Args  struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var mu sync.Mutex
	var all []*api.Decision
	unknown := false
	missing, err := c.app.forEachSteward(func(ctx context.Context, s api.StewardClient) error {
		resp, err := s.Explain(ctx, &api.ExplainRequest{Service: c.Args.Service, Limit: c.Limit})
		mu.Lock()
		defer mu.Unlock()
		if status.Code(err) == codes.NotFound {
			unknown = true
			return nil
		}
		all = append(all, resp.GetDecisions()...)
		return err
	})
	if err != nil {
		return err
	}
	if unknown && len(all) == 0 {
		return &exitError{daemon.ExitUsage, errors.Errorf("there is no service called %q",
			c.Args.Service)}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetUnixMs() > all[j].GetUnixMs() })
	for _, d := range all[:min(int(c.Limit), len(all))] {
		c.printDecision(d)
	}
	c.app.printUnreachable(missing)
	return nil
}

// printDecision prints a decision with its inputs and options.
func (c *explainCommand) printDecision(d *api.Decision) {
	fmt.Fprintf(c.app.stdout, "%s %s %s: %s (%s)\n",
		time.UnixMilli(d.GetUnixMs()).UTC().Format(time.RFC3339),
		d.GetId(), d.GetWhat(), d.GetChoice(), d.GetCause())
	for _, in := range d.GetInputs() {
		fmt.Fprintf(c.app.stdout, "    %s = %s\n", in.GetName(), in.GetValue())
	}
	for _, o := range d.GetOptions() {
		fmt.Fprintf(c.app.stdout, "    option %s at price %.4g\n", o.GetName(), o.GetPrice())
	}
}

// burnCommand shows the burn rates of all services, from the counts of all stewards together.
type burnCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	var mu sync.Mutex
	sum := map[string]*api.BurnLine{}
	missing, err := c.app.forEachSteward(func(ctx context.Context, s api.StewardClient) error {
		resp, err := s.Burn(ctx, &api.BurnRequest{})
		mu.Lock()
		defer mu.Unlock()
		for _, l := range resp.GetLines() {
			addBurn(sum, l)
		}
		return err
	})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.app.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tOBJECTIVE\tWINDOW\tGOOD\tBAD\tBURN")
	services := make([]string, 0, len(sum))
	for s := range sum {
		services = append(services, s)
	}
	sort.Strings(services)
	for _, s := range services {
		l := sum[s]
		printBurn(w, l, l.GetShortS(), l.GetShortGood(), l.GetShortBad())
		printBurn(w, l, l.GetLongS(), l.GetLongGood(), l.GetLongBad())
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write burn")
	}
	c.app.printUnreachable(missing)
	return nil
}

// addBurn adds the counts of l to those of its service in sum.
func addBurn(sum map[string]*api.BurnLine, l *api.BurnLine) {
	total, ok := sum[l.GetService()]
	if !ok {
		sum[l.GetService()] = l
		return
	}
	total.ShortGood += l.GetShortGood()
	total.ShortBad += l.GetShortBad()
	total.LongGood += l.GetLongGood()
	total.LongBad += l.GetLongBad()
}

// printBurn prints the counts and the burn rate of one window of a service, which is this many
// seconds long.
func printBurn(w *tabwriter.Writer, l *api.BurnLine, seconds uint32, good, bad uint64) {
	fmt.Fprintf(w, "%s\t%g\t%s\t%d\t%d\t%.2f\n", l.GetService(), l.GetObjective(),
		time.Duration(seconds)*time.Second, good, bad, burn.Rate(good, bad, l.GetObjective()))
}
