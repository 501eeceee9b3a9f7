package agent

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/socket"
)

// acceptedPair returns both ends of a connection that a server has accepted.
func acceptedPair(t *testing.T, s *callerServer) (caller net.Conn, accepted *callerConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if caller, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	c, err := callerListener{newOnceListener(l), s}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return caller, c.(*callerConn)
}

// awaitUnread waits until bytes have arrived at a connection.
func awaitUnread(c *callerConn) {
	for !socket.Unread(c.Conn) {
		time.Sleep(time.Millisecond)
	}
}

// stopLine returns the line that logStop writes.
func stopLine(t *testing.T, s *callerServer) map[string]any {
	t.Helper()
	var out bytes.Buffer
	s.logStop(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}))
	line := make(map[string]any)
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	return line
}

// Connections that were closed with a part of a request left neither a line nor a count.
func TestDroppedRequestIsNotCounted(t *testing.T) {
	for _, test := range []struct {
		name  string
		state http.ConnState
		read  bool
		key   string
		cause dropCause
	}{
		{"unread next", http.StateIdle, false, "closed_unread", droppedUnread},
		{"unread first", http.StateNew, false, "closed_unread", droppedUnread},
		{"part of the next head", http.StateIdle, true, "closed_in_head", droppedHead},
		{"part of the first head", http.StateNew, true, "closed_in_head", droppedHead},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newCallerServer(&http.Server{})
			caller, c := acceptedPair(t, s)
			s.trackState(c, test.state)
			s.beginStop()
			_, err := io.WriteString(caller, "GET")
			is.NoErr(err)
			awaitUnread(c)
			if test.read {
				_, err := io.ReadFull(c, make([]byte, 3))
				is.NoErr(err)
			} else {
				is.Equal(stopLine(t, s)["left_unread"], 1.0)
			}
			s.conns[c].expire(c)
			is.NoErr(c.Close())
			s.trackState(c, http.StateClosed)
			is.Equal(s.dropped[test.cause].Count(), int64(1))
			line := stopLine(t, s)
			is.Equal(line[test.key], 1.0)
			is.Equal(line["closed_idle"], 0.0)
			is.Equal(line["closed_unused"], 0.0)
			is.Equal(line["left"], 0.0)
		})
	}
}

// A connection that ends between two requests, or before its first, has dropped nothing.
func TestIdleConnectionCountsAsDropped(t *testing.T) {
	for state, key := range map[http.ConnState]string{http.StateIdle: "closed_idle", http.StateNew: "closed_unused"} {
		t.Run(state.String(), func(t *testing.T) {
			is := is.New(t)
			s := newCallerServer(&http.Server{})
			_, c := acceptedPair(t, s)
			s.trackState(c, state)
			s.beginStop()
			s.conns[c].expire(c)
			is.NoErr(c.Close())
			s.trackState(c, http.StateClosed)
			is.Equal(s.dropped[droppedUnread].Count(), int64(0))
			is.Equal(s.dropped[droppedHead].Count(), int64(0))
			is.Equal(stopLine(t, s)[key], 1.0)
		})
	}
}
