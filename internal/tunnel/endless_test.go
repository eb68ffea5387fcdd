package tunnel_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// peakMemory returns the largest memory in MB that a process has taken so far.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	is := is.New(t)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	is.NoErr(err)
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	is.True(ok)
	kb := 0
	_, err = fmt.Sscan(rest, &kb)
	is.NoErr(err)
	return kb >> 10
}

// What targets send without end must not exceed the memory of the VM in between, whether or not the VM that
// asked for the tunnel reads it. That VM fails the request with the cause.
func TestBytesWithoutEndExceedMemoryOfTheVMInBetween(t *testing.T) {
	const (
		requests = 32
		// maxGrowth is the memory in MB that the tunnels may take, far below that of the smallest VMs, 184 MB.
		maxGrowth = 64
	)
	is := is.New(t)
	target := platformtest.NewEngine("i-plain", "")
	defer target.Close()
	v := startVMInBetween(t, target.Address())
	client := newIndirectClient(t, v)
	before := peakMemory(t, v.cmd.Process.Pid)
	send := func() (*httpsend.Response, error) {
		return client.Send(context.Background(), httpsend.Destination{ID: "i-plain", Address: target.Address(), NewConn: true},
			&httpsend.Request{Method: http.MethodGet, URI: "/x", Host: "h.example", Header: http.Header{"Request-Id": {"q"}}},
			func(int, http.Header) bool { return true })
	}
	for _, fault := range []platformtest.EngineFault{platformtest.EngineFloodsHead, platformtest.EngineFloodsBody} {
		target.SetFault(fault)
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() {
				resp, err := send()
				if fault == platformtest.EngineFloodsHead {
					is.True(errors.Is(err, httpsend.ErrMalformed))
					return
				}
				is.NoErr(err)
				time.Sleep(500 * time.Millisecond) // the body is not read
				resp.Close()
			})
		}
		wg.Wait()
	}
	is.True(peakMemory(t, v.cmd.Process.Pid)-before < maxGrowth)
}
