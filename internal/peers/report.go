package peers

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/store"
)

// datagram is what one VM sends another: one of its fields is set.
type datagram struct {
	Report *report `cbor:"1,keyasint,omitempty"`
	News   *news   `cbor:"2,keyasint,omitempty"`
	// Hello is a VM that has just listed the receiver.
	Hello *Member `cbor:"3,keyasint,omitempty"`
	// Question asks for the runs of client accounts, and Answer tells them.
	Question *question   `cbor:"5,keyasint,omitempty"`
	Answer   *answerFrom `cbor:"6,keyasint,omitempty"`
	// Words are of requests that end their targets.
	Words *wordsFrom `cbor:"4,keyasint,omitempty"`
}

// report is the work in hand of one VM or, as a summary, of all VMs of one data
// centre. Its keys on the wire are numbers, as reports are sent often and some
// VMs have narrow links.
type report struct {
	// From is the VM that made the report.
	From Member `cbor:"1,keyasint"`
	// Incarnation and Number order the reports of one VM.
	Incarnation int64  `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
	// Summary says that the report is about From's whole data centre, and
	// Forwarded that the receiver's own relay has passed it on.
	Summary bool `cbor:"4,keyasint,omitempty"`
	// Digest says that the report is about all VMs, those of From's data centre that it is
	// sent to included.
	Digest    bool   `cbor:"11,keyasint,omitempty"`
	Forwarded bool   `cbor:"5,keyasint,omitempty"`
	Work      []item `cbor:"6,keyasint"`
	// Uses are the prompts given to targets since the last report.
	Uses []use `cbor:"7,keyasint,omitempty"`
	// Newest is the highest row version taken in of each followed table.
	Newest []uint64 `cbor:"8,keyasint"`
	// Changing is the engines that have been ordered to change their stage.
	Changing map[string]fleet.Stage `cbor:"9,keyasint,omitempty"`
	// AgesMS is how long ago the store answered From, or a VM of its data centre,
	// that no row of a followed table is newer than Newest.
	AgesMS []uint32 `cbor:"10,keyasint,omitempty"`
	// ClocksMS is what the store's clock was then. Unlike an age it stays true however long
	// the report is on its way.
	ClocksMS []uint64 `cbor:"13,keyasint,omitempty"`
	// Holds says that From, or a VM of its data centre, is holder of the duties.
	Holds bool `cbor:"14,keyasint,omitempty"`
	// Listed is how many VMs From knows.
	Listed int `cbor:"12,keyasint,omitempty"`
}

// agesOf returns how long ago times were, in milliseconds.
func agesOf(times []time.Time, now time.Time) []uint32 {
	ages := make([]uint32, 0, len(times))
	for _, t := range times {
		ms := max(now.Sub(t).Milliseconds(), 0)
		ages = append(ages, uint32(min(ms, math.MaxUint32)))
	}
	return ages
}

// readAt is the reverse of agesOf, for a report that came now.
func (r *report) readAt(now time.Time) []time.Time {
	times := make([]time.Time, 0, len(r.AgesMS))
	for _, ms := range r.AgesMS {
		times = append(times, now.Add(-time.Duration(ms)*time.Millisecond))
	}
	return times
}

// clock returns what the store's clock was as of the report's copy of a followed table, or 0.
func (r *report) clock(table int) time.Duration {
	if table >= len(r.ClocksMS) {
		return 0
	}
	return time.Duration(min(r.ClocksMS[table], maxClockMS)) * time.Millisecond
}

// maxClockMS is the longest time of the store's clock that a time.Duration holds.
const maxClockMS = uint64(math.MaxInt64 / int64(time.Millisecond))

// use is a place.Use on the wire.
type use struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Parts   []uint64
	Missing int
	Failed  bool
	Reads   bool
	// By tells the VM that gave it the prompt from others: digests come back to it.
	By uint16
}

// item is a place.Work on the wire.
type item struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	PrefillUS int64
	Prefills  int
	Running   int
	Streams   int
	Tokens    int
}

func itemsOf(work map[string]place.Work) []item {
	items := make([]item, 0, len(work))
	for id, w := range work {
		items = append(items, item{Target: id, PrefillUS: w.Prefill.Microseconds(), Prefills: w.Prefills, Running: w.Running, Streams: w.Streams, Tokens: w.Tokens})
	}
	// The same work makes the same report, which is then not sent again.
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Target, b.Target) })
	return items
}

func workOf(items []item) map[string]place.Work {
	work := make(map[string]place.Work, len(items))
	for _, i := range items {
		work[i.Target] = place.Work{Prefill: time.Duration(i.PrefillUS) * time.Microsecond, Prefills: i.Prefills, Running: i.Running, Streams: i.Streams, Tokens: i.Tokens}
	}
	return work
}

func usesOf(uses []place.Use, by uint16) []use {
	out := make([]use, 0, len(uses))
	for _, u := range uses {
		out = append(out, use{Target: u.Target, Parts: u.Parts, Missing: u.Missing, Failed: u.Failed, Reads: u.Reads, By: by})
	}
	return out
}

// mark is a short mark of a VM in uses. Two VMs with one mark do not hear of each other's
// uses in digests.
func mark(vm string) uint16 {
	h := fnv.New32a()
	// A hash's Write returns no error.
	_, _ = h.Write([]byte(vm))
	return uint16(h.Sum32())
}

// placeUses returns the uses of other VMs than the one marked by own.
func placeUses(uses []use, own uint16) []place.Use {
	out := make([]place.Use, 0, len(uses))
	for _, u := range uses {
		if u.By == own {
			continue
		}
		out = append(out, place.Use{Target: u.Target, Parts: u.Parts, Missing: u.Missing, Failed: u.Failed, Reads: u.Reads})
	}
	return out
}

// news is a store.Delta on the wire.
type news struct {
	_ struct{} `cbor:",toarray"`
	// Table is the place of the table among those followed.
	Table int
	// The rows are the changes after revision From, up to revision To.
	From uint64
	To   uint64
	// SinceBackMS is how long the store had been back, or -1 where it has not
	// been away.
	SinceBackMS int64
	Rows        []newsRow
}

type newsRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

func newsOf(table int, d store.Delta) *news {
	n := &news{Table: table, From: d.From, To: d.Rows.Revision, SinceBackMS: -1}
	if d.WasAway {
		n.SinceBackMS = d.SinceBack.Milliseconds()
	}
	for _, r := range d.Rows.Rows {
		n.Rows = append(n.Rows, newsRow{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return n
}

func (n *news) delta() store.Delta {
	d := store.Delta{From: n.From, Rows: store.Rows{Revision: n.To}}
	if n.SinceBackMS >= 0 {
		d.WasAway, d.SinceBack = true, time.Duration(n.SinceBackMS)*time.Millisecond
	}
	for _, r := range n.Rows {
		d.Rows.Rows = append(d.Rows.Rows, store.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return d
}
