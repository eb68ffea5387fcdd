// Package relay forwards requests for language models to engines and returns their responses.
// Streams are relayed token by token and resumed after an engine or entry is lost.
// Non-streaming requests are retried where that is safe.
package relay

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/table"
)

// EventID identifies the last event of a stream that a caller has received. Its text form is
// ENGINE/STREAM:EVENT:BASE.
type EventID struct {
	// Engine is the name of the engine that holds the stream.
	Engine string
	// Stream is the engine's name for the stream.
	Stream string
	// Event is the engine's number of the event, from 1.
	Event int
	// Base is the number of events relayed from engines that served the stream before.
	Base int
}

// maxEventIDBytes bounds the text form of an event id.
const maxEventIDBytes = 256

// maxEventNumber bounds the numbers in an event id.
const maxEventNumber = 1 << 30

// ParseEventID parses the text form of an event id.
func ParseEventID(s string) (EventID, error) {
	if len(s) > maxEventIDBytes {
		return EventID{}, errors.New("event id is too long")
	}
	engine, rest, ok := strings.Cut(s, "/")
	if !ok || !table.ValidName(engine) {
		return EventID{}, errors.New("event id has no valid engine name")
	}
	parts := strings.Split(rest, ":")
	if len(parts) != 3 || parts[0] == "" {
		return EventID{}, errors.New("event id is not ENGINE/STREAM:EVENT:BASE")
	}
	event, err := parseNumber(parts[1])
	if err != nil {
		return EventID{}, errors.Wrap(err, "event number")
	}
	base, err := parseNumber(parts[2])
	if err != nil {
		return EventID{}, errors.Wrap(err, "event base")
	}
	return EventID{Engine: engine, Stream: parts[0], Event: event, Base: base}, nil
}

// parseNumber parses a decimal number from 0 to maxEventNumber without sign or leading zeros.
func parseNumber(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, errors.Wrap(err, "not a number")
	}
	if n < 0 || n > maxEventNumber || strconv.Itoa(n) != s {
		return 0, errors.New("not a decimal number in range")
	}
	return n, nil
}

// String returns the text form of the event id.
func (id EventID) String() string {
	return id.Engine + "/" + id.Stream + ":" + strconv.Itoa(id.Event) + ":" + strconv.Itoa(id.Base)
}

// parseEngineEventID parses an engine's event id, STREAM:EVENT. Event numbers start at 1.
func parseEngineEventID(s []byte) (stream []byte, event int, ok bool) {
	scale := 1
	for i := len(s) - 1; i > 0; i-- {
		if s[i] == ':' {
			return s[:i], event, event > 0
		}
		if s[i] < '0' || s[i] > '9' || scale > maxEventNumber {
			return nil, 0, false
		}
		event += int(s[i]-'0') * scale
		scale *= 10
	}
	return nil, 0, false
}
