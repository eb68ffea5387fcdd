package target_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/target"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// A broken response is neither a status nor the acceptance or refusal of an order.
func TestBrokenStatusIsNone(t *testing.T) {
	for name, text := range platformtest.NoResponses("") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := platformtest.NewRawTarget(platformtest.AnswerText(func(*http.Request) string { return text }))
			defer raw.Close()
			c := target.NewClient(5 * time.Second)
			_, err := c.Status(t.Context(), raw.Address())
			is.True(errors.Is(err, target.ErrUnreachable))
			is.True(errors.Is(c.Order(t.Context(), raw.Address(), newOrder("o1", 5, "v1"), leaseHeld), target.ErrUnreachable))
		})
	}
}

// An order that is accepted after an informational response is accepted.
func TestInformationalResponseIsNoRefusal(t *testing.T) {
	is := is.New(t)
	raw := platformtest.NewRawTarget(platformtest.AnswerText(func(*http.Request) string {
		return "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	}))
	defer raw.Close()
	is.NoErr(target.NewClient(5*time.Second).Order(t.Context(), raw.Address(), newOrder("o1", 5, "v1"), leaseHeld))
}
