// Package proctest builds the project's programs for tests that run them.
package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Main builds the programs of a package pattern into a temporary directory, passes the directory to
// bin, runs the tests and removes the directory. It returns the exit code of the tests, for a
// TestMain to pass to os.Exit.
func Main(pattern string, bin func(dir string), run func() int) int {
	dir, err := os.MkdirTemp("", "garnet-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir := filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", binDir+"/", pattern)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	bin(binDir)
	return run()
}
