package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// always allows to end each connection.
func always(*Holder) bool { return true }

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// The connection that takes the most for the longest time goes first, whether it took it at once or byte by
// byte.
func TestWorstTakesTheMostForTheLongest(t *testing.T) {
	is := is.New(t)
	l := NewLedger(1 << 20)
	var small, large, idle, busy Holder
	for _, h := range []*Holder{&small, &large, &idle, &busy} {
		l.Add(h, nil, 100, start)
	}
	is.Equal(l.Worst(start, func(*Holder) bool { return false }), nil)
	reading := func(h *Holder) bool { return h.phase == Reading }
	l.Enter(&idle, Idle, start)
	l.Enter(&busy, Serving, start)
	l.Enter(&small, Reading, start)
	l.Enter(&large, Reading, start)
	l.Charge(&large, 1000, start.Add(9*time.Second))
	later := start.Add(10 * time.Second)
	is.Equal(l.Worst(later, reading), &large) // 1,100 bytes for 1 s
	is.True(large.Slow(later, 1100) && !large.Slow(later, 1000))
	l.Leave(&large)
	is.Equal(l.Worst(later, reading), &small)
	is.True(l.WillFit(nil, 1<<19-400))
	l.Remove(&large)
	l.Remove(&small)
	is.Equal(l.Worst(later, always), &idle)
	l.Enter(&idle, Closing, later)
	is.Equal(l.Worst(later, always), nil) // what is being served stays
	is.Equal(l.OldestClosing(), &idle)
}

// Connections that take much leave room for those that take little.
func TestLargeHoldersLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	const limit, large, small = 64 << 20, 4 << 20, 64 << 10
	l := NewLedger(limit)
	served := 0
	for l.Fits(nil, large) {
		h := new(Holder)
		l.Add(h, nil, large, start)
		l.Enter(h, Serving, start)
		served++
	}
	is.Equal(served, limit/large-1)
	is.True(l.Fits(nil, small))
	l = NewLedger(limit)
	l.Add(new(Holder), nil, limit/2, start)
	is.True(l.Fits(nil, limit/4)) // the headroom of the largest is a part of the limit
}

// After any sequence of changes the account holds what its connections take, and nothing once they are gone.
func TestAccountHoldsWhatConnectionsTake(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		l := NewLedger(1 << 20)
		holders := make([]Holder, 20)
		for i := range holders {
			l.Add(&holders[i], nil, 10, start)
		}
		for step := range 300 {
			h, now := &holders[rng.IntN(len(holders))], start.Add(time.Duration(step)*time.Second)
			switch rng.IntN(5) {
			case 0:
				l.Enter(h, Phase(rng.IntN(int(phaseCount))), now)
			case 1:
				l.Charge(h, rng.Int64N(2000), now)
			case 2:
				l.Charge(h, -rng.Int64N(h.bytes+1), now)
			case 3:
				l.Leave(h)
			case 4:
				if rng.IntN(10) == 0 {
					l.Remove(h)
				}
			}
			if w := l.Worst(now, always); w != nil {
				is.True(!w.removed && !w.leaving && w.phase != Serving && w.phase != Closing)
			}
		}
		var used, leaving int64
		var counts [phaseCount]int
		for i := range holders {
			if h := &holders[i]; !h.removed {
				used += h.bytes
				counts[h.phase]++
				if h.leaving {
					leaving += h.bytes
				}
			}
		}
		is.Equal(l.used, used)
		is.Equal(l.leaving, leaving)
		is.Equal(l.counts, counts)
		for i := range holders {
			l.Remove(&holders[i])
		}
		is.Equal(l.used, int64(0))
		is.Equal(l.leaving, int64(0))
		is.Equal(l.waiting.Len()+l.closing.Len(), 0)
	}
}
