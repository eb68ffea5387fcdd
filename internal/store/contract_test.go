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

// services is all that the platform gives.
type services interface {
	store.Table
	store.Objects
	store.VMList
	store.WeightStore
}

// implementations are held to the same contract. Each case gets the services
// and the memory behind them, to set faults.
func implementations(t *testing.T) map[string]func() (services, *store.Memory) {
	return map[string]func() (services, *store.Memory){
		"memory": func() (services, *store.Memory) {
			m := store.NewMemory()
			return m, m
		},
		"http": func() (services, *store.Memory) {
			m := store.NewMemory()
			srv := httptest.NewServer((&standin.Platform{Memory: m}).Handler())
			t.Cleanup(srv.Close)
			return httpstore.New(srv.Listener.Addr().String(), 5*time.Second), m
		},
	}
}

func TestContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(*is.I, context.Context, services, *store.Memory)
	}{
		{"absent key", func(is *is.I, ctx context.Context, s services, _ *store.Memory) {
			_, err := s.Get(ctx, "k")
			is.True(errors.Is(err, store.ErrNotFound))
		}},
		{"create, then create again", func(is *is.I, ctx context.Context, s services, _ *store.Memory) {
			_, err := s.Commit(ctx, put("k", "a", 0))
			is.NoErr(err)
			_, err = s.Commit(ctx, put("k", "b", 0))
			is.True(errors.Is(err, store.ErrConflict))
			r, err := s.Get(ctx, "k")
			is.NoErr(err)
			is.Equal(string(r.Value), "a")
		}},
		{"stale version", func(is *is.I, ctx context.Context, s services, _ *store.Memory) {
			v, err := s.Commit(ctx, put("k", "a", 0))
			is.NoErr(err)
			_, err = s.Commit(ctx, put("k", "b", v))
			is.NoErr(err)
			_, err = s.Commit(ctx, put("k", "c", v))
			is.True(errors.Is(err, store.ErrConflict))
		}},
		{"all or nothing", func(is *is.I, ctx context.Context, s services, _ *store.Memory) {
			_, err := s.Commit(ctx, put("k", "a", 0))
			is.NoErr(err)
			txn := put("other", "x", 0)
			txn.Conds = append(txn.Conds, store.Cond{Key: "k", Version: 0})
			_, err = s.Commit(ctx, txn)
			is.True(errors.Is(err, store.ErrConflict))
			_, err = s.Get(ctx, "other")
			is.True(errors.Is(err, store.ErrNotFound))
		}},
		{"list by prefix in order", func(is *is.I, ctx context.Context, s services, _ *store.Memory) {
			for _, k := range []string{"b/2", "a/1", "b/1"} {
				_, err := s.Commit(ctx, put(k, k, 0))
				is.NoErr(err)
			}
			rs, err := s.List(ctx, "b/")
			is.NoErr(err)
			is.Equal(len(rs), 2)
			is.Equal(rs[0].Key, "b/1")
		}},
		{"down: certainly no effect", func(is *is.I, ctx context.Context, s services, m *store.Memory) {
			m.SetFault(store.FaultDown)
			_, err := s.Commit(ctx, put("k", "a", 0))
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
		{"effect without an answer", func(is *is.I, ctx context.Context, s services, m *store.Memory) {
			m.SetFault(store.FaultLostAnswers)
			_, err := s.Commit(ctx, put("k", "a", 0))
			is.True(errors.Is(err, store.ErrUnknown))
			is.True(errors.Is(s.PutObject(ctx, "o", []byte("x")), store.ErrUnknown))
			m.SetFault(store.FaultNone)
			r, err := s.Get(ctx, "k")
			is.NoErr(err)
			is.Equal(string(r.Value), "a")
		}},
		{"no effect and no answer", func(is *is.I, ctx context.Context, s services, m *store.Memory) {
			m.SetFault(store.FaultLostWrites)
			_, err := s.Commit(ctx, put("k", "a", 0))
			is.True(errors.Is(err, store.ErrUnknown))
			_, err = s.Get(ctx, "k")
			is.True(errors.Is(err, store.ErrNotFound))
		}},
		{"objects are written once", func(is *is.I, ctx context.Context, s services, _ *store.Memory) {
			is.NoErr(s.PutObject(ctx, "o", []byte("first")))
			is.True(errors.Is(s.PutObject(ctx, "o", []byte("second")), store.ErrConflict))
			data, err := s.GetObject(ctx, "o")
			is.NoErr(err)
			is.Equal(string(data), "first")
			_, err = s.GetObject(ctx, "none")
			is.True(errors.Is(err, store.ErrNotFound))
		}},
		{"VM list keeps the revision of each change", func(is *is.I, ctx context.Context, s services, m *store.Memory) {
			m.SetVM(store.VM{Name: "e1", Kind: store.VMEngine, State: store.VMLive})
			m.SetVM(store.VM{Name: "e2", Kind: store.VMEngine, State: store.VMLive})
			m.SetVM(store.VM{Name: "e1", Kind: store.VMEngine, State: store.VMLeaving})
			l, err := s.VMs(ctx, 0)
			is.NoErr(err)
			same, err := s.VMs(ctx, 3)
			is.NoErr(err)
			is.Equal(same.Revision, uint64(3))
			is.Equal(len(same.VMs), 0) // nothing to send again
			is.Equal(l.Revision, uint64(3))
			is.Equal(l.VMs[0].Changed, uint64(3))
			is.Equal(l.VMs[1].Changed, uint64(2))
		}},
		{"weight store says how long to wait", func(is *is.I, ctx context.Context, s services, _ *store.Memory) {
			wait, err := s.Reserve(ctx, "m", 8<<30)
			is.NoErr(err)
			is.Equal(wait, time.Duration(0))
			wait, err = s.Reserve(ctx, "m", 8<<30)
			is.NoErr(err)
			is.True(wait > 0)
		}},
		{"only one of many creators", func(is *is.I, ctx context.Context, s services, _ *store.Memory) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			won := 0
			for range 16 {
				wg.Go(func() {
					if _, err := s.Commit(ctx, put("k", "x", 0)); err == nil {
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

func put(key, value string, version uint64) store.Txn {
	return store.Txn{
		Conds: []store.Cond{{Key: key, Version: version}},
		Puts:  []store.Put{{Key: key, Value: []byte(value)}},
	}
}

// The adapter must sort failures of the connection itself: only a connection
// that was never made is certain to have had no effect.
func TestHTTPConnectionFaults(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	cases := []struct {
		name  string
		serve func(net.Conn)
		want  error
	}{
		{"closed after the request", func(c net.Conn) { readSome(c) }, store.ErrUnknown},
		{"half an answer", func(c net.Conn) {
			readSome(c)
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"ver")
		}, store.ErrUnknown},
		{"garbage", func(c net.Conn) { readSome(c); write(c, "what?\r\n\r\n") }, store.ErrUnknown},
		{"error after the effect", func(c net.Conn) {
			readSome(c)
			write(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		}, store.ErrUnknown},
		{"no answer", func(c net.Conn) { readSome(c); <-hang }, store.ErrUnknown},
		{"answer that is not JSON", func(c net.Conn) {
			readSome(c)
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes")
		}, store.ErrUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			addr := listen(t, c.serve)
			_, err := httpstore.New(addr, 300*time.Millisecond).Commit(t.Context(), put("k", "a", 0))
			is.True(errors.Is(err, c.want))
			_, err = httpstore.New(addr, 300*time.Millisecond).Get(t.Context(), "k")
			is.True(errors.Is(err, store.ErrUnavailable)) // reads have no effect to be unsure of
		})
	}
	t.Run("no listener", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		l.Close()
		_, err = httpstore.New(l.Addr().String(), time.Second).Commit(t.Context(), put("k", "a", 0))
		is.True(errors.Is(err, store.ErrUnavailable))
	})
}

func listen(t *testing.T, serve func(net.Conn)) string {
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

// readSome reads one request's header and body, which arrive together here.
func readSome(c net.Conn) {
	buf := make([]byte, 64<<10)
	_, _ = c.Read(buf)
}

func write(c net.Conn, s string) { _, _ = c.Write([]byte(s)) }
