package relay

import (
	"strings"
	"testing"
)

// A valid request remains valid when it is changed to continue a response.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(chatBody(`,"max_tokens":3,"seed":1`)))
	f.Fuzz(func(t *testing.T, data []byte) {
		chat, err := ParseChat(data)
		if err != nil {
			return
		}
		body, err := chat.continueBody([]byte("x"), 1)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseChat(body); err != nil {
			t.Fatalf("%q becomes %q: %v", data, body, err)
		}
	})
}

// The text form of a parsed event id is the text that was parsed.
func FuzzEventID(f *testing.F) {
	f.Add("engine-1/18ed-4:7:0")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseEventID(s)
		if err == nil && id.String() != s {
			t.Fatalf("%q comes back as %q", s, id.String())
		}
	})
}

// No stream of events makes the parsers panic.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: s:1\ndata: {}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("\r\n\r\nid:\ndata:\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		in := newEventReader(strings.NewReader(string(data)))
		for {
			ev, err := in.next()
			if err != nil {
				return
			}
			parseEngineEventID(ev.id)
			(&streamState{replayable: true}).recordText(ev.data)
		}
	})
}
