// Package lease implements leases by records in the store. A lease gives one VM at a time the
// authority over one service in one data centre. A holder that cannot renew its lease stops acting
// of its own accord. The other candidates observe the record and time it out on their own monotonic
// clocks while it is unchanged, so that no two clocks are compared.
//
// A tenure is one uninterrupted period in which a candidate holds the lease. Its fencing number is
// higher than those of all earlier tenures.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/store"
)

// ErrNotHeld says that the lease is not held, or not any more.
var ErrNotHeld = errors.New("lease: not held")

// clockDriftDivisor allows for clocks that run at different rates: an observer regards a lease as
// lapsed once its record has been unchanged for more than TTL + TTL/clockDriftDivisor.
const clockDriftDivisor = 20

// Record is the JSON value of a lease's record in the store.
type Record struct {
	// Holder is the name of the VM that holds the lease.
	Holder string `json:"holder"`
	// Incarnation distinguishes the processes that run one after the other on one VM.
	Incarnation uint64 `json:"incarnation"`
	// Fence is the fencing number of the tenure.
	Fence uint64 `json:"fence"`
	// Renewals counts the renewals in this tenure.
	Renewals uint64 `json:"renewals"`
	// Released is set by a holder that gives up the lease.
	Released bool `json:"released"`
}

// Key returns the key of the lease record for a service in a data centre.
func Key(dataCentre, service string) string { return "lease/" + dataCentre + "/" + service }

// FenceKey returns the key of the record that is written only when the lease changes hands. A
// transaction that must take effect only within one tenure puts a condition on this record's
// version.
func FenceKey(dataCentre, service string) string { return "fence/" + dataCentre + "/" + service }

// CounterKey returns the key of the counter of fencing numbers. All services of a data centre
// share one counter, so that an engine that moves from one service to another can be given a
// number above all that it has seen.
func CounterKey(dataCentre string) string { return "fencecounter/" + dataCentre }

// Tenure is one uninterrupted period in which a candidate holds the lease.
type Tenure struct {
	// Fence is the tenure's fencing number.
	Fence uint64
	// FenceVersion is the version of the record at FenceKey.
	FenceVersion uint64
	// Since is the holder's clock at the start of the tenure.
	Since time.Duration
}

// Config identifies a lease and a candidate for it.
type Config struct {
	DataCentre string
	Service    string
	// Holder is the name of the candidate's VM, and Incarnation distinguishes its process from
	// earlier ones on that VM.
	Holder      string
	Incarnation uint64
	// TTL is how long the lease stays valid after a renewal.
	TTL time.Duration
}

// Lease is one candidate's side of a lease: it acquires, renews and releases the lease for the
// candidate. Step and Release must not be called concurrently; Held is safe for concurrent use.
type Lease struct {
	cfg   Config
	table store.Table
	clock Clock

	// The last observation of the record. Only Step and Release use it. unchangedSince is when
	// the record was first seen at this version. haveRecord is false if there was no record.
	version        uint64
	record         Record
	unchangedSince time.Duration
	haveRecord     bool

	// mu guards the fields below.
	mu sync.Mutex
	// held is set from the start of the tenure until the candidate knows that it has ended. The
	// lease has lapsed from validUntil on, even while held is set.
	held       bool
	tenure     Tenure
	validUntil time.Duration
}

// New returns a candidate that does not hold the lease.
func New(cfg Config, table store.Table, clock Clock) *Lease {
	return &Lease{cfg: cfg, table: table, clock: clock}
}

// Held returns the current tenure, or false once the lease may have lapsed by the holder's own
// clock. It must be called immediately before every action that requires the lease.
func (l *Lease) Held() (Tenure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.clock() >= l.validUntil {
		return Tenure{}, false
	}
	return l.tenure, true
}

// Step observes the record once. It renews the lease if it is held, and acquires it if it has
// lapsed and contend is set. It fails if a call to the store fails, which may leave the outcome of
// a write unknown, or if another candidate has changed the record in the meantime; the next Step
// resolves both.
func (l *Lease) Step(ctx context.Context, contend bool) error {
	if _, ok := l.Held(); ok {
		// A renewal is conditional on the known version, so the record need not be read first.
		if err := l.renew(ctx); !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	if err := l.observe(ctx); err != nil {
		return err
	}
	if l.recordIsOwn() {
		if _, ok := l.Held(); ok || l.tenureUnknown() {
			return l.renew(ctx)
		}
	}
	if contend && l.lapsed() {
		return l.acquire(ctx)
	}
	return nil
}

// observe reads the record and notes when it was first seen at its current version.
func (l *Lease) observe(ctx context.Context) error {
	rec, err := l.table.Get(ctx, Key(l.cfg.DataCentre, l.cfg.Service))
	if errors.Is(err, store.ErrNotFound) {
		l.haveRecord = false
		l.setRecord(Record{}, 0)
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read lease record")
	}
	if l.haveRecord && rec.Version == l.version {
		return nil
	}
	var r Record
	if err := json.Unmarshal(rec.Value, &r); err != nil {
		return errors.Wrap(err, "decode lease record")
	}
	l.haveRecord = true
	l.unchangedSince = l.clock()
	l.setRecord(r, rec.Version)
	return nil
}

// setRecord stores the observed record. It ends the tenure if the record is not this candidate's.
func (l *Lease) setRecord(r Record, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record, l.version = r, version
	if l.held && !l.isOwn(r) {
		l.held = false
	}
}

// isOwn reports whether r was written by this candidate's process and has not been released.
func (l *Lease) isOwn(r Record) bool {
	return r.Holder == l.cfg.Holder && r.Incarnation == l.cfg.Incarnation && !r.Released
}

// recordIsOwn reports whether the record that was last observed was written by this candidate's
// process and has not been released.
func (l *Lease) recordIsOwn() bool { return l.haveRecord && l.isOwn(l.record) }

// tenureUnknown reports whether this candidate knows of no current tenure of its own. If the record
// in the store names this candidate although no tenure is known, an acquisition has taken effect
// and its response was lost.
func (l *Lease) tenureUnknown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.held
}

// lapsed reports whether the record has been unchanged for longer than its holder may consider
// the lease valid.
func (l *Lease) lapsed() bool {
	if !l.haveRecord || l.record.Released {
		return true
	}
	return l.clock()-l.unchangedSince > l.cfg.TTL+l.cfg.TTL/clockDriftDivisor
}

// renew writes the next renewal. The lease is then valid for the TTL, counted from just before the
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

// acquire writes a record with a new fencing number, on the condition that the observed record
// has not changed.
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

// newFence is the fencing number of a new tenure and the version of the counter from which it was
// taken.
type newFence struct {
	number  uint64
	version uint64
}

// fenceRecord is the JSON value of the records at FenceKey and CounterKey.
type fenceRecord struct {
	Fence uint64 `json:"fence"`
}

// nextFence reads the counter and returns the next fencing number.
func (l *Lease) nextFence(ctx context.Context) (newFence, error) {
	rec, err := l.table.Get(ctx, CounterKey(l.cfg.DataCentre))
	if errors.Is(err, store.ErrNotFound) {
		return newFence{number: 1}, nil
	}
	if err != nil {
		return newFence{}, errors.Wrap(err, "read fence counter")
	}
	var f fenceRecord
	if err := json.Unmarshal(rec.Value, &f); err != nil {
		return newFence{}, errors.Wrap(err, "decode fence counter")
	}
	return newFence{number: f.Fence + 1, version: rec.Version}, nil
}

// commit writes next on the condition that the lease record still has the observed version, and
// returns the new version. f is the new fencing number if the lease changes hands, and nil for a
// renewal or a release. If f is not nil, commit also writes the number to the counter and to the
// fence record, which is the record at FenceKey, on the condition that the counter has not changed.
func (l *Lease) commit(ctx context.Context, next Record, f *newFence) (uint64, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "encode lease record")
	}
	key := Key(l.cfg.DataCentre, l.cfg.Service)
	txn := store.Txn{
		Conds: []store.Cond{{Key: key, Version: l.version}},
		Puts:  []store.Put{{Key: key, Value: value}},
	}
	if f != nil {
		fenceValue, err := json.Marshal(fenceRecord{Fence: f.number})
		if err != nil {
			return 0, errors.Wrap(err, "encode fence record")
		}
		counter := CounterKey(l.cfg.DataCentre)
		txn.Conds = append(txn.Conds, store.Cond{Key: counter, Version: f.version})
		txn.Puts = append(txn.Puts,
			store.Put{Key: counter, Value: fenceValue},
			store.Put{Key: FenceKey(l.cfg.DataCentre, l.cfg.Service), Value: fenceValue})
	}
	return l.table.Commit(ctx, txn)
}

// confirm is called once r is known to be in the store with the given version. It records r and
// extends the validity of the lease to the TTL after sent, the time at which the write was sent. A
// tenure begins with its first confirmed write. At that write, confirm also reads the version of
// the fence record, because the response to the acquisition may have been lost.
func (l *Lease) confirm(ctx context.Context, r Record, version uint64, sent time.Duration) error {
	l.haveRecord = true
	l.unchangedSince = sent
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

// tenureOf returns the current tenure and whether it is held with the given fencing number.
func (l *Lease) tenureOf(fence uint64) (Tenure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tenure, l.held && l.tenure.Fence == fence
}

// beginTenure begins the tenure of a confirmed lease record. It fails with ErrNotHeld if the fence
// record already belongs to another tenure.
func (l *Lease) beginTenure(ctx context.Context, r Record) error {
	rec, err := l.table.Get(ctx, FenceKey(l.cfg.DataCentre, l.cfg.Service))
	if err != nil {
		return errors.Wrap(err, "read fence record of new tenure")
	}
	var f fenceRecord
	if err := json.Unmarshal(rec.Value, &f); err != nil {
		return errors.Wrap(err, "decode fence record of new tenure")
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

// Release gives up the lease if it is held, so that a successor need not wait for it to lapse. It
// ends the tenure even if the write to the store fails.
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
