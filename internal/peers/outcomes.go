package peers

import "garnethoist.org/garnethoist/internal/fair"

// Outcomes counts served requests by their size. fair.Sizes implements it.
type Outcomes interface {
	// TakeOutcomes returns the outcomes at this VM to be shared since its last call.
	TakeOutcomes() []fair.Outcome
	// ObserveOutcomes takes in outcomes that other VMs have shared.
	ObserveOutcomes(outcomes []fair.Outcome)
}

// SetOutcomes sets what counts outcomes by size. It must be called before Start.
func (p *Peers) SetOutcomes(o Outcomes) { p.outcomes = o }

// outcome is the wire form of fair.Outcome. The fields are those of fair.Outcome with the same
// names.
type outcome struct {
	_      struct{} `cbor:",toarray"`
	Route  string
	Prompt int
	Answer int
	First  bool
	Served bool
	// Origin is the originHash of the VM that decided, see sendRecord.
	Origin uint16
}

// takeOutcomes returns the wire form of this VM's outcomes to be shared.
func (p *Peers) takeOutcomes() []outcome {
	if p.outcomes == nil {
		return nil
	}
	origin := originHash(p.self.VM)
	var out []outcome
	for _, a := range p.outcomes.TakeOutcomes() {
		out = append(out, outcome{Route: a.Route, Prompt: a.Prompt, Answer: a.Answer, First: a.First, Served: a.Served, Origin: origin})
	}
	return out
}

// observeOutcomes takes in the outcomes of a report but those of this VM, which a digest contains
// too.
func (p *Peers) observeOutcomes(outcomes []outcome) {
	if p.outcomes == nil || len(outcomes) == 0 {
		return
	}
	own := originHash(p.self.VM)
	out := make([]fair.Outcome, 0, len(outcomes))
	for _, a := range outcomes {
		if a.Origin != own {
			out = append(out, fair.Outcome{Route: a.Route, Prompt: a.Prompt, Answer: a.Answer, First: a.First, Served: a.Served})
		}
	}
	p.outcomes.ObserveOutcomes(out)
}

// recordQueue holds the records for the next summary or digest, of each kind at most maxQueuedRecords
// and those of one more report.
type recordQueue struct {
	sends    []sendRecord
	outcomes []outcome
}

// add adds the records of a report.
func (q *recordQueue) add(r *report) {
	if len(q.sends) < maxQueuedRecords {
		q.sends = append(q.sends, r.SendRecords...)
	}
	if len(q.outcomes) < maxQueuedRecords {
		q.outcomes = append(q.outcomes, r.Outcomes...)
	}
}

// moveTo sets the records of a report to the queued ones and empties the queue.
func (q *recordQueue) moveTo(r *report) {
	r.SendRecords, r.Outcomes = q.sends, q.outcomes
	*q = recordQueue{}
}
