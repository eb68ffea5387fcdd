// Package live plays a day of a site on the wall clock. Real garnet-node processes serve its
// requests on simulated engines, which prefill, batch and decode at the speeds of the site's
// figures. It measures service by size, to show whether large requests are underserved.
package live

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"garnethoist.org/garnethoist/internal/model"
	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// grace is the VMs' time from SIGTERM to SIGKILL, and closeGrace the same at the end of the day.
	grace      = 8 * time.Second
	closeGrace = 2 * time.Second
	// startTimeout limits the start of all VMs, and readyCheckTimeout one readiness check.
	startTimeout      = 20 * time.Second
	readyCheckTimeout = 500 * time.Millisecond
	// busyPeriod is the period of the stops of a busy VM. The VM is stopped once in each period and
	// runs for the rest, as under a scheduler's CPU quota.
	busyPeriod = 100 * time.Millisecond
)

// Config describes what to play: a day of a site, with requests generated from Seed.
type Config struct {
	Site *model.Site
	Day  *model.Day
	Seed uint64
	// Busy is the fraction of each busyPeriod, a tenth of a second, for which the process of each
	// VM is stopped. The VMs are stopped at different times. 0 stops none.
	Busy float64
	// EngineConns is the number of connections that an engine accepts, or 0 for the default.
	EngineConns int
	// MaxAttempts is the number of times that a caller sends a request at most, or 0 for two.
	MaxAttempts int
	// Faults are injected while the day is played. See DayFaults and DealFaults.
	Faults []Fault
	// Bin is the directory of the programs, and Dir the one for settings and logs.
	Bin string
	Dir string
}

// harness holds the VMs and what they connect to: the store, the engines and the callers.
type harness struct {
	cfg     Config
	store   *platformtest.Store
	cluster *proc.Cluster
	fleet   *platformtest.LiveFleet
	slots   []*slot
	vms     []*vm
	callers *platformtest.LiveCallers
	// disturbed records what the faults break off, and leaving counts the present faults for which
	// callers leave early.
	disturbed *disturbances
	leaving   atomic.Int32
	// hot is the VM that gets most first attempts, or nil.
	hot atomic.Pointer[vm]
	// configVersion is the version of the configuration that was written last.
	configVersion atomic.Int64
	// lastVersion is the number of the newest software version of engines.
	lastVersion atomic.Int64
}

// Run plays the day and returns the outcomes of its requests. It returns an error if an engine or a
// VM does not start.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	h := &harness{
		cfg: cfg, store: platformtest.NewStore(), cluster: proc.NewCluster(cfg.Dir, cfg.Bin, proc.NewPorts()),
		fleet: platformtest.NewLiveFleet(cfg.Site.Engine, answerTokens), callers: platformtest.NewLiveCallers(),
		disturbed: newDisturbances(),
	}
	defer h.close()
	h.writeConfig(1)
	if err := h.startEngines(); err != nil {
		return nil, err
	}
	if err := h.startVMs(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	if cfg.Busy > 0 {
		for i, v := range h.vms {
			background.Go(func() { h.stopPeriodically(ctx, v, i) })
		}
	}
	for _, v := range h.vms {
		background.Go(func() { v.pollReadiness(ctx) })
	}
	background.Go(func() { h.injectAll(ctx, cfg.Faults) })
	return h.playDay(ctx), nil
}

// writeConfig writes the next version of the configuration, in which each route's timeout is that of
// its class times timeoutShare.
func (h *harness) writeConfig(timeoutShare float64) {
	version := int(h.configVersion.Add(1))
	h.store.Put(platformtest.TableOperator, platformtest.KeyConfig, platformtest.LiveConfig(h.cfg.Site, version, timeoutShare, h.cfg.EngineConns))
}

// close stops all processes and servers.
func (h *harness) close() {
	for _, v := range h.vms {
		// Signalling a process that has ended fails, which is harmless.
		_ = v.current().Signal(syscall.SIGCONT)
	}
	h.cluster.StopAll(closeGrace)
	h.callers.Close()
	for _, s := range h.slots {
		s.close()
	}
	h.fleet.Close()
	h.store.Close()
}

// attemptID returns the id that the n-th attempt of a request, counted from 0, sends. request is the
// number of the request. The id holds the number of tokens of the answer, from which engines learn
// how long an answer to produce.
func attemptID(request, n, tokens int) string { return fmt.Sprintf("r%d-%d-%d", request, n, tokens) }

// answerTokens returns the number of answer tokens that a request id holds, or 1 if it holds none.
func answerTokens(id string) int {
	tokens, err := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:])
	if err != nil {
		return 1
	}
	return tokens
}
