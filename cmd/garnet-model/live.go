package main

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/live"
	"garnethoist.org/garnethoist/internal/model"
)

// playLive plays a day in real time and prints how its requests ended. Settings and logs of the VMs
// go to the directory of the reports.
func playLive(o options, site *model.Site, d *model.Day) error {
	r, err := live.Run(context.Background(), live.Config{Site: site, Day: d, Seed: o.Seed,
		Busy: o.Busy, Bin: o.Live, Dir: o.Out})
	if err != nil {
		return errors.Wrap(err, "play in real time")
	}
	return r.Write(os.Stdout)
}
