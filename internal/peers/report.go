package peers

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/store"
)

// datagram is a message from one VM to another, encoded as CBOR. Exactly one of its fields is set.
type datagram struct {
	Report *report `cbor:"1,keyasint,omitempty"`
	// Delta carries changes of a followed table that the sender has read from the store.
	Delta *tableDelta `cbor:"2,keyasint,omitempty"`
	// Difference carries the difference between two reads of a followed table.
	Difference *tableDifference `cbor:"12,keyasint,omitempty"`
	// Hello announces the sender to a VM whose member record it has just read.
	Hello *Member `cbor:"3,keyasint,omitempty"`
	// UsageQuestion asks a VM for its run counts of client accounts, and UsageReply returns them.
	UsageQuestion *usageQuestion `cbor:"5,keyasint,omitempty"`
	UsageReply    *usageReply    `cbor:"6,keyasint,omitempty"`
	// Suspects describes requests that are suspected of crashing their targets.
	Suspects *suspectsMessage `cbor:"4,keyasint,omitempty"`
	// Origins states at which software versions streams began. OriginQuestion asks a VM for that, and
	// OriginReply returns it.
	Origins        *originMessage  `cbor:"7,keyasint,omitempty"`
	OriginQuestion *originQuestion `cbor:"8,keyasint,omitempty"`
	OriginReply    *originReply    `cbor:"9,keyasint,omitempty"`
	// Collect asks a VM to write where streams began to the store. StoredQuestion asks it for what the store
	// tells of a stream; the answer is an OriginReply.
	Collect        *originMessage  `cbor:"10,keyasint,omitempty"`
	StoredQuestion *originQuestion `cbor:"11,keyasint,omitempty"`
}

// report states the work of one VM, the total work of all VMs of one data centre (a summary), or
// the total work of all VMs of all data centres (a digest). Its CBOR keys are numbers because
// reports are sent often and some VMs have narrow links.
type report struct {
	// From is the VM that made the report.
	From Member `cbor:"1,keyasint"`
	// Incarnation and Number order the reports of one VM. Incarnation is the wall-clock time in ns
	// at which the VM's process started, and Number counts the process's reports of one kind: its
	// own reports, summaries or digests.
	Incarnation int64  `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
	// Summary is true if the report covers all VMs of From's data centre.
	Summary bool `cbor:"4,keyasint,omitempty"`
	// Digest is true if the report covers all VMs of all data centres, its receivers included.
	Digest bool `cbor:"11,keyasint,omitempty"`
	// Forwarded is true if the relay of the receiver's data centre has forwarded the summary to the
	// VMs there.
	Forwarded bool `cbor:"5,keyasint,omitempty"`
	// Work holds the work at each target.
	Work []workItem `cbor:"6,keyasint"`
	// SendRecords records the requests sent to targets, and those that failed there, since the
	// last report.
	SendRecords []sendRecord `cbor:"7,keyasint,omitempty"`
	// Outcomes are the outcomes of requests since the last report.
	Outcomes []outcome `cbor:"20,keyasint,omitempty"`
	// Revisions, Newest and KeySums are the fields of the store.Position of each followed table.
	Revisions []uint64 `cbor:"8,keyasint"`
	Newest    []uint64 `cbor:"21,keyasint,omitempty"`
	KeySums   []uint64 `cbor:"22,keyasint,omitempty"`
	// Changing holds the engines that have been ordered to change their stage.
	Changing map[string]fleet.Stage `cbor:"9,keyasint,omitempty"`
	// AgesMS holds, for each followed table, the time in ms since the store last confirmed that no
	// change is later than Revisions. The store confirmed it to one of the VMs that the report covers.
	AgesMS []uint32 `cbor:"10,keyasint,omitempty"`
	// StoreTimesMS holds, for each followed table, the store's clock reading in ms at that
	// confirmation. Unlike an age, it stays correct however long the report is in transit.
	StoreTimesMS []uint64 `cbor:"13,keyasint,omitempty"`
	// HoldsDuties is true if a VM that the report covers holds the duties, see package duty.
	HoldsDuties bool `cbor:"14,keyasint,omitempty"`
	// Used is what client accounts have used recently at the VMs that the report covers. It is not in
	// each report, see usedInterval.
	Used []usedItem `cbor:"15,keyasint,omitempty"`
	// Limits holds limits that targets state on requests, or no longer state. It is not in each report,
	// see limitsInterval.
	Limits []limitItem `cbor:"17,keyasint,omitempty"`
	// WithoutPath names the VMs that reach no target directly, of those that the report covers.
	WithoutPath []string `cbor:"18,keyasint,omitempty"`
	// Versions holds the software versions of services' targets that are known to be in the store. It is
	// not in each report, see versionsInterval.
	Versions []versionsItem `cbor:"19,keyasint,omitempty"`
	// versionsNumber is the number of Versions, and versionsChanged is set if Versions differs from that of
	// the sender's last report with them.
	versionsNumber  uint64
	versionsChanged bool
	// LiveVMs is the number of VMs that the report covers. Only summaries and digests state it.
	LiveVMs int `cbor:"16,keyasint,omitempty"`
	// KnownVMs is the number of VMs that From knows. Only summaries and digests state it.
	KnownVMs int `cbor:"12,keyasint,omitempty"`
}

// addPosition appends the position of the next followed table.
func (r *report) addPosition(p store.Position) {
	r.Revisions, r.Newest, r.KeySums = append(r.Revisions, p.Revision), append(r.Newest, p.Newest), append(r.KeySums, p.KeySum)
}

// positions returns the positions that addPosition has appended. A report of another version of this
// program may state only revisions.
func (r *report) positions() []store.Position {
	out := make([]store.Position, 0, len(r.Revisions))
	for i, revision := range r.Revisions {
		p := store.Position{Revision: revision}
		if i < min(len(r.Newest), len(r.KeySums)) {
			p.Newest, p.KeySum = r.Newest[i], r.KeySums[i]
		}
		out = append(out, p)
	}
	return out
}

// agesMS returns the ages of times at now in ms, limited to the range of uint32.
func agesMS(times []time.Time, now time.Time) []uint32 {
	ages := make([]uint32, 0, len(times))
	for _, t := range times {
		ms := max(now.Sub(t).Milliseconds(), 0)
		ages = append(ages, uint32(min(ms, math.MaxUint32)))
	}
	return ages
}

// readTimes converts AgesMS back to times, for a report received at now.
func (r *report) readTimes(now time.Time) []time.Time {
	times := make([]time.Time, 0, len(r.AgesMS))
	for _, ms := range r.AgesMS {
		times = append(times, now.Add(-time.Duration(ms)*time.Millisecond))
	}
	return times
}

// storeTime returns the store's clock reading for the followed table with the given index, or 0
// if the report has none.
func (r *report) storeTime(table int) time.Duration {
	if table >= len(r.StoreTimesMS) {
		return 0
	}
	return time.Duration(min(r.StoreTimesMS[table], maxStoreTimeMS)) * time.Millisecond
}

// maxStoreTimeMS is the largest clock reading in ms that a time.Duration can hold.
const maxStoreTimeMS = uint64(math.MaxInt64 / int64(time.Millisecond))

// sendRecord is the wire form of place.SendRecord. All its fields except Origin are the fields of
// place.SendRecord with the same names.
type sendRecord struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Parts    []uint64
	Missing  int
	Failed   bool
	Prefills bool
	// Origin is the originHash of the VM that sent the request. A digest also contains the
	// receiver's own send records, which it recognises by this hash and skips.
	Origin uint16
}

// workItem is the wire form of the place.Work of one target. PrefillUS is place.Work.Prefill in µs,
// and the fields after PrefillUS are the fields of place.Work with the same names.
type workItem struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	PrefillUS int64
	Prefills  int
	Running   int
	Streams   int
	Tokens    int
}

// encodeWork returns the wire form of work by target, sorted by target.
func encodeWork(work map[string]place.Work) []workItem {
	items := make([]workItem, 0, len(work))
	for id, w := range work {
		items = append(items, workItem{Target: id, PrefillUS: w.Prefill.Microseconds(),
			Prefills: w.Prefills, Running: w.Running, Streams: w.Streams, Tokens: w.Tokens})
	}
	// Equal work must have equal encodings, so that due recognises an unchanged report.
	slices.SortFunc(items, func(a, b workItem) int { return cmp.Compare(a.Target, b.Target) })
	return items
}

// decodeWork returns the work by target from its wire form.
func decodeWork(items []workItem) map[string]place.Work {
	work := make(map[string]place.Work, len(items))
	for _, i := range items {
		work[i.Target] = place.Work{Prefill: time.Duration(i.PrefillUS) * time.Microsecond,
			Prefills: i.Prefills, Running: i.Running, Streams: i.Streams, Tokens: i.Tokens}
	}
	return work
}

// encodeSendRecords returns the wire form of send records. origin is the originHash of this VM.
func encodeSendRecords(records []place.SendRecord, origin uint16) []sendRecord {
	out := make([]sendRecord, 0, len(records))
	for _, r := range records {
		out = append(out, sendRecord{Target: r.Target, Parts: r.Parts, Missing: r.Missing,
			Failed: r.Failed, Prefills: r.Prefills, Origin: origin})
	}
	return out
}

// originHash returns a short hash of a VM's name. Two VMs whose hashes collide do not see each
// other's send records in digests.
func originHash(vm string) uint16 {
	h := fnv.New32a()
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write([]byte(vm))
	return uint16(h.Sum32())
}

// decodeSendRecords returns the send records whose Origin is not own, the originHash of this VM.
func decodeSendRecords(records []sendRecord, own uint16) []place.SendRecord {
	out := make([]place.SendRecord, 0, len(records))
	for _, r := range records {
		if r.Origin == own {
			continue
		}
		out = append(out, place.SendRecord{Target: r.Target, Parts: r.Parts, Missing: r.Missing,
			Failed: r.Failed, Prefills: r.Prefills})
	}
	return out
}

// tableDelta is the wire form of store.Delta, with the table that was changed.
type tableDelta struct {
	_ struct{} `cbor:",toarray"`
	// TableIndex is the index of the table among the followed tables.
	TableIndex int
	// Rows are the changes after revision From, up to revision To.
	From uint64
	To   uint64
	// SinceRecoveryMS is store.Delta.SinceRecovery in ms, or -1 if store.Delta.AfterOutage is
	// false.
	SinceRecoveryMS int64
	Rows            []deltaRow
	// Packed holds the rows instead of Rows if they are many: encoded and compressed.
	Packed []byte
	// TooLarge is the revision that the sender's copy has reached with the rows if they are left out
	// because they do not fit into a datagram, and otherwise 0.
	TooLarge uint64
}

// tableDifference is the wire form of a store.Delta with Until.
type tableDifference struct {
	_     struct{} `cbor:",toarray"`
	Delta tableDelta
	Until uint64
}

// deltaRow is the wire form of store.Row.
type deltaRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// encodeDelta returns the wire form of changes to the followed table with the given index.
func encodeDelta(index int, d store.Delta) *tableDelta {
	n := &tableDelta{TableIndex: index, From: d.From, To: d.Rows.Revision, SinceRecoveryMS: -1}
	if d.AfterOutage {
		n.SinceRecoveryMS = d.SinceRecovery.Milliseconds()
	}
	size := 0
	for _, r := range d.Rows.Rows {
		n.Rows = append(n.Rows, deltaRow{Key: r.Key, Value: r.Value, Version: r.Version,
			Removed: r.Removed})
		size += len(r.Key) + len(r.Value)
	}
	if size > packMinBytes {
		n.Packed, n.Rows = snapshot.Compress(encode(n.Rows)), nil
	}
	return n
}

// packMinBytes is the size of changes from which they are compressed.
const packMinBytes = 2 << 10

// unpack replaces Packed by Rows. It fails if Packed is invalid.
func (n *tableDelta) unpack() error {
	if len(n.Packed) == 0 {
		return nil
	}
	data, err := snapshot.Decompress(n.Packed)
	if err != nil {
		return err
	}
	n.Packed = nil
	return errors.Wrap(cbor.Unmarshal(data, &n.Rows), "decode changes")
}

// decode returns the changes from their wire form.
func (n *tableDelta) decode() store.Delta {
	d := store.Delta{From: n.From, Rows: store.Rows{Revision: n.To}}
	if n.SinceRecoveryMS >= 0 {
		d.AfterOutage, d.SinceRecovery = true, time.Duration(n.SinceRecoveryMS)*time.Millisecond
	}
	for _, r := range n.Rows {
		d.Rows.Rows = append(d.Rows.Rows, store.Row{Key: r.Key, Value: r.Value, Version: r.Version,
			Removed: r.Removed})
	}
	return d
}
