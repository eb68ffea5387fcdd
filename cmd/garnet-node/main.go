// Command garnet-node is the program that runs on each VM of the users' platform.
package main

import (
	"io"
	"os"
	"runtime/debug"
	"time"

	"garnethoist.org/garnethoist/internal/daemon"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/node"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/platform"
)

// memoryShare is the fraction of the VM's memory that the heap may fill; it sets the runtime's
// memory limit. The rest is for stacks, code and other needs of the runtime.
const memoryShare = 0.6

func main() {
	cfg := settings.DefaultNode()
	file := ""
	d := daemon.Daemon{
		Name: "garnet-node",
		Read: func(path string) error {
			file = path
			return settings.ReadFile(path, cfg)
		},
		Register: func(k *kernel.Kernel, logs io.Writer) {
			debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB<<20)))
			node.Register(k, file, cfg, platform.Adapter(), logs)
		},
		Roots:       node.Roots,
		StopTimeout: func() time.Duration { return cfg.Grace.D() },
	}
	os.Exit(d.Main(os.Args[1:], os.Stdout, os.Stderr))
}
