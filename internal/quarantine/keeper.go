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
	// KeyPrefix is the prefix of the keys of quarantined requests in the store.
	KeyPrefix = "quarantine/"
	// expireInterval is how often old entries are removed.
	expireInterval = 10 * time.Second
	// maxUnsaved limits the queue of records to write to the store.
	maxUnsaved = 256
)

// storeRetry limits the calls to the store. A quarantine takes effect here and is sent to the
// other VMs without the store: the stored record is for VMs that start when no other VM is left
// to inform them.
var storeRetry = kernel.RetryPolicy{InitialWait: 300 * time.Millisecond, MaxWait: 3 * time.Second,
	Timeout: 2 * time.Second}

// Keeper is a Table that also persists quarantines in the store, so that they outlive all
// processes.
type Keeper struct {
	*Table
	kernel.Background
	store store.Table
	log   *telemetry.Logger
	clock func() time.Time
	// unsaved queues the requests whose records must be written.
	unsaved chan ID
}

// NewKeeper returns a Keeper that is empty until Start loads it. clock must also count the time
// for which the machine is suspended.
func NewKeeper(s store.Table, log *telemetry.Logger, clock func() time.Time) *Keeper {
	return &Keeper{Table: NewTable(), store: s, log: log, clock: clock,
		unsaved: make(chan ID, maxUnsaved)}
}

// Start starts to load, save and expire the records in the background.
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

// RecordCrash records that a target crashed as it began to run a request.
func (k *Keeper) RecordCrash(r *Request, end Crash) {
	v, starts := k.Table.RecordCrash(r, end)
	k.log.Warn(telemetry.EventTargetCrashed, telemetry.F("target", end.Run),
		telemetry.F("ran_ms", end.At.Sub(end.Began).Milliseconds()), telemetry.F("print", v.ID.Fingerprint),
		telemetry.F("caller", r.Source), telemetry.F("ends", v.Crashes))
	if starts {
		k.logQuarantined(v, "here")
		k.queueSave(v.ID)
	}
}

// RecordSuccess records that a target has run a request successfully.
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

// MergeFrom merges entries that another VM, or the store, has sent.
func (k *Keeper) MergeFrom(from string, snapshots []Snapshot) {
	for _, v := range k.Merge(snapshots, k.clock()) {
		k.logQuarantined(v, from)
	}
}

func (k *Keeper) logQuarantined(v Verdict, from string) {
	k.log.Warn(telemetry.EventQuarantined, telemetry.F("print", v.ID.Fingerprint), telemetry.F("ends", v.Crashes),
		telemetry.F("trial_s", int(v.TrialAt.Sub(k.clock()).Seconds())),
		telemetry.F("until_s", int(v.Until.Sub(k.clock()).Seconds())), telemetry.F("from", from))
}

// queueSave queues a request's record for writing. If the queue is full because the store is
// unreachable, the record is not written, but the running VMs know it.
func (k *Keeper) queueSave(id ID) {
	select {
	case k.unsaved <- id:
	default:
		k.log.Warn(telemetry.EventStoreCallFailed, telemetry.F("what", KeyPrefix),
			telemetry.F("cause", "the queue of records to save is full"))
	}
}

// saveLoop writes the queued records, one after another, until ctx ends.
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

// saveRecord writes the record of a request that is quarantined, and deletes that of one that is
// no longer.
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

// load reads all records and deletes expired ones.
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

// maxDeletes is the number of records deleted in one transaction: the store accepts 100 entries.
// The rest is deleted when a VM starts the next time.
const maxDeletes = 100

// record is a quarantined request in the store. It holds Unix times because records outlive every
// process; a quarantine is long compared with the differences between the VMs' clocks.
type record struct {
	Source uint64        `json:"source,string"`
	Ends   []recordCrash `json:"ends"`
}

type recordCrash struct {
	Target uint64 `json:"target,string"`
	UnixMS int64  `json:"unix_ms"`
	RanMS  int64  `json:"ran_ms"`
	Void   bool   `json:"void,omitempty"`
}

func encodeRecord(s Snapshot, wallNow time.Time) record {
	r := record{Source: s.Source, Ends: make([]recordCrash, 0, len(s.Crashes))}
	for _, e := range s.Crashes {
		r.Ends = append(r.Ends, recordCrash{Target: e.RunHash, UnixMS: wallNow.Add(-e.Age).UnixMilli(),
			RanMS: e.RanFor.Milliseconds(), Void: e.Cleared})
	}
	return r
}

var errNoCrashes = errors.New("quarantine: record contains no crashes")

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

// hashDigits is the number of hexadecimal digits of a hash in a key.
const hashDigits = 16

// storeKey returns the key of the request's record: the prefix, then ID.Key and the fingerprint
// in hexadecimal.
func (id ID) storeKey() string {
	return KeyPrefix + hex64(id.Key) + hex.EncodeToString(id.Fingerprint[:])
}

func hex64(n uint64) string {
	s := strconv.FormatUint(n, 16)
	for len(s) < hashDigits {
		s = "0" + s
	}
	return s
}

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
