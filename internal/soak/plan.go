package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// StopVM stops a VM as planned: SIGTERM, and a start after the exit.
	StopVM FaultKind = "vm_stop"
	// RollingStop stops all VMs in turn, each before the previous one has exited.
	RollingStop FaultKind = "vm_roll"
	// KillVM sends SIGKILL to a VM's process, which then starts again.
	KillVM FaultKind = "vm_kill"
	// PauseVM stops a VM's process with SIGSTOP for a time.
	PauseVM FaultKind = "vm_pause"
	// ChangeSettings changes a VM's settings file, with or without SIGHUP.
	ChangeSettings FaultKind = "vm_settings"
	// StoreFault makes the store misbehave for a time.
	StoreFault FaultKind = "store_fault"
	// StoreDropsHistory makes the store drop the history of its changes, so that VMs must list its
	// tables again.
	StoreDropsHistory FaultKind = "store_forgets"
	// StoreLink disturbs the link from one VM to the store, and TargetLink that to a target.
	StoreLink  FaultKind = "store_link"
	TargetLink FaultKind = "target_link"
	// StoreSilence and TargetSilence silence for good the open connections of all VMs to the store,
	// or to one target, while new connections work.
	StoreSilence  FaultKind = "store_silence"
	TargetSilence FaultKind = "target_silence"
	// TargetFault makes a target misbehave for a time.
	TargetFault FaultKind = "target_fault"
	// TargetLimit: a target limits the requests that it accepts, for a time.
	TargetLimit FaultKind = "target_limit"
	// TargetLeaves: a target leaves as planned, and another one replaces it.
	TargetLeaves FaultKind = "target_leaves"
	// TargetCrashes: a target crashes, and another one gets its address.
	TargetCrashes FaultKind = "target_crashes"
	// TargetRestarts: a target crashes and starts again under its id. ForeignEntries: another
	// program writes entries, also over those of targets, which write theirs again. Only explicit
	// plans (Config.Faults) contain these two, so that a seed that once failed keeps its plan.
	TargetRestarts FaultKind = "target_reborn"
	ForeignEntries FaultKind = "foreign_entries"
	// CrashingRequest: a request that crashes each target that runs it is sent again and again.
	// Only explicit plans contain it.
	CrashingRequest FaultKind = "deadly_request"
	// RevokeKey revokes a key of a client account. Only explicit plans contain it.
	RevokeKey FaultKind = "key_revoked"
	// ChangeConfig writes one new configuration version, and ConfigStorm several in quick
	// succession.
	ChangeConfig FaultKind = "config_change"
	ConfigStorm  FaultKind = "config_storm"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind FaultKind
	// At is the time since the start of the run. Not all kinds use Duration: a stop,
	// for example, lasts as long as it takes.
	At       time.Duration
	Duration time.Duration
	// Index selects the VM or target, and Variant the form of the fault, both modulo the number of
	// choices.
	Index   int
	Variant int
}

// weightedKinds contains each kind as often as its share among all faults requires.
var weightedKinds = []FaultKind{
	StopVM, StopVM, KillVM, PauseVM, PauseVM, ChangeSettings, StoreFault, StoreFault,
	StoreDropsHistory, StoreLink, StoreLink, TargetLink,
	TargetFault, TargetFault, TargetFault, TargetFault, TargetFault, TargetFault, TargetLeaves,
	TargetCrashes, ChangeConfig, ChangeConfig, ConfigStorm,
}

const (
	// firstFaultAt is the time of the earliest fault; it leaves the VMs time to start.
	firstFaultAt = 2 * time.Second
	// faultFreeTail is the time before the end of a run in which no new fault begins, for recovery.
	faultFreeTail = 4 * time.Second
	// meanFaultGap is the mean time between the starts of two faults.
	meanFaultGap = 400 * time.Millisecond
	// minDuration and maxDuration bound the duration of a fault.
	minDuration = 300 * time.Millisecond
	maxDuration = 4 * time.Second
	// meanSilenceGap is the mean time between two silence faults.
	meanSilenceGap = 4 * time.Second
	// meanLimitGap is the mean time between the beginnings of two limits on requests, and limitDuration
	// how long each lasts. It is longer than limitSettleTime, so that the limit is checked.
	meanLimitGap  = 5 * time.Second
	limitDuration = 8 * time.Second
	// repeatChance is the probability that a fault is repeated the moment it ends.
	repeatChance = 0.25
)

// plannedKinds contains the kinds that are planned operations, after which every invariant holds
// without delay, and faults of targets, during which the VMs must keep every invariant.
var plannedKinds = []FaultKind{StopVM, StopVM, ChangeSettings, TargetFault, TargetFault,
	TargetLeaves, TargetLeaves, ChangeConfig, ConfigStorm}

// One seed in plannedOnlyEvery draws from plannedKinds only: time bounds are checked on undisturbed
// VMs, of which other seeds have few.
const plannedOnlyEvery = 3

// One seed in rollingStopEvery stops all VMs in turn, at the time of the first fault and halfway:
// callers then go to stopping VMs, as no others are left.
const rollingStopEvery = 5

// Plan generates the faults of a run from a seed: the same seed and length give the same plan.
// Faults overlap, and some are repeated.
func Plan(seed uint64, length time.Duration) []Fault {
	kinds := weightedKinds
	if seed%plannedOnlyEvery == 0 {
		kinds = plannedKinds
	}
	out := append(silences(seed, length), limits(seed, length)...)
	r := rand.New(rand.NewPCG(seed, seed))
	at := firstFaultAt
	for at < length-faultFreeTail {
		f := Fault{
			Kind: kinds[r.IntN(len(kinds))], At: at, Index: r.IntN(1 << 16), Variant: r.IntN(1 << 16),
			Duration: minDuration + time.Duration(r.Int64N(int64(maxDuration-minDuration))),
		}
		out = append(out, f)
		for r.Float64() < repeatChance && f.At+f.Duration < length-faultFreeTail {
			f.At += f.Duration
			f.Variant = r.IntN(1 << 16)
			out = append(out, f)
		}
		at += time.Duration(r.ExpFloat64() * float64(meanFaultGap))
	}
	if seed%rollingStopEvery == rollingStopEvery-1 {
		out = append(out, Fault{Kind: RollingStop, At: firstFaultAt},
			Fault{Kind: RollingStop, At: length / 2})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// limits generates the limits on requests from a random sequence of their own, so that the other
// faults of a seed that failed stay as they were.
func limits(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(^seed, seed))
	var out []Fault
	for at := firstFaultAt; at < length-faultFreeTail; at += time.Duration(r.ExpFloat64() * float64(meanLimitGap)) {
		out = append(out, Fault{Kind: TargetLimit, At: at, Duration: limitDuration, Index: r.IntN(1 << 16), Variant: r.IntN(1 << 16)})
	}
	return out
}

// silences generates the silence faults from a random sequence of their own, so that the other
// faults of a seed that failed stay as they were.
func silences(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, ^seed))
	kinds := []FaultKind{StoreSilence, TargetSilence}
	var out []Fault
	for at := firstFaultAt; at < length-faultFreeTail; at += time.Duration(r.ExpFloat64() * float64(meanSilenceGap)) {
		out = append(out, Fault{Kind: kinds[r.IntN(len(kinds))], At: at, Index: r.IntN(1 << 16),
			Variant: r.IntN(1 << 16)})
	}
	return out
}
