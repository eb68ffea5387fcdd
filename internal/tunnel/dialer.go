package tunnel

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/silence"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// nextWayDelay is how long a connection may take before the next way to open it is tried too. It is
	// above the round trip between regions.
	nextWayDelay = 100 * time.Millisecond
	// doubtTimeout limits the time to open a connection while it is not known whether this VM or the
	// target is cut off. It is little more than that of a direct one.
	doubtTimeout = 300 * time.Millisecond
	// tunnelTimeout limits the time to open a connection through another VM, which may take the time of
	// a direct one to find out that it cannot.
	tunnelTimeout = 500 * time.Millisecond
	// tunnelUnacked is how long data sent to another VM may stay unacknowledged, unless the request
	// sets another limit.
	tunnelUnacked = 250 * time.Millisecond
	// maxPeers is the number of other VMs that are tried for a connection, and maxPeersLost that while
	// the path is lost. Some of them may have lost theirs too.
	maxPeers     = 2
	maxPeersLost = 6
	// probeInterval is the time between two probes of a lost path.
	probeInterval = 250 * time.Millisecond
	// declinedTime is how long a VM that opened no tunnel is not asked again.
	declinedTime = time.Second
	// maxDeclined limits the VMs that are remembered as such.
	maxDeclined = 256
)

// errNoPath means that this VM has lost its path to the targets.
var errNoPath = errors.New("tunnel: this VM reaches no target")

// errDeclined means that another VM opens no tunnel now.
var errDeclined = errors.New("tunnel: declined")

// ContextDialer opens TCP connections.
type ContextDialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options holds what a Dialer uses.
type Options struct {
	// Direct opens connections directly.
	Direct ContextDialer
	// Peer returns the address of another VM, drawn at random from those that are usable. It returns
	// false if there is none.
	Peer func(usable func(address string) bool) (address string, ok bool)
	Log  *telemetry.Logger
}

// Dialer opens connections to targets directly, and through other VMs where that fails. It is safe for
// concurrent use.
//
// After a direct connection has failed, and until one succeeds, it is not known whether this VM or the
// target is cut off. A connection that is not open within nextWayDelay is then tried through other VMs
// at the same time. Once connections have succeeded only that way, the path counts as lost: they are
// opened through other VMs at once, and the path is probed until it is regained.
type Dialer struct {
	kernel.Background
	opts Options
	path pathState
	peer *net.Dialer
	// onPathChange is called when the direct path is lost or regained.
	onPathChange func()
	// probing receives a value when the path is to be probed.
	probing chan struct{}

	mu sync.Mutex
	// declined holds when other VMs opened no tunnel, by address.
	declined map[string]time.Time
}

// NewDialer returns a dialer whose path is not lost.
func NewDialer(o Options) *Dialer {
	return &Dialer{opts: o, path: pathState{indirect: make(map[string]time.Time)}, peer: silence.Dialer(tunnelTimeout, tunnelUnacked),
		onPathChange: func() {}, probing: make(chan struct{}, 1), declined: make(map[string]time.Time)}
}

// SetOnPathChange sets a function that is called when the direct path is lost or regained. It must be
// called before Start.
func (d *Dialer) SetOnPathChange(f func()) { d.onPathChange = f }

// Start begins to probe the path to targets that are reached only through other VMs.
func (d *Dialer) Start(context.Context) error {
	d.Run(func(ctx context.Context) {
		for {
			select {
			case <-d.probing:
				d.probe(ctx)
			case <-ctx.Done():
				return
			}
		}
	})
	return nil
}

// PathLost reports whether this VM reaches no target directly.
func (d *Dialer) PathLost() bool { return d.path.isLost() }

// DialDirect opens a connection on behalf of another VM. It fails at once if this VM's path is lost.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	d.path.noteUse(address, clock.Now())
	if d.path.isDoubtful() {
		return nil, errNoPath
	}
	nc, err := d.opts.Direct.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		d.noteReached(address)
	case ctx.Err() == nil:
		d.path.noteUnreached()
		if d.path.isDoubtful() {
			d.startProbes()
			return nil, errNoPath
		}
	}
	return nc, err
}

// way is one way to open a connection.
type way func(ctx context.Context) (net.Conn, error)

// DialContext opens a connection to a target. The error of a target that refuses the connection is
// syscall.ECONNREFUSED only if this VM reaches targets.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.path.noteUse(address, clock.Now())
	direct := &directWay{d: d, network: network, address: address}
	switch {
	case d.path.isLost(), d.path.isIndirect(address):
		return d.race(ctx, tunnelTimeout, direct, append(d.tunnels(maxPeersLost, address), direct.dial))
	case d.path.isSound():
		nc, err := d.opts.Direct.DialContext(ctx, network, address)
		if err == nil {
			d.noteReached(address)
		} else if ctx.Err() == nil {
			d.path.noteUnreached()
		}
		return nc, err
	}
	return d.race(ctx, doubtTimeout, direct, append([]way{direct.dial}, d.tunnels(maxPeers, address)...))
}

// race opens a connection in the first way that succeeds, and records whether the direct way does.
func (d *Dialer) race(ctx context.Context, limit time.Duration, direct *directWay, ways []way) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	nc, err := firstOf(limited, ways)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, err
	case err != nil:
		return nil, d.failure(direct, err)
	case direct.isConn(nc):
		d.noteReached(direct.address)
	default:
		direct.prove()
	}
	return nc, nil
}

// failure returns the error of a connection that could be opened in no way. If this VM reaches the target
// directly otherwise, that is the error of the direct way, and if not, that error says nothing about the
// target.
func (d *Dialer) failure(direct *directWay, err error) error {
	directErr := direct.error()
	switch {
	case directErr == nil && errors.Is(err, context.DeadlineExceeded):
		return dialError(syscall.ETIMEDOUT)
	case directErr == nil:
		return err
	case !d.path.isLost() && !d.path.isIndirect(direct.address):
		return directErr
	case errors.Is(err, directErr):
		return errors.Wrap(errNoPath, directErr.Error())
	}
	return err
}

// noteReached records that a direct connection to a target succeeded.
func (d *Dialer) noteReached(address string) {
	if d.path.reached(address) {
		d.opts.Log.Info(telemetry.EventPathRegained, telemetry.F("address", address))
		d.onPathChange()
	}
}

// noteIndirect records that a connection failed directly and succeeded through another VM.
func (d *Dialer) noteIndirect(address string, cause error) {
	if d.path.provenIndirect(address, clock.Now()) {
		d.opts.Log.Warn(telemetry.EventPathLost, telemetry.F("address", address), telemetry.F("cause", cause))
		d.onPathChange()
	}
	d.startProbes()
}

// startProbes begins to probe the path unless it is being probed.
func (d *Dialer) startProbes() {
	select {
	case d.probing <- struct{}{}:
	default:
	}
}

// probe opens direct connections until all targets are reached directly again.
func (d *Dialer) probe(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := d.path.nextProbes(clock.Now())
		if len(addresses) == 0 {
			return
		}
		for _, address := range addresses {
			if nc, err := d.opts.Direct.DialContext(ctx, "tcp", address); err == nil {
				_ = nc.Close()
				d.noteReached(address)
			}
		}
		kernel.Sleep(ctx, probeInterval)
	}
}

// tunnels returns the ways to open a connection through up to n other VMs.
func (d *Dialer) tunnels(n int, address string) []way {
	var mu sync.Mutex
	asked := make(map[string]bool, n)
	nextPeer := func() (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		peer, ok := d.opts.Peer(func(address string) bool { return !asked[address] && d.mayAsk(address) })
		asked[peer] = true
		return peer, ok
	}
	ways := make([]way, n)
	for i := range ways {
		ways[i] = func(ctx context.Context) (net.Conn, error) {
			peer, ok := nextPeer()
			if !ok {
				return nil, errDeclined
			}
			nc, err := d.dialThrough(ctx, peer, address)
			if errors.Is(err, errDeclined) && ctx.Err() == nil {
				d.noteDeclined(peer)
			}
			return nc, err
		}
	}
	return ways
}

// mayAsk reports whether the VM at an address may be asked for a tunnel.
func (d *Dialer) mayAsk(peer string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.declined[peer]
	return !ok || clock.Since(at) > declinedTime
}

// noteDeclined records that the VM at an address has opened no tunnel.
func (d *Dialer) noteDeclined(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.declined) >= maxDeclined {
		clear(d.declined)
	}
	d.declined[peer] = clock.Now()
}

// dialThrough opens a connection to a target through the VM at the address peer. It fails with
// errDeclined if that VM cannot be reached or opens no tunnel.
func (d *Dialer) dialThrough(ctx context.Context, peer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	nc, err := d.peer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, errors.Wrapf(errDeclined, "%v", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	c, err := connect(nc, address)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	if !stop() {
		return nil, errors.Wrapf(errDeclined, "%v", ctx.Err())
	}
	return c, nil
}

// connect asks the VM at the other end of nc for a tunnel to a target, and returns the connection to the
// target.
func connect(nc net.Conn, address string) (net.Conn, error) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil, errors.Errorf("unexpected connection type %T", nc)
	}
	asked := terms{framed: true, confirmed: true}
	if _, err := fmt.Fprintf(nc, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", address, address, asked.lines()); err != nil {
		return nil, errors.Wrapf(errDeclined, "%v", err)
	}
	br := httpsend.NewResponseReader(nc, framedReadBytes)
	resp, err := br.ReadResponse(&http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, errors.Wrapf(errDeclined, "%v", err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return newConn(tcp, br.Reader, termsOf(resp.Header)), nil
	case http.StatusBadGateway:
		return nil, errTargetRefused
	case http.StatusGatewayTimeout:
		return nil, dialError(syscall.ETIMEDOUT)
	}
	return nil, errors.Wrapf(errDeclined, "status %d", resp.StatusCode)
}

// errTargetRefused means that a target refused the connection of a VM that reaches other targets.
var errTargetRefused = dialError(syscall.ECONNREFUSED)

// dialError returns the error of a target that another VM could not connect to.
func dialError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial through another VM", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// directWay is the direct way to open one connection. Its result is used for the state of the path also
// if another way was faster.
type directWay struct {
	d       *Dialer
	network string
	address string

	mu sync.Mutex
	// conn and err are the result, and done is set once there is one. lostRace is set if another way
	// was faster.
	conn     net.Conn
	err      error
	done     bool
	lostRace bool
}

// dial opens the connection. It goes on after ctx is canceled, to find out whether the target can be
// reached.
func (w *directWay) dial(ctx context.Context) (net.Conn, error) {
	nc, err := w.d.opts.Direct.DialContext(context.WithoutCancel(ctx), w.network, w.address)
	w.mu.Lock()
	w.conn, w.err, w.done = nc, err, true
	lostRace := w.lostRace
	w.mu.Unlock()
	if err != nil {
		w.d.path.noteUnreached()
	}
	if lostRace {
		w.judge()
	}
	return nc, err
}

// error returns the error of the direct way, or nil if it has not failed.
func (w *directWay) error() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// isConn reports whether nc is the direct connection.
func (w *directWay) isConn(nc net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn == nc
}

// prove has the result of the direct way recorded after another way was faster, at once or when it
// is there.
func (w *directWay) prove() {
	w.mu.Lock()
	w.lostRace = true
	done := w.done
	w.mu.Unlock()
	if done {
		w.judge()
	}
}

// judge records the result of the direct way after another way was faster.
func (w *directWay) judge() {
	if err := w.error(); err != nil {
		w.d.noteIndirect(w.address, err)
		return
	}
	w.d.noteReached(w.address)
}

// dialed is the result of one way.
type dialed struct {
	conn net.Conn
	err  error
}

// firstOf tries the ways to open a connection, each nextWayDelay after the one before it or once that
// has failed. It returns the first connection and closes any others. If all ways fail, if ctx ends, or if
// the target is known to refuse connections, it returns the last error that is not errDeclined, or else
// errDeclined.
func firstOf(ctx context.Context, ways []way) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialed, len(ways))
	started, pending := 0, 0
	start := func() {
		w := ways[started]
		started++
		pending++
		go func() {
			nc, err := w(ctx)
			results <- dialed{nc, err}
		}()
	}
	last := error(errDeclined)
	for {
		if pending == 0 {
			if started == len(ways) {
				return nil, last
			}
			start()
		}
		var next <-chan time.Time
		if started < len(ways) {
			next = time.After(nextWayDelay)
		}
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				go closeRest(results, pending)
				return r.conn, nil
			}
			if !errors.Is(r.err, errDeclined) {
				last = r.err
			}
			if errors.Is(r.err, errTargetRefused) {
				go closeRest(results, pending)
				return nil, last
			}
			if started < len(ways) {
				start()
			}
		case <-next:
			start()
		case <-ctx.Done():
			go closeRest(results, pending)
			if errors.Is(last, errDeclined) {
				last = ctx.Err()
			}
			return nil, last
		}
	}
}

// closeRest closes the connections of the pending ways.
func closeRest(results <-chan dialed, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}
