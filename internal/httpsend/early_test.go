package httpsend_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// earlyHead begins a response that ends with its connection.
	earlyHead = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\n"
	// earlyPlays is how often each ending is played, as the order in which the reset is seen varies.
	earlyPlays = 20
)

// upload sends a request with a body of n bytes and returns the body of the response.
func upload(c *httpsend.Client, address string, n int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	resp, err := c.Send(ctx, httpsend.Destination{ID: "i-a", Address: address},
		&httpsend.Request{Method: http.MethodPost, URI: "/x", Host: "h", Body: make([]byte, n)}, matches)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// answerOf returns the text of the early response.
func answerOf(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// A part of a body that ends with its connection is not the whole if the connection failed while the request was
// being written.
func TestEarlyResponseThatIsCutOffIsNotComplete(t *testing.T) {
	for name, ending := range map[string]platformtest.EarlyEnding{"reset": platformtest.EndsWithReset, "unread": platformtest.EndsUnread} {
		for _, size := range []int{64 << 10, 1 << 20, 4 << 20, 8 << 20} {
			t.Run(fmt.Sprintf("%s %d kB", name, size>>10), func(t *testing.T) {
				is := is.New(t)
				target := platformtest.NewRawTarget(platformtest.AnswerEarly(answerOf(earlyHead+"a third"), time.Millisecond, ending))
				defer target.Close()
				for range earlyPlays {
					_, err := upload(newClient(), target.Address(), size)
					is.True(err != nil)
				}
			})
		}
	}
}

// A response that is sent before the request's body has been read is complete if its connection ends in order.
func TestEarlyResponseIsPassedOn(t *testing.T) {
	const whole = "the whole body"
	heads := map[string]string{
		"connection": earlyHead,
		"length":     "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 14\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n",
	}
	for framing, head := range heads {
		for _, ending := range []platformtest.EarlyEnding{platformtest.EndsAfterBody, platformtest.EndsBeforeBody} {
			for _, size := range []int{4 << 10, 8 << 20} {
				t.Run(fmt.Sprintf("%s %d kB", framing, size>>10), func(t *testing.T) {
					is := is.New(t)
					text := head + whole
					if framing == "chunks" {
						text += "\r\n0\r\n\r\n"
					}
					target := platformtest.NewRawTarget(platformtest.AnswerEarly(answerOf(text), 10*time.Millisecond, ending))
					defer target.Close()
					for range earlyPlays {
						body, err := upload(newClient(), target.Address(), size)
						is.NoErr(err)
						is.Equal(body, whole)
					}
				})
			}
		}
	}
}

// An early response that states its length is complete, though the target then reads no more of the request.
func TestEarlyResponseWithALengthIsNotDelayed(t *testing.T) {
	is := is.New(t)
	target := platformtest.NewRawTarget(platformtest.AnswerEarly(
		answerOf("HTTP/1.1 413 Too Large\r\nRequest-Id: q\r\nContent-Length: 3\r\n\r\n"+strings.Repeat("x", 3)), time.Second, platformtest.EndsUnread))
	defer target.Close()
	began := time.Now()
	body, err := upload(newClient(), target.Address(), 8<<20)
	is.NoErr(err)
	is.Equal(body, "xxx")
	is.True(time.Since(began) < time.Second)
}
