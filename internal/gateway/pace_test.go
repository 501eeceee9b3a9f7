package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// A stalled stream that sent a byte now and then never ended.
func TestStreamOfBytesWithoutEventsNeverEnds(t *testing.T) {
	const limit = 500 * time.Millisecond
	cases := map[string]func(*conn){
		"before its head": func(c *conn) { c.write("HTTP/1.1 200 OK\r\nX-Slow: ") },
		"in its head":     func(c *conn) { c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nX-Slow: ") },
		"in comments":     func(c *conn) { c.beginStream() },
		"after an event":  func(c *conn) { c.beginStream(); c.writeEvents(1, 1) },
	}
	for name, begin := range cases {
		for _, resumable := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 1, Resumable: resumable, Timeout: limit}, func(c *conn) {
					begin(c)
					for range 100 {
						if _, err := c.Write([]byte("1\r\n:\r\n")); err != nil {
							return
						}
						time.Sleep(limit / 10)
					}
				})
				began := time.Now()
				resp, _, err := r.send()
				is.True(time.Since(began) < 4*limit)
				is.True(err != nil || resp.StatusCode == http.StatusGatewayTimeout || resp.StatusCode == http.StatusBadGateway)
			})
		}
	}
}

// A slow but sound stream was cut, also one that was silent for a second and a half and went on.
func TestSlowSoundStreamIsCut(t *testing.T) {
	const gap = 100 * time.Millisecond
	for name, pauses := range map[string][]time.Duration{
		"each event at 0.9 of the pause allowed": {gap * 9 / 10, gap * 9 / 10, gap * 9 / 10, gap * 9 / 10, gap * 9 / 10, gap * 9 / 10},
		"one silence":                            {0, 1500 * time.Millisecond, 0, 0},
	} {
		for _, resumable := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: resumable, Timeout: time.Minute}, func(c *conn) {
					c.beginStream()
					for i, pause := range pauses {
						time.Sleep(pause)
						c.writeEvents(i+1, i+1)
					}
					c.endStream()
				}, closeConn)
				resp, body, err := r.send()
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(body, encodeEvents(1, len(pauses)))
			})
		}
	}
}
