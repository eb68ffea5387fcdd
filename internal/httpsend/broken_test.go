package httpsend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const timeLimit = 10 * time.Second

// A response that RFC 9110 or RFC 9112 forbids is none, and nothing of it reaches the caller.
func TestBrokenResponseIsNone(t *testing.T) {
	for name, text := range platformtest.BrokenResponses("Request-Id: q\r\n") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := platformtest.NewRawTarget(platformtest.AnswerText(func(*http.Request) string { return text }))
			defer target.Close()
			ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
			defer cancel()
			body, err := send(ctx, newClient(), httpsend.Destination{ID: "i-a", Address: target.Address()})
			is.Equal(phaseOf(err), httpsend.Unanswered)
			is.True(errors.Is(err, httpsend.ErrMalformed))
			is.True(!strings.Contains(body, platformtest.Foreign))
			is.Equal(target.Requests(), 1)
		})
	}
}

// atOnce is the time within which a broken response must be found without a further byte of the target.
const atOnce = time.Second

// Guards against callers that wait for their deadline where a broken response leaves the connection open: net/http
// drops the error of a read that returns a part of the first line, and the next read waited for the target.
func TestBrokenResponseOnAnOpenConnectionIsFoundAtOnce(t *testing.T) {
	for name, text := range platformtest.BrokenResponses("Request-Id: q\r\n") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := platformtest.NewRawTarget(platformtest.AnswerAndWait(func(*http.Request) string { return text }))
			defer target.Close()
			ctx, cancel := context.WithTimeout(context.Background(), atOnce)
			defer cancel()
			_, err := send(ctx, newClient(), httpsend.Destination{ID: "i-a", Address: target.Address()})
			is.True(errors.Is(err, httpsend.ErrMalformed))
		})
	}
}

// A response whose head breaks off at any byte is none, to a Client and to net/http.
func TestHeadThatBreaksOffIsNone(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nX: y\r\n\r\n"
	is := is.New(t)
	for n := range len(head) {
		for _, reset := range []bool{false, true} {
			target := platformtest.NewRawTarget(func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, head[:n]) // the peer may have closed the connection
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
			_, err := send(ctx, newClient(), httpsend.Destination{ID: "i-a", Address: target.Address()})
			is.True(err != nil)
			_, err = call(newTransport(t), target.Address(), 3)
			is.True(err != nil)
			cancel()
			target.Close()
		}
	}
}

// A response that is sound, however unusual, reaches the caller whole. It may come in pieces.
func TestSoundResponseIsPassedOn(t *testing.T) {
	const whole = "the whole body"
	for name, text := range platformtest.SoundResponses("Request-Id: q\r\n", whole) {
		for _, step := range []int{1, 7, len(text)} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				target := platformtest.NewRawTarget(platformtest.AnswerPieces(text, step))
				defer target.Close()
				ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
				defer cancel()
				body, err := send(ctx, newClient(), httpsend.Destination{ID: "i-a", Address: target.Address()})
				is.NoErr(err)
				is.Equal(body, whole)
			})
		}
	}
}
