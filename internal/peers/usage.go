package peers

import (
	"net/netip"
	"slices"

	"garnethoist.org/garnethoist/internal/duty"
	"garnethoist.org/garnethoist/internal/usage"
)

// Usage counts the runs of client accounts.
type Usage interface {
	// Answer returns this VM's counts, and Hear takes in another VM's.
	Answer(q usage.Question) usage.Answer
	Hear(vm string, a usage.Answer)
}

// SetUsage sets whose counts are exchanged; it is called before Start.
func (p *Peers) SetUsage(u Usage) { p.usage = u }

// SetDuty sets where it is read whether this VM holds the duties; it is called before Start.
func (p *Peers) SetDuty(fence func() uint64) { p.duty = fence }

// question is a usage.Question on the wire.
type question struct {
	From        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Revision    uint64 `cbor:"3,keyasint"`
	Number      uint64 `cbor:"4,keyasint"`
}

// answerFrom is a usage.Answer on the wire.
type answerFrom struct {
	From        string      `cbor:"1,keyasint"`
	Incarnation int64       `cbor:"2,keyasint"`
	Since       uint64      `cbor:"3,keyasint"`
	Revision    uint64      `cbor:"4,keyasint"`
	Number      uint64      `cbor:"5,keyasint"`
	More        bool        `cbor:"6,keyasint,omitempty"`
	Counts      []usedCount `cbor:"7,keyasint,omitempty"`
}

type usedCount struct {
	_       struct{} `cbor:",toarray"`
	Window  int64
	Account string
	Runs    int
}

// AskUsage implements usage.Group.
func (p *Peers) AskUsage(vm string, q usage.Question) {
	p.toVM(vm, datagram{Question: &question{From: p.self.VM, Incarnation: q.Incarnation, Revision: q.Revision, Number: q.Number}})
}

// Others implements usage.Group.
func (p *Peers) Others() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.members))
	for vm := range p.members {
		if vm != p.self.VM {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	return names
}

// toVM sends a datagram to one VM, if it is listed.
func (p *Peers) toVM(vm string, d datagram) {
	p.mu.Lock()
	m, ok := p.members[vm]
	p.mu.Unlock()
	if ok {
		p.toAll(d, []netip.AddrPort{m.addr})
	}
}

func (p *Peers) takeQuestion(q *question) {
	if p.usage == nil {
		return
	}
	a := p.usage.Answer(usage.Question{Incarnation: q.Incarnation, Revision: q.Revision, Number: q.Number})
	out := &answerFrom{From: p.self.VM, Incarnation: a.Incarnation, Since: a.From, Revision: a.Revision, Number: a.Number, More: a.More}
	for _, c := range a.Counts {
		out.Counts = append(out.Counts, usedCount{Window: int64(c.Window), Account: c.Account, Runs: c.Runs})
	}
	p.toVM(q.From, datagram{Answer: out})
}

func (p *Peers) takeAnswer(in *answerFrom) {
	if p.usage == nil {
		return
	}
	a := usage.Answer{Incarnation: in.Incarnation, From: in.Since, Revision: in.Revision, Number: in.Number, More: in.More}
	for _, c := range in.Counts {
		a.Counts = append(a.Counts, usage.Count{Window: usage.Window(c.Window), Account: c.Account, Runs: c.Runs})
	}
	p.usage.Hear(in.From, a)
}

// Candidate implements duty.Group: in a large group few VMs contend, those that watch the
// store anyway.
func (p *Peers) Candidate() bool {
	select {
	case <-p.joined:
	default:
		return false
	}
	return !p.PassesOn() || p.Sentinel()
}

// HolderHeard implements duty.Group.
func (p *Peers) HolderHeard() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range []map[string]*heardState{p.heard, p.centres} {
		for _, s := range all {
			if s.holds && s.fresh() && s.from.VM != p.self.VM {
				return true
			}
		}
	}
	return false
}

var (
	_ usage.Group = (*Peers)(nil)
	_ duty.Group  = (*Peers)(nil)
)
