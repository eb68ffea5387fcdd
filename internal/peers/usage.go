package peers

import (
	"net/netip"
	"slices"

	"garnethoist.org/garnethoist/internal/duty"
	"garnethoist.org/garnethoist/internal/usage"
)

// Usage holds the run counts of client accounts: how many runs of their requests began in each
// usage window.
type Usage interface {
	// Reply returns this VM's counts that q asks for.
	Reply(q usage.Question) usage.Reply
	// HandleReply records the counts of another VM.
	HandleReply(vm string, a usage.Reply)
}

// SetUsage sets the run counts that are exchanged with other VMs. It must be called before Start.
func (p *Peers) SetUsage(u Usage) { p.usage = u }

// SetDutyFence sets the function that returns this VM's fencing number while it holds the duties
// (see package duty), and 0 otherwise. It must be called before Start.
func (p *Peers) SetDutyFence(fence func() uint64) { p.dutyFence = fence }

// usageQuestion is the wire form of usage.Question. Incarnation, Revision and Number are the fields
// of usage.Question with these names.
type usageQuestion struct {
	// From is the name of the VM that asks.
	From        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Revision    uint64 `cbor:"3,keyasint"`
	Number      uint64 `cbor:"4,keyasint"`
}

// usageReply is the wire form of usage.Reply. Incarnation, Revision, Number, More and Counts are
// the fields of usage.Reply with these names.
type usageReply struct {
	// From is the name of the VM that replies.
	From        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Since is usage.Reply.From, the revision after which the counts have changed.
	Since    uint64       `cbor:"3,keyasint"`
	Revision uint64       `cbor:"4,keyasint"`
	Number   uint64       `cbor:"5,keyasint"`
	More     bool         `cbor:"6,keyasint,omitempty"`
	Counts   []usageCount `cbor:"7,keyasint,omitempty"`
}

// usageCount is the wire form of usage.Count.
type usageCount struct {
	_       struct{} `cbor:",toarray"`
	Window  int64
	Account string
	Runs    int
}

// AskUsage implements usage.Group. It sends a usage question to a VM.
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

// sendToVM sends a datagram to a VM, or does nothing if the VM is not known.
func (p *Peers) sendToVM(vm string, d datagram) {
	p.mu.Lock()
	m, ok := p.members[vm]
	p.mu.Unlock()
	if ok {
		p.sendTo(d, []netip.AddrPort{m.addr})
	}
}

// handleUsageQuestion replies to a usage question with this VM's run counts.
func (p *Peers) handleUsageQuestion(q *usageQuestion) {
	if p.usage == nil {
		return
	}
	a := p.usage.Reply(usage.Question{Incarnation: q.Incarnation, Revision: q.Revision,
		Number: q.Number})
	out := &usageReply{From: p.self.VM, Incarnation: a.Incarnation, Since: a.From,
		Revision: a.Revision, Number: a.Number, More: a.More}
	for _, c := range a.Counts {
		out.Counts = append(out.Counts, usageCount{Window: int64(c.Window), Account: c.Account,
			Runs: c.Runs})
	}
	p.sendToVM(q.From, datagram{UsageReply: out})
}

// handleUsageReply passes the run counts in a reply to p.usage.
func (p *Peers) handleUsageReply(in *usageReply) {
	if p.usage == nil {
		return
	}
	a := usage.Reply{Incarnation: in.Incarnation, From: in.Since, Revision: in.Revision,
		Number: in.Number, More: in.More}
	for _, c := range in.Counts {
		a.Counts = append(a.Counts, usage.Count{Window: usage.Window(c.Window), Account: c.Account,
			Runs: c.Runs})
	}
	p.usage.HandleReply(in.From, a)
}

// Candidate implements duty.Group. It returns whether this VM may compete for the duties: in a
// large group only the sentinels do, because they watch the store anyway.
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

// Checks at compile time that Peers implements usage.Group and duty.Group.
var (
	_ usage.Group = (*Peers)(nil)
	_ duty.Group  = (*Peers)(nil)
)
