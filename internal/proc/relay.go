package proc

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// LinkFault is a network fault that a relay applies to its connections.
type LinkFault int

// The link faults. Silent, OneWay and Delayed hold data back, as after a lost packet: it is passed
// on once the link is healed.
const (
	// Sound passes all data on: there is no fault.
	Sound LinkFault = iota
	// Refuse resets every connection and refuses new ones.
	Refuse
	// Reset resets every open connection once. New ones work.
	Reset
	// Silent holds all data back, in both directions.
	Silent
	// OneWay holds back the data to the client and passes on that to the destination.
	OneWay
	// Delayed delays all data by addedDelay.
	Delayed
	// Drop silences every open connection for good: packets that its ends send are neither
	// acknowledged nor passed on. New connections work.
	Drop
	// Discard silences every open connection for good as well, but data that its ends send is
	// acknowledged before it is discarded. New connections work.
	Discard
)

// String returns the name of the link fault in reports.
func (f LinkFault) String() string {
	return [...]string{"sound", "refuse", "reset", "silent", "one_way", "delayed", "lost",
		"swallowed"}[f]
}

const (
	// addedDelay is the delay that Delayed adds to each read.
	addedDelay = 60 * time.Millisecond
	// heldPollInterval is how often the relay checks whether data that it holds back may be passed
	// on.
	heldPollInterval = 5 * time.Millisecond
	// silentPollInterval is how often it checks whether a connection that is silent for good may be
	// closed.
	silentPollInterval = 50 * time.Millisecond
	// bufferBytes is the size of the read buffer of each direction of a connection.
	bufferBytes = 16 << 10
)

// Relay is a TCP relay that simulates faults of the network between two processes. It is safe for
// concurrent use.
type Relay struct {
	listener    net.Listener
	destination string
	background  sync.WaitGroup

	mu sync.Mutex
	// state is the lasting fault: it is never Drop or Discard.
	state  LinkFault
	closed bool
	// conns holds the open connections. The value is true if data that arrives on the connection is
	// discarded.
	conns map[net.Conn]bool
}

// NewRelay starts a relay that listens on a loopback address and forwards to destination.
func NewRelay(destination string) (*Relay, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, destination: destination, conns: map[net.Conn]bool{}}
	r.background.Go(r.serve)
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut resets every connection and refuses new ones.
func (r *Relay) Cut() { r.Inject(Refuse) }

// Heal ends a lasting fault. Connections that were silenced for good stay silent.
func (r *Relay) Heal() { r.Inject(Sound) }

// Inject applies a link fault until the next call. Drop and Discard affect only the connections
// that are open now and leave the lasting fault as it is.
func (r *Relay) Inject(f LinkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f != Drop && f != Discard {
		r.state = f
	}
	for c := range r.conns {
		switch f {
		case Refuse, Reset:
			reset(c)
		case Drop:
			dropPackets(c)
		case Discard:
			r.conns[c] = true
		}
	}
}

// dropPackets makes the kernel drop every packet that arrives for c before acknowledging it. A
// connection that is already closed needs no filter, so errors are ignored.
func dropPackets(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	accept := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0} // accepts 0 bytes of each packet
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: 1, Filter: &accept})
	})
}

// Pause makes the kernel drop every packet that arrives for the open connections for the time d. What
// was sent meanwhile is sent again afterwards.
func (r *Relay) Pause(d time.Duration) {
	r.mu.Lock()
	paused := make([]net.Conn, 0, len(r.conns))
	for c := range r.conns {
		dropPackets(c)
		paused = append(paused, c)
	}
	r.mu.Unlock()
	time.Sleep(d)
	for _, c := range paused {
		acceptPackets(c)
	}
}

// acceptPackets reverts dropPackets.
func acceptPackets(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
}

// discards reports whether data that arrives on a connection is discarded.
func (r *Relay) discards(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[c]
}

// reset closes a connection with a TCP reset. Errors are ignored: they mean that it is already
// closed.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close stops the relay, resets its connections and waits for its goroutines.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Cut()
	r.background.Wait()
}

// serve accepts connections until the listener is closed.
func (r *Relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.background.Go(func() { r.forward(in) })
	}
}

// addConn registers a connection. It returns false, and does not register it, if the relay refuses
// connections.
func (r *Relay) addConn(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == Refuse {
		return false
	}
	r.conns[c] = false
	return true
}

// removeConn closes a connection and removes it from conns.
func (r *Relay) removeConn(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.Close()
}

// forward connects to the destination and copies data in both directions.
func (r *Relay) forward(in net.Conn) {
	defer r.removeConn(in)
	if !r.addConn(in) {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", r.destination)
	if err != nil {
		reset(in)
		return
	}
	defer r.removeConn(out)
	if !r.addConn(out) {
		return
	}
	var back sync.WaitGroup
	back.Go(func() {
		r.copy(in, out, true)
	})
	r.copy(out, in, false)
	back.Wait()
}

// copy forwards data from src to dst until either is closed, and then closes dst, or resets it if src was
// reset. back is true for data to the client.
func (r *Relay) copy(dst, src net.Conn, back bool) {
	defer dst.Close()
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !r.awaitPassing(back) {
				return
			}
			if r.discards(src) {
				continue
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			r.keepSilent(src)
			if errors.Is(err, syscall.ECONNRESET) {
				reset(dst)
			}
			return
		}
	}
}

// keepSilent delays the close of a connection whose data is discarded until the relay is closed, so
// that the other end does not notice it.
func (r *Relay) keepSilent(c net.Conn) {
	for r.discards(c) && r.awaitPassing(false) {
		time.Sleep(silentPollInterval)
	}
}

// awaitPassing blocks while the link holds data back. back is true for data to the client. It
// returns false if the relay is closed.
func (r *Relay) awaitPassing(back bool) bool {
	for {
		r.mu.Lock()
		state, closed := r.state, r.closed
		r.mu.Unlock()
		switch {
		case closed:
			return false
		case state == Delayed:
			time.Sleep(addedDelay)
			return true
		case state == Silent, state == OneWay && back:
			time.Sleep(heldPollInterval)
		default:
			return true
		}
	}
}
