package peers

import "garnethoist.org/garnethoist/internal/fair"

// Admissions counts admitted requests by their size. fair.Sizes implements it.
type Admissions interface {
	// TakeAdmissions returns this VM's admissions to be shared since its last call.
	TakeAdmissions() []fair.Admission
	// ObserveAdmissions takes in admissions that other VMs have shared.
	ObserveAdmissions(admissions []fair.Admission)
}

// SetAdmissions sets what counts admissions by size. It must be called before Start.
func (p *Peers) SetAdmissions(a Admissions) { p.admissions = a }

// admission is the wire form of fair.Admission. The fields are those of fair.Admission with the same
// names.
type admission struct {
	_        struct{} `cbor:",toarray"`
	Route    string
	Prompt   int
	Answer   int
	First    bool
	Admitted bool
	// Origin is the originHash of the VM that decided, see sendRecord.
	Origin uint16
}

// takeAdmissions returns the wire form of this VM's admissions to be shared.
func (p *Peers) takeAdmissions() []admission {
	if p.admissions == nil {
		return nil
	}
	origin := originHash(p.self.VM)
	var out []admission
	for _, a := range p.admissions.TakeAdmissions() {
		out = append(out, admission{Route: a.Route, Prompt: a.Prompt, Answer: a.Answer, First: a.First, Admitted: a.Admitted, Origin: origin})
	}
	return out
}

// observeAdmissions takes in the admissions of a report but those of this VM, which a digest contains
// too.
func (p *Peers) observeAdmissions(admissions []admission) {
	if p.admissions == nil || len(admissions) == 0 {
		return
	}
	own := originHash(p.self.VM)
	out := make([]fair.Admission, 0, len(admissions))
	for _, a := range admissions {
		if a.Origin != own {
			out = append(out, fair.Admission{Route: a.Route, Prompt: a.Prompt, Answer: a.Answer, First: a.First, Admitted: a.Admitted})
		}
	}
	p.admissions.ObserveAdmissions(out)
}

// recordQueue holds the records for the next summary or digest, of each kind at most maxQueuedRecords
// and those of one more report.
type recordQueue struct {
	sends      []sendRecord
	admissions []admission
}

// add adds the records of a report.
func (q *recordQueue) add(r *report) {
	if len(q.sends) < maxQueuedRecords {
		q.sends = append(q.sends, r.SendRecords...)
	}
	if len(q.admissions) < maxQueuedRecords {
		q.admissions = append(q.admissions, r.Admissions...)
	}
}

// moveTo sets the records of a report to the queued ones and empties the queue.
func (q *recordQueue) moveTo(r *report) {
	r.SendRecords, r.Admissions = q.sends, q.admissions
	*q = recordQueue{}
}
