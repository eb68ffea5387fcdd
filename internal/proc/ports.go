package proc

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/settings"
)

// The ports are below the range from which the kernel takes ports for outgoing connections, so that
// no port is taken between the check that it is free and the start of its listener.
const (
	firstPort = 12000
	portCount = 18000
	// portsPerBlock is the number of ports that a Ports claims at once.
	portsPerBlock = 100
	blockCount    = portCount / portsPerBlock
)

// Ports hands out loopback addresses, never the same one twice. It claims ports in blocks, so that
// programs that run in parallel have no ports in common: requests to a process that has exited
// would otherwise reach a process of another program. It is safe for concurrent use.
type Ports struct {
	mu sync.Mutex
	// next and end are the bounds of the unused rest of the current block.
	next, end int
}

// claimedBlocks holds a listener on the first port of each block that this program has claimed. The
// blocks remain claimed after their Ports is gone, since its processes may still run.
var claimedBlocks struct {
	sync.Mutex
	held []net.Listener
}

// NewPorts returns a Ports that has not claimed a block yet.
func NewPorts() *Ports { return &Ports{} }

// Take returns n addresses on which nothing listens.
func (p *Ports) Take(n int) ([]settings.Addr, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]settings.Addr, 0, n)
	for len(out) < n {
		if p.next == p.end {
			if err := p.claimBlock(); err != nil {
				return nil, err
			}
		}
		addr := loopbackAddr(p.next)
		p.next++
		if isFree(addr) {
			out = append(out, settings.Addr(addr))
		}
	}
	return out, nil
}

// claimBlock claims a block that no other Ports has. The caller must hold p.mu.
func (p *Ports) claimBlock() error {
	first := os.Getpid() % blockCount
	for i := range blockCount {
		port := firstPort + (first+i)%blockCount*portsPerBlock
		l, err := net.Listen("tcp", loopbackAddr(port))
		if err != nil {
			continue
		}
		claimedBlocks.Lock()
		claimedBlocks.held = append(claimedBlocks.held, l)
		claimedBlocks.Unlock()
		p.next, p.end = port+1, port+portsPerBlock
		return nil
	}
	return errors.New("no block of ports is free")
}

// listenPorts are the ports of Listen.
var listenPorts = NewPorts()

// Listen returns a listener on a loopback address that this program uses only once, and no other program that
// uses Ports. Stand-ins listen there: the kernel gives the port of a stand-in that was closed to another one,
// which then gets the requests of those who still know the address.
func Listen() (net.Listener, error) {
	addrs, err := listenPorts.Take(1)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", string(addrs[0]))
	return l, errors.Wrap(err, "listen")
}

func loopbackAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// isFree reports whether nothing listens on the address, neither for TCP nor for UDP.
func isFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer l.Close()
	d, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	d.Close()
	return true
}
