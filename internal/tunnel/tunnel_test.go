package tunnel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/telemetry"
	"garnethoist.org/garnethoist/internal/tunnel"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// group is a group of VMs before some targets.
type group struct {
	t       *testing.T
	vms     []*vm
	targets []string
}

// vm is one VM: its paths to targets, its dialer and its server.
type vm struct {
	path   *platformtest.Path
	dialer *tunnel.Dialer
	server *tunnel.Server
	peer   *httptest.Server
}

// newGroup starts VMs and targets. A target sends back each line that it receives.
func newGroup(t *testing.T, vms, targets int) *group {
	g := &group{t: t}
	for range targets {
		g.targets = append(g.targets, startTarget(t))
	}
	for range vms {
		v := &vm{path: platformtest.NewPath()}
		v.dialer = tunnel.NewDialer(tunnel.Options{Direct: v.path, Peer: func(usable func(string) bool) (string, bool) { return g.randomPeer(v, usable) }, Log: telemetry.Discard()})
		v.server = tunnel.NewServer(tunnel.ServerOptions{Dial: v.dialer.DialDirect, Allowed: g.isTarget, Limit: 64})
		v.peer = httptest.NewServer(v.server)
		if err := v.dialer.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		g.vms = append(g.vms, v)
		t.Cleanup(func() {
			v.peer.CloseClientConnections()
			v.peer.Close()
			if err := v.dialer.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
	return g
}

// startTarget starts a target and returns its address.
func startTarget(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c) // ends when the connection is closed
			}()
		}
	}()
	return l.Addr().String()
}

func (v *vm) address() string { return strings.TrimPrefix(v.peer.URL, "http://") }

// randomPeer draws a usable VM other than self that has not told the others of a lost path.
func (g *group) randomPeer(self *vm, usable func(string) bool) (string, bool) {
	for range 4 * len(g.vms) {
		if v := g.vms[rand.IntN(len(g.vms))]; v != self && !v.dialer.PathLost() && usable(v.address()) {
			return v.address(), true
		}
	}
	return "", false
}

func (g *group) isTarget(address string) bool {
	for _, t := range g.targets {
		if t == address {
			return true
		}
	}
	return false
}

// echo opens a connection from the VM to the target and checks that it reaches it.
func (g *group) echo(v *vm, target string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	nc, err := v.dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return err
	}
	defer nc.Close()
	if _, err := fmt.Fprintln(nc, "hello"); err != nil {
		return err
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err == nil && line != "hello\n" {
		return errors.Errorf("received %q", line)
	}
	return err
}

// echoAll opens n connections from each VM, those of different VMs at the same time, and returns how
// many failed.
func (g *group) echoAll(n int) int {
	var failed atomic.Int64
	var callers sync.WaitGroup
	for _, v := range g.vms {
		callers.Go(func() {
			for i := range n {
				if g.echo(v, g.targets[i%len(g.targets)]) != nil {
					failed.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return int(failed.Load())
}

// cutOff cuts the VM's path, and opens connections until the VM knows.
func (g *group) cutOff(v *vm, fault platformtest.PathFault) {
	g.t.Helper()
	v.path.Inject(fault)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !v.dialer.PathLost(); {
		for _, target := range g.targets {
			// The first ones fail: their targets may be down.
			_ = g.echo(v, target)
		}
	}
	is.New(g.t).True(v.dialer.PathLost())
}

// dialIdleTarget cuts the VM's path, and opens a connection to a new target that never responds. It
// returns the target's listener and the connection.
func (g *group) dialIdleTarget(v *vm) (net.Listener, net.Conn) {
	g.t.Helper()
	is := is.New(g.t)
	g.cutOff(v, platformtest.PathSilent)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g.targets = append(g.targets, l.Addr().String())
	nc, err := v.dialer.DialContext(context.Background(), "tcp", l.Addr().String())
	is.NoErr(err)
	return l, nc
}

// Connections of VMs without a path are opened through the others, also if most VMs have none, and
// directly again once the path is back.
func TestVMsWithoutAPathConnectThroughOthers(t *testing.T) {
	for _, fault := range []platformtest.PathFault{platformtest.PathSilent, platformtest.PathRefused} {
		t.Run(fault.String(), func(t *testing.T) {
			const vms, cut, targets = 24, 20, 5
			is := is.New(t)
			g := newGroup(t, vms, targets)
			for _, v := range g.vms[:cut] {
				v.path.Inject(fault)
			}
			// The VMs find out that their paths are lost.
			g.echoAll(5 * targets)
			is.Equal(g.echoAll(4*targets), 0)
			for i, v := range g.vms {
				is.Equal(v.dialer.PathLost(), i < cut)
				v.path.Inject(platformtest.PathSound)
			}
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && anyLost(g.vms); time.Sleep(20 * time.Millisecond) {
			}
			is.True(!anyLost(g.vms))
		})
	}
}

// anyLost reports whether any of the VMs has lost its path.
func anyLost(vms []*vm) bool {
	for _, v := range vms {
		if v.dialer.PathLost() {
			return true
		}
	}
	return false
}

// While a path is lost, opening a connection takes little longer than through a sound path.
func TestLostPathCostsNoTimeouts(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, 4)
	g.cutOff(g.vms[0], platformtest.PathSilent)
	began := time.Now()
	const n = 20
	for i := range n {
		is.NoErr(g.echo(g.vms[0], g.targets[i%4]))
	}
	is.True(time.Since(began)/n < 50*time.Millisecond)
}

// A target that is down is reported as such, to a VM with a path and to one without, and does not make
// a VM believe that its path is lost.
func TestTargetThatIsDownIsRefused(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, 3)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	down := l.Addr().String()
	g.targets = append(g.targets, down)
	is.NoErr(l.Close())
	for range 4 {
		is.True(errors.Is(g.echo(g.vms[0], down), syscall.ECONNREFUSED))
	}
	is.True(!g.vms[0].dialer.PathLost())
	g.cutOff(g.vms[0], platformtest.PathSilent)
	// The VMs that are asked have reached no target of late, and find out first that they do.
	refused := false
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && !refused; time.Sleep(20 * time.Millisecond) {
		refused = errors.Is(g.echo(g.vms[0], down), syscall.ECONNREFUSED)
	}
	is.True(refused)
}

// A refused connection says nothing about the target if no VM reaches it.
func TestRefusalWithoutAnyPathIsNotTheTargets(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, 2)
	g.cutOff(g.vms[0], platformtest.PathRefused)
	for _, v := range g.vms[1:] {
		v.peer.Close()
	}
	err := g.echo(g.vms[0], g.targets[0])
	is.True(err != nil && !errors.Is(err, syscall.ECONNREFUSED))
}

// A server opens connections to targets only, and no more than its limit.
func TestServerRefusesTunnels(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1, 1)
	other := startTarget(t)
	s := tunnel.NewServer(tunnel.ServerOptions{Dial: g.vms[0].dialer.DialDirect, Allowed: g.isTarget, Limit: 1})
	peer := httptest.NewServer(s)
	defer peer.Close()
	defer peer.CloseClientConnections()
	status := func(target string) (int, net.Conn) {
		nc, err := net.Dial("tcp", strings.TrimPrefix(peer.URL, "http://"))
		is.NoErr(err)
		_, err = fmt.Fprintf(nc, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, target)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: http.MethodConnect})
		is.NoErr(err)
		return resp.StatusCode, nc
	}
	code, nc := status(other)
	is.Equal(code, http.StatusForbidden)
	nc.Close()
	code, open := status(g.targets[0])
	is.Equal(code, http.StatusOK)
	code, nc = status(g.targets[0])
	is.Equal(code, http.StatusServiceUnavailable)
	nc.Close()
	open.Close()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && s.Count() > 0; time.Sleep(5 * time.Millisecond) {
	}
	is.Equal(s.Count(), 0) // the tunnel ends with its connection
}

// A connection that a VM resets is reset at the target too: what was sent before may be withdrawn.
func TestResetReachesTheTarget(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 2, 2)
	l, nc := g.dialIdleTarget(g.vms[0])
	defer l.Close()
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close()
	is.NoErr(nc.(interface{ SetLinger(sec int) error }).SetLinger(0))
	is.NoErr(nc.Close())
	is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// A VM that stops opens no tunnels, and waits for the requests on those that are open.
func TestStoppingVMKeepsTunnelsInUse(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 2, 2)
	g.cutOff(g.vms[0], platformtest.PathSilent)
	nc, err := g.vms[0].dialer.DialContext(context.Background(), "tcp", g.targets[0])
	is.NoErr(err)
	defer nc.Close()
	drained := make(chan struct{})
	go func() {
		g.vms[1].server.Drain(context.Background())
		close(drained)
	}()
	time.Sleep(500 * time.Millisecond)
	_, err = fmt.Fprintln(nc, "hello")
	is.NoErr(err)
	line, err := bufio.NewReader(nc).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "hello\n")
	is.True(g.echo(g.vms[0], g.targets[0]) != nil)
	select {
	case <-drained:
	case <-time.After(4 * time.Second):
		t.Fatal("the drain does not end")
	}
}

// A VM that stops ends in time although a request on a tunnel is not answered, and at once if no tunnel
// is in use.
func TestStoppingVMDoesNotOutstayItsGracePeriod(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 2, 2)
	l, nc := g.dialIdleTarget(g.vms[0])
	defer l.Close()
	defer nc.Close()
	const grace, rest = 2500 * time.Millisecond, 200 * time.Millisecond
	drain := func() time.Duration {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		began := time.Now()
		g.vms[1].server.Drain(ctx)
		return time.Since(began)
	}
	time.Sleep(1200 * time.Millisecond) // past the echoes
	is.True(drain() < time.Second)
	_, err := fmt.Fprintln(nc, "unanswered")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.True(drain() < grace-rest)
}

// Targets that are down delay a VM with a path little longer than a direct connection would, also where
// other VMs do not respond.
func TestTargetsThatAreDownCostNoMoreTime(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, 2)
	for _, v := range g.vms[1:] {
		v.path.Inject(platformtest.PathSilent)
	}
	silent, err := platformtest.NewBlackhole()
	is.NoErr(err)
	defer silent.Close()
	g.targets = append(g.targets, silent.Address)
	for range 5 {
		began := time.Now()
		is.True(g.echo(g.vms[0], silent.Address) != nil)
		is.True(time.Since(began) < 450*time.Millisecond)
		is.NoErr(g.echo(g.vms[0], g.targets[0]))
	}
	is.True(!g.vms[0].dialer.PathLost())
}
