package place_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/place"
)

// Callers choose the ids of the parts of their prompts: what VMs keep of them must not grow with the number of
// targets times that of ids.
func TestPartsThatCallersInventAreBounded(t *testing.T) {
	const targets, partsEach, most = 1000, 6000, 64 << 20
	is := is.New(t)
	p := newPlacer(peerWork{})
	now := time.Now()
	before := heapBytes()
	for i := range targets {
		for first := 0; first < partsEach; first += 100 {
			r := place.SendRecord{Target: fmt.Sprint("e", i), Missing: 100}
			for j := range 100 {
				r.Parts = append(r.Parts, uint64(i*partsEach+first+j))
			}
			p.Observe([]place.SendRecord{r}, now)
		}
	}
	is.True(heapBytes()-before < most)
	runtime.KeepAlive(p)
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
