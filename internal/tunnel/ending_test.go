package tunnel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/tunnel"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// envTarget is set for a process of this test that is a VM in between. It holds the target's address.
const envTarget = "TUNNEL_TEST_TARGET"

func TestMain(m *testing.M) {
	if target := os.Getenv(envTarget); target != "" {
		if err := serveTunnels(target); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveTunnels serves tunnels to the target until SIGTERM. It prints its address.
func serveTunnels(target string) error {
	dialer := tunnel.NewDialer(tunnel.Options{Direct: &net.Dialer{}, Log: telemetry.Discard()})
	s := tunnel.NewServer(tunnel.ServerOptions{Dial: dialer.DialDirect, Allowed: func(a string) bool { return a == target }, Limit: 64})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() { _ = http.Serve(l, s) }() // ends with the process
	fmt.Println(l.Addr())
	<-stop
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return s.Stop(ctx)
}

// vmInBetween is a process that serves tunnels to one target.
type vmInBetween struct {
	cmd     *exec.Cmd
	address string
	target  string
}

// startVMInBetween starts a VM in between.
func startVMInBetween(t *testing.T, target string) *vmInBetween {
	t.Helper()
	is := is.New(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envTarget+"="+target)
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	return &vmInBetween{cmd: cmd, address: strings.TrimSpace(line), target: target}
}

// newIndirectClient returns a client that reaches targets through the VM in between only.
func newIndirectClient(t *testing.T, v *vmInBetween) *httpsend.Client {
	t.Helper()
	path := platformtest.NewPath()
	path.Inject(platformtest.PathRefused)
	dialer := tunnel.NewDialer(tunnel.Options{Direct: path, Log: telemetry.Discard(),
		Peer: func(usable func(string) bool) (string, bool) { return v.address, usable(v.address) }})
	// The first connection fails: the target may be down.
	_, err := dialer.DialContext(context.Background(), "tcp", v.target)
	is := is.New(t)
	is.True(err != nil)
	nc, err := dialer.DialContext(context.Background(), "tcp", v.target)
	is.NoErr(err)
	is.Equal(nc.RemoteAddr().String(), v.address)
	is.NoErr(nc.Close())
	return httpsend.New(httpsend.Config{Dialer: dialer, MaxIdleTime: time.Second, UnackedTimeout: time.Second})
}

// get sends a request to the target and returns the response, whose head has been read.
func get(t *testing.T, c *httpsend.Client, address string) *httpsend.Response {
	t.Helper()
	resp, err := c.Send(context.Background(), httpsend.Destination{ID: "i-plain", Address: address},
		&httpsend.Request{Method: http.MethodGet, URI: "/x", Host: "h.example", Header: http.Header{"Request-Id": {"q"}}},
		func(int, http.Header) bool { return true })
	is.New(t).NoErr(err)
	return resp
}

// The end of a VM in between is not the end of a response that ends with its connection.
func TestEndOfAVMInBetweenIsNotTheEndOfTheBody(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		t.Run(sig.String(), func(t *testing.T) {
			is := is.New(t)
			target := platformtest.NewEngine("i-plain", "")
			defer target.Close()
			target.SetEndsWithConn(true)
			target.SetGap(2 * time.Second)
			v := startVMInBetween(t, target.Address())
			client := newIndirectClient(t, v)
			resp := get(t, client, target.Address())
			defer resp.Close()
			is.Equal(resp.Framing, httpsend.FramedByConn)
			is.NoErr(v.cmd.Process.Signal(sig))
			body, err := io.ReadAll(resp)
			var cut *httpsend.Error
			is.True(errors.As(err, &cut)) // the body is not complete
			is.Equal(cut.Phase, httpsend.Cut)
			is.True(strings.HasPrefix(platformtest.PlainBody("i-plain", "q"), string(body)))
		})
	}
}

// A VM in between whose software does not state the target's end may have ended the connection itself.
func TestEndIsUnknownThroughAnOlderVM(t *testing.T) {
	is := is.New(t)
	target := platformtest.NewEngine("i-plain", "")
	defer target.Close()
	dialer := tunnel.NewDialer(tunnel.Options{Direct: &net.Dialer{}, Log: telemetry.Discard()})
	s := tunnel.NewServer(tunnel.ServerOptions{Dial: dialer.DialDirect, Allowed: func(string) bool { return true }, Limit: 8})
	older := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header = http.Header{}
		s.ServeHTTP(w, r)
	}))
	defer older.Close()
	defer older.CloseClientConnections()
	client := newIndirectClient(t, &vmInBetween{address: older.Listener.Addr().String(), target: target.Address()})
	resp := get(t, client, target.Address())
	body, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(string(body), platformtest.PlainBody("i-plain", "q"))
	resp.Close()
	target.SetEndsWithConn(true)
	resp = get(t, client, target.Address())
	defer resp.Close()
	_, err = io.ReadAll(resp)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// The end of a target's response reaches the VM that asked for the tunnel: an orderly close as the end of
// the body, and a reset as a cut.
func TestEndOfTheTargetReachesTheOtherVM(t *testing.T) {
	is := is.New(t)
	target := platformtest.NewEngine("i-plain", "")
	defer target.Close()
	target.SetEndsWithConn(true)
	v := startVMInBetween(t, target.Address())
	client := newIndirectClient(t, v)
	for range 3 {
		resp := get(t, client, target.Address())
		body, err := io.ReadAll(resp)
		is.NoErr(err)
		is.Equal(string(body), platformtest.PlainBody("i-plain", "q"))
		resp.Close()
	}
	target.SetFault(platformtest.EngineCuts)
	target.SetGap(50 * time.Millisecond)
	resp := get(t, client, target.Address())
	defer resp.Close()
	_, err := io.ReadAll(resp)
	is.True(err != nil)
	target.SetEndsWithConn(false)
	target.SetFault(platformtest.EngineHealthy)
	for range 3 {
		resp := get(t, client, target.Address())
		body, err := io.ReadAll(resp)
		is.NoErr(err)
		is.Equal(string(body), platformtest.PlainBody("i-plain", "q"))
		resp.Close()
	}
}
