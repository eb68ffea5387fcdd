package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// reportInterval is the time between two reports to the steward.
	reportInterval = time.Second
	// minViewInterval is the least time between two rebuilds of the view.
	// loadViewInterval is the least time when only target loads have changed; it is
	// longer, so that the frequent load reports cause few rebuilds.
	minViewInterval  = 50 * time.Millisecond
	loadViewInterval = 500 * time.Millisecond
	// firstTargetTimeout is how long after its first table an entry waits for a
	// usable target of every service before it reports itself ready without. It
	// is bounded because a service may really have no target.
	firstTargetTimeout = 5 * time.Second
	// stewardTimeout is how long a steward may send nothing before the entry
	// connects to the next one. Stewards send an empty batch well within it.
	stewardTimeout = 3 * time.Second
	// minRetryWait and maxRetryWait bound the exponential backoff before the entry
	// connects to the next steward.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 2 * time.Second
)

// feed keeps the entry's store up to date from one steward of its data centre
// and rebuilds the view after changes. When it loses the steward it connects to
// the next one; meanwhile the entry serves from its last view.
type feed struct {
	vm          string
	incarnation uint64
	stewards    []settings.Addr
	store       *gossip.Store
	fleet       *fleet
	usage       *usage
	shares      *shares
	decisions   *decisionLog
	log         *telemetry.Logger

	// ready is set once the table is known and every service has a usable target
	// or firstTargetTimeout is over. It is never reset.
	ready atomic.Bool
	kernel.Background
}

// Start starts watching a steward and rebuilding the view.
func (f *feed) Start(context.Context) error {
	f.Run(f.followStewards, f.rebuildViews)
	return nil
}

// isReady reports whether the entry has ever known enough to serve requests.
func (f *feed) isReady() bool { return f.ready.Load() }

// followStewards watches one steward after the other, with a backoff between
// them, until ctx ends.
func (f *feed) followStewards(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = minRetryWait, maxRetryWait
	for i := 0; ctx.Err() == nil; i++ {
		addr := f.stewards[i%len(f.stewards)]
		connectedAt := time.Now()
		err := f.watchSteward(ctx, string(addr))
		if ctx.Err() != nil {
			return
		}
		f.log.Warn(telemetry.EventStewardLost, telemetry.F("steward", addr), telemetry.F("cause", err))
		if time.Since(connectedAt) > maxRetryWait {
			wait.Reset()
		}
		kernel.Sleep(ctx, wait.NextBackOff())
	}
}

// watchSteward merges one steward's updates into the store, and reports to it,
// until the stream fails or nothing came for stewardTimeout. The error is never
// nil.
func (f *feed) watchSteward(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return errors.Wrap(err, "dial steward")
	}
	defer conn.Close()
	client := api.NewStewardClient(conn)
	stream, err := client.Watch(ctx)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	loops.Go(func() { f.sendReports(ctx, stream) })
	loops.Go(func() { f.renewGrants(ctx, client) })
	watchdog := time.AfterFunc(stewardTimeout, cancel)
	defer watchdog.Stop()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		watchdog.Reset(stewardTimeout)
		f.store.Merge(batch.GetItems(), addr)
	}
}

// sendReports sends the entry's usage and decision records every reportInterval
// until ctx ends or a send fails. A stream that fails to send also fails in Recv,
// where watchSteward handles it.
func (f *feed) sendReports(ctx context.Context, stream api.Steward_WatchClient) {
	last := time.Now().Add(-reportInterval)
	for ctx.Err() == nil {
		now := time.Now()
		err := stream.Send(&api.EntryReport{
			Vm: f.vm, Incarnation: f.incarnation,
			Usage: f.usage.report(now.Sub(last).Seconds()), Decisions: f.decisions.takePending(),
		})
		if err != nil {
			return
		}
		last = now
		kernel.Sleep(ctx, reportInterval)
	}
}

// rebuildViews applies a new view to the fleet after each change of the store,
// and sets ready, until ctx ends.
func (f *feed) rebuildViews(ctx context.Context) {
	version := uint64(0)
	var firstTableAt time.Time
	for {
		changed := f.store.Changed()
		_, digest := f.store.Summary()
		v := f.store.View()
		f.fleet.apply(v)
		if v.Table.Version > version {
			if version == 0 {
				firstTableAt = time.Now()
			}
			version = v.Table.Version
			f.log.Info(telemetry.EventTableVersion, telemetry.F("version", version))
		}
		if version > 0 && (f.fleet.allServicesHaveTarget() || time.Since(firstTableAt) > firstTargetTimeout) {
			f.ready.Store(true)
		}
		kernel.Sleep(ctx, minViewInterval)
		recheck := time.NewTimer(firstTargetTimeout)
		select {
		case <-ctx.Done():
			recheck.Stop()
			return
		case <-changed:
		case <-recheck.C:
		}
		recheck.Stop()
		if f.ready.Load() {
			f.coalesceLoadReports(ctx, digest)
		}
	}
}

// coalesceLoadReports waits for up to loadViewInterval, so that one rebuild covers
// several load reports. It returns early when the state's digest differs from
// digest.
func (f *feed) coalesceLoadReports(ctx context.Context, digest uint64) {
	for waited := time.Duration(0); waited < loadViewInterval; waited += minViewInterval {
		if _, now := f.store.Summary(); now != digest || ctx.Err() != nil {
			return
		}
		kernel.Sleep(ctx, minViewInterval)
	}
}
