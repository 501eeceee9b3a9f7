package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// cutAnswers are complete answers to the request "a", by name.
var cutAnswers = map[string]struct {
	kind routes.Kind
	raw  string
	body string
}{
	"with a length": {routes.KindIdempotent, "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone", "done"},
	"in chunks":     {routes.KindIdempotent, "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n", "done"},
	"once":          {routes.KindOnce, "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone", "done"},
	"a stream": {
		routes.KindStream, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(encodeEvent(1)), encodeEvent(1), len(encodeEvent(2)), encodeEvent(2)), encodeEvents(1, 2),
	},
}

// writeCut writes the first n bytes of an answer and ends the connection.
func writeCut(c *conn, raw string, n int, reset bool) {
	c.write(raw[:n])
	if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// An answer that broke off, also within its head, reached the caller as complete: a 200 with an
// empty or a short body. Each answer is cut at each of its bytes.
func TestAnswerThatBreaksOffReachesCallerAsComplete(t *testing.T) {
	for name, answer := range cutAnswers {
		for _, reset := range []bool{false, true} {
			for _, reused := range []bool{false, true} {
				for _, retry := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, reset %v, reused %v, retry %v", name, reset, reused, retry), func(t *testing.T) {
						t.Parallel()
						for n := range len(answer.raw) {
							cut := func(c *conn) {
								if reused && c.id == "warm" {
									c.write("HTTP/1.1 200 OK\r\nId: warm\r\nContent-Length: 2\r\n\r\nok")
									if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
										return
									}
								}
								writeCut(c, answer.raw, n, reset)
							}
							route, scripts := routes.Route{Kind: answer.kind, MaxAttempts: 1}, []func(*conn){cut}
							if retry && answer.kind != routes.KindOnce { // a failed connect precedes the attempt
								route.MaxAttempts, scripts = 2, []func(*conn){nil, cut}
							}
							checkCutAnswer(t, newTestGateway(t, route, scripts...), reused, answer.body, answer.raw[:n])
						}
					})
				}
			}
		}
	}
}

// checkCutAnswer sends a request whose answer breaks off after sent.
func checkCutAnswer(t *testing.T, r *testGateway, reused bool, body, sent string) {
	t.Helper()
	is := is.New(t)
	if reused {
		_, _, _ = r.send("Id", "warm")
	}
	resp, got, err := r.send()
	if err == nil && resp.StatusCode == http.StatusOK && got != body {
		t.Errorf("cut after %q: the caller got 200 with the body %q", sent, got)
	}
	if resp != nil && resp.StatusCode == http.StatusServiceUnavailable {
		is.Equal(len(r.arrivals()), 0) // a rejection says that the request has not run
	}
}

// A whole answer is the control of the test above.
func TestAnswerThatIsCutNowhereIsComplete(t *testing.T) {
	for name, answer := range cutAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestGateway(t, routes.Route{Kind: answer.kind, MaxAttempts: 1}, func(c *conn) { _, _ = io.WriteString(c, answer.raw) })
			resp, got, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(got, answer.body)
		})
	}
}

// The head of the answer was taken for written at the first bytes of an event, so that nothing else could follow.
func TestStreamWithoutAnEventClosesConnectionWithoutAnswer(t *testing.T) {
	cut := func(text string) func(*conn) {
		return func(c *conn) {
			c.beginStream()
			c.writeChunk(text)
		}
	}
	fail := func(c *conn) { c.writeAnswer(http.StatusInternalServerError, "failed", "Signature: s") }
	cases := []struct {
		name    string
		scripts []func(*conn)
		after   string
		status  int
		body    string
	}{
		{"half an event, then closed", []func(*conn){cut("id: 1\nda")}, "", http.StatusBadGateway, ""},
		{"an event that the caller has, then closed", []func(*conn){cut(encodeEvent(1))}, "1", http.StatusBadGateway, ""},
		{"no event at all, then closed", []func(*conn){cut("silk\n\n")}, "", http.StatusBadGateway, ""},
		{"half an event, then an upstream that fails", []func(*conn){cut("id: 1\nda"), fail}, "", http.StatusInternalServerError, "failed"},
		{"half an event, then silence until the time limit", []func(*conn){func(c *conn) {
			cut("id: 1\nda")(c)
			_, _ = c.Read(make([]byte, 1))
		}}, "", http.StatusGatewayTimeout, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			route := routes.Route{Kind: routes.KindStream, Resumable: true, MaxAttempts: len(tc.scripts), Timeout: time.Second}
			r := newTestGateway(t, route, tc.scripts...)
			resp, body, err := r.send("After", tc.after)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tc.status)
			is.True(tc.body == "" || body == tc.body)
		})
	}
}
