package daemon_test

import (
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/daemon"
)

// SIGHUP does not end a daemon that has not read its settings yet: it is about to read them anyway.
func TestHangupWhileStarting(t *testing.T) {
	d := daemon.Daemon{Name: "garnet-test", Read: func(string) error {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Error(err)
		}
		time.Sleep(50 * time.Millisecond)
		return errors.New("far enough")
	}}
	is.New(t).Equal(d.Main([]string{"--settings", "x"}, io.Discard, io.Discard), daemon.ExitUsage)
}
