package peers

import (
	"context"
	"net/netip"
	"time"

	"garnethoist.org/garnethoist/internal/origin"
)

const (
	// collectorAskInterval is when a question to the collector is repeated.
	collectorAskInterval = 100 * time.Millisecond
	// storedTimeout limits how long a collector looks for a record, and maxStoredQuestions for how many at
	// once.
	storedTimeout      = 300 * time.Millisecond
	maxStoredQuestions = 4096
)

// Journal keeps in the store where streams began. origin.Journal implements it.
type Journal interface {
	Add(r origin.Record)
	Find(ctx context.Context, k origin.Key) (origin.Origin, bool)
}

// SetJournal sets the journal. It must be called before Start.
func (p *Peers) SetJournal(j Journal) {
	p.journal, p.storedQuestions = j, make(chan struct{}, maxStoredQuestions)
}

// Collects implements origin.JournalGroup. The relay of each data centre is its collector.
func (p *Peers) Collects() bool { return p.isRelay() }

// Collectors implements origin.JournalGroup.
func (p *Peers) Collectors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.currentTopology().dataCentres), 1)
}

// ReadsJournal implements origin.JournalGroup.
func (p *Peers) ReadsJournal() bool { return !p.ForwardsChanges() || p.isRelay() }

// SendToCollector implements origin.JournalGroup.
func (p *Peers) SendToCollector(r origin.Record) bool {
	addr, ok := p.relayAddr()
	if ok {
		p.sendTo(datagram{Collect: encodeOrigins([]origin.Record{r})}, []netip.AddrPort{addr})
	}
	return ok
}

// handleCollect has the records of another VM written to the store.
func (p *Peers) handleCollect(m *originMessage) {
	if p.journal == nil {
		return
	}
	for _, r := range m.decode() {
		p.journal.Add(r)
	}
}

// AskCollector implements origin.JournalGroup.
func (p *Peers) AskCollector(ctx context.Context, k origin.Key) (origin.Origin, bool) {
	replies := make(chan originReply, 1)
	p.waitForOrigin(k, replies)
	defer p.stopWaiting(k, replies)
	again := time.NewTicker(collectorAskInterval)
	defer again.Stop()
	for {
		if addr, ok := p.relayAddr(); ok {
			p.sendTo(datagram{StoredQuestion: &originQuestion{From: p.self.VM, Key: k[:]}}, []netip.AddrPort{addr})
		}
		select {
		case r := <-replies:
			return origin.Origin{Service: r.Service, Version: r.Version}, r.Version != ""
		case <-again.C:
		case <-ctx.Done():
			return origin.Origin{}, false
		}
	}
}

// handleStoredQuestion replies to the question of another VM, without blocking.
func (p *Peers) handleStoredQuestion(ctx context.Context, q *originQuestion) {
	k, ok := decodeKey(q.Key)
	if !ok || p.journal == nil {
		return
	}
	select {
	case p.storedQuestions <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.storedQuestions }()
		ctx, cancel := context.WithTimeout(ctx, storedTimeout)
		defer cancel()
		at, _ := p.journal.Find(ctx, k)
		p.sendToVM(q.From, datagram{OriginReply: &originReply{From: p.self.VM, Key: q.Key, Service: at.Service, Version: at.Version}})
	}()
}

// Checks at compile time that Peers implements origin.JournalGroup.
var _ origin.JournalGroup = (*Peers)(nil)
