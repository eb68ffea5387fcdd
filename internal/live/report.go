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

// outcome is the outcome of a request for its caller.
type outcome int

const (
	// inTime is a complete answer within the objectives of its class.
	inTime outcome = iota + 1
	// late is a complete answer that misses an objective of its class.
	late
	// refused is a refusal of the last attempt.
	refused
	// failed is any other outcome.
	failed
	// gone means that the caller left early.
	gone
)

// outcomeNames holds the names of the outcomes in reports.
var outcomeNames = [...]string{inTime: "on_time", late: "late", refused: "refused", failed: "failed", gone: "gone"}

// outcomeOf returns the outcome of a request from the response to its last attempt, which was sent
// retryDelay after the first one.
func outcomeOf(s *model.Site, q *model.Request, class *model.Class, response platformtest.LiveResult, retryDelay time.Duration, wasRefused bool) outcome {
	switch {
	case wasRefused:
		return refused
	case response.Err != nil || response.Status != http.StatusOK || response.Events != q.Output/s.Engine.EventTokens:
		return failed
	case retryDelay+response.First > millis(class.AimMS) || (class.GapMS > 0 && response.LongestGap > millis(class.GapMS)):
		return late
	}
	return inTime
}

// Measure is a measure of the size of requests.
type Measure string

// The measures of size: the tokens of the prompt, those of the answer, the bytes of the request
// body, and the weighted sum of prompt and answer tokens.
const (
	// ByPrompt is the number of prompt tokens.
	ByPrompt Measure = "prompt tokens"
	// ByAnswer is the number of answer tokens, ByBody the size of the request body in bytes, and
	// ByWork the number of prompt tokens plus ten times the number of answer tokens.
	ByAnswer Measure = "answer tokens"
	ByBody   Measure = "body bytes"
	ByWork   Measure = "tokens in + 10 x tokens out"
)

// measures holds the function that computes each measure.
var measures = map[Measure]func(*model.Request) int{
	ByPrompt: func(q *model.Request) int { return q.Prompt.Tokens },
	ByAnswer: func(q *model.Request) int { return q.Output },
	ByBody:   func(q *model.Request) int { return q.Prompt.BodyBytes },
	ByWork:   func(q *model.Request) int { return q.Prompt.Tokens + 10*q.Output },
}

// Measures returns the measures in the order in which they are reported.
func Measures() []Measure { return []Measure{ByWork, ByPrompt, ByAnswer, ByBody} }

// result is how a request ended.
type result struct {
	request *model.Request
	outcome outcome
	// took is the time from the start of the first attempt to the end of the last one.
	took     time.Duration
	attempts int
	// vm is the VM of the last attempt, and response its response.
	vm       string
	response platformtest.LiveResult
	// brokenOff says that a fault of its engine or VM struck one of the attempts.
	brokenOff bool
	stream    streamState
}

// counts reports whether the request counts in the shares by size. Requests that failed because a
// fault broke them off, and those whose callers left early, do not.
func (r *result) counts() bool {
	return r.outcome != gone && !(r.outcome == failed && r.brokenOff)
}

// Report collects the outcomes of a day's requests. Requests can be added concurrently.
type Report struct {
	site *model.Site

	// mu protects the fields below while requests are being added.
	mu       sync.Mutex
	outcomes [][]result
	// causes counts the failed requests by their cause as seen by the callers; see causeOf.
	causes map[string]int
	// maxLag is the longest delay of an engine event that a busy host caused.
	maxLag time.Duration
}

// newReport returns a Report without requests.
func newReport(s *model.Site) *Report {
	return &Report{site: s, outcomes: make([][]result, len(s.Classes)), causes: make(map[string]int)}
}

// add adds a request with its outcome and the response to its last attempt.
func (r *Report) add(o result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.outcome == failed {
		r.causes[causeOf(o.response)]++
	}
	r.outcomes[o.request.Class] = append(r.outcomes[o.request.Class], o)
}

// FirstTryShare returns the share of the requests sent from one time of the day to another that were
// served at the first attempt, late ones included.
func (r *Report) FirstTryShare(from, to time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	served, all := 0, 0
	for _, class := range r.outcomes {
		for _, o := range class {
			if o.request.At < from || o.request.At >= to || !o.counts() {
				continue
			}
			all++
			if o.attempts == 1 && (o.outcome == inTime || o.outcome == late) {
				served++
			}
		}
	}
	return float64(served) / float64(max(all, 1))
}

// causeOf returns the cause of a failure as seen by the caller: an error of the call, or else the
// HTTP status.
func causeOf(response platformtest.LiveResult) string {
	switch {
	case errors.Is(response.Err, context.DeadlineExceeded):
		return "deadline"
	case response.Err != nil && response.Events > 0:
		return "broken_off"
	case response.Err != nil:
		return "no_answer"
	}
	return strconv.Itoa(response.Status)
}

// ServedByTenth sorts the requests of a class by a measure. It returns the fraction of requests
// served in each tenth, the largest requests first, and in the whole class. class is an index into
// Site.Classes.
func (r *Report) ServedByTenth(class int, m Measure) (tenths Tenths, all float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return servedByTenth(slices.DeleteFunc(slices.Clone(r.outcomes[class]), func(o result) bool { return !o.counts() }), m)
}

// Tenths holds a figure of each tenth of the requests by size, the largest first.
type Tenths [10]float64

// servedByTenth sorts the outcomes by a measure and returns the fraction of them that were served, by
// tenth and in all.
func servedByTenth(sorted []result, m Measure) (tenths Tenths, all float64) {
	size := measures[m]
	slices.SortStableFunc(sorted, func(a, b result) int { return cmp.Compare(size(b.request), size(a.request)) })
	for i := range tenths {
		tenths[i] = servedShare(sorted[len(sorted)*i/10 : len(sorted)*(i+1)/10])
	}
	return tenths, servedShare(sorted)
}

// servedShare returns the fraction of requests that were answered completely, in time or late.
func servedShare(outcomes []result) float64 {
	n := 0
	for _, o := range outcomes {
		if o.outcome == inTime || o.outcome == late {
			n++
		}
	}
	return float64(n) / float64(max(len(outcomes), 1))
}

// BelowShare returns the tenths of each class, by the total work of a request, that were served less
// than share times as often as their class. Requests that no engine can finish in time are left out, and so
// are classes with fewer than minRequests in a tenth. All requests must have been added.
func (r *Report) BelowShare(share float64, minRequests int) []Underserved {
	var out []Underserved
	for i, c := range r.site.Classes {
		finishable := slices.DeleteFunc(slices.Clone(r.outcomes[i]), func(o result) bool { return !o.counts() || !r.site.CanFinish(o.request) })
		if c.Plain || len(finishable) < len(Tenths{})*minRequests {
			continue
		}
		tenths, all := servedByTenth(finishable, ByWork)
		for n, served := range tenths {
			if served < share*all {
				out = append(out, Underserved{Class: c.Name, Measure: ByWork, Band: fmt.Sprintf("tenth %d", n+1), Share: served, All: all})
			}
		}
	}
	return out
}

// Underserved is a size band of a class whose requests were served less than half as often as those
// of the whole class.
type Underserved struct {
	Class   string
	Measure Measure
	// Band names the size band, such as the largest tenth.
	Band string
	// Share is the fraction of the requests of the band that were served, and All that of the whole
	// class.
	Share float64
	All   float64
}

// Underserved returns the size bands, by each measure, that were served less than half as often as
// their class: the largest tenth or the fifth below it. All requests must have been added.
func (r *Report) Underserved() []Underserved {
	var out []Underserved
	for i, c := range r.site.Classes {
		if len(r.outcomes[i]) == 0 {
			continue
		}
		for _, m := range Measures() {
			tenths, all := r.ServedByTenth(i, m)
			for band, share := range map[string]float64{"largest tenth": tenths[0], "next fifth": (tenths[1] + tenths[2]) / 2} {
				if 2*share < all {
					out = append(out, Underserved{Class: c.Name, Measure: m, Band: band, Share: share, All: all})
				}
			}
		}
	}
	return out
}

// Write writes the outcomes of each class and the fraction served of each tenth as text. All
// requests must have been added.
func (r *Report) Write(out io.Writer) error {
	var b strings.Builder
	for i, c := range r.site.Classes {
		if c.Plain {
			continue
		}
		var counts [gone + 1]int
		brokenOff := 0
		for _, o := range r.outcomes[i] {
			counts[o.outcome]++
			if o.outcome != gone && !o.counts() {
				brokenOff++
			}
		}
		fmt.Fprintf(&b, "%s: asked=%d on_time=%d late=%d refused=%d failed=%d gone=%d; broken off by faults and not counted by size: %d\n",
			c.Name, len(r.outcomes[i]), counts[inTime], counts[late], counts[refused], counts[failed], counts[gone], brokenOff)
		if c.Resumable {
			streams := r.Streams(i)
			fmt.Fprintf(&b, "  streams: %+v, share that goes on of the share that begins %.2f\n", streams, streams.ShareThatGoesOn())
		}
		for _, m := range Measures() {
			tenths, all := r.ServedByTenth(i, m)
			fmt.Fprintf(&b, "  served by %s, largest tenth first:", m)
			for _, share := range tenths {
				fmt.Fprintf(&b, " %.2f", share)
			}
			fmt.Fprintf(&b, " of %.2f\n", all)
		}
	}
	fmt.Fprintf(&b, "failed by cause: %v; engines late by at most %s\n", r.causes, r.maxLag.Round(time.Millisecond))
	for _, u := range r.Underserved() {
		fmt.Fprintf(&b, "unserved: %s, %s by %s: %.2f of %.2f\n", u.Class, u.Band, u.Measure, u.Share, u.All)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write report")
}

// WriteRequests writes a line of tab-separated fields for each request: when it was asked in ms since
// the start of the traffic, its class, tokens of prompt and answer, outcome, whether a fault broke it
// off, the cause of a failure, attempts, the VM of the last one, and the times from its start to the
// first event and to the end of the last attempt in ms.
func (r *Report) WriteRequests(out io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	b.WriteString("at_ms\tclass\tprompt\tanswer\toutcome\tbroken_off\tcause\tattempts\tvm\tfirst_ms\tms\n")
	for i, outcomes := range r.outcomes {
		for _, o := range outcomes {
			cause := "-"
			if o.outcome == failed {
				cause = causeOf(o.response)
			}
			fmt.Fprintf(&b, "%d\t%s\t%d\t%d\t%s\t%t\t%s\t%d\t%s\t%d\t%d\n", o.request.At.Milliseconds(), r.site.Classes[i].Name, o.request.Prompt.Tokens, o.request.Output,
				outcomeNames[o.outcome], o.brokenOff, cause, o.attempts, o.vm, o.response.First.Milliseconds(), o.took.Milliseconds())
		}
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write requests")
}
