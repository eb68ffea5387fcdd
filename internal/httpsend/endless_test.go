package httpsend_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// endless returns a handler that writes start and then repeats text until the connection is closed.
func endless(start, text string) handler {
	block := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	return func(c net.Conn) bool {
		if _, err := io.WriteString(c, start); err != nil {
			return false
		}
		for {
			if _, err := c.Write(block); err != nil {
				return false
			}
		}
	}
}

// A target that sends bytes without end, in a head or in a body, must not take more and more memory: 125 MB
// sent to one request took a process over its 284 MB. Each send fails, soon and with the cause.
func TestBytesWithoutEndExceedMemory(t *testing.T) {
	const (
		targets = 64
		head    = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\n"
		// maxPerTarget is the memory in bytes that one such target may take. Together they are far below the
		// memory of the smallest VMs, 184 MB.
		maxPerTarget = 512 << 10
	)
	cases := []struct {
		name string
		send handler
		// cause is the cause of the failed send, nil for any.
		cause error
		phase httpsend.Phase
	}{
		{"no protocol", endless("", "x"), httpsend.ErrMalformed, httpsend.Unanswered},
		{"lines", endless("", "some line\r\n"), httpsend.ErrMalformed, httpsend.Unanswered},
		{"blank lines", endless("", "\r\n"), httpsend.ErrMalformed, httpsend.Unanswered},
		{"status line", endless("HTTP/1.1 200 ", "x"), httpsend.ErrMalformed, httpsend.Unanswered},
		{"header line", endless(head+"X: ", "x"), httpsend.ErrMalformed, httpsend.Unanswered},
		{"header lines", endless(head, "X: y\r\n"), httpsend.ErrMalformed, httpsend.Unanswered},
		{"informational responses", endless("", "HTTP/1.1 103 Early Hints\r\n\r\n"), nil, httpsend.Unanswered},
		{"body of another response", endless("HTTP/1.1 200 OK\r\nRequest-Id: p\r\n\r\n", "x"), httpsend.ErrMalformed, httpsend.Unanswered},
		{"responses to another request", endless("", "HTTP/1.1 200 OK\r\nRequest-Id: p\r\nContent-Length: 0\r\n\r\n"), nil, httpsend.Unanswered},
		{"chunk size", endless(head+"Transfer-Encoding: chunked\r\n\r\n", "0"), nil, httpsend.Cut},
		{"chunk extension", endless(head+"Transfer-Encoding: chunked\r\n\r\n1;", "x"), nil, httpsend.Cut},
		{"trailer", endless(head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"), nil, httpsend.Cut},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			handlers := make([]handler, targets)
			for i := range handlers {
				handlers[i] = tc.send
			}
			target, client := newFakeTarget(t, handlers...), newClient()
			d := target.destination()
			d.MaxConns, d.NewConn = 0, true
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			errs := make([]error, targets)
			peak := platformtest.PeakHeap(func() {
				var sends sync.WaitGroup
				for i := range errs {
					sends.Go(func() { _, errs[i] = send(ctx, client, d) })
				}
				sends.Wait()
			})
			for _, err := range errs {
				is.Equal(phaseOf(err), tc.phase)
				is.True(tc.cause == nil || errors.Is(err, tc.cause))
				is.True(len(err.Error()) < 1000) // a line of the log
			}
			is.NoErr(ctx.Err())
			is.True(peak < targets*maxPerTarget)
		})
	}
}
