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

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = time.Second

// reloader takes in a settings file that has changed. Only what can change in
// a running process is applied; the rest is logged as needing a restart.
type reloader struct {
	kernel.Background
	path    string
	running settings.Node
	gateway *gateway.Gateway
	writer  *telemetry.BoundedWriter
	log     *telemetry.Logger
	last    []byte
}

// Start begins to look at the file.
func (r *reloader) Start(context.Context) error {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn(telemetry.EventReload, telemetry.F("cause", err))
	}
	r.last = data
	r.Run(r.follow)
	return nil
}

func (r *reloader) follow(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPoll)
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

// reload reads the file and applies it if it differs from what was last read.
func (r *reloader) reload(asked bool) {
	data, err := os.ReadFile(r.path)
	if err != nil {
		if asked {
			r.log.Warn(telemetry.EventReload, telemetry.F("cause", err))
		}
		return
	}
	if bytes.Equal(data, r.last) {
		if asked {
			r.log.Info(telemetry.EventReload, telemetry.F("changed", false))
		}
		return
	}
	r.last = data
	next := settings.DefaultNode()
	if err := settings.Decode(data, next); err != nil {
		r.log.Warn(telemetry.EventReload, telemetry.F("refused", true), telemetry.F("cause", err))
		return
	}
	r.gateway.SetLimits(gatewayLimits(next))
	r.writer.SetRate(int(next.LogLinesPerS))
	r.log.Info(telemetry.EventReload, telemetry.F("changed", true), telemetry.F("restart_needed", r.restartNeeded(next)))
}

// restartNeeded reports whether a setting changed that a running process keeps.
func (r *reloader) restartNeeded(next *settings.Node) bool {
	a, b := r.running, *next
	deferral := settings.MechanismDeferral
	a.Off, b.Off = without(a.Off, deferral), without(b.Off, deferral)
	// It speaks of the start that was.
	a.FirstStart = b.FirstStart
	a.Grace, a.RetryRatio, a.RetryBurst, a.RetryWindow, a.LogLinesPerS = b.Grace, b.RetryRatio, b.RetryBurst, b.RetryWindow, b.LogLinesPerS
	return !reflect.DeepEqual(a, b)
}

// without returns the names other than one, in order.
func without(names []string, name string) []string {
	var out []string
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}
