package quarantine

import (
	"slices"
	"time"
)

// Word is what one VM tells others of a request. Taking it in twice, late or in another order
// changes nothing: ends are a set, and one that is void stays so.
type Word struct {
	ID ID
	// Source is whose share of the table the request takes.
	Source uint64
	Ends   []WordEnd
}

// count is the ends that count against the request.
func (w Word) count() int {
	var valid []end
	for _, n := range w.Ends {
		if !n.Void {
			at := time.Time{}.Add(-n.Age)
			valid = append(valid, end{began: at.Add(-n.Ran), at: at})
		}
	}
	return countEnds(valid)
}

// WordEnd is one end of a target under the request.
type WordEnd struct {
	// Target is a hash of the target's run.
	Target uint64
	// Age is how long ago the target ended, and Ran how long before that the request had been
	// sent there.
	Age  time.Duration
	Ran  time.Duration
	Void bool
}

// News returns the words that have not been told yet.
func (t *Table) News(now time.Time) []Word {
	t.mu.Lock()
	defer t.mu.Unlock()
	var words []Word
	for _, id := range t.news {
		if e := t.entries[id]; e != nil {
			words = append(words, e.word(now))
		}
	}
	t.news = nil
	return words
}

// Words returns the n words that matter most, for VMs that may have missed them.
func (t *Table) Words(n int, now time.Time) []Word {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return matters(b, a) })
	words := make([]Word, 0, min(n, len(all)))
	for _, e := range all[:min(n, len(all))] {
		words = append(words, e.word(now))
	}
	return words
}

// Word returns what is known of a request, or false where nothing is.
func (t *Table) Word(id ID, now time.Time) (Word, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return Word{}, false
	}
	return e.word(now), true
}

func (e *entry) word(now time.Time) Word {
	w := Word{ID: e.id, Source: e.source, Ends: make([]WordEnd, 0, len(e.ends))}
	for target, end := range e.ends {
		w.Ends = append(w.Ends, WordEnd{Target: target, Age: max(now.Sub(end.at), 0), Ran: end.at.Sub(end.began), Void: end.void})
	}
	return w
}

// Merge takes in what another VM knows, and returns the requests that are in quarantine by it
// and were not before.
func (t *Table) Merge(words []Word, now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var begun []Verdict
	for _, w := range words {
		if len(w.Ends) == 0 {
			continue
		}
		known := t.entries[w.ID]
		if known == nil && tooOld(w) {
			continue
		}
		e := t.entry(w.ID, w.Source)
		before := e.count
		for _, n := range w.Ends {
			at := now.Add(-n.Age)
			e.note(n.Target, end{began: at.Add(-n.Ran), at: at, void: n.Void})
		}
		if after := e.count; after >= quarantineEnds && before < quarantineEnds && now.Before(e.until()) {
			begun = append(begun, e.verdict())
		}
	}
	return begun
}

// tooOld reports whether a word is of a request that would be forgotten at once.
func tooOld(w Word) bool {
	youngest := w.Ends[0].Age
	for _, end := range w.Ends {
		youngest = min(youngest, end.Age)
	}
	return youngest >= max(2*term(w.count()), endMemory)
}
