// Command garnet-soak runs garnet-node processes on loopback before stand-ins,
// deals them faults by a seed and checks the promises to callers and targets.
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

type options struct {
	Seed    uint64        `long:"seed" description:"first seed; 0 draws one"`
	Seeds   int           `long:"seeds" default:"1" description:"how many seeds are soaked, one after the other"`
	Length  time.Duration `long:"length" default:"30s" description:"length of one soak"`
	VMs     int           `long:"vms" default:"4" description:"garnet-node processes"`
	Engines int           `long:"engines" default:"6" description:"model engines"`
	Plains  int           `long:"plains" default:"3" description:"targets of the plain service"`
	Callers int           `long:"callers" default:"16" description:"callers that ask one after the other"`
	Bin     string        `long:"bin" default:"bin" description:"folder of the programs"`
	Out     string        `long:"out" default:"soak" description:"folder for logs and reports, one below it for each seed"`
}

// Exit codes: a promise was broken, or the soak could not be run.
const (
	exitBroken = 1
	exitError  = 2
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitError)
	}
	if o.Seed == 0 {
		o.Seed = uint64(rand.Uint32())
	}
	// A program in a folder named without a slash would be looked for on the path.
	bin, err := filepath.Abs(o.Bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "garnet-soak:", err)
		os.Exit(exitError)
	}
	o.Bin = bin
	ports := proc.NewPorts()
	broken := 0
	for i := range o.Seeds {
		n, err := run(o, o.Seed+uint64(i), ports)
		if err != nil {
			fmt.Fprintln(os.Stderr, "garnet-soak:", err)
			os.Exit(exitError)
		}
		broken += n
	}
	if broken > 0 {
		os.Exit(exitBroken)
	}
}

// run soaks one seed and returns how many promises were broken.
func run(o options, seed uint64, ports *proc.Ports) (int, error) {
	dir := filepath.Join(o.Out, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, errors.Wrap(err, "make folder")
	}
	r, err := soak.Run(context.Background(), soak.Config{
		Seed: seed, Length: o.Length, VMs: o.VMs, Engines: o.Engines, Plains: o.Plains, Callers: o.Callers,
		Bin: o.Bin, Dir: dir, Ports: ports,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "seed %d", seed)
	}
	if err := r.Write(os.Stdout); err != nil {
		return 0, err
	}
	svg, err := os.Create(filepath.Join(dir, "timeline.svg"))
	if err != nil {
		return 0, errors.Wrap(err, "make timeline")
	}
	defer svg.Close()
	return len(r.Violations), r.WriteTimeline(svg)
}
