// Command garnet-soak runs garnet-node processes on loopback against stand-ins, injects faults that
// are derived from seeds, and checks the invariants that callers and targets rely on.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/soak"
)

// options is the command line.
type options struct {
	Seed    uint64        `long:"seed" description:"first seed; 0 chooses one at random"`
	Seeds   int           `long:"seeds" default:"1" description:"number of seeds to run, one after the other"`
	Length  time.Duration `long:"length" default:"30s" description:"length of the run of each seed"`
	VMs     int           `long:"vms" default:"4" description:"number of garnet-node processes"`
	Engines int           `long:"engines" default:"6" description:"number of model engines"`
	Plains  int           `long:"plains" default:"3" description:"number of targets of the plain service"`
	Callers int           `long:"callers" default:"16" description:"number of concurrent callers"`
	Bin     string        `long:"bin" default:"bin" description:"directory of the programs"`
	Out     string        `long:"out" default:"soak" description:"directory for logs and reports, with a subdirectory for each seed"`
}

// The exit codes: an invariant was violated, or the run failed.
const (
	exitViolated = 1
	exitError    = 2
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitError)
	}
	if o.Seed == 0 {
		o.Seed = uint64(rand.Uint32())
	}
	// exec looks up a relative path without a slash in PATH, so the path is made absolute.
	bin, err := filepath.Abs(o.Bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "garnet-soak:", err)
		os.Exit(exitError)
	}
	o.Bin = bin
	ports := proc.NewPorts()
	violations := 0
	for i := range o.Seeds {
		n, err := run(o, o.Seed+uint64(i), ports)
		if err != nil {
			fmt.Fprintln(os.Stderr, "garnet-soak:", err)
			os.Exit(exitError)
		}
		violations += n
	}
	if violations > 0 {
		os.Exit(exitViolated)
	}
}

// run performs the run of one seed and returns the number of violations.
func run(o options, seed uint64, ports *proc.Ports) (int, error) {
	dir := filepath.Join(o.Out, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, errors.Wrap(err, "create directory")
	}
	r, err := soak.Run(context.Background(), soak.Config{
		Seed: seed, Length: o.Length, VMs: o.VMs, Engines: o.Engines, PlainTargets: o.Plains,
		Callers: o.Callers,
		Bin:     o.Bin, Dir: dir, Ports: ports,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "seed %d", seed)
	}
	if err := r.Write(os.Stdout); err != nil {
		return 0, err
	}
	svg, err := os.Create(filepath.Join(dir, "timeline.svg"))
	if err != nil {
		return 0, errors.Wrap(err, "create timeline")
	}
	defer svg.Close()
	return len(r.Violations), r.WriteTimeline(svg)
}
