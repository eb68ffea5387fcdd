package demo_test

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/demo"
	"garnethoist.org/garnethoist/internal/proc/proctest"
)

// binDir is the directory of the garnet-node binary.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(proctest.Main("garnethoist.org/garnethoist/cmd/garnet-node",
		func(dir string) { binDir = dir }, m.Run))
}

// In each phase every request gets a complete answer, the new route comes into force at all VMs,
// and the log line of the stream that broke off is printed.
func TestDemo(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out strings.Builder
	is.NoErr(demo.Run(ctx, demo.Config{Bin: binDir, Dir: t.TempDir(), Out: &out}))
	t.Log(out.String())
	for _, phase := range []string{"long prompts", "short prompts", "calls that may run once", "while a VM stops", "after another is killed"} {
		is.True(strings.Contains(out.String(), phase))
	}
	is.True(strings.Contains(out.String(), "404 before, 200 by all VMs"))
	is.True(strings.Contains(out.String(), "kind=stream_lost"))
	is.True(!strings.Contains(out.String(), "no whole answer"))
}
