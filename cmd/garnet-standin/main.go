// Command garnet-standin is a stand-in for an outside system, for tests and the demo: the platform,
// a model engine or a plain service.
package main

import (
	"io"
	"os"
	"time"

	"garnethoist.org/garnethoist/internal/daemon"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/standin"
)

const (
	// moduleServer is the name of the only module.
	moduleServer = "standin.server"
	// stopTimeout bounds the time to close the server.
	stopTimeout = 5 * time.Second
)

func main() {
	cfg := settings.DefaultStandin()
	d := daemon.Daemon{
		Name: "garnet-standin",
		Read: func(path string) error { return settings.ReadFile(path, cfg) },
		Register: func(k *kernel.Kernel, _ io.Writer) {
			k.Register(moduleServer, func(*kernel.Kernel) (any, error) { return standin.NewServer(cfg), nil })
		},
		Roots:       []string{moduleServer},
		StopTimeout: func() time.Duration { return stopTimeout },
	}
	os.Exit(d.Main(os.Args[1:], os.Stdout, os.Stderr))
}
