package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

const (
	// measuredEvent is the time between two events of an answer in a measuring group, and
	// measuredTokens the number of tokens in an event.
	measuredEvent  = 50 * time.Millisecond
	measuredTokens = 80
	// longestEvents is the number of events of the longest answer.
	longestEvents = 169
	// answerEvery is the time between two answers of a VM.
	answerEvery = 2 * time.Second
)

// measuringVM is a VM that runs one answer after the other.
type measuringVM struct {
	placer *place.Placer
	// ticket is that of the running answer of events events, of which sent have come.
	ticket       *place.Ticket
	events, sent int
	next         time.Time
}

// answerPrompt returns the prompt of an answer whose caller expects the given number of events.
func answerPrompt(expected int) *place.Prompt {
	return &place.Prompt{
		Tokens: 140, Output: expected * measuredTokens, MaxOutput: longestEvents * measuredTokens, Limit: 15 * time.Second, InitialLimit: 15 * time.Second,
		Parts: []place.Part{{ID: "own", Hash: 1, Tokens: 140}},
	}
}

// step has the VM begin an answer, receive an event or end an answer, if that is due.
func (v *measuringVM) step(targets []*fleet.Target, r *rand.Rand, now time.Time) {
	switch {
	case v.ticket == nil && !now.Before(v.next):
		v.events, v.sent = 10+r.IntN(longestEvents-9), 0
		// Callers expect half to twice the length.
		expected := int(float64(v.events) * (0.5 + 1.5*r.Float64()))
		c, _ := v.placer.Decode(targets, spec, answerPrompt(expected), "a", nil, now)
		v.ticket = c.Ticket
		v.ticket.FirstEvent(now)
		v.next = now.Add(answerEvery)
	case v.ticket != nil && v.sent < v.events:
		v.ticket.AddEvents(1, now)
		v.sent++
	case v.ticket != nil:
		v.ticket.ObserveLength(v.events)
		v.ticket.ObserveAnswer(v.events, measuredEvent*time.Duration(v.events-1), now)
		v.ticket.End(place.Good, now)
		v.ticket = nil
	}
}

// exchange passes the measurements of each VM to all others and returns their number.
func exchange(vms []*measuringVM, now time.Time) int {
	total := 0
	for _, from := range vms {
		m := from.placer.TakeMeasurements()
		total += len(m)
		for _, to := range vms {
			if to != from {
				to.placer.ObserveMeasurements(m, now)
			}
		}
	}
	return total
}

// Guards against VMs that place long answers before they know how long these take. With 83 VMs each
// of them has one every two seconds, and those that had ended none yet expected up to eight times as long.
func TestVMsKnowHowLongAnswersTakeThatOthersRan(t *testing.T) {
	const (
		runs = 12 * time.Second
		// perS is the most that a VM may be sent of either kind per second, however many VMs there are.
		perS = 32
		// tolerance is the relative error of an estimate that 10% to 20% of room for the longest answers bears.
		tolerance = 0.2
	)
	for _, size := range []int{83, 166} {
		t.Run(fmt.Sprintf("%d VMs", size), func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 1))
			var targets []*fleet.Target
			for i := range 40 {
				targets = append(targets, engine(fmt.Sprintf("d%d", i), fleet.Decode))
			}
			now := time.Now()
			end := now.Add(runs)
			var vms []*measuringVM
			for i := range size {
				p := newPlacer(peerWork{})
				p.SetMembership(func() (int, int) { return i, size })
				vms = append(vms, &measuringVM{placer: p, next: now.Add(time.Duration(r.Float64() * float64(answerEvery)))})
			}
			shared := 0
			for ; now.Before(end); now = now.Add(measuredEvent) {
				for _, v := range vms {
					v.step(targets, r, now)
				}
				shared += exchange(vms, now)
			}
			// Each VM may share its first measurement of each kind at once.
			is.True(shared <= 2*(int(runs/time.Second)*perS+size)+size)
			for i, v := range vms {
				c, _ := v.placer.Decode(targets, spec, answerPrompt(longestEvents), "a", nil, now)
				known := c.Seat.LongestAnswer.Seconds() / (longestEvents * measuredEvent.Seconds())
				if known < 1-tolerance || known > 1+tolerance {
					t.Errorf("VM %d expects %.2f of the time of the longest answer, with %.0f tokens in an event", i, known, c.Seat.EventTokens)
				}
			}
		})
	}
}

// A VM alone shares nothing, and measurements of one service say nothing of another.
func TestMeasurementsStayWithinTheirService(t *testing.T) {
	is := is.New(t)
	alone := newPlacer(peerWork{})
	v := &measuringVM{placer: alone}
	targets := []*fleet.Target{engine("d1", fleet.Decode)}
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	for range 400 {
		v.step(targets, r, now)
		now = now.Add(measuredEvent)
	}
	is.Equal(len(alone.TakeMeasurements()), 0)
	before, _ := newPlacer(peerWork{}).Decode(targets, spec, answerPrompt(longestEvents), "a", nil, now)
	other := newPlacer(peerWork{})
	other.ObserveMeasurements([]place.Measurement{{Service: "n", StepLimit: time.Millisecond}}, now)
	after, _ := other.Decode(targets, spec, answerPrompt(longestEvents), "a", nil, now)
	is.Equal(after.Seat, before.Seat)
}
