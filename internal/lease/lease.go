// Package lease gives one steward at a time the authority over one service in
// one data centre, by a record in the platform's table. A holder that cannot
// renew stops by itself; observers time out an unchanged record on their own
// monotonic clock, so that no two clocks are compared. Each tenure has a
// fencing number above all earlier ones.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/store"
)

// ErrNotHeld: the lease is not held, or not any more.
var ErrNotHeld = errors.New("lease: not held")

// driftDivisor is the share of the TTL by which an observer waits longer than
// a holder believes, for clocks that run at different rates: one part in 20.
const driftDivisor = 20

// Record is the lease's record in the platform's table.
type Record struct {
	Holder string `json:"holder"`
	// Incarnation tells two processes on one VM apart.
	Incarnation uint64 `json:"incarnation"`
	Fence       uint64 `json:"fence"`
	// Renewals counts the renewals of this tenure.
	Renewals uint64 `json:"renewals"`
	// Released is set by a holder that stops.
	Released bool `json:"released"`
}

// Key is the lease record's key for a service in a data centre.
func Key(dataCentre, service string) string { return "lease/" + dataCentre + "/" + service }

// FenceKey is the key of the record that is written only when the lease
// changes hands; a transaction that is to hold within one tenure puts a
// condition on its version.
func FenceKey(dataCentre, service string) string { return "fence/" + dataCentre + "/" + service }

// CounterKey is the key of the fencing numbers' counter. One counter serves a
// whole data centre, so that an engine that moves from one service to another
// can be given a number above all that it has seen.
func CounterKey(dataCentre string) string { return "fencecounter/" + dataCentre }

// Tenure is one uninterrupted holding of the lease.
type Tenure struct {
	Fence uint64
	// FenceVersion is the version of the record under FenceKey.
	FenceVersion uint64
	// Since is the clock at the start of the tenure.
	Since time.Duration
}

// Config names a lease and its candidate.
type Config struct {
	DataCentre  string
	Service     string
	Holder      string
	Incarnation uint64
	TTL         time.Duration
}

// Lease is one candidate for one lease. Step is called by one goroutine; the
// other methods are safe for concurrent use.
type Lease struct {
	cfg   Config
	table store.Table
	clock Clock

	// Observation of the record, owned by Step.
	version    uint64
	record     Record
	seenAt     time.Duration
	haveRecord bool

	mu         sync.Mutex
	held       bool
	tenure     Tenure
	validUntil time.Duration
}

// New returns a candidate that does not hold the lease.
func New(cfg Config, table store.Table, clock Clock) *Lease {
	return &Lease{cfg: cfg, table: table, clock: clock}
}

// Held returns the current tenure, or false once the holder's own clock says
// that the lease may have lapsed. Ask it right before each act of authority.
func (l *Lease) Held() (Tenure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.clock() >= l.validUntil {
		return Tenure{}, false
	}
	return l.tenure, true
}

// Step observes the record once, renews a held lease, and acquires a lapsed
// one if contend is set. An error means that the platform could not be asked
// or that a write's outcome is still unknown; the next Step resolves it.
func (l *Lease) Step(ctx context.Context, contend bool) error {
	if _, ok := l.Held(); ok {
		// The renewal's condition tells whether the record is as known.
		if err := l.renew(ctx); !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	if err := l.observe(ctx); err != nil {
		return err
	}
	if l.ours() {
		if _, ok := l.Held(); ok || l.adoptable() {
			return l.renew(ctx)
		}
	}
	if contend && l.lapsed() {
		return l.acquire(ctx)
	}
	return nil
}

// observe reads the record and notes when it was first seen at this version.
func (l *Lease) observe(ctx context.Context) error {
	rec, err := l.table.Get(ctx, Key(l.cfg.DataCentre, l.cfg.Service))
	if errors.Is(err, store.ErrNotFound) {
		l.haveRecord = false
		l.setRecord(Record{}, 0)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	if l.haveRecord && rec.Version == l.version {
		return nil
	}
	var r Record
	if err := json.Unmarshal(rec.Value, &r); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	l.haveRecord = true
	l.seenAt = l.clock()
	l.setRecord(r, rec.Version)
	return nil
}

func (l *Lease) setRecord(r Record, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record, l.version = r, version
	if l.held && !l.mine(r) {
		l.held = false
	}
}

func (l *Lease) mine(r Record) bool {
	return r.Holder == l.cfg.Holder && r.Incarnation == l.cfg.Incarnation && !r.Released
}

func (l *Lease) ours() bool { return l.haveRecord && l.mine(l.record) }

// adoptable reports whether an acquisition whose answer was lost has taken
// effect: the record is ours but no tenure is known.
func (l *Lease) adoptable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.held
}

// lapsed reports whether the record has stood unchanged for longer than its
// holder may believe in it.
func (l *Lease) lapsed() bool {
	if !l.haveRecord || l.record.Released {
		return true
	}
	return l.clock()-l.seenAt > l.cfg.TTL+l.cfg.TTL/driftDivisor
}

// renew writes the next renewal. The new validity counts from before the
// write was sent.
func (l *Lease) renew(ctx context.Context) error {
	next := l.record
	next.Renewals++
	sent := l.clock()
	version, err := l.commit(ctx, next, nil)
	if err != nil {
		return errors.Wrap(err, "renew lease")
	}
	return l.confirm(ctx, next, version, sent)
}

func (l *Lease) acquire(ctx context.Context) error {
	fence, err := l.nextFence(ctx)
	if err != nil {
		return err
	}
	next := Record{Holder: l.cfg.Holder, Incarnation: l.cfg.Incarnation, Fence: fence.number}
	sent := l.clock()
	version, err := l.commit(ctx, next, &fence)
	if err != nil {
		return errors.Wrap(err, "acquire lease")
	}
	return l.confirm(ctx, next, version, sent)
}

// fence is the fencing number of a new tenure and the version of the counter
// that it was taken from.
type fence struct {
	number  uint64
	version uint64
}

type fenceRecord struct {
	Fence uint64 `json:"fence"`
}

func (l *Lease) nextFence(ctx context.Context) (fence, error) {
	rec, err := l.table.Get(ctx, CounterKey(l.cfg.DataCentre))
	if errors.Is(err, store.ErrNotFound) {
		return fence{number: 1}, nil
	}
	if err != nil {
		return fence{}, errors.Wrap(err, "read fence counter")
	}
	var f fenceRecord
	if err := json.Unmarshal(rec.Value, &f); err != nil {
		return fence{}, errors.Wrap(err, "decode fence counter")
	}
	return fence{number: f.Fence + 1, version: rec.Version}, nil
}

// commit writes next on the version observed, and the fence record with it
// when the lease changes hands.
func (l *Lease) commit(ctx context.Context, next Record, f *fence) (uint64, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "encode lease")
	}
	key := Key(l.cfg.DataCentre, l.cfg.Service)
	txn := store.Txn{
		Conds: []store.Cond{{Key: key, Version: l.version}},
		Puts:  []store.Put{{Key: key, Value: value}},
	}
	if f != nil {
		fv, err := json.Marshal(fenceRecord{Fence: f.number})
		if err != nil {
			return 0, errors.Wrap(err, "encode fence")
		}
		counter := CounterKey(l.cfg.DataCentre)
		txn.Conds = append(txn.Conds, store.Cond{Key: counter, Version: f.version})
		txn.Puts = append(txn.Puts,
			store.Put{Key: counter, Value: fv},
			store.Put{Key: FenceKey(l.cfg.DataCentre, l.cfg.Service), Value: fv})
	}
	return l.table.Commit(ctx, txn)
}

// confirm takes note of a record that is known to be written. A tenure begins
// with its first confirmed write; the fence record's version is read then, as
// the first write's answer may have been lost.
func (l *Lease) confirm(ctx context.Context, r Record, version uint64, sent time.Duration) error {
	l.haveRecord = true
	l.seenAt = sent
	l.setRecord(r, version)
	if _, ok := l.tenureOf(r.Fence); !ok {
		if err := l.beginTenure(ctx, r); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = sent + l.cfg.TTL
	return nil
}

func (l *Lease) tenureOf(fence uint64) (Tenure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tenure, l.held && l.tenure.Fence == fence
}

func (l *Lease) beginTenure(ctx context.Context, r Record) error {
	rec, err := l.table.Get(ctx, FenceKey(l.cfg.DataCentre, l.cfg.Service))
	if err != nil {
		return errors.Wrap(err, "read fence of new tenure")
	}
	var f fenceRecord
	if err := json.Unmarshal(rec.Value, &f); err != nil {
		return errors.Wrap(err, "decode fence of new tenure")
	}
	if f.Fence != r.Fence {
		return ErrNotHeld
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
	l.tenure = Tenure{Fence: r.Fence, FenceVersion: rec.Version, Since: l.clock()}
	return nil
}

// Release gives up a held lease, so that a successor need not wait.
func (l *Lease) Release(ctx context.Context) error {
	if _, ok := l.Held(); !ok {
		return nil
	}
	l.mu.Lock()
	l.held = false
	l.mu.Unlock()
	next := l.record
	next.Released = true
	_, err := l.commit(ctx, next, nil)
	return errors.Wrap(err, "release lease")
}
