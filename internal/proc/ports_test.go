package proc

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/settings"
)

// An address on which another process listens for UDP only is not handed out: a VM that exchanges
// reports with its peers over UDP could not listen there.
func TestPortsLeaveOutAddressesTakenForDatagrams(t *testing.T) {
	is := is.New(t)
	p := NewPorts()
	free, err := p.Take(1)
	is.NoErr(err)
	taken, err := net.ListenPacket("udp", string(free[0]))
	is.NoErr(err)
	defer taken.Close()
	p.next--
	next, err := p.Take(1)
	is.NoErr(err)
	is.True(next[0] != free[0])
}

// Two Ports, as in two programs that run in parallel, never hand out the same address, even if
// nothing listens on it yet or any more: requests of one program's processes must not reach the
// processes of the other.
func TestPortsOfTwoSourcesAreDisjoint(t *testing.T) {
	is := is.New(t)
	const each = 2 * portsPerBlock
	handed := make(map[settings.Addr]bool)
	for range 2 {
		addrs, err := NewPorts().Take(each)
		is.NoErr(err)
		for _, a := range addrs {
			is.True(!handed[a])
			handed[a] = true
		}
	}
}

// Guards against requests to a stand-in that was closed reaching the next one: addresses of stand-ins are not
// used twice, and the kernel gives them to nobody.
func TestListenUsesEachAddressOnce(t *testing.T) {
	is := is.New(t)
	used := make(map[string]bool)
	for range 2 * portsPerBlock {
		l, err := Listen()
		is.NoErr(err)
		port := l.Addr().(*net.TCPAddr).Port
		is.NoErr(l.Close())
		is.True(!used[l.Addr().String()])
		is.True(port >= firstPort && port < firstPort+portCount)
		used[l.Addr().String()] = true
	}
}
