package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/live"
	"garnethoist.org/garnethoist/internal/model"
)

// playLive plays a day in real time and prints how its requests ended. Settings and logs of the VMs
// go to the directory of the reports.
func playLive(o options, site *model.Site, d *model.Day) error {
	cfg := live.Config{Site: site, Day: d, Seed: o.Seed, Busy: o.Busy, Bin: o.Live, Dir: o.Out}
	if o.Faults > 0 {
		cfg.Faults = append(live.DayFaults(site, d), live.DealFaults(o.Faults, time.Duration(d.LengthS*float64(time.Second)))...)
	}
	for _, f := range cfg.Faults {
		fmt.Printf("fault=%s at_s=%.1f for_s=%.1f count=%d\n", f.Kind, f.At.Seconds(), f.Duration.Seconds(), f.Count)
	}
	r, err := live.Run(context.Background(), cfg)
	if err != nil {
		return errors.Wrap(err, "play in real time")
	}
	if err := write(filepath.Join(o.Out, "requests.tsv"), r.WriteRequests); err != nil {
		return err
	}
	return r.Write(os.Stdout)
}
