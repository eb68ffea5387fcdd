package node

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"syscall"
	"time"

	"garnethoist.org/garnethoist/internal/gateway"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// settingsPollInterval is the time between reads of the settings file. The file is read
// periodically because it may change without a SIGHUP.
const settingsPollInterval = time.Second

// reloader applies changes of the settings file, on SIGHUP or when it finds the file changed.
// Settings that take effect only at a restart are not applied; the log says that a restart is
// needed.
type reloader struct {
	kernel.Background
	path string
	// active holds the settings that the process was started with.
	active  settings.Node
	gateway *gateway.Gateway
	writer  *telemetry.BoundedWriter
	log     *telemetry.Logger
	// lastData is the content of the file when it was last read.
	lastData []byte
}

// Start reads the file and begins to watch it.
func (r *reloader) Start(context.Context) error {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn(telemetry.EventReload, telemetry.F("cause", err))
	}
	r.lastData = data
	r.Run(r.watch)
	return nil
}

// watch reloads the settings on SIGHUP and at each settingsPollInterval, until ctx ends.
func (r *reloader) watch(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the file and applies it if its content has changed. requested is true if an operator
// asked for the reload by SIGHUP. Read errors and unchanged files are logged only if requested is
// true.
func (r *reloader) reload(requested bool) {
	data, err := os.ReadFile(r.path)
	if err != nil {
		if requested {
			r.log.Warn(telemetry.EventReload, telemetry.F("cause", err))
		}
		return
	}
	if bytes.Equal(data, r.lastData) {
		if requested {
			r.log.Info(telemetry.EventReload, telemetry.F("changed", false))
		}
		return
	}
	r.lastData = data
	next := settings.DefaultNode()
	if err := settings.Decode(data, next); err != nil {
		r.log.Warn(telemetry.EventReload, telemetry.F("refused", true), telemetry.F("cause", err))
		return
	}
	r.gateway.SetLimits(gatewayLimits(next))
	r.writer.SetRate(int(next.LogLinesPerS))
	r.log.Info(telemetry.EventReload, telemetry.F("changed", true), telemetry.F("restart_needed", r.restartNeeded(next)))
}

// restartNeeded reports whether next changes a setting that takes effect only at a restart.
func (r *reloader) restartNeeded(next *settings.Node) bool {
	a, b := r.active, *next
	deferral := settings.MechanismDeferral
	a.Off, b.Off = withoutName(a.Off, deferral), withoutName(b.Off, deferral)
	// FirstStart concerns only the start of the process, which is over.
	a.FirstStart = b.FirstStart
	a.Grace, a.RetryRatio, a.RetryBurst, a.RetryWindow, a.LogLinesPerS = b.Grace, b.RetryRatio, b.RetryBurst, b.RetryWindow, b.LogLinesPerS
	return !reflect.DeepEqual(a, b)
}

// withoutName returns names without name, sorted.
func withoutName(names []string, name string) []string {
	var out []string
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}
