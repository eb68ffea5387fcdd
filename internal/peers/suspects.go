package peers

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"garnethoist.org/garnethoist/internal/quarantine"
)

const (
	// wordsPerDatagram keeps words of about 60 bytes for each end well below maxDatagram.
	wordsPerDatagram = 150
	// wordsAgain is how many words are told again, and wordsInterval how often, to
	// wordsTo VMs that are drawn: datagrams are lost, and VMs start later, or were cut off,
	// frozen or suspended when the word came. Each VM is told by three others a second on
	// average, whatever the size of the group, so that one in eight thousand hears nothing
	// for 3 s.
	wordsAgain    = wordsPerDatagram
	wordsInterval = time.Second
	wordsTo       = 3
)

// Suspects knows the requests that end their targets.
type Suspects interface {
	// News returns what has not been told, and Words what matters most of all.
	News(now time.Time) []quarantine.Word
	Words(n int, now time.Time) []quarantine.Word
	// Hear takes in what another VM knows.
	Hear(from string, words []quarantine.Word)
}

// SetSuspects sets whose words are exchanged; it is called before Start.
func (p *Peers) SetSuspects(s Suspects) { p.suspects = s }

// tellSuspects tells all VMs, of all data centres, what is new, and some again what they may
// have missed. Words go straight to each VM, not by the relays: they are few, and are needed
// where a relay has just been lost, too.
func (p *Peers) tellSuspects(now time.Time) {
	if p.suspects == nil {
		return
	}
	if news := p.suspects.News(now); len(news) > 0 {
		p.sendWords(news, p.everybody())
	}
	if now.Before(p.wordsAt) {
		return
	}
	p.wordsAt = now.Add(wordsInterval)
	if words := p.suspects.Words(wordsAgain, now); len(words) > 0 {
		p.sendWords(words, p.some(wordsTo))
	}
}

// Owns reports whether this VM is the one of the listed VMs that does what one is to do for a
// key: that with the highest hash of both, so that another one's coming or going moves few keys.
func (p *Peers) Owns(key []byte) bool {
	own := weightOf(p.self.VM, key)
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm := range p.members {
		if weightOf(vm, key) > own {
			return false
		}
	}
	return true
}

func weightOf(vm string, key []byte) uint64 {
	return xxhash.Sum64(append([]byte(vm), key...))
}

func (p *Peers) sendWords(words []quarantine.Word, to []netip.AddrPort) {
	for len(words) > 0 {
		n := min(len(words), wordsPerDatagram)
		p.toAll(datagram{Words: &wordsFrom{From: p.self.VM, Words: wordsOf(words[:n])}}, to)
		words = words[n:]
	}
}

// everybody returns the addresses of all other VMs.
func (p *Peers) everybody() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := make([]netip.AddrPort, 0, len(p.members))
	for vm, m := range p.members {
		if vm != p.self.VM {
			to = append(to, m.addr)
		}
	}
	return to
}

// some returns the addresses of n other VMs that are drawn.
func (p *Peers) some(n int) []netip.AddrPort {
	all := p.everybody()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// wordsFrom is what a VM tells of requests that end their targets.
type wordsFrom struct {
	From  string `cbor:"1,keyasint"`
	Words []word `cbor:"2,keyasint"`
}

// word is a quarantine.Word on the wire.
type word struct {
	_      struct{} `cbor:",toarray"`
	Source uint64
	Key    uint64
	Print  []byte
	Ends   []wordEnd
}

type wordEnd struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	AgeMS  int64
	RanMS  int64
	Void   bool
}

func wordsOf(words []quarantine.Word) []word {
	out := make([]word, 0, len(words))
	for _, w := range words {
		o := word{Source: w.Source, Key: w.ID.Key, Print: w.ID.Print[:], Ends: make([]wordEnd, 0, len(w.Ends))}
		for _, e := range w.Ends {
			o.Ends = append(o.Ends, wordEnd{Target: e.Target, AgeMS: e.Age.Milliseconds(), RanMS: e.Ran.Milliseconds(), Void: e.Void})
		}
		out = append(out, o)
	}
	return out
}

func (w *wordsFrom) words() []quarantine.Word {
	out := make([]quarantine.Word, 0, len(w.Words))
	for _, in := range w.Words {
		o := quarantine.Word{ID: quarantine.ID{Key: in.Key}, Source: in.Source}
		if copy(o.ID.Print[:], in.Print) != len(o.ID.Print) {
			continue
		}
		for _, e := range in.Ends {
			o.Ends = append(o.Ends, quarantine.WordEnd{Target: e.Target, Age: millis(e.AgeMS), Ran: millis(e.RanMS), Void: e.Void})
		}
		out = append(out, o)
	}
	return out
}

// millis returns a time of so many milliseconds, which another VM has sent.
func millis(ms int64) time.Duration { return time.Duration(max(ms, 0)) * time.Millisecond }

func (p *Peers) takeWords(w *wordsFrom) {
	if p.suspects != nil {
		p.suspects.Hear(w.From, w.words())
	}
}
