package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	// Of a VM's process. Stop is planned: SIGTERM, and a start after the end.
	Stop Kind = "vm_stop"
	// Roll stops all VMs in turn, each before the one before it has ended.
	Roll   Kind = "vm_roll"
	Kill   Kind = "vm_kill"
	Pause  Kind = "vm_pause"
	Hangup Kind = "vm_settings"
	// Of the store.
	StoreFault  Kind = "store_fault"
	StoreForget Kind = "store_forgets"
	// Of links: from a VM to the store, and to a target.
	StoreLink  Kind = "store_link"
	TargetLink Kind = "target_link"
	// Of the connections that are open: those of all VMs to the store, or to a
	// target, fall silent for good, while new ones pass.
	StoreSilence  Kind = "store_silence"
	TargetSilence Kind = "target_silence"
	// Of targets. Leave is planned; Crash frees the address for another one.
	TargetFault Kind = "target_fault"
	Leave       Kind = "target_leaves"
	Crash       Kind = "target_crashes"
	// Reborn: a target crashes and starts again under its id. Foreign: another program
	// writes entries, also over those of targets, which write theirs again. Both are dealt
	// by histories only: what is drawn for a seed stays as it was when it failed.
	Reborn  Kind = "target_reborn"
	Foreign Kind = "foreign_entries"
	// Deadly: a request that ends each target that runs it is sent again and again. It is dealt
	// by histories only, as well.
	Deadly Kind = "deadly_request"
	// Revoke takes a key from an account. It is dealt by histories only, as well.
	Revoke Kind = "key_revoked"
	// Of the configuration: one change, or several in quick succession.
	Change Kind = "config_change"
	Storm  Kind = "config_storm"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	At   time.Duration
	For  time.Duration
	// Index chooses the VM or target, and Variant the way, both modulo what
	// there is.
	Index   int
	Variant int
}

// kinds has each kind as often as it is dealt among others.
var kinds = []Kind{
	Stop, Stop, Kill, Pause, Pause, Hangup, StoreFault, StoreFault, StoreForget, StoreLink, StoreLink,
	TargetLink, TargetFault, TargetFault, TargetFault, TargetFault, TargetFault, TargetFault, Leave, Crash, Change, Change, Storm,
}

const (
	// firstFault leaves the VMs time to come up.
	firstFault = 2 * time.Second
	// lastFault is kept free of new faults before the end, for recovery.
	lastFault = 4 * time.Second
	// meanGap is the mean time between the begins of two faults.
	meanGap = 400 * time.Millisecond
	// shortest and longest bound a fault's duration.
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
	// silenceGap is the mean time between two silences.
	silenceGap = 4 * time.Second
	// series is the chance that a fault comes again at the moment it ends.
	series = 0.25
)

// planned has the kinds after which every promise holds at once, and faults of
// targets, which excuse no VM.
var planned = []Kind{Stop, Stop, Hangup, TargetFault, TargetFault, Leave, Leave, Change, Storm}

// plannedEvery is how many seeds there are for each that deals planned kinds
// only: bounds on time are judged on undisturbed VMs, of which other seeds have
// few.
const plannedEvery = 3

// rolledEvery is how many seeds there are for each in which all VMs are stopped in
// turn, at the first fault and halfway: callers then go to VMs that stop, as no
// others are left.
const rolledEvery = 5

// Plan deals faults by a seed: the same seed gives the same plan. They overlap,
// and some come in series.
func Plan(seed uint64, length time.Duration) []Fault {
	kinds := kinds
	if seed%plannedEvery == 0 {
		kinds = planned
	}
	out := silences(seed, length)
	r := rand.New(rand.NewPCG(seed, seed))
	at := firstFault
	for at < length-lastFault {
		f := Fault{
			Kind: kinds[r.IntN(len(kinds))], At: at, Index: r.IntN(1 << 16), Variant: r.IntN(1 << 16),
			For: shortest + time.Duration(r.Int64N(int64(longest-shortest))),
		}
		out = append(out, f)
		for r.Float64() < series && f.At+f.For < length-lastFault {
			f.At += f.For
			f.Variant = r.IntN(1 << 16)
			out = append(out, f)
		}
		at += time.Duration(r.ExpFloat64() * float64(meanGap))
	}
	if seed%rolledEvery == rolledEvery-1 {
		out = append(out, Fault{Kind: Roll, At: firstFault}, Fault{Kind: Roll, At: length / 2})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// silences deals the silences of connections by a sequence of their own, so that
// the other faults of a seed stay as they were when it failed.
func silences(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, ^seed))
	kinds := []Kind{StoreSilence, TargetSilence}
	var out []Fault
	for at := firstFault; at < length-lastFault; at += time.Duration(r.ExpFloat64() * float64(silenceGap)) {
		out = append(out, Fault{Kind: kinds[r.IntN(len(kinds))], At: at, Index: r.IntN(1 << 16), Variant: r.IntN(1 << 16)})
	}
	return out
}
