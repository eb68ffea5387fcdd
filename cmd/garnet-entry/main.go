// Command garnet-entry serves callers: admission, rate limits, routing, relaying of streams, and
// calls that may not be repeated.
package main

import (
	"io"
	"os"
	"time"

	"garnethoist.org/garnethoist/internal/daemon"
	"garnethoist.org/garnethoist/internal/entry"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/settings"
)

func main() {
	cfg := settings.DefaultEntry()
	d := daemon.Daemon{
		Name:        "garnet-entry",
		Read:        func(path string) error { return settings.ReadFile(path, cfg) },
		Register:    func(k *kernel.Kernel, logs io.Writer) { entry.Register(k, cfg, logs) },
		Roots:       []string{entry.ModuleServer},
		StopTimeout: func() time.Duration { return cfg.StopTimeout.D() },
	}
	os.Exit(d.Main(os.Args[1:], os.Stdout, os.Stderr))
}
