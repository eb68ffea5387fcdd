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
	// reportInterval is the time between reports to the steward.
	reportInterval = time.Second
	// viewInterval is the least time between two views, and loadInterval that
	// between views of which only loads differ, so that load reports cost few
	// rebuilds.
	viewInterval = 50 * time.Millisecond
	loadInterval = 500 * time.Millisecond
	// coverGrace is how long after its first table an entry waits for a usable
	// target of every service before it calls itself ready; a service may
	// really have none.
	coverGrace = 5 * time.Second
	// feedSilence is how long a steward may send nothing before the next one
	// is asked; stewards send an empty batch well within it.
	feedSilence = 3 * time.Second
	// firstRetry and maxRetry bound the wait between stewards.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// feed keeps the entry's store current from one steward of its data centre,
// and asks the next when that one is lost. The entry goes on with its last
// view meanwhile.
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

	ready atomic.Bool
	kernel.Background
}

// Start begins to follow a steward.
func (f *feed) Start(context.Context) error {
	f.Run(f.follow, f.rebuild)
	return nil
}

// usable reports whether the entry has known enough to serve.
func (f *feed) usable() bool { return f.ready.Load() }

func (f *feed) follow(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstRetry, maxRetry
	for i := 0; ctx.Err() == nil; i++ {
		addr := f.stewards[i%len(f.stewards)]
		joined := time.Now()
		err := f.watch(ctx, string(addr))
		if ctx.Err() != nil {
			return
		}
		f.log.Warn(telemetry.EventStewardLost, telemetry.F("steward", addr), telemetry.F("cause", err))
		if time.Since(joined) > maxRetry {
			wait.Reset()
		}
		kernel.Sleep(ctx, wait.NextBackOff())
	}
}

// watch follows one steward until it fails or falls silent.
func (f *feed) watch(ctx context.Context, addr string) error {
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
	loops.Go(func() { f.report(ctx, stream) })
	loops.Go(func() { f.renewGrants(ctx, client) })
	silence := time.AfterFunc(feedSilence, cancel)
	defer silence.Stop()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		silence.Reset(feedSilence)
		f.store.Merge(batch.GetItems(), addr)
	}
}

// report sends the entry's counters until ctx ends. A failed send shows in
// Recv as well, which ends ctx.
func (f *feed) report(ctx context.Context, stream api.Steward_WatchClient) {
	last := time.Now().Add(-reportInterval)
	for ctx.Err() == nil {
		now := time.Now()
		err := stream.Send(&api.EntryReport{
			Vm: f.vm, Incarnation: f.incarnation,
			Usage: f.usage.report(now.Sub(last).Seconds()), Decisions: f.decisions.take(),
		})
		if err != nil {
			return
		}
		last = now
		kernel.Sleep(ctx, reportInterval)
	}
}

// rebuild puts a new view in force after changes.
func (f *feed) rebuild(ctx context.Context) {
	version := uint64(0)
	var since time.Time
	for {
		changed := f.store.Changed()
		_, digest := f.store.Summary()
		v := f.store.View()
		f.fleet.apply(v)
		if v.Table.Version > version {
			if version == 0 {
				since = time.Now()
			}
			version = v.Table.Version
			f.log.Info(telemetry.EventTableVersion, telemetry.F("version", version))
		}
		if version > 0 && (f.fleet.covered() || time.Since(since) > coverGrace) {
			f.ready.Store(true)
		}
		kernel.Sleep(ctx, viewInterval)
		recheck := time.NewTimer(coverGrace)
		select {
		case <-ctx.Done():
			recheck.Stop()
			return
		case <-changed:
		case <-recheck.C:
		}
		recheck.Stop()
		if f.ready.Load() {
			f.awaitState(ctx, digest)
		}
	}
}

// awaitState gives load reports time to gather; a change of state ends it.
func (f *feed) awaitState(ctx context.Context, digest uint64) {
	for waited := time.Duration(0); waited < loadInterval; waited += viewInterval {
		if _, now := f.store.Summary(); now != digest || ctx.Err() != nil {
			return
		}
		kernel.Sleep(ctx, viewInterval)
	}
}
