package peers

import (
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// report is one VM's work in hand. Its keys on the wire are numbers, as reports
// are sent often and some VMs have narrow links.
type report struct {
	VM string `cbor:"1,keyasint"`
	// Address is where the VM listens, for those that have not listed it yet.
	Address string `cbor:"2,keyasint"`
	// Incarnation and Number order the reports of one VM.
	Incarnation int64  `cbor:"3,keyasint"`
	Number      uint64 `cbor:"4,keyasint"`
	Work        []item `cbor:"5,keyasint"`
	// Uses are the prompts given to targets since the last report.
	Uses []use `cbor:"6,keyasint,omitempty"`
	// Newest is the highest row version taken in of each followed table.
	Newest []uint64 `cbor:"7,keyasint"`
	// Changing is the engines that this VM has ordered to change their stage.
	Changing map[string]fleet.Stage `cbor:"8,keyasint,omitempty"`
}

// use is a place.Use on the wire.
type use struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Parts   []uint64
	Missing int
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
	return items
}

func usesOf(uses []place.Use) []use {
	out := make([]use, 0, len(uses))
	for _, u := range uses {
		out = append(out, use{Target: u.Target, Parts: u.Parts, Missing: u.Missing})
	}
	return out
}
