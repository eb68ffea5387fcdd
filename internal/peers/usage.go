package peers

import (
	"net/netip"
	"slices"

	"garnethoist.org/garnethoist/internal/duty"
	"garnethoist.org/garnethoist/internal/usage"
)

// Usage holds the run counts of client accounts.
type Usage interface {
	// Answer returns this VM's counts, and Hear takes in those of another VM.
	Answer(q usage.Question) usage.Answer
	HandleAnswer(vm string, a usage.Answer)
}

// SetUsage sets the counts to exchange. It must be called before Start.
func (p *Peers) SetUsage(u Usage) { p.usage = u }

// SetDutyFence sets the function that returns this VM's fence while it holds the duties, and 0
// otherwise. It must be called before Start.
func (p *Peers) SetDutyFence(fence func() uint64) { p.dutyFence = fence }

// usageQuestion is the wire form of usage.Question.
type usageQuestion struct {
	From        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Revision    uint64 `cbor:"3,keyasint"`
	Number      uint64 `cbor:"4,keyasint"`
}

// usageAnswer is the wire form of usage.Answer.
type usageAnswer struct {
	From        string       `cbor:"1,keyasint"`
	Incarnation int64        `cbor:"2,keyasint"`
	Since       uint64       `cbor:"3,keyasint"`
	Revision    uint64       `cbor:"4,keyasint"`
	Number      uint64       `cbor:"5,keyasint"`
	More        bool         `cbor:"6,keyasint,omitempty"`
	Counts      []usageCount `cbor:"7,keyasint,omitempty"`
}

// usageCount is the wire form of usage.Count.
type usageCount struct {
	_       struct{} `cbor:",toarray"`
	Window  int64
	Account string
	Runs    int
}

// AskUsage implements usage.Group. It sends a question to a VM.
func (p *Peers) AskUsage(vm string, q usage.Question) {
	p.sendToVM(vm, datagram{UsageQuestion: &usageQuestion{From: p.self.VM,
		Incarnation: q.Incarnation, Revision: q.Revision, Number: q.Number}})
}

// Others implements usage.Group. It returns the sorted names of the other VMs.
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

// sendToVM sends a datagram to a VM, or does nothing if the VM is not listed.
func (p *Peers) sendToVM(vm string, d datagram) {
	p.mu.Lock()
	m, ok := p.members[vm]
	p.mu.Unlock()
	if ok {
		p.sendTo(d, []netip.AddrPort{m.addr})
	}
}

func (p *Peers) handleUsageQuestion(q *usageQuestion) {
	if p.usage == nil {
		return
	}
	a := p.usage.Answer(usage.Question{Incarnation: q.Incarnation, Revision: q.Revision,
		Number: q.Number})
	out := &usageAnswer{From: p.self.VM, Incarnation: a.Incarnation, Since: a.From,
		Revision: a.Revision, Number: a.Number, More: a.More}
	for _, c := range a.Counts {
		out.Counts = append(out.Counts, usageCount{Window: int64(c.Window), Account: c.Account,
			Runs: c.Runs})
	}
	p.sendToVM(q.From, datagram{UsageAnswer: out})
}

func (p *Peers) handleUsageAnswer(in *usageAnswer) {
	if p.usage == nil {
		return
	}
	a := usage.Answer{Incarnation: in.Incarnation, From: in.Since, Revision: in.Revision,
		Number: in.Number, More: in.More}
	for _, c := range in.Counts {
		a.Counts = append(a.Counts, usage.Count{Window: usage.Window(c.Window), Account: c.Account,
			Runs: c.Runs})
	}
	p.usage.HandleAnswer(in.From, a)
}

// Candidate implements duty.Group. In a large group only the sentinels compete for the duties,
// because they watch the store anyway.
func (p *Peers) Candidate() bool {
	select {
	case <-p.joined:
	default:
		return false
	}
	return !p.ForwardsChanges() || p.Sentinel()
}

// OtherHolderKnown implements duty.Group. It returns whether a recent report says that another VM
// holds the duties.
func (p *Peers) OtherHolderKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range []map[string]*receivedReport{p.vmReports, p.dataCentreReports} {
		for _, s := range all {
			if s.holdsDuties && s.isFresh() && s.from.VM != p.self.VM {
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
