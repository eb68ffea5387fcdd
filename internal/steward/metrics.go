package steward

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"
	"google.golang.org/grpc/stats"

	"garnethoist.org/garnethoist/internal/gossip"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// traffic counts the bytes of control traffic on the wire, with an estimate of the
// headers: gossip, polls of targets, and calls of the platform. It is a gRPC stats
// handler and wraps connections. It is safe for concurrent use.
type traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// TagRPC implements stats.Handler.
func (t *traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}

// packetOverhead is the approximate size of a packet's TCP and IP headers in bytes.
const packetOverhead = 52

// countBytes wraps a connection to a target or to the platform so that its bytes are
// counted.
func (t *traffic) countBytes(c net.Conn) net.Conn { return &countingConn{Conn: c, traffic: t} }

// countingConn is a connection that counts its bytes in traffic. It takes each read
// and each write for one packet.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		// A received packet is acknowledged by one that is sent.
		c.traffic.received.Add(int64(n) + packetOverhead)
		c.traffic.sent.Add(packetOverhead)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n) + packetOverhead)
	c.traffic.received.Add(packetOverhead)
	return n, err
}

// messageOverhead is the approximate size of a gRPC message's HTTP/2, TCP and IP
// headers in bytes.
const messageOverhead = 120

// HandleRPC implements stats.Handler.
func (t *traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch m := s.(type) {
	case *stats.InPayload:
		t.received.Add(int64(m.WireLength) + messageOverhead)
	case *stats.OutPayload:
		t.sent.Add(int64(m.WireLength) + messageOverhead)
	}
}

// registerMetrics registers the steward's metrics.
func registerMetrics(m *telemetry.Metrics, t *traffic, store *gossip.Store) error {
	sent, err := m.Meter.Int64ObservableCounter("garnet_control_sent_bytes_total", metric.WithDescription("Bytes of control sent."))
	if err != nil {
		return errors.Wrap(err, "sent counter")
	}
	received, err := m.Meter.Int64ObservableCounter("garnet_control_received_bytes_total", metric.WithDescription("Bytes of control received."))
	if err != nil {
		return errors.Wrap(err, "received counter")
	}
	version, err := m.Meter.Int64ObservableGauge("garnet_table_version", metric.WithDescription("Version of the operators' table in force."))
	if err != nil {
		return errors.Wrap(err, "version gauge")
	}
	_, err = m.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(sent, t.sent.Load())
		o.ObserveInt64(received, t.received.Load())
		o.ObserveInt64(version, int64(store.TableVersion()))
		return nil
	}, sent, received, version)
	return errors.Wrap(err, "register metrics")
}
