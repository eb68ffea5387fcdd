package body_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/body"
)

const limit = 4 * body.SmallBytes

// endless is a body without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

// A body is read whole up to its limit, whether or not its length is stated.
func TestReadAll(t *testing.T) {
	m := body.NewMemory(limit)
	for _, size := range []int{0, 1, body.SmallBytes, body.SmallBytes + 1, limit, limit + 1} {
		for _, stated := range []bool{true, false} {
			is := is.New(t)
			text, length := strings.Repeat("x", size), int64(-1)
			if stated {
				length = int64(size)
			}
			held, end := context.WithCancel(t.Context())
			data, err := m.ReadAll(t.Context(), held, iotest.OneByteReader(strings.NewReader(text)), length, limit)
			is.Equal(errors.Is(err, body.ErrTooLarge), size > limit)
			if size <= limit {
				is.NoErr(err)
				is.Equal(string(data), text)
			}
			end()
		}
	}
}

// A read that fails returns the error, and the memory that it has reserved.
func TestFailedReadKeepsMemory(t *testing.T) {
	is := is.New(t)
	m := body.NewMemory(limit)
	cut := func() io.Reader {
		return io.MultiReader(strings.NewReader(strings.Repeat("x", 2*body.SmallBytes)), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	for range 3 {
		_, err := m.ReadAll(t.Context(), t.Context(), cut(), -1, limit)
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		_, err = m.ReadAll(t.Context(), t.Context(), endless{}, -1, limit)
		is.True(errors.Is(err, body.ErrTooLarge))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	release, err := m.Reserve(ctx, limit) // all memory is free
	is.NoErr(err)
	release()
}

// Large bodies wait for memory until those that hold it are done, or until their context ends. Small ones
// don't.
func TestLargeBodiesWaitForMemory(t *testing.T) {
	is := is.New(t)
	m := body.NewMemory(limit)
	held, end := context.WithCancel(t.Context())
	large := strings.Repeat("x", limit)
	_, err := m.ReadAll(t.Context(), held, strings.NewReader(large), -1, limit)
	is.NoErr(err)
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = m.ReadAll(short, t.Context(), strings.NewReader(large), -1, limit)
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = m.ReadAll(t.Context(), t.Context(), strings.NewReader("small"), -1, limit)
	is.NoErr(err)
	time.AfterFunc(20*time.Millisecond, end)
	_, err = m.ReadAll(t.Context(), t.Context(), strings.NewReader(large), -1, limit)
	is.NoErr(err)
}
