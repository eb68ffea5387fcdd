package quarantine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// KeyPrefix is the prefix of the keys of the records of quarantined requests in the store.
	KeyPrefix = "quarantine/"
	// expireInterval is how often expired entries are removed from the table.
	expireInterval = 10 * time.Second
	// maxUnsaved is the capacity of the queue of requests whose records are to be written.
	maxUnsaved = 256
)

// storeRetry is the policy for retries of calls to the store. They need not be fast: a quarantine
// takes effect on this VM and is sent to the other VMs without the store. The stored record is for
// VMs that start when no other VM is left that knows the quarantine.
var storeRetry = kernel.RetryPolicy{InitialWait: 300 * time.Millisecond, MaxWait: 3 * time.Second,
	Timeout: 2 * time.Second}

// Keeper is a Table that also persists quarantines in the store, so that they outlive all
// processes.
type Keeper struct {
	*Table
	kernel.Background
	store store.Table
	log   *telemetry.Logger
	// clock returns the current time, see NewKeeper.
	clock func() time.Time
	// unsaved queues the requests whose records must be written or deleted.
	unsaved chan ID
}

// NewKeeper returns a Keeper whose table is empty until Start loads the records. clock returns the
// current time and must also count the time for which the machine is suspended.
func NewKeeper(s store.Table, log *telemetry.Logger, clock func() time.Time) *Keeper {
	return &Keeper{Table: NewTable(), store: s, log: log, clock: clock,
		unsaved: make(chan ID, maxUnsaved)}
}

// Start starts to load the records, to save changes and to remove expired entries, all in the
// background. It never fails.
func (k *Keeper) Start(context.Context) error {
	k.Run(
		func(ctx context.Context) { kernel.RetryUntilDone(ctx, storeRetry, k.load) },
		k.saveLoop,
		func(ctx context.Context) {
			kernel.Every(ctx, expireInterval, func(context.Context) { k.Expire(k.clock()) })
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
		k.queueSave(v.ID)
	}
}

// RecordSuccess records that a target has run a request successfully. If the request was
// quarantined, its record is deleted from the store.
func (k *Keeper) RecordSuccess(r *Request) {
	before := k.Verdict(r, k.clock())
	if !k.Table.RecordSuccess(r) {
		return
	}
	k.log.Info(telemetry.EventCleared, telemetry.F("print", before.ID.Fingerprint),
		telemetry.F("ends", before.Crashes))
	if before.Crashes >= quarantineCrashes {
		k.queueSave(before.ID)
	}
}

// MergeFrom merges snapshots of entries into the table. from is their origin for the log: the name
// of another VM, or "store".
func (k *Keeper) MergeFrom(from string, snapshots []Snapshot) {
	for _, v := range k.Merge(snapshots, k.clock()) {
		k.logQuarantined(v, from)
	}
}

// logQuarantined logs that a request is quarantined. from is "here" or the argument of MergeFrom.
func (k *Keeper) logQuarantined(v Verdict, from string) {
	k.log.Warn(telemetry.EventQuarantined, telemetry.F("print", v.ID.Fingerprint), telemetry.F("ends", v.Crashes),
		telemetry.F("trial_s", int(v.TrialAt.Sub(k.clock()).Seconds())),
		telemetry.F("until_s", int(v.Until.Sub(k.clock()).Seconds())), telemetry.F("from", from))
}

// queueSave queues a request for saveRecord. If the queue is full because the store is unreachable,
// the record is not written, but the running VMs know the quarantine.
func (k *Keeper) queueSave(id ID) {
	select {
	case k.unsaved <- id:
	default:
		k.log.Warn(telemetry.EventStoreCallFailed, telemetry.F("what", KeyPrefix),
			telemetry.F("cause", "the queue of records to save is full"))
	}
}

// saveLoop calls saveRecord for the queued requests, one after another, until ctx ends.
func (k *Keeper) saveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-k.unsaved:
			kernel.RetryUntilDone(ctx, storeRetry, func(ctx context.Context) error { return k.saveRecord(ctx, id) })
		}
	}
}

// saveRecord writes the record of a request, or deletes it if the request is no longer quarantined.
func (k *Keeper) saveRecord(ctx context.Context, id ID) error {
	now := k.clock()
	txn := store.Txn{Deletes: []string{id.storeKey()}}
	if s, ok := k.Snapshot(id, now); ok && s.crashCount() >= quarantineCrashes {
		value, err := json.Marshal(encodeRecord(s, time.Now()))
		if err != nil {
			// Numbers always encode.
			panic("quarantine: encode record: " + err.Error())
		}
		txn = store.Txn{Puts: []store.Put{{Key: id.storeKey(), Value: value}}}
	}
	_, err := k.store.Commit(ctx, txn)
	return err
}

// load merges all records in the store into the table and deletes expired ones. It logs and skips
// records that cannot be decoded.
func (k *Keeper) load(ctx context.Context) error {
	records, err := k.store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	var snapshots []Snapshot
	var expiredKeys []string
	for _, r := range records {
		s, err := decodeRecord(r, time.Now())
		if err != nil {
			k.log.Warn(telemetry.EventBadRow, telemetry.F("key", r.Key),
				telemetry.F("revision", r.Version), telemetry.F("cause", err))
			continue
		}
		if expired(s) {
			expiredKeys = append(expiredKeys, r.Key)
			continue
		}
		snapshots = append(snapshots, s)
	}
	k.MergeFrom("store", snapshots)
	if len(expiredKeys) == 0 {
		return nil
	}
	_, err = k.store.Commit(ctx, store.Txn{Deletes: expiredKeys[:min(len(expiredKeys), maxDeletes)]})
	return err
}

// maxDeletes is the maximum number of records that load deletes. It deletes them in one
// transaction, and the store accepts at most 100 entries in a transaction. The remaining records
// are deleted when a VM next starts.
const maxDeletes = 100

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
	// Void is true if a successful run of the request has cleared the crash.
	Void bool `json:"void,omitempty"`
}

// encodeRecord returns the record of a snapshot. wallNow is the current wall-clock time.
func encodeRecord(s Snapshot, wallNow time.Time) record {
	r := record{Source: s.Source, Ends: make([]recordCrash, 0, len(s.Crashes))}
	for _, e := range s.Crashes {
		r.Ends = append(r.Ends, recordCrash{Target: e.RunHash, UnixMS: wallNow.Add(-e.Age).UnixMilli(),
			RanMS: e.RanFor.Milliseconds(), Void: e.Cleared})
	}
	return r
}

// errNoCrashes is the error of decodeRecord for a record without crashes.
var errNoCrashes = errors.New("quarantine: record contains no crashes")

// decodeRecord returns the snapshot that a record of the store holds. wallNow is the current
// wall-clock time. A crash in the future, or with a negative RanMS, is taken to have happened now,
// or to have a RanMS of 0.
func decodeRecord(r store.Record, wallNow time.Time) (Snapshot, error) {
	id, err := parseStoreKey(r.Key)
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
			RanFor: time.Duration(max(e.RanMS, 0)) * time.Millisecond, Cleared: e.Void})
	}
	return s, nil
}

// hashDigits is the number of hexadecimal digits of ID.Key in a store key.
const hashDigits = 16

// storeKey returns the key of the request's record: the prefix, then ID.Key and the fingerprint
// in hexadecimal.
func (id ID) storeKey() string {
	return KeyPrefix + hex64(id.Key) + hex.EncodeToString(id.Fingerprint[:])
}

// hex64 returns n in hexadecimal with hashDigits digits.
func hex64(n uint64) string {
	s := strconv.FormatUint(n, 16)
	for len(s) < hashDigits {
		s = "0" + s
	}
	return s
}

// parseStoreKey returns the ID whose storeKey is key.
func parseStoreKey(key string) (ID, error) {
	digits := key[min(len(KeyPrefix), len(key)):]
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
