package entry

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/body"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/once"
	"garnethoist.org/garnethoist/internal/relay"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// forwardTo sends a call with the given body to the target, through one of the clients of s, and returns its answer.
func forwardTo(s *server, client *http.Client, address string, body []byte) (once.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	q := &request{id: "q1", row: table.Row{Service: "renewals", Kind: table.Plain}, body: body}
	r := httptest.NewRequest(http.MethodPost, "/services/renewals/confirm", bytes.NewReader(body))
	return s.forward(ctx, client, r, q, relay.Route{Address: address, Done: func(relay.Outcome) {}})
}

// A broken response is no answer of a plain service: the call may have run, and is not sent again.
func TestBrokenResponseIsNoAnswer(t *testing.T) {
	s := &server{plain: newPlainForwarder(body.NewStaged(relay.DefaultBodiesBytes))}
	for name, text := range platformtest.NoResponses("") {
		for _, client := range []*http.Client{s.plain.keepAlive, s.plain.noReuse} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				target := platformtest.NewRawTarget(platformtest.AnswerText(func(*http.Request) string { return text }))
				defer target.Close()
				_, err := forwardTo(s, client, target.Address(), []byte("x"))
				is.True(err != nil)
				is.Equal(errkind.From(err).Response().Outcome, errkind.MayHaveRun)
				is.Equal(target.Requests(), 1)
			})
		}
	}
	for name, text := range platformtest.SoundResponses("", "whole") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := platformtest.NewRawTarget(platformtest.AnswerText(func(*http.Request) string { return text }))
			defer target.Close()
			a, err := forwardTo(s, s.plain.noReuse, target.Address(), []byte("x"))
			is.NoErr(err)
			is.Equal(string(a.Body), "whole")
		})
	}
}

// A part of an early answer, cut off by a reset while the call is being written, is none, and a whole one is.
func TestEarlyAnswerThatIsResetIsNone(t *testing.T) {
	const plays = 20
	s := &server{plain: newPlainForwarder(body.NewStaged(relay.DefaultBodiesBytes))}
	for _, ending := range []platformtest.EarlyEnding{platformtest.EndsWithReset, platformtest.EndsUnread, platformtest.EndsAfterBody, platformtest.EndsBeforeBody} {
		is := is.New(t)
		sound := ending == platformtest.EndsAfterBody || ending == platformtest.EndsBeforeBody
		target := platformtest.NewRawTarget(platformtest.AnswerEarly(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\nbody" }, time.Millisecond, ending))
		for range plays {
			a, err := forwardTo(s, s.plain.noReuse, target.Address(), []byte(strings.Repeat("x", 8<<20)))
			is.Equal(err == nil, sound)
			if sound {
				is.Equal(string(a.Body), "body")
				continue
			}
			is.Equal(errkind.From(err).Response().Outcome, errkind.MayHaveRun)
		}
		is.Equal(target.Requests(), plays)
		target.Close()
	}
}

// Answers without end of a plain service take no more memory than the settings allow, and are none.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const (
		calls     = 50
		bodies    = 64 << 20
		maxMemory = 3 * bodies // the heap may hold as much garbage, and buffers of the connections
	)
	for name, start := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &server{plain: newPlainForwarder(body.NewStaged(bodies))}
			target := platformtest.NewRawTarget(platformtest.AnswerFlood(start))
			defer target.Close()
			errs := make([]error, calls)
			peak := platformtest.PeakHeap(func() {
				var all sync.WaitGroup
				for i := range errs {
					all.Go(func() { _, errs[i] = forwardTo(s, s.plain.noReuse, target.Address(), []byte("x")) })
				}
				all.Wait()
			})
			for _, err := range errs {
				is.True(err != nil)
				is.Equal(errkind.From(err).Response().Outcome, errkind.MayHaveRun)
			}
			is.True(peak < maxMemory)
		})
	}
}
