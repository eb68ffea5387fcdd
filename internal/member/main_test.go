package member

import (
	"os"
	"runtime"
	"testing"
)

// TestMain limits the tests to one processor. With several, Go 1.26's race detector crashes in
// maybeRunChan when goroutines of a synctest bubble run its channel timers at the same time:
// in 3 of 20 runs of this package alone on twelve processors, and in none of 20 on one. The
// race detector tracks happens-before relations, so it needs no second processor to find
// races.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
