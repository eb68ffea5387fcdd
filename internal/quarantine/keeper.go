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
	// KeyPrefix is where quarantined requests stand in the store.
	KeyPrefix = "quarantine/"
	// expireInterval is how often old entries are dropped.
	expireInterval = 10 * time.Second
	// maxUnsaved bounds the changes that wait for the store.
	maxUnsaved = 256
)

// calling bounds the calls to the store. A quarantine is in force here and told to the others
// without them: the store's record is for VMs that start when no other VM is left to tell them.
var calling = kernel.Retrying{First: 300 * time.Millisecond, Most: 3 * time.Second, Timeout: 2 * time.Second}

// Keeper is a Table whose quarantines last beyond all processes: they stand in the store.
type Keeper struct {
	*Table
	kernel.Background
	store store.Table
	log   *telemetry.Logger
	clock func() time.Time
	// changed holds the requests whose records are to be written.
	changed chan ID
}

// NewKeeper returns a keeper that knows nothing before Start. clock also counts the time for
// which the machine is suspended.
func NewKeeper(s store.Table, log *telemetry.Logger, clock func() time.Time) *Keeper {
	return &Keeper{Table: NewTable(), store: s, log: log, clock: clock, changed: make(chan ID, maxUnsaved)}
}

// Start begins to read and write the records.
func (k *Keeper) Start(context.Context) error {
	k.Run(
		func(ctx context.Context) { kernel.Until(ctx, calling, k.load) },
		k.save,
		func(ctx context.Context) {
			kernel.Every(ctx, expireInterval, func(context.Context) { k.Expire(k.clock()) })
		},
	)
	return nil
}

// Ended notes that a run of a target ended as it began to run a request.
func (k *Keeper) Ended(r *Request, n End) {
	v, begins := k.Table.Ended(r, n)
	k.log.Warn(telemetry.EventTargetEnded, telemetry.F("target", n.Run), telemetry.F("ran_ms", n.At.Sub(n.Began).Milliseconds()), telemetry.F("print", v.ID.Print),
		telemetry.F("caller", r.Source), telemetry.F("ends", v.Ends))
	if begins {
		k.logBegun(v, "here")
		k.write(v.ID)
	}
}

// Served notes that a target has run a request to its end.
func (k *Keeper) Served(r *Request) {
	before := k.Judge(r, k.clock())
	if !k.Table.Served(r) {
		return
	}
	k.log.Info(telemetry.EventCleared, telemetry.F("print", before.ID.Print), telemetry.F("ends", before.Ends))
	if before.Ends >= quarantineEnds {
		k.write(before.ID)
	}
}

// Hear takes in what another VM knows.
func (k *Keeper) Hear(from string, words []Word) {
	for _, v := range k.Merge(words, k.clock()) {
		k.logBegun(v, from)
	}
}

func (k *Keeper) logBegun(v Verdict, from string) {
	k.log.Warn(telemetry.EventQuarantined, telemetry.F("print", v.ID.Print), telemetry.F("ends", v.Ends),
		telemetry.F("trial_s", int(v.TrialAt.Sub(k.clock()).Seconds())), telemetry.F("until_s", int(v.Until.Sub(k.clock()).Seconds())), telemetry.F("from", from))
}

// write has a request's record written. While the store is away as many wait as fit; the
// others are known to the VMs that are up.
func (k *Keeper) write(id ID) {
	select {
	case k.changed <- id:
	default:
		k.log.Warn(telemetry.EventStoreCallFailed, telemetry.F("what", KeyPrefix), telemetry.F("cause", "too many records wait"))
	}
}

func (k *Keeper) save(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-k.changed:
			kernel.Until(ctx, calling, func(ctx context.Context) error { return k.saveOne(ctx, id) })
		}
	}
}

// saveOne writes the record of a request that is in quarantine, and removes that of one that
// is not any more.
func (k *Keeper) saveOne(ctx context.Context, id ID) error {
	now := k.clock()
	txn := store.Txn{Deletes: []string{id.storeKey()}}
	if w, ok := k.Word(id, now); ok && w.count() >= quarantineEnds {
		value, err := json.Marshal(recordOf(w, time.Now()))
		if err != nil {
			// Only numbers are encoded.
			panic("quarantine: encode record: " + err.Error())
		}
		txn = store.Txn{Puts: []store.Put{{Key: id.storeKey(), Value: value}}}
	}
	_, err := k.store.Commit(ctx, txn)
	return err
}

// load reads all records, and removes those that are too old.
func (k *Keeper) load(ctx context.Context) error {
	records, err := k.store.List(ctx, KeyPrefix)
	if err != nil {
		return err
	}
	var words []Word
	var old []string
	for _, r := range records {
		w, err := decodeRecord(r, time.Now())
		if err != nil {
			k.log.Warn(telemetry.EventBadRow, telemetry.F("key", r.Key), telemetry.F("revision", r.Version), telemetry.F("cause", err))
			continue
		}
		if tooOld(w) {
			old = append(old, r.Key)
			continue
		}
		words = append(words, w)
	}
	k.Hear("store", words)
	if len(old) == 0 {
		return nil
	}
	_, err = k.store.Commit(ctx, store.Txn{Deletes: old[:min(len(old), maxDeletes)]})
	return err
}

// maxDeletes is how many records one transaction removes: the store takes 100 entries. The
// rest goes at the next start of a VM.
const maxDeletes = 100

// record is a quarantined request in the store. Its times are Unix times: records outlast
// every process, and a quarantine is long against what VMs' clocks differ by.
type record struct {
	Source uint64      `json:"source,string"`
	Ends   []recordEnd `json:"ends"`
}

type recordEnd struct {
	Target uint64 `json:"target,string"`
	UnixMS int64  `json:"unix_ms"`
	RanMS  int64  `json:"ran_ms"`
	Void   bool   `json:"void,omitempty"`
}

func recordOf(w Word, wall time.Time) record {
	r := record{Source: w.Source, Ends: make([]recordEnd, 0, len(w.Ends))}
	for _, e := range w.Ends {
		r.Ends = append(r.Ends, recordEnd{Target: e.Target, UnixMS: wall.Add(-e.Age).UnixMilli(), RanMS: e.Ran.Milliseconds(), Void: e.Void})
	}
	return r
}

var errNoEnds = errors.New("quarantine: a record without ends")

func decodeRecord(r store.Record, wall time.Time) (Word, error) {
	id, err := parseStoreKey(r.Key)
	if err != nil {
		return Word{}, err
	}
	var stored record
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return Word{}, errors.Wrap(err, "decode record")
	}
	if len(stored.Ends) == 0 {
		return Word{}, errNoEnds
	}
	w := Word{ID: id, Source: stored.Source, Ends: make([]WordEnd, 0, len(stored.Ends))}
	for _, e := range stored.Ends {
		w.Ends = append(w.Ends, WordEnd{Target: e.Target, Age: max(wall.Sub(time.UnixMilli(e.UnixMS)), 0), Ran: time.Duration(max(e.RanMS, 0)) * time.Millisecond, Void: e.Void})
	}
	return w, nil
}

// hashDigits is the number of hexadecimal digits of a hash in a key.
const hashDigits = 16

// storeKey is where the request's record stands: key and print in hexadecimal.
func (id ID) storeKey() string {
	return KeyPrefix + hexOf(id.Key) + hex.EncodeToString(id.Print[:])
}

func hexOf(n uint64) string {
	s := strconv.FormatUint(n, 16)
	for len(s) < hashDigits {
		s = "0" + s
	}
	return s
}

func parseStoreKey(key string) (ID, error) {
	digits := key[min(len(KeyPrefix), len(key)):]
	if len(digits) != hashDigits+2*printBytes {
		return ID{}, errors.Errorf("quarantine: key %q has a wrong length", key)
	}
	var id ID
	var err error
	if id.Key, err = strconv.ParseUint(digits[:hashDigits], 16, 64); err != nil {
		return ID{}, errors.Wrap(err, "key")
	}
	if _, err = hex.Decode(id.Print[:], []byte(digits[hashDigits:])); err != nil {
		return ID{}, errors.Wrap(err, "print")
	}
	return id, nil
}
