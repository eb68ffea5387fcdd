package target_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/standin"
	"garnethoist.org/garnethoist/internal/target"
)

// startEngine serves a simulated engine on a loopback port and returns it with its address.
func startEngine(t *testing.T, cfg standin.EngineConfig) (*standin.Engine, string) {
	t.Helper()
	e := standin.NewEngine(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := e.Server()
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { srv.Close() })
	return e, l.Addr().String()
}

// leaseHeld is passed to Client.Order and reports that the lease has not lapsed.
func leaseHeld() bool { return true }

// newOrder returns an order to serve a version of the model m in both roles.
func newOrder(id string, fence uint64, version string) target.Order {
	return target.Order{ID: id, Fence: fence, Want: target.DesiredState{Role: target.RoleBoth, Model: "m", Version: version}}
}

// TestEngineContract checks the protocol of orders and status with an engine that checks fencing
// numbers and with one that ignores them.
func TestEngineContract(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		is := is.New(t)
		ctx := t.Context()
		e, addr := startEngine(t, standin.EngineConfig{IgnoreFencing: ignore})
		c := target.NewClient(time.Second)
		is.NoErr(c.Order(ctx, addr, newOrder("o1", 5, "v1"), leaseHeld))
		is.NoErr(c.Order(ctx, addr, newOrder("o1", 5, "v1"), leaseHeld)) // a repeated order has no effect
		is.Equal(len(e.Orders()), 1)
		old := c.Order(ctx, addr, newOrder("o0", 4, "v0"), leaseHeld)
		is.Equal(errors.Is(old, target.ErrFenced), !ignore)
		is.NoErr(c.Order(ctx, addr, newOrder("o2", 6, "v2"), leaseHeld))
		first, err := c.Status(ctx, addr)
		is.NoErr(err)
		is.Equal(first.Version, "v2")
		is.Equal(first.Fence, uint64(6))
		is.Equal(first.LastOrder, "o2")
		second, err := c.Status(ctx, addr)
		is.NoErr(err)
		is.True(second.Seq > first.Seq && second.Boot == first.Boot)
	}
}

// TestOrderIsNotSentAfterLeaseLapses checks that an order is not written if the lease lapses
// while the connection is opened.
func TestOrderIsNotSentAfterLeaseLapses(t *testing.T) {
	is := is.New(t)
	e, addr := startEngine(t, standin.EngineConfig{IgnoreFencing: true})
	err := target.NewClient(time.Second).Order(t.Context(), addr, newOrder("o1", 1, "v1"), func() bool { return false })
	is.True(errors.Is(err, target.ErrFenced))
	is.Equal(len(e.Orders()), 0)
}

// TestLateOrderHasNoEffect covers a sender that is paused after it checked its lease and resumes
// once the engine's read timeout has closed the connection. The late order must have no effect,
// even on an engine that ignores fencing numbers.
func TestLateOrderHasNoEffect(t *testing.T) {
	is := is.New(t)
	e, addr := startEngine(t, standin.EngineConfig{IgnoreFencing: true, ReadTimeout: 50 * time.Millisecond})
	closed := make(chan struct{})
	// A relay between the sender and the engine detects when the engine closes the connection.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		in, err := l.Accept()
		if err != nil {
			return
		}
		defer in.Close()
		out, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(out, in) }()
		_, _ = io.Copy(in, out) // ends when the engine closes
		close(closed)
	}()
	leaseHeldUntilClosed := func() bool {
		<-closed
		return true
	}
	err = target.NewClient(5*time.Second).Order(context.Background(), l.Addr().String(), newOrder("o1", 1, "v1"), leaseHeldUntilClosed)
	is.True(errors.Is(err, target.ErrUnreachable))
	is.Equal(len(e.Orders()), 0)
}

// TestStatusFaults checks that a missing, incomplete or invalid response is ErrUnreachable.
func TestStatusFaults(t *testing.T) {
	cases := []struct{ name, response string }{
		{"no response", ""},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"boot\":"},
		{"not JSON", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"status 500", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, c.response)
			}()
			_, err = target.NewClient(time.Second).Status(t.Context(), l.Addr().String())
			is.True(errors.Is(err, target.ErrUnreachable))
		})
	}
}
