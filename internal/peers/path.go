package peers

import "math/rand/v2"

const (
	// localDraws is how often a VM of this data centre is drawn, and allDraws how often one of any,
	// until one is usable.
	localDraws = 4
	allDraws   = 32
)

// SetPathLost sets what tells whether this VM reaches no target directly. It must be called before
// Start.
func (p *Peers) SetPathLost(f func() bool) { p.pathLost = f }

// RandomPeer returns the address of a usable VM drawn at random: one of this data centre that is
// considered live, or else one of any data centre. VMs that reach no target are not drawn. It returns
// false if no draw is usable.
func (p *Peers) RandomPeer(usable func(address string) bool) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.currentTopology()
	draw := func(from []knownMember, times int) (string, bool) {
		for range min(times, times*len(from)) {
			m := from[rand.IntN(len(from))]
			if address := m.addr.String(); m.VM != p.self.VM && !t.withoutPath[m.VM] && usable(address) {
				return address, true
			}
		}
		return "", false
	}
	if address, ok := draw(t.live, localDraws); ok {
		return address, true
	}
	return draw(t.others, allDraws)
}

// vmsWithoutPath returns the VMs that reach no target directly, according to the fresh reports. The
// caller must hold p.mu.
func (p *Peers) vmsWithoutPath() map[string]bool {
	var out map[string]bool
	for _, all := range []map[string]*receivedReport{p.vmReports, p.dataCentreReports} {
		for _, s := range all {
			for _, vm := range s.withoutPath {
				if s.isFresh() {
					if out == nil {
						out = make(map[string]bool)
					}
					out[vm] = true
				}
			}
		}
	}
	return out
}
