// Package body reads the bodies of responses that have to be held in memory. Their size is limited one by
// one, and the memory that the large ones take together.
package body

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// SmallBytes is the size up to which a body takes no part of a Memory.
const SmallBytes = 16 << 10

// ErrTooLarge reports that a body is larger than it may be.
var ErrTooLarge = errors.New("body: too large")

// Memory is the memory that large bodies may take together. It is safe for concurrent use.
type Memory struct {
	large *semaphore.Weighted
	// onShort, if not nil, is called while Reserve waits, at once and then every shortInterval.
	onShort func()
}

// shortInterval is the time between two calls of onShort for one that waits.
const shortInterval = 100 * time.Millisecond

// NewMemory returns a Memory of the given size in bytes.
func NewMemory(size int64) *Memory { return &Memory{large: semaphore.NewWeighted(size)} }

// SetOnShort sets a function that is called while a Reserve waits, to end what holds memory for too long. It must
// be called before the first Reserve.
func (m *Memory) SetOnShort(f func()) { m.onShort = f }

// Reserve waits until n bytes are free and reserves them. n must not be above the size of the Memory.
// The caller must call release once. Reserve fails with the error of ctx.
func (m *Memory) Reserve(ctx context.Context, n int64) (release func(), err error) {
	if m.large.TryAcquire(n) {
		return func() { m.large.Release(n) }, nil
	}
	if m.onShort != nil {
		waiting, done := context.WithCancel(ctx)
		defer done()
		go m.callOnShort(waiting)
	}
	if err := m.large.Acquire(ctx, n); err != nil {
		return nil, errors.Wrap(err, "wait for memory")
	}
	return func() { m.large.Release(n) }, nil
}

// callOnShort calls onShort until ctx ends.
func (m *Memory) callOnShort(ctx context.Context) {
	ticker := time.NewTicker(shortInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.onShort()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// ReadAll reads r to its end, at most limit bytes. length is the length that the response states, or -1.
// A body above SmallBytes keeps its memory reserved until held ends. ReadAll fails with ErrTooLarge, with the
// error of ctx or with that of r.
func (m *Memory) ReadAll(ctx, held context.Context, r io.Reader, length, limit int64) ([]byte, error) {
	switch {
	case length > limit:
		return nil, ErrTooLarge
	case length >= 0:
		limit = length
	}
	if length < 0 || limit > SmallBytes {
		return m.readLarge(ctx, held, r, limit)
	}
	return readUpTo(r, nil, limit)
}

// readLarge is ReadAll for a body that may be above SmallBytes.
func (m *Memory) readLarge(ctx, held context.Context, r io.Reader, limit int64) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(r, SmallBytes+1))
	if err != nil || len(start) <= SmallBytes {
		return start, err
	}
	release, err := m.Reserve(ctx, limit)
	if err != nil {
		return nil, err
	}
	data, err := readUpTo(r, start, limit)
	if err != nil {
		release()
		return nil, err
	}
	context.AfterFunc(held, release)
	return data, nil
}

// readUpTo returns start and what follows in r, at most limit bytes together.
func readUpTo(r io.Reader, start []byte, limit int64) ([]byte, error) {
	data := bytes.NewBuffer(start)
	if limit <= SmallBytes {
		data.Grow(int(limit) + bytes.MinRead)
	}
	if _, err := data.ReadFrom(io.LimitReader(r, limit+1-int64(len(start)))); err != nil {
		return nil, err
	}
	if int64(data.Len()) > limit {
		return nil, ErrTooLarge
	}
	return data.Bytes(), nil
}
