package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// Only the end of the connection tells the end of such a stream.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	unframed := func(text string, reset bool) func(*conn) {
		return func(c *conn) {
			c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nContent-Type: text/event-stream\r\n\r\n", text)
			if reset {
				time.Sleep(50 * time.Millisecond) // a reset discards what the peer has not read
				_ = c.Conn.(*net.TCPConn).SetLinger(0)
			}
		}
	}
	resume := func(c *conn) {
		after, err := strconv.Atoi(c.request.Header.Get("After"))
		if err != nil {
			after = 0
		}
		c.beginStream()
		c.writeEvents(after+1, 5)
		c.endStream()
	}
	cases := []struct {
		name     string
		first    func(*conn)
		arrivals int
	}{
		{"closed after an event", unframed(encodeEvents(1, 5), false), 1},
		{"closed inside an event", unframed(encodeEvents(1, 3)+"id: 4\ndata: pi", false), 2},
		{"closed after a line of an event", unframed(encodeEvents(1, 3)+"id: 4\ndata: piece 4\n", false), 2},
		{"closed before the first event", unframed("", false), 2},
		{"reset after an event", unframed(encodeEvents(1, 3), true), 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, tc.first, resume)
			resp, body, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, encodeEvents(1, 5))
			is.Equal(len(r.arrivals()), tc.arrivals)
		})
	}
}

// Bytes without end must end neither the router's memory nor the request.
func TestEndlessAnswersAreAbandoned(t *testing.T) {
	const endless = 256 << 20 // bytes
	cases := []struct {
		name, head, repeated string
		route                routes.Route
	}{
		{"body", "Transfer-Encoding: identity\r\n", "x", routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2, Target: time.Minute}},
		{"event", "Content-Type: text/event-stream\r\n", "data: x\n", routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var written atomic.Int64
			r := newTestGateway(t, tc.route, func(c *conn) {
				c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\n", tc.head, "\r\n")
				block := strings.Repeat(tc.repeated, 8<<10)
				for written.Load() < endless {
					n, err := io.WriteString(c, block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			}, func(c *conn) {
				if tc.route.Kind != routes.KindStream {
					serveDone(c)
					return
				}
				c.beginStream()
				c.writeEvents(1, 2)
				c.endStream()
			})
			resp, body, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(body == "done" || body == encodeEvents(1, 2))
			is.True(written.Load() < endless)
			await(func() bool { total, _ := r.server.held.held(); return total == 0 })
		})
	}
}
