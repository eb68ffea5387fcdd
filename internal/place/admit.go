package place

import "time"

// Verdict is what becomes of a request that has a choice.
type Verdict int

// The verdicts.
const (
	// Send: the request is sent.
	Send Verdict = iota + 1
	// Defer: its answer would be late, and it would make others late; it waits at
	// this VM until an engine is nearly idle.
	Defer
	// Refuse: it could not be served in time at all.
	Refuse
)

// Reason says what keeps a request from being sent.
type Reason string

// The reasons.
const (
	// TooLongToRead: its own reading takes longer than its caller waits.
	TooLongToRead Reason = "too_long_to_read"
	// BehindPrompts: the prompts that the targets have in hand take too long.
	BehindPrompts Reason = "behind_prompts"
	// NoSeat: the batches that it could join are full, and that takes longer than the prompts.
	NoSeat Reason = "no_seat"
	// NotItsTurn: what waits on all VMs fills the room that the targets have.
	NotItsTurn Reason = "not_its_turn"
	// QueueFull: those deferred before take all the time that it has.
	QueueFull Reason = "queue_full"
)

// Ruling is a verdict on a request and, unless it is sent, the reason.
type Ruling struct {
	Verdict Verdict
	Reason  Reason
}

const (
	// onTimeShare is the part of the objective by which an answer is to begin; the rest
	// is for what the reckoning misses.
	onTimeShare = 0.9
	// ownShare is the part of the objective up to which a prompt's own reading counts. A
	// longer one is late by itself and would else be refused whenever engines are busy.
	ownShare = 0.4
	// idleShare is the part of the objective that prompts ahead may take at an
	// engine for a request to go that is late anyway: others come on time behind it.
	idleShare = 0.3
	// deferredShare is the part of what is left of a request's time that those deferred
	// before it may take all engines together: a part of them only is free.
	deferredShare = 0.25
	// spareShare is how much longer than reckoned reading a prompt may take.
	spareShare = 1.25
	// deferShare is the part of the time to a first event for which a request is
	// deferred at most; then its caller is told to come back, and has as much time again.
	deferShare = 0.5
)

// Asked is what an admission rests on.
type Asked struct {
	// Objective is the route's time to the first event, and Waited how long ago its
	// caller first asked.
	Objective time.Duration
	Waited    time.Duration
	// Left is what is left of the caller's time for the whole answer, and Patience
	// for its first event; 0 is no bound.
	Left     time.Duration
	Patience time.Duration
	// Held is how long the request has been in hand here.
	Held time.Duration
	// Deferred is the time that requests deferred before will take all engines together.
	Deferred time.Duration
	// Queue is the reading that all VMs keep waiting, this request included where it has
	// been deferred; else it is 0. Look is the time between two looks of such a request.
	Queue time.Duration
	Look  time.Duration
	// Favor is how much of its own reading is left out, from 0 to 1, as prompts of its size are
	// admitted less often than others.
	Favor float64
	// Random is uniform in [0, 1).
	Random float64
}

// left is how soon the answer must begin to be of use. How long it lasts is not
// reckoned with: callers' estimates are often several times off.
func (a Asked) left() time.Duration {
	if a.Patience > 0 {
		return min(a.Left, a.Patience)
	}
	return a.Left
}

// idleWait returns the queueing time up to which a target counts as idle.
func idleWait(objective time.Duration) time.Duration {
	return time.Duration(idleShare * float64(objective))
}

// maxWait returns the longest queueing time at which a request is sent: the answer is still
// on time, or the target counts as idle.
func (a Asked) maxWait(own time.Duration) time.Duration {
	own = time.Duration((1 - a.Favor) * float64(min(own, time.Duration(ownShare*float64(a.Objective)))))
	return max(time.Duration(onTimeShare*float64(a.Objective))-a.Waited-own, idleWait(a.Objective))
}

// MaxWait is maxWait before the time to read the prompt is known.
func (a Asked) MaxWait() time.Duration { return a.maxWait(0) }

// turn reports whether a deferred request may be sent now.
//
// Load pattern: after a burst, hundreds of requests are deferred on as many VMs. When one
// engine becomes idle, all VMs learn it from the same report and send at once. Each request is
// therefore sent with the probability at which the requests that look during the age of a
// report fill the free capacity once.
func turn(c Choice, a Asked) bool {
	if a.Queue <= 0 {
		return true
	}
	looking := float64(a.Queue) * min(1, float64(c.Age)/float64(max(a.Look, 1)))
	return a.Random*looking <= float64(max(c.Room, 0))
}

// Judge decides whether a request may go on with a choice. In a burst prompts come
// faster than the engines read them. Were all sent, all would be late until the
// backlog is read; so what is on time goes first, and the rest is deferred until engines are
// nearly idle, late but whole, as long as there is time.
func Judge(c Choice, a Asked) Ruling {
	left := a.left()
	lastLook := a.Held > time.Duration(deferShare*float64(left+a.Held))
	soon := c.Wait() <= a.maxWait(c.Own)
	switch {
	case time.Duration(spareShare*float64(c.Own)) > left:
		return Ruling{Refuse, TooLongToRead}
	case soon && (lastLook || turn(c, a)):
		return Ruling{Verdict: Send}
	case lastLook:
		return Ruling{Refuse, c.obstacle()}
	case a.Deferred > time.Duration(deferredShare*float64(left)):
		return Ruling{Refuse, QueueFull}
	case soon:
		return Ruling{Defer, NotItsTurn}
	}
	return Ruling{Defer, c.obstacle()}
}

// obstacle is what most of the wait for a choice comes from.
func (c Choice) obstacle() Reason {
	if 2*c.SeatWait > c.Wait() {
		return NoSeat
	}
	return BehindPrompts
}
