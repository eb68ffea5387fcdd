package httpsend

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// headState is the part of a response's head that the next byte belongs to.
type headState int

const (
	// inVersion is the protocol's name and version, up to the blank before the status.
	inVersion headState = iota
	inStatus
	inReason
	// inReasonEnd is the line feed after the reason.
	inReasonEnd
	// atLine is the beginning of a line after the first one.
	atLine
	inName
	inValue
	// inHeadEnd is the line feed of the empty line that ends the head.
	inHeadEnd
	// inBody is what follows the head.
	inBody
)

const (
	// versionPrefix begins the version of all responses of HTTP/1 (RFC 9112, section 2.3).
	versionPrefix = "HTTP/1."
	statusDigits  = 3

	nameLength   = "content-length"
	nameEncoding = "transfer-encoding"
)

// head checks the head of a response byte by byte, in constant memory. It finds what net/http lets pass although
// RFC 9110 and RFC 9112 forbid it; what net/http refuses is left to it. Informational responses are followed by
// the head of a further response. The zero value awaits the first byte.
type head struct {
	state headState
	// count is the number of bytes of the current state.
	count int
	// minor is the minor version.
	minor  byte
	status int
	// hasFields is set once a field has begun.
	hasFields bool
	// name is the lower-case name of the current field, or its beginning.
	name []byte
	// hasLength and hasEncoding say that the fields Content-Length and Transfer-Encoding are present, and
	// lengthNotZero that the length has a digit other than 0.
	hasLength, hasEncoding, lengthNotZero bool
}

// reset prepares for the head of another response.
func (h *head) reset() { *h = head{name: h.name[:0]} }

// feed checks further bytes of a connection. It returns how many of them precede the first one that is wrong,
// and what is wrong.
func (h *head) feed(p []byte) (int, error) {
	for i, b := range p {
		if h.state == inBody {
			break
		}
		if err := h.next(b); err != nil {
			return i, err
		}
	}
	return len(p), nil
}

// endsWithConn reports whether the end of the connection ends the body (RFC 9112, section 6.3).
func (h *head) endsWithConn() bool {
	return h.state == inBody && !h.hasLength && !h.hasEncoding && h.status != http.StatusNoContent && h.status != http.StatusNotModified
}

// next checks one byte.
func (h *head) next(b byte) error {
	switch h.state {
	case inVersion:
		return h.nextOfVersion(b)
	case inStatus:
		return h.nextOfStatus(b)
	case inReason:
		return h.nextOfReason(b)
	case inReasonEnd:
		return h.lineFeed(b, func() error { h.enter(atLine); return nil })
	case atLine:
		return h.firstOfLine(b)
	case inName:
		return h.nextOfName(b)
	case inValue:
		h.nextOfValue(b)
	case inHeadEnd:
		return h.lineFeed(b, h.end)
	}
	return nil
}

// enter begins a state.
func (h *head) enter(s headState) { h.state, h.count = s, 0 }

func (h *head) nextOfVersion(b byte) error {
	h.count++
	switch at := h.count - 1; {
	case at < len(versionPrefix) && b == versionPrefix[at]:
	case at == len(versionPrefix) && isDigit(b):
		h.minor = b - '0'
	case at == len(versionPrefix)+1 && b == ' ':
		h.enter(inStatus)
	default:
		return malformed("the first line is not that of a response of HTTP/1")
	}
	return nil
}

func (h *head) nextOfStatus(b byte) error {
	if h.count < statusDigits {
		if !isDigit(b) {
			return malformed("the status is not a number of three digits")
		}
		h.count++
		h.status = h.status*10 + int(b-'0')
		return nil
	}
	// No request asks for another protocol.
	if h.status < 100 || h.status > 599 || h.status == http.StatusSwitchingProtocols {
		return malformed("the status is invalid")
	}
	if b != ' ' && b != '\r' && b != '\n' {
		return malformed("the status is not a number of three digits")
	}
	h.enter(inReason)
	return h.nextOfReason(b)
}

func (h *head) nextOfReason(b byte) error {
	switch {
	case b == '\n':
		h.enter(atLine)
	case b == '\r':
		h.enter(inReasonEnd)
	case b != '\t' && b < ' ' || b == 0x7f:
		return malformed("a control byte in the first line")
	}
	return nil
}

func (h *head) firstOfLine(b byte) error {
	switch {
	case b == '\n':
		return h.end()
	case b == '\r':
		h.enter(inHeadEnd)
	case b == ' ' || b == '\t':
		// The value of the field before goes on (RFC 9112, section 5.2).
		if !h.hasFields {
			return malformed("the first field has no name")
		}
		h.enter(inValue)
	case isToken(b):
		h.hasFields, h.name = true, h.name[:0]
		h.enter(inName)
		h.keepName(b)
	default:
		return malformed("the name of a field is invalid")
	}
	return nil
}

func (h *head) nextOfName(b byte) error {
	switch {
	case b == ':':
		h.hasLength = h.hasLength || h.isField(nameLength)
		h.hasEncoding = h.hasEncoding || h.isField(nameEncoding)
		h.enter(inValue)
	case isToken(b):
		h.keepName(b)
	default:
		return malformed("the name of a field is invalid")
	}
	return nil
}

// keepName adds a byte to the name, which is kept no further than needed to tell it from the known ones.
func (h *head) keepName(b byte) {
	if len(h.name) > len(nameEncoding) {
		return
	}
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	h.name = append(h.name, b)
}

// isField reports whether the current field has the given lower-case name.
func (h *head) isField(name string) bool { return string(h.name) == name }

func (h *head) nextOfValue(b byte) {
	if b == '\n' {
		h.enter(atLine)
		return
	}
	h.lengthNotZero = h.lengthNotZero || isDigit(b) && b != '0' && h.isField(nameLength)
}

// lineFeed checks that b ends a line, and if so goes on with then.
func (h *head) lineFeed(b byte, then func() error) error {
	if b != '\n' {
		return malformed("a carriage return within a line")
	}
	return then()
}

// end checks the framing of a response whose head is complete (RFC 9110, section 8.6, and RFC 9112, sections 6.1
// to 6.3).
func (h *head) end() error {
	switch informational := h.status < http.StatusOK; {
	case h.hasEncoding && (h.hasLength || h.minor == 0),
		informational && (h.hasEncoding || h.hasLength),
		h.status == http.StatusNoContent && (h.hasEncoding || h.lengthNotZero):
		return malformed("the framing is faulty")
	case informational:
		h.reset()
	default:
		h.enter(inBody)
	}
	return nil
}

// malformed returns ErrMalformed with a detail.
func malformed(detail string) error { return errors.Wrap(ErrMalformed, detail) }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isToken reports whether a name may contain b (RFC 9110, section 5.6.2).
func isToken(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', isDigit(b):
		return true
	}
	return b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
