package peers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fair"
	"garnethoist.org/garnethoist/internal/store"
)

// Outcomes of one VM reach all other VMs unchanged, and not the VM itself.
func TestOutcomesReachAllVMs(t *testing.T) {
	is := is.New(t)
	large, small := startLarge(t, store.NewMemory())
	all := append(large, small...)
	for _, v := range all {
		defer v.stop(t)
	}
	want := []fair.Outcome{
		{Route: "r", Prompt: 18300, Answer: 480, First: true},
		{Route: "q", Prompt: 90, Answer: 13520, Served: true},
	}
	from := large[7]
	for n, v := range all {
		if v == from {
			continue
		}
		eventually(t, fmt.Sprintf("VM %d has the outcomes", n), func() bool {
			// A datagram may be lost.
			from.placer.shareOutcomes(want...)
			time.Sleep(50 * time.Millisecond)
			return len(v.placer.knownOutcomes()) >= len(want)
		})
	}
	is.Equal(len(from.placer.knownOutcomes()), 0)
	for _, v := range all {
		for i, a := range v.placer.knownOutcomes() {
			is.Equal(a, want[i%len(want)])
		}
	}
}
