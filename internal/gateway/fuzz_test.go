package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
)

// relayAll relays a stream in the given pieces and returns what the caller gets.
func relayAll(pieces ...[]byte) (string, error) {
	caller := httptest.NewRecorder()
	relay := &eventRelay{writeHead: func() {}, w: caller, flusher: http.NewResponseController(caller), eventSequence: eventSequence{last: new(streamPosition), lastID: -1}}
	for _, p := range pieces {
		if err := relay.write(p); err != nil {
			return caller.Body.String(), err
		}
	}
	return caller.Body.String(), nil
}

// FuzzEventRelay relays any bytes of an upstream: the caller gets the same whether they arrive at once
// or in two pieces, and only what ends with a blank line.
func FuzzEventRelay(f *testing.F) {
	f.Add([]byte(encodeEvents(1, 3)), 7)
	f.Add([]byte("id: 2\r\ndata: x\r\n\r\nid: 1\ndata: old\n\n: comment\n\n"), 12)
	f.Add([]byte("id: 1\ndata: a\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"), 20)
	f.Add([]byte("id: 99999999999999999999\n\n\n\nid:\n\n"), 3)
	f.Fuzz(func(t *testing.T, stream []byte, at int) {
		whole, err := relayAll(bytes.Clone(stream))
		if err != nil {
			return // where an invalid event begins depends on what came with it
		}
		at = min(max(at, 0), len(stream))
		parts, err := relayAll(bytes.Clone(stream[:at]), bytes.Clone(stream[at:]))
		if err != nil || parts != whole {
			t.Errorf("at once %q, in two pieces %q (%v)", whole, parts, err)
		}
		if whole != "" && eventEnd([]byte(whole[max(0, len(whole)-4):])) < 0 {
			t.Errorf("the caller got a part of an event: %q", whole)
		}
	})
}

// FuzzPeerMessages decodes any bytes as what routers send each other about the list.
func FuzzPeerMessages(f *testing.F) {
	for _, m := range []interface{ MarshalMsg([]byte) ([]byte, error) }{&ListRequest{}, &ListUpdate{}} {
		encoded, err := m.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = new(ListRequest).UnmarshalMsg(b)
		var u ListUpdate
		if _, err := u.UnmarshalMsg(b); err != nil {
			return
		}
		var none *snapshot
		if s, err := none.apply(0, &u); err == nil {
			s.upstreams()
		}
	})
}
