// Command garnet-model simulates days of a fleet of model engines under several policies, in
// virtual time, and writes a report and a plot for each day. With --live it plays the days in real
// time with garnet-node processes, and prints the results by size of request.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/model"
)

// options is the command line.
type options struct {
	Day     string   `long:"day" required:"true" description:"file that describes an installation and its days"`
	Name    string   `long:"name" description:"name of one day; default all days of the file"`
	Policy  []string `long:"policy" description:"policy to simulate; may be given several times; default all"`
	Seed    uint64   `long:"seed" default:"1" description:"seed of the requests and of random choices"`
	Speed   float64  `long:"speed" default:"1" description:"factor for the speed of the engines in the file"`
	Traffic float64  `long:"traffic" default:"1" description:"factor for the traffic in the file"`
	Until   float64  `long:"until" description:"end each day after this many seconds"`
	Live    string   `long:"live" description:"directory of the programs: play the days in real time with garnet-node processes"`
	Busy    float64  `long:"busy" description:"with --live, share of the time for which the processes are stopped"`
	Faults  uint64   `long:"faults" description:"with --live, seed of faults that are injected in addition to the day's own; 0 injects none"`
	Out     string   `long:"out" default:"model" description:"directory for reports and plots"`
}

// exitError is the exit code if the days could not be played.
const exitError = 2

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitError)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "garnet-model:", err)
		os.Exit(exitError)
	}
}

// run plays the days that the options name, or all days of the file.
func run(o options) error {
	site, err := model.Load(o.Day)
	if err != nil {
		return err
	}
	site.Scale(o.Speed, o.Traffic)
	if len(o.Policy) == 0 {
		o.Policy = model.PolicyNames()
	}
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return errors.Wrap(err, "create directory")
	}
	for i := range site.Days {
		d := &site.Days[i]
		if o.Name != "" && d.Name != o.Name {
			continue
		}
		d.LimitLength(o.Until)
		if err := o.play(site, d); err != nil {
			return errors.Wrap(err, d.Name)
		}
	}
	if o.Name != "" {
		_, err = site.Day(o.Name)
	}
	return err
}

// play plays one day, in real time or in virtual time.
func (o options) play(site *model.Site, d *model.Day) error {
	if o.Live != "" {
		return playLive(o, site, d)
	}
	return play(o, site, d)
}

// play simulates one day in virtual time, writes its report and plot, and prints a summary.
func play(o options, site *model.Site, d *model.Day) error {
	r, err := model.NewReport(site, d, o.Seed, o.Policy)
	if err != nil {
		return err
	}
	base := filepath.Join(o.Out, site.Name+"-"+d.Name)
	if err := write(base+".md", r.Write); err != nil {
		return err
	}
	if err := write(base+".svg", r.Plot); err != nil {
		return err
	}
	fmt.Printf("%s %s: bound %.3f, with fixed stages %.3f, with %.3f held %.3f", site.Name, d.Name,
		r.Bound.Share(), r.FixedStagesBound.Share(), r.BestHitRate, r.HitRateBound.Share())
	for _, run := range r.Runs {
		t := run.Result.Total()
		fmt.Printf(", %s %.3f (own bound %.3f)", run.Policy, t.Worth/t.OfferedWorth, run.Bound.Share())
	}
	fmt.Println()
	return nil
}
