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
	EventStarted          Event = "started"              // a program has started; not logged at present
	EventStopping         Event = "stopping"             // the server for callers begins to drain
	EventStopped          Event = "stopped"              // a server has stopped or failed
	EventRequestServed    Event = "request_served"       // a request got its complete response
	EventRequestRefused   Event = "request_refused"      // a request failed and has not run
	EventRequestFailed    Event = "request_failed"       // a request failed and may have run
	EventStreamResumed    Event = "stream_resumed"       // a broken stream continues at another engine
	EventTransferFallback Event = "kv_transfer_fallback" // prefill at another engine failed; one engine runs the request
	EventTargetSetAside   Event = "target_set_aside"     // a target is not used for a while after failures
	EventTargetState      Event = "target_state"         // a target changed its state or became unreachable
	EventTargetLimit      Event = "target_limit"         // a target began or ceased to state a limit on requests, or changed it
	EventPathLost         Event = "path_lost"            // this VM reaches targets only through other VMs
	EventPathRegained     Event = "path_regained"        // this VM reaches targets again
	EventVersionsAdmitted Event = "versions_admitted"    // streams may begin at further software versions of a service's targets
	EventVersionsMissing  Event = "versions_missing"     // the software versions of a service's targets could not be admitted
	EventPeerState        Event = "peer_state"           // another VM was found or its address changed
	EventStreamsNotStored Event = "streams_not_stored"   // where streams began could not be written to the store, or its old rows not deleted
	EventStreamsRead      Event = "streams_read"         // where streams began was read from the store
	EventStreamsNotRead   Event = "streams_not_read"     // where streams began could not be read from the store
	EventTableVersion     Event = "table_version"        // a new version of the table of services is used
	EventLeaseAcquired    Event = "lease_acquired"       // this process became the holder of a lease
	EventLeaseLost        Event = "lease_lost"           // this process lost a lease or failed to release it
	EventOrderSent        Event = "order_sent"           // an order was sent to an engine
	EventOrderRefused     Event = "order_refused"        // an order failed, or the journal of orders could not be read or written
	EventOrderAdopted     Event = "order_adopted"        // an earlier lease holder's order was taken over
	EventOrderDone        Event = "order_done"           // an engine has carried out an order
	EventRoleDecision     Event = "role_decision"        // the planner of garnet-steward decided to change an engine's role
	EventPlatformDown     Event = "platform_down"        // the platform became unreachable
	EventPlatformUp       Event = "platform_up"          // the platform is reachable again
	EventStewardLost      Event = "steward_lost"         // an entry lost its connection to a steward
	EventStewardJoined    Event = "steward_joined"       // an entry connected to a steward; not logged at present
	EventGossipFailed     Event = "gossip_failed"        // an exchange with another steward failed
	EventStoreLost        Event = "store_lost"           // the store became unreachable
	EventStoreCall        Event = "store_call"           // a call to the store was made
	EventStoreCallFailed  Event = "store_call_failed"    // a call to the store failed
	EventStoreRegained    Event = "store_regained"       // the store is reachable again
	EventHistoryGone      Event = "store_history_gone"   // the changes since the last read are gone from the store; the whole table is read again
	EventConfig           Event = "config"               // a new configuration was read
	EventTargets          Event = "targets"              // a target was added, changed or removed
	EventChangesForwarded Event = "changes_passed_on"    // changes that another VM forwarded were received
	EventCopied           Event = "table_copied"         // a table was copied from another VM, or could not be
	EventBadRow           Event = "bad_row"              // a row of the store could not be decoded
	EventBadDatagram      Event = "bad_datagram"         // a datagram of another VM was invalid or too large
	EventReload           Event = "reload"               // the settings file was read again
	EventTargetCrashed    Event = "target_ended"         // a target crashed as it began to run a request
	EventQuarantined      Event = "request_quarantined"  // a request that crashes targets is quarantined
	EventCleared          Event = "request_cleared"      // a request suspected of crashing targets ran without a crash
	EventPartHeld         Event = "part_held"            // requests with a part of a prompt that crashes targets are held back
	EventPartCleared      Event = "part_cleared"         // a request with a held part ran without a crash
	EventDescriptorsShort Event = "descriptors_short"    // file descriptors are running out
	EventCallersEnded     Event = "callers_ended"        // callers' connections were ended or refused for lack of descriptors or memory
	EventHTTPServer       Event = "http_server"          // a line of an HTTP server's error log
	EventLogDropped       Event = "log_dropped"          // log lines were dropped
	EventUsage            Event = "usage"                // the usage report of a time window was finalized or sent, or the record of earlier reports was read
	EventScaling          Event = "scaling"              // engines were ordered from the platform
	EventClaimUnknown     Event = "claim_unknown"        // the claim of an at-most-once request could not be updated
	EventClaimsRemoved    Event = "claims_removed"       // old claims were removed
)

// Logger writes a line of key=value pairs for each event.
type Logger struct {
	entry   *logrus.Entry
	badRows *badRows
}

// NewLogger returns a logger that writes to w, with the names of the program and the VM on every
// line.
func NewLogger(w io.Writer, program, vm string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return &Logger{entry: l.WithFields(logrus.Fields{"program": program, "vm": vm}), badRows: &badRows{}}
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
