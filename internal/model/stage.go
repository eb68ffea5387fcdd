package model

import (
	"math"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/stages"
)

const (
	// stageInterval is the time between two checks of the engines' stages.
	stageInterval = time.Second
	// stageChangeDelay is how long a change must be wanted before it is ordered. It stands for
	// the delays of package stages: the time that VMs wait before they try to take the lease,
	// taking the lease, and writing the order to the journal.
	stageChangeDelay = 2 * time.Second
	// idlePollInterval is the time between two checks whether an engine has completed its work.
	idlePollInterval = 20 * time.Millisecond
)

// Changing implements Fleet.
func (sim *simulation) Changing(id string) bool { return sim.byID[id].changing }

// adjustStages orders the stage changes that stages.Plan returns, once changes have been wanted for
// stageChangeDelay.
func (sim *simulation) adjustStages() {
	want := func() int {
		n := 0
		for _, t := range sim.listed {
			if !t.Leaving {
				n++
			}
		}
		return int(math.Round(sim.site.Engine.PrefillShare * float64(n)))
	}
	load := func(id string) int { return len(sim.byID[id].running) }
	changes := stages.Plan(sim.plannedTargets(), want(), load)
	if len(changes) == 0 {
		sim.changeWantedSince = 0
		return
	}
	if sim.changeWantedSince == 0 {
		sim.changeWantedSince = sim.now
	}
	if sim.now-sim.changeWantedSince < stageChangeDelay {
		return
	}
	for _, c := range changes {
		if e := sim.byID[c.Target.ID]; !e.changing {
			e.changing, e.nextStage = true, c.Stage
			sim.switchWhenIdle(e)
		}
	}
}

// plannedTargets returns the listed targets, with the next stage for those that change stage.
func (sim *simulation) plannedTargets() []*fleet.Target {
	out := make([]*fleet.Target, 0, len(sim.listed))
	for _, t := range sim.listed {
		if e := sim.byID[t.ID]; e.changing {
			c := *t
			c.Stage = e.nextStage
			t = &c
		}
		out = append(out, t)
	}
	return out
}

// switchWhenIdle has an engine complete its work, makes it unavailable for the switch time and then
// lists it with its next stage.
func (sim *simulation) switchWhenIdle(e *engine) {
	if e.down || e.delisted {
		return
	}
	if e.busySlots()+len(e.waiting) > 0 {
		sim.after(idlePollInterval, func() { sim.switchWhenIdle(e) })
		return
	}
	sim.after(seconds(sim.site.Engine.SwitchS), func() {
		t := *e.target
		t.Stage = e.nextStage
		e.target, e.changing = &t, false
		sim.refreshListing()
	})
}
