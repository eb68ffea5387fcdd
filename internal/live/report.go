package live

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/model"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// end is how a request ended for its caller.
type end int

const (
	onTime end = iota + 1
	late
	refused
	failed
)

// endOf judges the last reply to a request, which was sent so long after the first try.
func endOf(s *model.Site, q *model.Request, class *model.Class, reply platformtest.LiveReply, sent time.Duration, wasRefused bool) end {
	switch {
	case wasRefused:
		return refused
	case reply.Err != nil || reply.Status != http.StatusOK || reply.Events != q.Output/s.Engine.EventTokens:
		return failed
	case sent+reply.First > millis(class.AimMS) || (class.GapMS > 0 && reply.LongestGap > millis(class.GapMS)):
		return late
	}
	return onTime
}

// Measure is a way to say how large a request is.
type Measure string

// The measures.
const (
	ByPrompt Measure = "prompt tokens"
	ByAnswer Measure = "answer tokens"
	ByBody   Measure = "body bytes"
	ByWork   Measure = "tokens in + 10 x tokens out"
)

var measures = map[Measure]func(*model.Request) int{
	ByPrompt: func(q *model.Request) int { return q.Prompt.Tokens },
	ByAnswer: func(q *model.Request) int { return q.Output },
	ByBody:   func(q *model.Request) int { return q.Prompt.BodyBytes },
	ByWork:   func(q *model.Request) int { return q.Prompt.Tokens + 10*q.Output },
}

// Measures returns the measures in the order in which they are reported.
func Measures() []Measure { return []Measure{ByWork, ByPrompt, ByAnswer, ByBody} }

// ended is one request and how it ended.
type ended struct {
	request *model.Request
	end     end
}

// Report is how a day's requests ended. It is safe for concurrent use.
type Report struct {
	site *model.Site

	mu    sync.Mutex
	ended [][]ended
	// causes counts the failed requests by what their callers saw.
	causes map[string]int
	// lag is the most that engines were late as the host was busy.
	lag time.Duration
}

func newReport(s *model.Site) *Report {
	return &Report{site: s, ended: make([][]ended, len(s.Classes)), causes: make(map[string]int)}
}

func (r *Report) add(q *model.Request, e end, reply platformtest.LiveReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e == failed {
		r.causes[causeOf(reply)]++
	}
	r.ended[q.Class] = append(r.ended[q.Class], ended{request: q, end: e})
}

// causeOf says how a request failed for its caller.
func causeOf(reply platformtest.LiveReply) string {
	switch {
	case errors.Is(reply.Err, context.DeadlineExceeded):
		return "deadline"
	case reply.Err != nil && reply.Events > 0:
		return "broken_off"
	case reply.Err != nil:
		return "no_answer"
	}
	return strconv.Itoa(reply.Status)
}

// Tenths returns the share that was served of each tenth of a class by a measure, the
// largest tenth first, and of the class as a whole.
func (r *Report) Tenths(class int, m Measure) (tenths [10]float64, all float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of := slices.Clone(r.ended[class])
	size := measures[m]
	slices.SortStableFunc(of, func(a, b ended) int { return cmp.Compare(size(b.request), size(a.request)) })
	for i := range tenths {
		tenths[i] = served(of[len(of)*i/10 : len(of)*(i+1)/10])
	}
	return tenths, served(of)
}

func served(of []ended) float64 {
	n := 0
	for _, e := range of {
		if e.end == onTime || e.end == late {
			n++
		}
	}
	return float64(n) / float64(max(len(of), 1))
}

// Unserved is a class whose large requests were served less than half as often as all.
type Unserved struct {
	Class   string
	Measure Measure
	// Band says which of them.
	Band  string
	Share float64
	All   float64
}

// Unserved returns the classes whose largest tenth, or the fifth below it, was served less
// than half as often as the class.
func (r *Report) Unserved() []Unserved {
	var out []Unserved
	for i, c := range r.site.Classes {
		if len(r.ended[i]) == 0 {
			continue
		}
		for _, m := range Measures() {
			tenths, all := r.Tenths(i, m)
			for band, share := range map[string]float64{"largest tenth": tenths[0], "next fifth": (tenths[1] + tenths[2]) / 2} {
				if 2*share < all {
					out = append(out, Unserved{Class: c.Name, Measure: m, Band: band, Share: share, All: all})
				}
			}
		}
	}
	return out
}

// Write prints how each class ended, and the share served of each tenth.
func (r *Report) Write(out io.Writer) error {
	var b strings.Builder
	for i, c := range r.site.Classes {
		if c.Plain {
			continue
		}
		var ends [failed + 1]int
		for _, e := range r.ended[i] {
			ends[e.end]++
		}
		fmt.Fprintf(&b, "%s: asked=%d on_time=%d late=%d refused=%d failed=%d\n", c.Name, len(r.ended[i]), ends[onTime], ends[late], ends[refused], ends[failed])
		for _, m := range Measures() {
			tenths, all := r.Tenths(i, m)
			fmt.Fprintf(&b, "  served by %s, largest tenth first:", m)
			for _, share := range tenths {
				fmt.Fprintf(&b, " %.2f", share)
			}
			fmt.Fprintf(&b, " of %.2f\n", all)
		}
	}
	fmt.Fprintf(&b, "failed by cause: %v; engines late by at most %s\n", r.causes, r.lag.Round(time.Millisecond))
	for _, u := range r.Unserved() {
		fmt.Fprintf(&b, "unserved: %s, %s by %s: %.2f of %.2f\n", u.Class, u.Band, u.Measure, u.Share, u.All)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write report")
}
