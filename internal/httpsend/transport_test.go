package httpsend_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// newTransport returns a client of net/http whose responses are checked.
func newTransport(t *testing.T) *http.Client {
	t.Helper()
	client := &http.Client{Transport: httpsend.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// call sends a request with a body of n bytes, or a GET request if n is 0, and returns the body of the response.
func call(client *http.Client, address string, n int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	method := http.MethodGet
	if n > 0 {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/x", bytes.NewReader(make([]byte, n)))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// What is no response to a Client is none to net/http either, on new and on kept connections, and the request is not
// sent again.
func TestBrokenResponseIsNoneToTransport(t *testing.T) {
	for name, text := range platformtest.NoResponses("") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var broken atomic.Bool
			target := platformtest.NewRawTarget(func(c net.Conn, r *http.Request) bool {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return false
				}
				answer, last := ok, broken.Load()
				if last {
					answer = text
				}
				_, _ = io.WriteString(c, answer) // the client may have closed the connection
				return !last
			})
			defer target.Close()
			client := newTransport(t)
			body, err := call(client, target.Address(), 0)
			is.NoErr(err)
			is.Equal(body, "ok")
			broken.Store(true)
			for _, size := range []int{0, 3} {
				body, err := call(client, target.Address(), size)
				is.True(err != nil)
				is.True(!strings.Contains(body, platformtest.Foreign))
			}
			is.Equal(target.Requests(), 3)
		})
	}
}

// The same if the connection stays open: net/http waits for no further byte.
func TestBrokenResponseOnAnOpenConnectionIsFoundAtOnceByTransport(t *testing.T) {
	for name, text := range platformtest.BrokenResponses("") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := platformtest.NewRawTarget(platformtest.AnswerAndWait(func(*http.Request) string { return text }))
			defer target.Close()
			client := newTransport(t)
			client.Timeout = atOnce
			_, err := call(client, target.Address(), 0)
			is.True(err != nil)
			is.True(!os.IsTimeout(err))
		})
	}
}

// Sound responses pass, on a kept connection too.
func TestSoundResponsePassesTransport(t *testing.T) {
	const whole = "the whole body"
	for name, text := range platformtest.SoundResponses("", whole) {
		for _, step := range []int{1, 7, len(text)} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				target := platformtest.NewRawTarget(platformtest.AnswerPieces(text, step))
				defer target.Close()
				client := newTransport(t)
				for range 3 {
					body, err := call(client, target.Address(), 0)
					is.NoErr(err)
					is.Equal(body, whole)
				}
			})
		}
	}
}

// Early responses are judged as those of a Client are.
func TestEarlyResponseToTransport(t *testing.T) {
	for _, tc := range []struct {
		name     string
		ending   platformtest.EarlyEnding
		complete bool
	}{
		{"reset", platformtest.EndsWithReset, false},
		{"unread", platformtest.EndsUnread, false},
		{"after the body", platformtest.EndsAfterBody, true},
		{"before the body", platformtest.EndsBeforeBody, true},
	} {
		for _, size := range []int{64 << 10, 4 << 20, 8 << 20} {
			t.Run(fmt.Sprintf("%s %d kB", tc.name, size>>10), func(t *testing.T) {
				is := is.New(t)
				target := platformtest.NewRawTarget(platformtest.AnswerEarly(answerOf("HTTP/1.1 200 OK\r\n\r\nbody"), time.Millisecond, tc.ending))
				defer target.Close()
				client := newTransport(t)
				for range earlyPlays {
					body, err := call(client, target.Address(), size)
					is.Equal(err == nil, tc.complete)
					is.True(!tc.complete || body == "body")
				}
			})
		}
	}
}

// The end of a request's context ends the wait for a response to an upload that the target does not read.
func TestTransportEndsWithContext(t *testing.T) {
	is := is.New(t)
	stop := make(chan struct{})
	target := platformtest.NewRawTarget(func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody") // the client sees a failure
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // the same
		}
		<-stop
		return false
	})
	defer target.Close()
	defer close(stop)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address()+"/x", bytes.NewReader(make([]byte, 32<<20)))
	is.NoErr(err)
	resp, err := newTransport(t).Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
	is.True(ctx.Err() != nil)
}
