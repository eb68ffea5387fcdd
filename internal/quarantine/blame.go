package quarantine

// blame is what the crashes of a held part tell about it.
type blame struct {
	// revision is that of the table when the blame was computed.
	revision uint64
	// alternatives are the parts that were at minShared of the same crashes or more, and in no request that
	// has run well since. Each of them may be at fault in place of the part.
	alternatives map[ID]bool
	// blamed says that no alternative explains the part's crashes. Requests with the part are kept from
	// targets. Before that, requests with the part but without an alternative are sent, because they tell
	// which of them is at fault.
	blamed bool
}

// blameOf returns the blame of a held entry. The caller must hold table.mu.
func (t *PartTable) blameOf(e *entry) blame {
	b, ok := t.blames[e.id]
	if !ok || b.revision != t.table.revision {
		b = newBlame(e, t.table.entries)
		b.revision = t.table.revision
		t.blames[e.id] = b
	}
	return b
}

// newBlame computes the blame of an entry from all entries.
func newBlame(e *entry, entries map[ID]*entry) blame {
	b := blame{alternatives: make(map[ID]bool)}
	explained := make(map[uint64]bool)
	for id, other := range entries {
		shared := sharedCrashes(e, other)
		if id == e.id || len(shared) < minShared {
			continue
		}
		b.alternatives[id] = true
		for _, runHash := range shared {
			explained[runHash] = true
		}
	}
	unexplained := 0
	for runHash, c := range e.crashes {
		if !c.cleared && !explained[runHash] {
			unexplained++
		}
	}
	b.blamed = unexplained >= minUnexplained
	return b
}

// sharedCrashes returns the runs at whose crashes both parts were, without those that are cleared for one
// of them.
func sharedCrashes(e, other *entry) []uint64 {
	if other.crashCount < minShared {
		return nil
	}
	var shared []uint64
	for runHash, c := range e.crashes {
		if o, ok := other.crashes[runHash]; ok && !c.cleared && !o.cleared {
			shared = append(shared, runHash)
		}
	}
	return shared
}
