package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/place"
)

func TestJudgeGivesTheReason(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	long := place.Choice{Expected: ms(320), Own: ms(20)}
	seat := place.Choice{Expected: ms(320), Own: ms(20), SeatWait: ms(250)}
	for _, c := range []struct {
		name   string
		choice place.Choice
		input  place.Asked
		want   place.Ruling
	}{
		{"engines are free", place.Choice{Expected: ms(30), Own: ms(20)}, place.Asked{}, place.Ruling{Verdict: place.Send}},
		{"prompts are pending", long, place.Asked{}, place.Ruling{Verdict: place.Defer, Reason: place.BehindPrompts}},
		{"batches are full", seat, place.Asked{}, place.Ruling{Verdict: place.Defer, Reason: place.NoSeat}},
		{"deferred for too long", seat, place.Asked{Held: ms(2100)}, place.Ruling{Verdict: place.Refuse, Reason: place.NoSeat}},
		{"too many are deferred", long, place.Asked{Deferred: ms(600)}, place.Ruling{Verdict: place.Refuse, Reason: place.QueueFull}},
		{"prefill takes too long", place.Choice{Expected: ms(1900), Own: ms(1900)}, place.Asked{}, place.Ruling{Verdict: place.Refuse, Reason: place.TooLongToRead}},
		{"another deferred request goes first", place.Choice{Expected: ms(30), Own: ms(20), Age: ms(20)}, place.Asked{Queue: ms(500), Look: ms(20), Random: 0.9}, place.Ruling{Verdict: place.Defer, Reason: place.NotItsTurn}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.input.Objective, c.input.Left = ms(200), ms(2000)
			is.Equal(place.Judge(c.choice, c.input), c.want)
		})
	}
}
