package live

import (
	"fmt"
	"sync"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// firstVersion is the software version of the first engines.
const firstVersion = "v0"

// slot is a place at which one engine after the other runs. The engines are reached through a
// relay, so that an engine can fall silent.
type slot struct {
	index      int
	dataCentre string
	// factor is how many times as long the slot's engines take as the site's figures say.
	factor float64

	mu sync.Mutex
	// engine is the present engine, or nil if there is none, and link the relay before it.
	engine *platformtest.LiveEngine
	link   *proc.Relay
	// leaving says that the present engine is listed as leaving.
	leaving bool
	// started counts the engines of the slot, and version is the software version of the next one.
	started int
	version string
}

// setNextVersion sets the software version of the slot's next engine.
func (s *slot) setNextVersion(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// serves reports whether the slot has an engine of a version that serves requests.
func (s *slot) serves(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine != nil && !s.leaving && s.engine.Version == version
}

// close ends the present engine and its relay.
func (s *slot) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine == nil {
		return
	}
	s.engine.Close()
	s.link.Close()
}

// startEngines starts and lists the engines of each data centre. As many of them prefill as
// Site.PrefillEngines returns.
func (h *harness) startEngines() error {
	s := h.cfg.Site
	for _, dc := range s.DataCentres {
		for k := range dc.Engines {
			stage := fleet.Decode
			if k < s.PrefillEngines(dc) {
				stage = fleet.Prefill
			}
			n := len(h.slots)
			h.slots = append(h.slots, &slot{index: n, dataCentre: dc.Name, factor: s.TimeFactor(n), version: firstVersion})
			if err := h.startEngine(h.slots[n], stage); err != nil {
				return err
			}
		}
	}
	return nil
}

// startEngine starts and lists the next engine of a slot.
func (h *harness) startEngine(s *slot, stage fleet.Stage) error {
	s.mu.Lock()
	s.started++
	id, version := fmt.Sprintf("engine-%d-%d", s.index, s.started), s.version
	s.mu.Unlock()
	e, err := h.fleet.Start(id, version, s.dataCentre, stage, s.factor, func(e *platformtest.LiveEngine) { h.list(s, e) })
	if err != nil {
		return err
	}
	link, err := proc.NewRelay(e.Address())
	if err != nil {
		e.Close()
		return err
	}
	s.mu.Lock()
	s.engine, s.link, s.leaving = e, link, false
	s.mu.Unlock()
	h.list(s, e)
	return nil
}

// list writes the row of a slot's engine to the table of targets in the store, unless the engine
// has ended meanwhile.
func (h *harness) list(s *slot, e *platformtest.LiveEngine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine != e {
		return
	}
	h.store.Put(platformtest.TableTargets, e.ID, e.Row(platformtest.ServiceModel, s.dataCentre, s.link.Addr(), s.leaving))
}
