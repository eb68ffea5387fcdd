package quarantine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// KeyPrefix is the prefix of the keys of the records of quarantined requests in the store, and
	// PartKeyPrefix that of the records of parts of prompts that are held. One call lists both.
	KeyPrefix     = "quarantine/"
	PartKeyPrefix = KeyPrefix + "part-"
	// headKey is the key of a record that each transaction replaces which removes records. The others have
	// a condition on its version, so that no write from before a removal brings a record back.
	headKey = "journal/quarantine"
	// expireInterval is how often expired entries are removed from the table.
	expireInterval = 10 * time.Second
	// maxUnsaved is the capacity of the queue of requests whose records are to be written.
	maxUnsaved = 256
)

// storeRetry is the policy for retries of calls to the store. They need not be fast: a quarantine
// takes effect on this VM and is sent to the other VMs without the store. The stored record is for
// VMs that start when no other VM is left that knows the quarantine.
// Each try takes up to three calls.
var storeRetry = kernel.RetryPolicy{InitialWait: 300 * time.Millisecond, MaxWait: 3 * time.Second,
	Timeout: 3 * time.Second}

// loadRetry is the policy for retries of the first read of the store, for which the VM's first requests wait.
var loadRetry = kernel.RetryPolicy{InitialWait: 300 * time.Millisecond, MaxWait: time.Second,
	Timeout: 3 * time.Second}

// Keeper is a Table and a PartTable that also persists quarantines in the store, so that they outlive
// all processes.
type Keeper struct {
	*Table
	parts *PartTable
	kernel.Background
	store store.Table
	log   *telemetry.Logger
	// clock returns the current time, see NewKeeper.
	clock func() time.Time
	// unsaved queues the entries whose records must be written or deleted.
	unsaved chan unsaved
	// known is set once the quarantines that began before Start are known, see Known.
	known atomic.Bool
}

// unsaved is an entry of a table whose record must be written or deleted.
type unsaved struct {
	table  *Table
	prefix string
	id     ID
}

// NewKeeper returns a Keeper whose table is empty until Start loads the records. clock returns the
// current time and must also count the time for which the machine is suspended.
func NewKeeper(s store.Table, log *telemetry.Logger, clock func() time.Time) *Keeper {
	return &Keeper{Table: NewTable(), parts: NewPartTable(), store: s, log: log, clock: clock,
		unsaved: make(chan unsaved, maxUnsaved)}
}

// Start starts to load the records, to save changes and to remove expired entries, all in the
// background. It never fails.
func (k *Keeper) Start(context.Context) error {
	k.Run(
		func(ctx context.Context) { kernel.RetryUntilDone(ctx, loadRetry, k.load) },
		k.saveLoop,
		func(ctx context.Context) {
			kernel.Every(ctx, expireInterval, func(context.Context) {
				k.Expire(k.clock())
				k.parts.Expire(k.clock())
			})
		},
	)
	return nil
}

// RecordCrash records that a target crashed as it began to run a request. If that starts or extends
// the request's quarantine, the record is saved in the store.
func (k *Keeper) RecordCrash(r *Request, c Crash) {
	v, starts := k.Table.RecordCrash(r, c)
	k.log.Warn(telemetry.EventTargetCrashed, telemetry.F("target", c.Run),
		telemetry.F("ran_ms", c.At.Sub(c.Began).Milliseconds()), telemetry.F("print", v.ID.Fingerprint),
		telemetry.F("caller", r.Source), telemetry.F("ends", v.Crashes), telemetry.F("parts", FormatParts(r.Parts)))
	if starts {
		k.logQuarantined(v, "here")
		k.queueSave(k.Table, KeyPrefix, v.ID)
	}
	if v.Crashes > 1 {
		// The request itself may be at fault. Its parts are if other requests with them crash targets too.
		return
	}
	for _, held := range k.parts.RecordCrash(r, c) {
		k.log.Warn(telemetry.EventPartHeld, telemetry.F("part", held.Part), telemetry.F("print", held.ID.Fingerprint),
			telemetry.F("account", r.Account), telemetry.F("service", r.Service), telemetry.F("ends", held.Crashes),
			telemetry.F("from", "here"))
		k.queueSave(k.parts.table, PartKeyPrefix, held.ID)
	}
}

// PartVerdict returns what is known of the parts of a request's prompt.
func (k *Keeper) PartVerdict(r *Request, now time.Time) PartVerdict { return k.parts.Verdict(r, now) }

// BeginPartTrial begins a trial of a held part, as PartTable.BeginTrial does, and EndPartTrial ends it.
func (k *Keeper) BeginPartTrial(id ID) bool { return k.parts.BeginTrial(id) }

// EndPartTrial ends a trial that BeginPartTrial allowed.
func (k *Keeper) EndPartTrial(id ID) { k.parts.EndTrial(id) }

// RecordSuccess records that a target of the given software version has run a request successfully. If
// the request was quarantined, or parts of its prompt were held, their records are deleted from the store.
func (k *Keeper) RecordSuccess(r *Request, version string) {
	k.recordRequestSuccess(r)
	for _, freed := range k.parts.RecordSuccess(r, version) {
		k.log.Info(telemetry.EventPartCleared, telemetry.F("part", freed.Part), telemetry.F("print", freed.ID.Fingerprint),
			telemetry.F("account", r.Account), telemetry.F("service", r.Service), telemetry.F("ends", freed.Crashes))
		if freed.Stored {
			k.queueSave(k.parts.table, PartKeyPrefix, freed.ID)
		}
	}
}

// recordRequestSuccess clears the request in the table of requests.
func (k *Keeper) recordRequestSuccess(r *Request) {
	before := k.Verdict(r, k.clock())
	if !k.Table.RecordSuccess(r) {
		return
	}
	k.log.Info(telemetry.EventCleared, telemetry.F("print", before.ID.Fingerprint),
		telemetry.F("ends", before.Crashes))
	if before.Crashes >= quarantineCrashes {
		k.queueSave(k.Table, KeyPrefix, before.ID)
	}
}

// MergeFrom merges snapshots of entries into the tables. from is their origin for the log: the name
// of another VM, or "store".
func (k *Keeper) MergeFrom(from string, s Snapshots) {
	for _, v := range k.Merge(s.Requests, k.clock()) {
		k.logQuarantined(v, from)
	}
	for _, v := range k.parts.Merge(s.Parts, k.clock()) {
		k.log.Warn(telemetry.EventPartHeld, telemetry.F("print", v.ID.Fingerprint), telemetry.F("ends", v.Crashes),
			telemetry.F("from", from))
	}
}

// Known returns whether the quarantines that began before Start are known: they have been read from the store, or
// another VM has sent them.
func (k *Keeper) Known() bool { return k.known.Load() }

// SetKnown records that another VM has sent all quarantines that it knows.
func (k *Keeper) SetKnown() { k.known.Store(true) }

// TakeChanged returns the entries that all VMs must know and that have changed since its last call.
func (k *Keeper) TakeChanged(now time.Time) Snapshots {
	return Snapshots{Requests: k.Table.TakeChanged(now), Parts: k.parts.TakeChanged(now)}
}

// TakeCleared returns the entries that some VMs should know and that were cleared since its last call.
func (k *Keeper) TakeCleared(now time.Time) Snapshots {
	return Snapshots{Parts: k.parts.TakeCleared(now)}
}

// Top returns the n most severe entries of requests and as many of parts.
func (k *Keeper) Top(n int, now time.Time) Snapshots {
	return Snapshots{Requests: k.Table.Top(n, now), Parts: k.parts.Top(n, now)}
}

// logQuarantined logs that a request is quarantined. from is "here" or the argument of MergeFrom.
func (k *Keeper) logQuarantined(v Verdict, from string) {
	k.log.Warn(telemetry.EventQuarantined, telemetry.F("print", v.ID.Fingerprint), telemetry.F("ends", v.Crashes),
		telemetry.F("trial_s", int(v.TrialAt.Sub(k.clock()).Seconds())),
		telemetry.F("until_s", int(v.Until.Sub(k.clock()).Seconds())), telemetry.F("from", from))
}

// queueSave queues an entry for saveRecord. If the queue is full because the store is unreachable,
// the record is not written, but the running VMs know the quarantine.
func (k *Keeper) queueSave(t *Table, prefix string, id ID) {
	select {
	case k.unsaved <- unsaved{t, prefix, id}:
	default:
		k.log.Warn(telemetry.EventStoreCallFailed, telemetry.F("what", prefix),
			telemetry.F("cause", "the queue of records to save is full"))
	}
}

// saveLoop calls saveRecord for the queued entries, one after another, until ctx ends.
func (k *Keeper) saveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-k.unsaved:
			kernel.RetryUntilDone(ctx, storeRetry, func(ctx context.Context) error { return k.saveRecord(ctx, u) })
		}
	}
}

// saveRecord writes the record of an entry, or deletes it if the subject is no longer quarantined.
func (k *Keeper) saveRecord(ctx context.Context, u unsaved) error {
	now := k.clock()
	conds, err := k.conditions(ctx, u.id.storeKey(u.prefix))
	if err != nil {
		return err
	}
	if s, ok := u.table.Snapshot(u.id, now); ok && s.crashCount() >= quarantineCrashes {
		value, err := json.Marshal(encodeRecord(s, time.Now()))
		if err != nil {
			// Numbers always encode.
			panic("quarantine: encode record: " + err.Error())
		}
		_, err = k.store.Commit(ctx, store.Txn{Conds: conds, Puts: []store.Put{{Key: conds[1].Key, Value: value}}})
		return err
	}
	return k.deleteRecords(ctx, conds)
}

// conditions returns the conditions that the head and the records of the given keys are as they are now. The
// first is that of the head.
func (k *Keeper) conditions(ctx context.Context, keys ...string) ([]store.Cond, error) {
	var conds []store.Cond
	for _, key := range append([]string{headKey}, keys...) {
		r, err := k.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return nil, err
		}
		conds = append(conds, store.Cond{Key: key, Version: r.Version})
	}
	return conds, nil
}

// deleteRecords deletes the records that conds names after the head.
func (k *Keeper) deleteRecords(ctx context.Context, conds []store.Cond) error {
	txn := store.Txn{Conds: conds, Puts: []store.Put{{Key: headKey, Value: []byte("{}")}}}
	for _, c := range conds[1:] {
		txn.Deletes = append(txn.Deletes, c.Key)
	}
	_, err := k.store.Commit(ctx, txn)
	return err
}

// load merges all records in the store into the tables and deletes expired ones. It logs and skips
// records that cannot be decoded.
func (k *Keeper) load(ctx context.Context) error {
	conds, err := k.conditions(ctx)
	if err != nil {
		return err
	}
	records, err := k.store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	var loaded Snapshots
	for _, r := range records {
		into, prefix, sched := &loaded.Requests, KeyPrefix, k.Table.schedule
		if strings.HasPrefix(r.Key, PartKeyPrefix) {
			into, prefix, sched = &loaded.Parts, PartKeyPrefix, k.parts.table.schedule
		}
		s, err := decodeRecord(r, prefix, time.Now())
		if err != nil {
			k.log.BadRow(r.Key, r.Version, err)
			continue
		}
		if expired(s, sched) {
			conds = append(conds, store.Cond{Key: r.Key, Version: r.Version})
			continue
		}
		*into = append(*into, s)
	}
	k.MergeFrom("store", loaded)
	k.known.Store(true)
	if len(conds) == 1 {
		return nil
	}
	return k.deleteRecords(ctx, conds[:min(len(conds), 1+maxDeletes)])
}

// maxDeletes is the maximum number of records that load deletes. It deletes them in one
// transaction, and the store accepts at most 100 entries in a transaction, with two for each record
// and two for the head. The remaining records are deleted when a VM next starts.
const maxDeletes = 49

// record is the stored form of the Snapshot of a quarantined request. It holds Unix times instead
// of ages because records outlive every process. That is precise enough: a quarantine is long
// compared with the differences between the VMs' clocks.
type record struct {
	// Source is the hash of Request.Source.
	Source uint64 `json:"source,string"`
	// Ends are the crashes of targets.
	Ends []recordCrash `json:"ends"`
}

// recordCrash is the stored form of a SnapshotCrash.
type recordCrash struct {
	// Target is the hash of the target's run.
	Target uint64 `json:"target,string"`
	// UnixMS is when the target crashed, and RanMS how long before that the request had been sent
	// to it.
	UnixMS int64 `json:"unix_ms"`
	RanMS  int64 `json:"ran_ms"`
	// Version is the hash of the target's software version, or 0 if it makes no difference.
	Version uint64 `json:"version,string,omitempty"`
	// Void is true if a successful run has cleared the crash.
	Void bool `json:"void,omitempty"`
}

// encodeRecord returns the record of a snapshot. wallNow is the current wall-clock time.
func encodeRecord(s Snapshot, wallNow time.Time) record {
	r := record{Source: s.Source, Ends: make([]recordCrash, 0, len(s.Crashes))}
	for _, e := range s.Crashes {
		r.Ends = append(r.Ends, recordCrash{Target: e.RunHash, UnixMS: wallNow.Add(-e.Age).UnixMilli(),
			RanMS: e.RanFor.Milliseconds(), Version: e.Version, Void: e.Cleared})
	}
	return r
}

// errNoCrashes is the error of decodeRecord for a record without crashes.
var errNoCrashes = errors.New("quarantine: record contains no crashes")

// decodeRecord returns the snapshot that a record of the store holds, whose key has the given prefix. wallNow is the current
// wall-clock time. A crash in the future, or with a negative RanMS, is taken to have happened now,
// or to have a RanMS of 0.
func decodeRecord(r store.Record, prefix string, wallNow time.Time) (Snapshot, error) {
	id, err := parseStoreKey(prefix, r.Key)
	if err != nil {
		return Snapshot{}, err
	}
	var stored record
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode record")
	}
	if len(stored.Ends) == 0 {
		return Snapshot{}, errNoCrashes
	}
	s := Snapshot{ID: id, Source: stored.Source, Crashes: make([]SnapshotCrash, 0, len(stored.Ends))}
	for _, e := range stored.Ends {
		s.Crashes = append(s.Crashes, SnapshotCrash{RunHash: e.Target,
			Age:    max(wallNow.Sub(time.UnixMilli(e.UnixMS)), 0),
			RanFor: time.Duration(max(e.RanMS, 0)) * time.Millisecond, Version: e.Version, Cleared: e.Void})
	}
	return s, nil
}

// hashDigits is the number of hexadecimal digits of ID.Key in a store key.
const hashDigits = 16

// storeKey returns the key of the entry's record: the prefix, then ID.Key and the fingerprint
// in hexadecimal.
func (id ID) storeKey(prefix string) string {
	return prefix + hex64(id.Key) + hex.EncodeToString(id.Fingerprint[:])
}

// hex64 returns n in hexadecimal with hashDigits digits.
func hex64(n uint64) string {
	s := strconv.FormatUint(n, 16)
	for len(s) < hashDigits {
		s = "0" + s
	}
	return s
}

// parseStoreKey returns the ID whose storeKey with the given prefix is key.
func parseStoreKey(prefix, key string) (ID, error) {
	digits := key[min(len(prefix), len(key)):]
	if len(digits) != hashDigits+2*fingerprintBytes {
		return ID{}, errors.Errorf("quarantine: key %q has an invalid length", key)
	}
	var id ID
	var err error
	if id.Key, err = strconv.ParseUint(digits[:hashDigits], 16, 64); err != nil {
		return ID{}, errors.Wrap(err, "key")
	}
	if _, err = hex.Decode(id.Fingerprint[:], []byte(digits[hashDigits:])); err != nil {
		return ID{}, errors.Wrap(err, "print")
	}
	return id, nil
}
