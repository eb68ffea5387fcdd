package snapshot_test

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/snapshot"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// ports allocates addresses for all tests.
var ports = proc.NewPorts()

// provider is a fake Provider. It has no copy while its data is nil. snapshots counts the calls of
// Snapshot, each of which takes the time slow.
type provider struct {
	mu        sync.Mutex
	copied    snapshot.Snapshot
	slow      time.Duration
	snapshots atomic.Int64
}

// Snapshot implements snapshot.Provider.
func (p *provider) Snapshot() (snapshot.Snapshot, bool) {
	p.snapshots.Add(1)
	time.Sleep(p.slow)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copied, p.copied.Data != nil
}

// set sets the copy.
func (p *provider) set(s snapshot.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copied = s
}

// serve starts a server of the table "t" and returns its address.
func serve(t *testing.T, p snapshot.Provider) string {
	t.Helper()
	gin.SetMode(gin.ReleaseMode)
	addrs, err := ports.Take(1)
	if err != nil {
		t.Fatal(err)
	}
	s := snapshot.NewServer(string(addrs[0]), telemetry.Discard())
	s.Provide("t", p)
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return string(addrs[0])
}

// clientOf returns a client that asks the given addresses first.
func clientOf(self string, sources ...string) *snapshot.Client {
	return snapshot.NewClient(self, func() []string { return sources })
}

// A copy arrives unchanged from the first VM that has one which is new enough. The revision decides, not
// the highest version of a row, which a removal does not raise.
func TestCopyFromAnotherVM(t *testing.T) {
	is := is.New(t)
	data := bytes.Repeat([]byte("row"), 100000)
	want := snapshot.Snapshot{Revision: 7, Newest: 5, Data: snapshot.Compress(data)}
	have, old, empty := &provider{}, &provider{}, &provider{}
	have.set(want)
	old.set(snapshot.Snapshot{Revision: 4, Newest: 4, Data: []byte("x")})
	c := clientOf("127.0.0.1:1", "127.0.0.1:1", serve(t, empty), serve(t, old), "127.0.0.1:2", serve(t, have))
	got, err := c.Fetch(context.Background(), "t", 7, false)
	is.NoErr(err)
	is.Equal(got, want)
	plain, err := snapshot.Decompress(got.Data)
	is.NoErr(err)
	is.Equal(plain, data)
	_, err = c.Fetch(context.Background(), "t", 8, false)
	is.True(errors.Is(err, snapshot.ErrNone))
	_, err = c.Fetch(context.Background(), "other", 0, false)
	is.True(errors.Is(err, snapshot.ErrNone))
}

// A VM that waits for a copy gets it as soon as another VM has it.
func TestWaitForACopy(t *testing.T) {
	is := is.New(t)
	p := &provider{}
	c := clientOf("127.0.0.1:1", serve(t, p))
	time.AfterFunc(300*time.Millisecond, func() { p.set(snapshot.Snapshot{Revision: 1, Data: []byte("x")}) })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.Fetch(ctx, "t", 0, true)
	is.NoErr(err)
}

// Many VMs get their copies from each other: the VM that had the first one sends only a few.
func TestCopiesSpread(t *testing.T) {
	is := is.New(t)
	const vms = 60
	first := &provider{slow: 50 * time.Millisecond}
	first.set(snapshot.Snapshot{Revision: 3, Newest: 3, Data: []byte("rows")})
	source := serve(t, first)
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range vms {
		p := &provider{slow: 50 * time.Millisecond}
		self := serve(t, p)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			s, err := clientOf(self, source).Fetch(ctx, "t", 3, true)
			if err != nil {
				failed.Add(1)
				return
			}
			p.set(s)
		})
	}
	wg.Wait()
	is.Equal(failed.Load(), int64(0))
	t.Logf("the first VM sent %d of %d copies", first.snapshots.Load(), vms)
	is.True(first.snapshots.Load() < vms/2)
}
