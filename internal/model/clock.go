package model

import (
	"container/heap"
	"time"
)

// clock is a discrete-event scheduler in virtual time. It runs timers in order of their time,
// and of their scheduling where the times are equal.
type clock struct {
	now     time.Duration
	queue   timerQueue
	lastSeq uint64
}

// timer is a function scheduled for a virtual time. seq orders timers of the same time.
type timer struct {
	at  time.Duration
	seq uint64
	f   func()
}

// timerQueue implements heap.Interface for timers. The earliest one is on top.
type timerQueue []timer

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
	return last
}

// after schedules f to run after the duration d.
func (c *clock) after(d time.Duration, f func()) { c.at(c.now+d, f) }

// at schedules f to run at t, or now if t has passed.
func (c *clock) at(t time.Duration, f func()) {
	c.lastSeq++
	heap.Push(&c.queue, timer{at: max(t, c.now), seq: c.lastSeq, f: f})
}

// runUntil runs all timers that are due up to end, including those scheduled meanwhile.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.f()
	}
}
