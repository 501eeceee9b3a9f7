package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// endlessBytes is what an upstream of these tests sends at most if nobody closes its connection.
const endlessBytes = 64 << 20

// writeEndless sends a text again and again until the router closes the connection, and adds the
// bytes to written.
func writeEndless(c *conn, text string, written *atomic.Int64) {
	block := strings.Repeat(text, 1+(16<<10)/len(text))
	for sent := 0; sent < endlessBytes; {
		n, err := io.WriteString(c, block)
		sent += n
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// beginUnframedStream begins a stream that ends with its connection.
func (c *conn) beginUnframedStream() {
	c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nContent-Type: text/event-stream\r\n\r\n")
}

// resumeTo serves a stream that goes on after the events that the caller has, up to the given one.
func resumeTo(last int) func(*conn) {
	return func(c *conn) {
		after := eventNumber(c.request.Header.Get("After"))
		c.beginStream()
		c.writeEvents(int(max(after, 0))+1, last)
		c.endStream()
	}
}

// onlyEvents returns a body without comments and empty lines, and with one empty line after each event.
func onlyEvents(body string) string {
	var out strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		if line == "" || strings.HasPrefix(line, ":") {
			continue
		}
		out.WriteString(line)
		if strings.HasPrefix(line, "data") {
			out.WriteString("\n")
		}
		if strings.HasPrefix(line, "id") || strings.HasPrefix(line, "data") {
			out.WriteString("\n")
		}
	}
	return out.String()
}

// An upstream that sent events without end which its caller had already, or comments, was read
// until the deadline, and all was kept if another upstream had only stalled.
func TestBytesWithoutAnEventOccupyARequestWithoutEnd(t *testing.T) {
	firsts := map[string]func(*conn){
		"broken off": func(c *conn) { c.beginStream(); c.writeEvents(1, 2) },
		"stalled":    func(c *conn) { c.beginStream(); c.writeEvents(1, 2); awaitClose(c) },
	}
	texts := map[string]string{"stale events": encodeEvents(1, 2), "comments": ": nothing\n\n", "empty lines": "\n"}
	for first, script := range firsts {
		for name, text := range texts {
			t.Run(first+", "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var written atomic.Int64
				var r *testGateway
				later := func(c *conn) { // the first of two to be asked
					if len(r.arrivals()) == 2 {
						c.beginUnframedStream()
						writeEndless(c, text, &written)
						return
					}
					resumeTo(5)(c)
				}
				r = newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 3, Resumable: true, Timeout: 20 * time.Second}, script, later, later)
				_, body, err := r.send()
				is.NoErr(err)
				is.Equal(onlyEvents(body), encodeEvents(1, 5))
				is.True(written.Load() < endlessBytes/4) // bytes read from the upstream
				r.awaitIdle()
			})
		}
	}
}

// An upstream that sent bytes now and then, but nothing that served the request, never counted as
// stalled: the request ended with its deadline, although another upstream would have served it.
func TestTrickleHoldsRequestUntilItsDeadline(t *testing.T) {
	trickle := func(c *conn, text string) {
		for {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	stream := routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}
	idempotent := routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2, Target: 100 * time.Millisecond}
	cases := []struct {
		name  string
		route routes.Route
		begin func(*conn)
		text  string
	}{
		{"comments", stream, func(c *conn) { c.beginUnframedStream(); c.write(encodeEvents(1, 2)) }, ": ping\n\n"},
		{"comments before the first event", stream, func(c *conn) { c.beginUnframedStream() }, ": ping\n\n"},
		{"stale events", stream, func(c *conn) { c.beginUnframedStream(); c.write(encodeEvents(1, 2)) }, encodeEvent(2)},
		{"an event without end", stream, func(c *conn) { c.beginUnframedStream(); c.write(encodeEvents(1, 2)) }, "data: x\n"},
		{"empty lines", stream, func(c *conn) { c.beginUnframedStream(); c.write(encodeEvents(1, 2)) }, "\n"},
		{"informational heads", stream, func(*conn) {}, "HTTP/1.1 102 X\r\n\r\n"},
		{"informational heads, complete answer", idempotent, func(*conn) {}, "HTTP/1.1 102 X\r\n\r\n"},
		{"a head", idempotent, func(c *conn) { c.write("HTTP/1.1 200 OK\r\n") }, "X: x\r\n"},
		{"a body", idempotent, func(c *conn) { c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\n\r\n") }, "x"},
		{"a chunk", idempotent, func(c *conn) {
			c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n")
		}, "x"},
		{"trailers", idempotent, func(c *conn) {
			c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
		}, "X: x\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			want, serve := encodeEvents(1, 5), resumeTo(5)
			if tc.route.Kind != routes.KindStream {
				want, serve = "done", serveDone
			}
			r := newTestGateway(t, tc.route, func(c *conn) { tc.begin(c); trickle(c, tc.text) }, serve)
			resp, body, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(onlyEvents(body), want)
			r.awaitIdle()
		})
	}
}

// An upstream that serves other requests well trickled on one of them.
func TestTrickleHoldsRequestBesideSoundOnes(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	first := func(c *conn) {
		c.beginUnframedStream()
		c.write(encodeEvents(1, 2))
		for id := 3; ; id++ {
			text := encodeEvent(id) // of the sound stream
			if c.id == "trickle" {
				text = ": ping\n\n"
			}
			select {
			case <-left:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, first, resumeTo(5))
	sound := make(chan string, 1)
	go func() {
		_, body, _ := r.send("Id", "sound") // ends with the test
		sound <- body
	}()
	r.awaitArrivals(1)
	_, body, err := r.send("Id", "trickle")
	arrivals := len(r.arrivals())
	close(left)
	is.NoErr(err)
	is.Equal(onlyEvents(body), encodeEvents(1, 5))
	is.True(strings.HasPrefix(<-sound, encodeEvents(1, 5)))
	is.Equal(arrivals, 3)
}
