package tunnel

import (
	"sync"
	"time"
)

const (
	// minProofs is the number of successive connections that must succeed through other VMs and fail
	// directly for the path to count as lost. A target that is down fails both ways and proves nothing.
	minProofs = 2
	// minDoubts is the number of successive direct connections that must fail for this VM to open none for
	// others.
	minDoubts = 2
	// maxRecent is the number of addresses that are kept for probes of the path.
	maxRecent = 8
	// maxIndirect limits the targets that are known to be reached only through other VMs, and
	// indirectTTL is how long one of them is remembered after its last use.
	maxIndirect = 1024
	indirectTTL = 10 * time.Second
)

// pathState tells which targets this VM reaches directly. It is safe for concurrent use.
type pathState struct {
	mu sync.Mutex
	// lost is set while this VM is taken to reach no target, and proofs counts the successive proofs.
	lost   bool
	proofs int
	// unreached is the number of direct connections that have failed since one succeeded.
	unreached int
	// recent holds the last addresses to which connections were opened, and nextRecent the index of the
	// one to probe next.
	recent     []string
	nextRecent int
	// indirect holds when the targets that are reached only through other VMs were last used, and
	// probes their addresses that are still to be probed in this round.
	indirect map[string]time.Time
	probes   []string
}

// isLost reports whether the path is lost.
func (p *pathState) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// isSound reports whether the last direct connection succeeded.
func (p *pathState) isSound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreached == 0
}

// isDoubtful reports whether the path is lost or probably is.
func (p *pathState) isDoubtful() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.doubtful()
}

// doubtful is isDoubtful for callers that hold p.mu.
func (p *pathState) doubtful() bool { return p.lost || p.unreached >= minDoubts }

// noteUnreached records that a direct connection failed.
func (p *pathState) noteUnreached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreached++
}

// noteUse records that a connection to a target is opened.
func (p *pathState) noteUse(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.indirect[address]; ok {
		p.indirect[address] = now
	}
	for _, a := range p.recent {
		if a == address {
			return
		}
	}
	p.recent = append(p.recent, address)
	if len(p.recent) > maxRecent {
		p.recent = p.recent[1:]
	}
}

// isIndirect reports whether a target is reached only through other VMs.
func (p *pathState) isIndirect(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.indirect[address]
	return ok
}

// nextProbes returns the addresses to probe the path with: one of a target that is reached only through
// other VMs, and one of any target. It returns none if all targets are reached directly.
func (p *pathState) nextProbes(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.probes) == 0 {
		for address, usedAt := range p.indirect {
			if now.Sub(usedAt) > indirectTTL {
				delete(p.indirect, address)
				continue
			}
			p.probes = append(p.probes, address)
		}
	}
	var out []string
	if len(p.probes) > 0 {
		out = append(out, p.probes[0])
		p.probes = p.probes[1:]
	}
	if p.doubtful() && len(p.recent) > 0 {
		p.nextRecent++
		out = append(out, p.recent[p.nextRecent%len(p.recent)])
	}
	return out
}

// reached records that a direct connection to a target succeeded. If the target was reached only
// through other VMs before, the others that were are taken to be reached too. It returns whether the
// path was lost until now.
func (p *pathState) reached(address string) (regained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.indirect[address]; ok {
		clear(p.indirect)
		p.probes = nil
	}
	regained = p.lost
	p.lost, p.proofs, p.unreached = false, 0, 0
	return regained
}

// provenIndirect records that a connection to a target succeeded through another VM after it had failed
// directly. It returns whether the path counts as lost from now on.
func (p *pathState) provenIndirect(address string, now time.Time) (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.indirect) < maxIndirect {
		p.indirect[address] = now
	}
	p.proofs++
	if p.lost || p.proofs < minProofs {
		return false
	}
	p.lost = true
	return true
}
