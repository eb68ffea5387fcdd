// Package telemetry provides logging and metrics: log lines of key=value pairs, one for each
// event, and OpenTelemetry metrics with a Prometheus endpoint. Logs are written by logrus.
package telemetry

import (
	"io"

	"github.com/sirupsen/logrus"
)

// FieldEvent is the key of the event's name, which is on every log line.
const FieldEvent = "event"

// Event is the name of an event in the log.
type Event string

// Events that the programs log.
const (
	EventStarted          Event = "started"
	EventStopping         Event = "stopping"
	EventStopped          Event = "stopped"
	EventRequestServed    Event = "request_served"
	EventRequestRefused   Event = "request_refused"
	EventRequestFailed    Event = "request_failed"
	EventStreamResumed    Event = "stream_resumed"
	EventTransferFallback Event = "kv_transfer_fallback"
	EventTargetSetAside   Event = "target_set_aside"
	EventTargetState      Event = "target_state"
	EventPeerState        Event = "peer_state"
	EventTableVersion     Event = "table_version"
	EventLeaseAcquired    Event = "lease_acquired"
	EventLeaseLost        Event = "lease_lost"
	EventOrderSent        Event = "order_sent"
	EventOrderRefused     Event = "order_refused"
	EventOrderAdopted     Event = "order_adopted"
	EventOrderDone        Event = "order_done"
	EventRoleDecision     Event = "role_decision"
	EventPlatformDown     Event = "platform_down"
	EventPlatformUp       Event = "platform_up"
	EventStewardLost      Event = "steward_lost"
	EventStewardJoined    Event = "steward_joined"
	EventGossipFailed     Event = "gossip_failed"
	EventStoreLost        Event = "store_lost"
	EventStoreCall        Event = "store_call"
	EventStoreCallFailed  Event = "store_call_failed"
	EventStoreRegained    Event = "store_regained"
	EventHistoryGone      Event = "store_history_gone"
	EventConfig           Event = "config"
	EventTargets          Event = "targets"
	EventPassedOn         Event = "changes_passed_on"
	EventBadRow           Event = "bad_row"
	EventBadDatagram      Event = "bad_datagram"
	EventReload           Event = "reload"
	EventTargetEnded      Event = "target_ended"
	EventQuarantined      Event = "request_quarantined"
	EventCleared          Event = "request_cleared"
	EventDescriptors      Event = "descriptors_short"
	EventServer           Event = "http_server"
	EventLogDropped       Event = "log_dropped"
	EventUsage            Event = "usage"
	EventScaling          Event = "scaling"
	EventClaimUnknown     Event = "claim_unknown"
	EventClaimsRemoved    Event = "claims_removed"
)

// Logger writes a line of key=value pairs for each event.
type Logger struct {
	entry *logrus.Entry
}

// NewLogger returns a logger that writes to w, with the names of the program and the VM on every
// line.
func NewLogger(w io.Writer, program, vm string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return &Logger{entry: l.WithFields(logrus.Fields{"program": program, "vm": vm})}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return NewLogger(io.Discard, "", "") }

// Field is one key=value pair of a log line.
type Field struct {
	Key   string
	Value any
}

// F returns the field key=value.
func F(key string, value any) Field { return Field{Key: key, Value: value} }

// Info logs an event of normal operation.
func (l *Logger) Info(e Event, fields ...Field) { l.with(e, fields).Info(string(e)) }

// Warn logs an event that may need an operator's attention.
func (l *Logger) Warn(e Event, fields ...Field) { l.with(e, fields).Warn(string(e)) }

// with returns an entry with the event's name and fields.
func (l *Logger) with(e Event, fields []Field) *logrus.Entry {
	m := make(logrus.Fields, len(fields)+1)
	m[FieldEvent] = string(e)
	for _, f := range fields {
		m[f.Key] = f.Value
	}
	return l.entry.WithFields(m)
}
