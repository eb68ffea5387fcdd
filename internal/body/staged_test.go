package body_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/body"
)

// A body is read whole up to its limit in each stage, whether or not its length is stated, and returns its memory.
func TestReadStaged(t *testing.T) {
	const limit = 3 * body.MediumBytes
	s := body.NewStaged(2 * limit)
	for range 5 {
		for _, size := range []int{0, 1, body.SmallBytes, body.SmallBytes + 1, body.MediumBytes, body.MediumBytes + 1, limit, limit + 1} {
			for _, stated := range []bool{true, false} {
				is := is.New(t)
				text, length := strings.Repeat("x", size), int64(-1)
				if stated {
					length = int64(size)
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				data, err := s.ReadAll(ctx, ctx, strings.NewReader(text), length, limit)
				if size > limit {
					is.True(errors.Is(err, body.ErrTooLarge))
				} else {
					is.NoErr(err)
					is.Equal(len(data), size)
				}
				cancel()
			}
		}
	}
}

// Bodies without end, of which only a few are read at once, leave room for sound ones of medium size, and sound large
// ones wait no longer than they take.
func TestStagedBodiesWithoutEnd(t *testing.T) {
	is := is.New(t)
	const limit = 3 * body.MediumBytes
	s := body.NewStaged(2 * limit)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	errs := make(chan error, 50)
	for range cap(errs) {
		go func() {
			_, err := s.ReadAll(ctx, ctx, endless{}, -1, limit)
			errs <- err
		}()
	}
	data, err := s.ReadAll(ctx, ctx, strings.NewReader(strings.Repeat("x", limit)), -1, limit)
	is.NoErr(err)
	is.Equal(len(data), limit)
	cancel()
	for range cap(errs) {
		<-errs
	}
}
