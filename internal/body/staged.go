package body

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// MediumBytes is the size up to which a body takes memory of the first part of a Staged.
const MediumBytes = 1 << 20

// Staged is the memory that bodies of up to many MB may take together. It has a part for those of up to MediumBytes
// and one for larger ones, so that a body which turns out to be large waits for others that are large only. It is
// safe for concurrent use.
type Staged struct {
	medium, large *semaphore.Weighted
	// largeBytes is the size of the second part.
	largeBytes int64
	unused     unusedChunks
}

// NewStaged returns a Staged of the given size in bytes, half of it for bodies above MediumBytes.
func NewStaged(size int64) *Staged {
	half := max(size/2, MediumBytes)
	return &Staged{medium: semaphore.NewWeighted(half), large: semaphore.NewWeighted(half), largeBytes: half}
}

// ReadAll reads r to its end, at most limit bytes. length is the length that the response states, or -1. A body above
// SmallBytes keeps memory of its size reserved until held ends. ReadAll fails with ErrTooLarge, with the error of ctx
// or with that of r.
func (s *Staged) ReadAll(ctx, held context.Context, r io.Reader, length, limit int64) ([]byte, error) {
	limit = min(limit, s.largeBytes)
	switch {
	case length > limit:
		return nil, ErrTooLarge
	case length >= 0:
		limit = length
	}
	data := chunks{unused: &s.unused}
	complete, err := data.fill(r, min(limit, SmallBytes))
	switch {
	case err != nil:
		return nil, err
	case complete:
		return data.join(), nil
	case limit <= SmallBytes:
		return nil, ErrTooLarge
	}
	keep, err := s.readReserved(ctx, &data, r, limit)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(held, keep)
	return data.join(), nil
}

// readReserved reads the rest of a body above SmallBytes and returns what releases the memory reserved for it.
func (s *Staged) readReserved(ctx context.Context, data *chunks, r io.Reader, limit int64) (release func(), err error) {
	release, complete, err := readStage(ctx, s.medium, data, r, min(limit, MediumBytes))
	if err != nil || complete {
		return release, err
	}
	defer release()
	if limit <= MediumBytes {
		return nil, ErrTooLarge
	}
	s.unused.begin()
	defer s.unused.end()
	release, complete, err = readStage(ctx, s.large, data, r, limit)
	if err == nil && !complete {
		data.free()
		release()
		return nil, ErrTooLarge
	}
	return release, err
}

// readStage reserves memory for limit bytes and reads that many at most into data. It reports whether the body is
// complete, and then keeps only memory of its size. Data is given back before the memory of a body that failed.
func readStage(ctx context.Context, memory *semaphore.Weighted, data *chunks, r io.Reader, limit int64) (release func(), complete bool, err error) {
	if err := memory.Acquire(ctx, limit); err != nil {
		return nil, false, errors.Wrap(err, "wait for memory")
	}
	complete, err = data.fill(r, limit)
	if err != nil {
		data.free()
		memory.Release(limit)
		return nil, false, err
	}
	reserved := limit
	if complete {
		reserved = data.size
		memory.Release(limit - reserved)
	}
	return func() { memory.Release(reserved) }, complete, nil
}

// maxChunk is the size in bytes of the largest chunk of a body.
const maxChunk = 1 << 20

// unusedChunks holds chunks of maxChunk bytes while large bodies are read, so that bodies without end, which are
// dropped one after the other, make no garbage.
type unusedChunks struct {
	mu     sync.Mutex
	chunks []*[maxChunk]byte
	// readers is the number of large bodies that are being read.
	readers int
}

// begin is called before a large body is read, and end after that.
func (u *unusedChunks) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.readers++
}

// end drops the chunks if no large body is read any more.
func (u *unusedChunks) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.readers--; u.readers == 0 {
		u.chunks = nil
	}
}

// get returns an empty chunk.
func (u *unusedChunks) get() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	last := len(u.chunks) - 1
	if last < 0 {
		return new([maxChunk]byte)[:0]
	}
	chunk := u.chunks[last]
	u.chunks = u.chunks[:last]
	return chunk[:0]
}

// put gives back a chunk that get has returned.
func (u *unusedChunks) put(chunk []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.readers > 0 {
		u.chunks = append(u.chunks, (*[maxChunk]byte)(chunk[:maxChunk]))
	}
}

// chunks is the beginning of a body. It grows without copies, so that a body without end takes no more memory than is
// reserved for it.
type chunks struct {
	unused *unusedChunks
	full   [][]byte
	// last is the chunk that is being filled.
	last []byte
	size int64
}

// fill reads until size is limit + 1, or up to the end of r, which it reports.
func (c *chunks) fill(r io.Reader, limit int64) (complete bool, err error) {
	for c.size <= limit {
		if len(c.last) == cap(c.last) {
			c.grow()
		}
		room := min(int64(cap(c.last)-len(c.last)), limit+1-c.size)
		n, err := r.Read(c.last[len(c.last) : int64(len(c.last))+room])
		c.last = c.last[:len(c.last)+n]
		c.size += int64(n)
		if errors.Is(err, io.EOF) {
			return c.size <= limit, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// grow begins a chunk as large as all before it, within limits.
func (c *chunks) grow() {
	if len(c.last) > 0 {
		c.full = append(c.full, c.last)
	}
	if c.size >= maxChunk {
		c.last = c.unused.get()
		return
	}
	c.last = make([]byte, 0, max(c.size, bytes.MinRead))
}

// free gives the chunks back. They must not be used any more.
func (c *chunks) free() {
	for _, chunk := range append(c.full, c.last) {
		if cap(chunk) == maxChunk {
			c.unused.put(chunk)
		}
	}
	c.full, c.last, c.size = nil, nil, 0
}

// join returns the body.
func (c *chunks) join() []byte {
	if len(c.full) == 0 {
		return c.last
	}
	body := bytes.Join(append(c.full, c.last), nil)
	c.free()
	return body
}
