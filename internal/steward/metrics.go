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

// traffic counts the bytes of control as they are on the wire, headers
// included: gossip, polls of targets and the platform. It is a gRPC stats
// handler and wraps connections; safe for concurrent use.
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

// packetBytes is what TCP and IP add to a packet, about.
const packetBytes = 52

// wrap counts what goes over a connection to a target or to the platform.
func (t *traffic) wrap(c net.Conn) net.Conn { return &countedConn{Conn: c, traffic: t} }

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		// The packet and its acknowledgement.
		c.traffic.received.Add(int64(n) + packetBytes)
		c.traffic.sent.Add(packetBytes)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n) + packetBytes)
	c.traffic.received.Add(packetBytes)
	return n, err
}

// headerBytes is what HTTP/2, TCP and IP add to a message, about.
const headerBytes = 120

// HandleRPC implements stats.Handler.
func (t *traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch m := s.(type) {
	case *stats.InPayload:
		t.received.Add(int64(m.WireLength) + headerBytes)
	case *stats.OutPayload:
		t.sent.Add(int64(m.WireLength) + headerBytes)
	}
}

// registerMetrics exposes what an operator watches of a steward.
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
