package proc_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
)

// exitCode returns the exit code of a finished command from its error.
func exitCode(err error) int {
	var e *exec.ExitError
	if errors.As(err, &e) {
		return e.ExitCode()
	}
	return 0
}

// The commands that an operator uses work: get the table, diff, check and apply an edit, and show
// the history and the burn rates. An edit that conflicts with another, an invalid cell and an
// unknown service are refused with their exit codes.
func TestOperatorsCommandLine(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, proc.Shape{Engines: 1, PlainTargets: 1, VMs: 2})
	h.awaitServing("v1", "checked")
	is.NoErr(stream(h.ctx, h.VMs[0].Callers, 5))
	path := filepath.Join(h.Dir, "edit.csv")
	_, err := h.ctl(0, "table", "get", "--out", path)
	is.NoErr(err)
	taken, err := os.ReadFile(path)
	is.NoErr(err)
	edit := func(old, new string) {
		text := strings.Replace(string(taken), old, new, 1)
		is.True(text != string(taken))
		is.NoErr(os.WriteFile(path, []byte(text), 0o644))
	}

	edit(",30s,", ",20s,")
	out, err := h.ctl(0, "table", "diff", path)
	is.NoErr(err)
	is.True(strings.Contains(out, `row hints: deadline: "30s" -> "20s"`))
	out, err = h.ctl(0, "table", "check", path)
	is.NoErr(err)
	is.True(strings.Contains(out, "row hints: ok"))
	_, err = h.ctl(0, "table", "apply", "--who", "asha", path)
	is.NoErr(err)

	edit(",30s,", ",10s,") // edits the old version, at another steward
	out, err = h.ctl(1, "table", "apply", "--who", "ravi", path)
	is.Equal(exitCode(err), 3)
	is.True(strings.Contains(out, `column "deadline": theirs "20s", yours "10s"`))

	edit("v1,1,", "v1,-1,")
	out, err = h.ctl(0, "table", "apply", path)
	is.Equal(exitCode(err), 2)
	is.True(strings.Contains(out, `line 3, row "hints" column "weight"`) || strings.Contains(out, `row "hints" column "weight"`))

	out, err = h.ctl(0, "table", "history")
	is.NoErr(err)
	is.True(strings.Contains(out, "version 2 by asha"))
	is.True(!strings.Contains(out, "ravi")) // no part of the conflicting edit was applied

	out, err = h.ctl(0, "explain", "nosuch")
	is.Equal(exitCode(err), 2)
	is.True(strings.Contains(out, `no service called "nosuch"`))
	h.await("the stream in the burn report", func(context.Context) error {
		out, err := h.ctl(1, "burn")
		if err != nil || !lineHas(out, "hints", "0.99", "5m0s", "1", "0", "0.00") {
			return errors.Errorf("%v: %s", err, out)
		}
		return nil
	})
}

// With invalid settings nothing is started, every problem is printed, and the exit code is 2.
func TestWrongSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "bad.jsonc")
	is.NoErr(os.WriteFile(path, []byte("{\n\"vm\": 7,\n\"listen\": \"nowhere\",\n\"wat\": 1\n}"),
		0o644))
	for _, program := range []string{"garnet-entry", "garnet-steward", "garnet-standin"} {
		for _, args := range [][]string{{"--settings", path}, {"--settings", path, "--check"}} {
			out, err := exec.Command(filepath.Join(binDir, program), args...).CombinedOutput()
			is.Equal(exitCode(err), 2)
			is.True(strings.Contains(string(out), "line 3: listen"))
			is.True(strings.Contains(string(out), "line 4: wat: unknown field"))
		}
		out, err := exec.Command(filepath.Join(binDir, program), "--version").CombinedOutput()
		is.NoErr(err)
		is.True(strings.HasPrefix(string(out), program+" "))
		_, err = exec.Command(filepath.Join(binDir, program), "--nosuch").CombinedOutput()
		is.Equal(exitCode(err), 2)
		out, err = exec.Command(filepath.Join(binDir, program), "--help").CombinedOutput()
		is.NoErr(err)
		is.True(strings.Contains(string(out), "--settings"))
	}
}
