package live

import (
	"math/rand/v2"
	"time"

	"garnethoist.org/garnethoist/internal/model"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// EngineCrash ends engines; others start in their places when the fault ends. EngineSilent does
	// the same, but the engines' connections stay open and silent until then.
	EngineCrash  FaultKind = "engine_crash"
	EngineSilent FaultKind = "engine_silent"
	// EngineDrain lists engines as leaving and ends them after drainTime, once they are idle. If the
	// fault has a duration, others start in their places.
	EngineDrain FaultKind = "engine_drain"
	// EngineSlow makes engines take slowFactor times as long.
	EngineSlow FaultKind = "engine_slow"
	// EngineRelease replaces engines one after the other: each drains, and one of the next software version
	// starts in its place.
	EngineRelease FaultKind = "engine_release"
	// EnginePause makes engines do nothing.
	EnginePause FaultKind = "engine_pause"
	// VMKill ends VMs with SIGKILL; they start again when the fault ends.
	VMKill FaultKind = "vm_kill"
	// VMPause stops VMs' processes with SIGSTOP.
	VMPause FaultKind = "vm_pause"
	// VMRoll stops VMs with SIGTERM, one after the other, each of which starts again after its exit.
	VMRoll FaultKind = "vm_roll"
	// StoreSilent makes the store leave all calls unanswered.
	StoreSilent FaultKind = "store_silent"
	// ShortTimeouts changes the configuration: the routes' timeouts become shortTimeoutShare of what
	// they were.
	ShortTimeouts FaultKind = "short_timeouts"
	// ConfigChange writes the configuration anew, with the same content.
	ConfigChange FaultKind = "config_change"
	// CallersLeave makes leaveShare of the callers leave leaveAfter after they have sent a request.
	CallersLeave FaultKind = "callers_leave"
	// HotVM makes hotShare of the callers send their first attempts to one VM.
	HotVM FaultKind = "hot_vm"
)

// Fault is one fault of a day.
type Fault struct {
	Kind FaultKind
	// At is the time since the start of the traffic. A roll and a drain last as long as they take.
	At       time.Duration
	Duration time.Duration
	// Count is the number of engines or VMs, and Seed selects them.
	Count int
	Seed  uint64
}

// DayFaults returns the outages of a day and the stops of all its VMs as faults. Cuts between data
// centres are left out.
func DayFaults(s *model.Site, d *model.Day) []Fault {
	var out []Fault
	for i, o := range d.Outages {
		f := Fault{Kind: EngineCrash, At: secs(o.AtS), Duration: secs(o.ForS), Count: o.Count, Seed: uint64(i)}
		switch {
		case o.Drain:
			f.Kind = EngineDrain
		case o.Silent:
			f.Kind = EngineSilent
		}
		out = append(out, f)
	}
	vms := 0
	for _, dc := range s.DataCentres {
		vms += dc.VMs
	}
	for _, stop := range d.Stops {
		out = append(out, Fault{Kind: VMKill, At: secs(stop.AtS), Duration: secs(stop.ForS), Count: vms})
	}
	return out
}

// dealtKinds holds the kinds of DealFaults and the largest number of engines or VMs that one strikes.
var dealtKinds = []struct {
	kind     FaultKind
	maxCount int
}{
	{EngineCrash, 3}, {EngineSilent, 2}, {EngineDrain, 2}, {EngineSlow, 2}, {VMKill, 2}, {VMPause, 2}, {VMRoll, 8}, {StoreSilent, 0}, {ShortTimeouts, 0}, {CallersLeave, 0},
}

const (
	// firstFaultAt is the time of the earliest dealt fault, and meanFaultGap the mean time between
	// the starts of two.
	firstFaultAt = 2 * time.Second
	meanFaultGap = 3 * time.Second
	minDuration  = 2 * time.Second
	maxDuration  = 6 * time.Second
)

// DealFaults draws faults for a day of the given length. Equal seeds give the same faults.
func DealFaults(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, ^seed))
	var out []Fault
	for at := firstFaultAt; at < length; at += time.Duration(r.ExpFloat64() * float64(meanFaultGap)) {
		k := dealtKinds[r.IntN(len(dealtKinds))]
		f := Fault{Kind: k.kind, At: at, Duration: minDuration + time.Duration(r.Int64N(int64(maxDuration-minDuration))), Seed: r.Uint64()}
		if k.maxCount > 0 {
			f.Count = 1 + r.IntN(k.maxCount)
		}
		out = append(out, f)
	}
	return out
}

// secs converts seconds to a Duration.
func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
