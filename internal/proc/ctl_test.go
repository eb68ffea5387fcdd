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

// exitCode is the exit code behind the error of a finished command.
func exitCode(err error) int {
	var e *exec.ExitError
	if errors.As(err, &e) {
		return e.ExitCode()
	}
	return 0
}

// An operator's day: take the table, see the difference, apply it, meet a
// conflict, a wrong cell and an unknown service, and look at the reports.
func TestOperatorsCommandLine(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, proc.Shape{Engines: 1, Plains: 1, VMs: 2})
	w.serve("v1", "checked")
	is.NoErr(stream(w.ctx, w.VMs[0].Callers, 5))
	path := filepath.Join(w.Dir, "edit.csv")
	_, err := w.ctl(0, "table", "get", "--out", path)
	is.NoErr(err)
	taken, err := os.ReadFile(path)
	is.NoErr(err)
	edit := func(old, new string) {
		text := strings.Replace(string(taken), old, new, 1)
		is.True(text != string(taken))
		is.NoErr(os.WriteFile(path, []byte(text), 0o644))
	}

	edit(",30s,", ",20s,")
	out, err := w.ctl(0, "table", "diff", path)
	is.NoErr(err)
	is.True(strings.Contains(out, `row hints: deadline: "30s" -> "20s"`))
	out, err = w.ctl(0, "table", "check", path)
	is.NoErr(err)
	is.True(strings.Contains(out, "row hints: ok"))
	_, err = w.ctl(0, "table", "apply", "--who", "asha", path)
	is.NoErr(err)

	edit(",30s,", ",10s,") // from the old version, at another steward
	out, err = w.ctl(1, "table", "apply", "--who", "ravi", path)
	is.Equal(exitCode(err), 3)
	is.True(strings.Contains(out, `column "deadline": theirs "20s", yours "10s"`))

	edit("v1,1,", "v1,-1,")
	out, err = w.ctl(0, "table", "apply", path)
	is.Equal(exitCode(err), 2)
	is.True(strings.Contains(out, `line 3, row "hints" column "weight"`) || strings.Contains(out, `row "hints" column "weight"`))

	out, err = w.ctl(0, "table", "history")
	is.NoErr(err)
	is.True(strings.Contains(out, "version 2 by asha"))
	is.True(!strings.Contains(out, "ravi")) // nothing of it was applied

	out, err = w.ctl(0, "explain", "nosuch")
	is.Equal(exitCode(err), 2)
	is.True(strings.Contains(out, `no service called "nosuch"`))
	w.until("the stream in the burn report", func(context.Context) error {
		out, err := w.ctl(1, "burn")
		if err != nil || !lineHas(out, "hints", "0.99", "5m0s", "1", "0", "0.00") {
			return errors.Errorf("%v: %s", err, out)
		}
		return nil
	})
}

// A wrong settings file starts nothing: every problem is told, exit code 2.
func TestWrongSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "bad.jsonc")
	is.NoErr(os.WriteFile(path, []byte("{\n\"vm\": 7,\n\"listen\": \"nowhere\",\n\"wat\": 1\n}"), 0o644))
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
