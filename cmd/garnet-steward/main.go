// Command garnet-steward is the control plane on each VM: the operators' table, leases, orders to
// engines, load and membership, and the feed of this state to the entries.
package main

import (
	"io"
	"os"
	"time"

	"garnethoist.org/garnethoist/internal/daemon"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/steward"
)

// stopTimeout bounds the time to release leases and end the feeds.
const stopTimeout = 15 * time.Second

func main() {
	cfg := settings.DefaultSteward()
	d := daemon.Daemon{
		Name:        "garnet-steward",
		Read:        func(path string) error { return settings.ReadFile(path, cfg) },
		Register:    func(k *kernel.Kernel, logs io.Writer) { steward.Register(k, cfg, logs) },
		Roots:       []string{steward.ModulePoller, steward.ModuleServer},
		StopTimeout: func() time.Duration { return stopTimeout },
	}
	os.Exit(d.Main(os.Args[1:], os.Stdout, os.Stderr))
}
