package store_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/standin"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/store/httpstore"
)

// platformServices is the set of platform services that every implementation under test provides.
type platformServices interface {
	store.Table
	store.Objects
	store.VMList
	store.WeightStore
}

// implementations returns constructors of the adapters that TestContract tests, by name. Each
// constructor returns an adapter and the Memory that stands for the platform, in which a test can
// set faults.
func implementations(t *testing.T) map[string]func() (platformServices, *store.Memory) {
	return map[string]func() (platformServices, *store.Memory){
		"memory": func() (platformServices, *store.Memory) {
			m := store.NewMemory()
			return m, m
		},
		"http": func() (platformServices, *store.Memory) {
			m := store.NewMemory()
			srv := httptest.NewServer((&standin.Platform{Memory: m}).Handler())
			t.Cleanup(srv.Close)
			return httpstore.New(srv.Listener.Addr().String(), 5*time.Second), m
		},
	}
}

// TestContract checks that all implementations behave as the interfaces of package store
// require.
func TestContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(*is.I, context.Context, platformServices, *store.Memory)
	}{
		{"absent key", func(is *is.I, ctx context.Context, s platformServices, _ *store.Memory) {
			_, err := s.Get(ctx, "k")
			is.True(errors.Is(err, store.ErrNotFound))
		}},
		{"create, then create again", func(is *is.I, ctx context.Context, s platformServices, _ *store.Memory) {
			_, err := s.Commit(ctx, putTxn("k", "a", 0))
			is.NoErr(err)
			_, err = s.Commit(ctx, putTxn("k", "b", 0))
			is.True(errors.Is(err, store.ErrConflict))
			r, err := s.Get(ctx, "k")
			is.NoErr(err)
			is.Equal(string(r.Value), "a")
		}},
		{"stale version", func(is *is.I, ctx context.Context, s platformServices, _ *store.Memory) {
			v, err := s.Commit(ctx, putTxn("k", "a", 0))
			is.NoErr(err)
			_, err = s.Commit(ctx, putTxn("k", "b", v))
			is.NoErr(err)
			_, err = s.Commit(ctx, putTxn("k", "c", v))
			is.True(errors.Is(err, store.ErrConflict))
		}},
		{"all or nothing", func(is *is.I, ctx context.Context, s platformServices, _ *store.Memory) {
			_, err := s.Commit(ctx, putTxn("k", "a", 0))
			is.NoErr(err)
			txn := putTxn("other", "x", 0)
			txn.Conds = append(txn.Conds, store.Cond{Key: "k", Version: 0})
			_, err = s.Commit(ctx, txn)
			is.True(errors.Is(err, store.ErrConflict))
			_, err = s.Get(ctx, "other")
			is.True(errors.Is(err, store.ErrNotFound))
		}},
		{"list by prefix in order", func(is *is.I, ctx context.Context, s platformServices, _ *store.Memory) {
			for _, k := range []string{"b/2", "a/1", "b/1"} {
				_, err := s.Commit(ctx, putTxn(k, k, 0))
				is.NoErr(err)
			}
			rs, err := s.List(ctx, "b/")
			is.NoErr(err)
			is.Equal(len(rs), 2)
			is.Equal(rs[0].Key, "b/1")
		}},
		{"down: no effect", func(is *is.I, ctx context.Context, s platformServices, m *store.Memory) {
			m.SetFault(store.FaultDown)
			_, err := s.Commit(ctx, putTxn("k", "a", 0))
			is.True(errors.Is(err, store.ErrUnavailable))
			_, err = s.Get(ctx, "k")
			is.True(errors.Is(err, store.ErrUnavailable))
			_, err = s.VMs(ctx, 0)
			is.True(errors.Is(err, store.ErrUnavailable))
			is.True(errors.Is(s.PutObject(ctx, "o", nil), store.ErrUnavailable))
			m.SetFault(store.FaultNone)
			_, err = s.Get(ctx, "k")
			is.True(errors.Is(err, store.ErrNotFound))
		}},
		{"effect, but response lost", func(is *is.I, ctx context.Context, s platformServices, m *store.Memory) {
			m.SetFault(store.FaultLostResponses)
			_, err := s.Commit(ctx, putTxn("k", "a", 0))
			is.True(errors.Is(err, store.ErrUnknown))
			is.True(errors.Is(s.PutObject(ctx, "o", []byte("x")), store.ErrUnknown))
			m.SetFault(store.FaultNone)
			r, err := s.Get(ctx, "k")
			is.NoErr(err)
			is.Equal(string(r.Value), "a")
		}},
		{"no effect and no response", func(is *is.I, ctx context.Context, s platformServices, m *store.Memory) {
			m.SetFault(store.FaultLostWrites)
			_, err := s.Commit(ctx, putTxn("k", "a", 0))
			is.True(errors.Is(err, store.ErrUnknown))
			_, err = s.Get(ctx, "k")
			is.True(errors.Is(err, store.ErrNotFound))
		}},
		{"no response, executed later", func(is *is.I, ctx context.Context, s platformServices, m *store.Memory) {
			m.SetFault(store.FaultLateWrites)
			_, err := s.Commit(ctx, putTxn("k", "a", 0))
			is.True(errors.Is(err, store.ErrUnknown))
			_, err = s.Commit(ctx, putTxn("k", "b", 0))
			is.True(errors.Is(err, store.ErrUnknown))
			_, err = s.Get(ctx, "k")
			is.True(errors.Is(err, store.ErrNotFound))
			is.Equal(m.RunLate(), 1) // the condition of the second does not hold any more
			r, err := s.Get(ctx, "k")
			is.NoErr(err)
			is.Equal(string(r.Value), "a")
		}},
		{"objects are written once", func(is *is.I, ctx context.Context, s platformServices, _ *store.Memory) {
			is.NoErr(s.PutObject(ctx, "o", []byte("first")))
			is.True(errors.Is(s.PutObject(ctx, "o", []byte("second")), store.ErrConflict))
			data, err := s.GetObject(ctx, "o")
			is.NoErr(err)
			is.Equal(string(data), "first")
			_, err = s.GetObject(ctx, "none")
			is.True(errors.Is(err, store.ErrNotFound))
		}},
		{"VM list keeps the revision of each change", func(is *is.I, ctx context.Context, s platformServices, m *store.Memory) {
			m.SetVM(store.VM{Name: "e1", Kind: store.VMEngine, State: store.VMLive})
			m.SetVM(store.VM{Name: "e2", Kind: store.VMEngine, State: store.VMLive})
			m.SetVM(store.VM{Name: "e1", Kind: store.VMEngine, State: store.VMLeaving})
			l, err := s.VMs(ctx, 0)
			is.NoErr(err)
			same, err := s.VMs(ctx, 3)
			is.NoErr(err)
			is.Equal(same.Revision, uint64(3))
			is.Equal(len(same.VMs), 0) // no entries for a known revision
			is.Equal(l.Revision, uint64(3))
			is.Equal(l.VMs[0].Changed, uint64(3))
			is.Equal(l.VMs[1].Changed, uint64(2))
		}},
		{"weight store returns how long to wait", func(is *is.I, ctx context.Context, s platformServices, _ *store.Memory) {
			wait, err := s.Reserve(ctx, "m", 8<<30)
			is.NoErr(err)
			is.Equal(wait, time.Duration(0))
			wait, err = s.Reserve(ctx, "m", 8<<30)
			is.NoErr(err)
			is.True(wait > 0)
		}},
		{"concurrent creates: only one succeeds", func(is *is.I, ctx context.Context, s platformServices, _ *store.Memory) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			won := 0
			for range 16 {
				wg.Go(func() {
					if _, err := s.Commit(ctx, putTxn("k", "x", 0)); err == nil {
						mu.Lock()
						won++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			is.Equal(won, 1)
		}},
	}
	for name, open := range implementations(t) {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				s, m := open()
				c.run(is.New(t), t.Context(), s, m)
			})
		}
	}
}

// putTxn returns a transaction that writes key if it still has the given version.
func putTxn(key, value string, version uint64) store.Txn {
	return store.Txn{
		Conds: []store.Cond{{Key: key, Version: version}},
		Puts:  []store.Put{{Key: key, Value: []byte(value)}},
	}
}

// TestHTTPConnectionFaults checks the errors that the HTTP adapter returns if the connection fails
// or the response is invalid. A write is certain to have had no effect only if the connection was
// never established.
func TestHTTPConnectionFaults(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	cases := []struct {
		name  string
		serve func(net.Conn)
		want  error
	}{
		{"closed after the request", func(c net.Conn) { readRequest(c) }, store.ErrUnknown},
		{"half a response", func(c net.Conn) {
			readRequest(c)
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"ver")
		}, store.ErrUnknown},
		{"not HTTP", func(c net.Conn) { readRequest(c); write(c, "what?\r\n\r\n") }, store.ErrUnknown},
		{"error after the effect", func(c net.Conn) {
			readRequest(c)
			write(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		}, store.ErrUnknown},
		{"no response", func(c net.Conn) { readRequest(c); <-hang }, store.ErrUnknown},
		{"response that is not JSON", func(c net.Conn) {
			readRequest(c)
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes")
		}, store.ErrUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			addr := startServer(t, c.serve)
			_, err := httpstore.New(addr, 300*time.Millisecond).Commit(t.Context(), putTxn("k", "a", 0))
			is.True(errors.Is(err, c.want))
			_, err = httpstore.New(addr, 300*time.Millisecond).Get(t.Context(), "k")
			// A read has no effect, so its outcome is never unknown.
			is.True(errors.Is(err, store.ErrUnavailable))
		})
	}
	t.Run("no listener", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		l.Close()
		_, err = httpstore.New(l.Addr().String(), time.Second).Commit(t.Context(), putTxn("k", "a", 0))
		is.True(errors.Is(err, store.ErrUnavailable))
	})
}

// startServer serves each connection to a loopback port with serve and returns the address.
func startServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads the header and body of a request, which arrive together in these tests.
func readRequest(c net.Conn) {
	buf := make([]byte, 64<<10)
	_, _ = c.Read(buf)
}

// write writes s to a connection and ignores errors.
func write(c net.Conn, s string) { _, _ = c.Write([]byte(s)) }
