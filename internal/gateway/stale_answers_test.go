package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// An upstream that writes an earlier rejection once more may run the next request: the caller
// must not be told otherwise, nor another upstream run it as well.
func TestRejectionWrittenOnceMoreIsNoRejection(t *testing.T) {
	const rejection = "HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	const done = "HTTP/1.1 200 X\r\nId: b\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone"
	cases := []struct {
		name   string
		extra  string // written where the answer to the second request is due
		status int    // of the second request
	}{
		{"before the answer", rejection + done, http.StatusOK},
		{"without an ID", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull" + done, http.StatusOK},
		{"after informational answers", "HTTP/1.1 103 X\r\nId: b\r\nNot-Run: 1\r\n\r\n" + rejection + done, http.StatusOK},
		{"instead of the answer", rejection, http.StatusBadGateway},
		{"without an ID instead of the answer", "HTTP/1.1 400 X\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", http.StatusBadGateway},
		{"without a length", "HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\n\r\nfull", http.StatusBadGateway},
		{"again and again", rejection + rejection + rejection + rejection + done, http.StatusBadGateway},
		{"as another upstream's", "HTTP/1.1 421 X\r\nId: a\r\nElsewhere: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + done, http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			again := make(chan string, 1) // ID of the second request on the connection
			r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 3}, func(c *conn) {
				c.write("HTTP/1.1 200 X\r\nId: a\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone")
				second, err := http.ReadRequest(bufio.NewReader(c.Conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, second.Body)
				again <- second.Header.Get("Id")
				c.write(tc.extra)
			}, serveDone)
			resp, body, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, "done")
			resp, _, err = r.send("Id", "b")
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(<-again, "b")
			is.Equal(r.arrivals(), []string{"u0 a"}) // b came on the same connection, and nowhere else
		})
	}
}

// Callers take 408, 429 and 503 as a promise that the request did not run. An upstream makes
// it only where it says so.
func TestUnmarkedRejectionIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			reject := func(c *conn) { c.writeAnswer(status, "full", "Signature: s", "Retry-After: 1") }
			r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 3}, reject, serveDone)
			resp, _, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get("Signature"), "") // the status isn't the upstream's
			is.Equal(resp.Header.Get("Retry-After"), "")
			is.Equal(r.arrivals(), []string{"u0 a"})

			r = newTestGateway(t, routes.Route{Kind: routes.KindIdempotent, MaxAttempts: 2, Target: time.Minute}, reject, serveDone)
			resp, _, err = r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(r.arrivals(), []string{"u0 a", "u1 a"})
		})
	}
}

// Only the end of the connection tells the end of such a stream, so that whatever an upstream
// writes beside its events seems to belong to it.
func TestAnswerWithinAStreamIsNotRelayed(t *testing.T) {
	const rejection = "HTTP/1.1 503 X\r\nId: z\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	cases := []struct{ name, written string }{
		{"behind its end", encodeEvents(1, 5) + rejection},
		{"between two events", encodeEvents(1, 3) + rejection + encodeEvents(4, 5)},
		{"within an event", encodeEvents(1, 3) + "id: 4\n" + rejection + "data: piece 4\n\n" + encodeEvents(5, 5)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 2, Resumable: true}, func(c *conn) {
				c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nContent-Type: text/event-stream\r\n\r\n", tc.written)
			}, func(c *conn) {
				after, _ := strconv.Atoi(c.request.Header.Get("After")) // 0 if it isn't set
				c.beginStream()
				c.writeEvents(after+1, 5)
				c.endStream()
			})
			resp, body, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, encodeEvents(1, 5))
		})
	}
}
