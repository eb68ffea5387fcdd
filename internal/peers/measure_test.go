package peers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/profile"
	"garnethoist.org/garnethoist/internal/store"
)

// measured returns a measurement of each kind.
func measured() []place.Measurement {
	return []place.Measurement{
		{Service: "m", Steps: &profile.Steps{Events: 16, Took: time.Second, Load: profile.Load{Running: 3, PrefillTokens: 1.5}}},
		{Service: "m", Answer: &profile.Answer{Events: 169, Expected: 9000, MaxTokens: 13520}},
		{Service: "m", StepLimit: 998 * time.Microsecond},
	}
}

// Measurements of one VM reach all other VMs unchanged, those of a data centre whose relay sends digests
// and those of one that has none, and not the VM itself.
func TestMeasurementsReachAllVMs(t *testing.T) {
	is := is.New(t)
	large, small := startLarge(t, store.NewMemory())
	all := append(large, small...)
	for _, v := range all {
		defer v.stop(t)
	}
	for _, from := range []*vm{large[7], small[1]} {
		for n, v := range all {
			if v == from {
				continue
			}
			eventually(t, fmt.Sprintf("VM %d has the measurements", n), func() bool {
				// A datagram may be lost.
				from.placer.share(measured()...)
				time.Sleep(50 * time.Millisecond)
				return v.placer.hasMeasurements(3)
			})
		}
		is.Equal(len(from.placer.takeMeasured()), 0)
		for _, v := range all {
			for i, m := range v.placer.takeMeasured() {
				is.Equal(m, measured()[i%3])
			}
		}
		// What is still on its way is not taken for the next VM's.
		time.Sleep(time.Second)
		for _, v := range all {
			v.placer.takeMeasured()
		}
	}
}

// Admissions of one VM reach all other VMs unchanged, and not the VM itself.
func TestAdmissionsReachAllVMs(t *testing.T) {
	is := is.New(t)
	large, small := startLarge(t, store.NewMemory())
	all := append(large, small...)
	for _, v := range all {
		defer v.stop(t)
	}
	want := []fair.Admission{
		{Route: "r", Prompt: 18300, Answer: 480, First: true},
		{Route: "q", Prompt: 90, Answer: 13520, Admitted: true},
	}
	from := large[7]
	for n, v := range all {
		if v == from {
			continue
		}
		eventually(t, fmt.Sprintf("VM %d has the admissions", n), func() bool {
			// A datagram may be lost.
			from.placer.shareAdmissions(want...)
			time.Sleep(50 * time.Millisecond)
			return len(v.placer.knownAdmissions()) >= len(want)
		})
	}
	is.Equal(len(from.placer.knownAdmissions()), 0)
	for _, v := range all {
		for i, a := range v.placer.knownAdmissions() {
			is.Equal(a, want[i%len(want)])
		}
	}
}
