package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// rawService accepts connections and passes each completely read request to serve, which
// returns false to close the connection.
type rawService struct {
	addr  string
	bytes atomic.Int64 // received
	runs  atomic.Int64 // requests read completely
}

type countingReader struct {
	io.Reader
	n *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}

func newRawService(t *testing.T, serve func(conn *net.TCPConn, req *http.Request, run int64) bool) *rawService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &rawService{addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn.(*net.TCPConn), serve)
		}
	}()
	return s
}

func (s *rawService) serveConn(conn *net.TCPConn, serve func(*net.TCPConn, *http.Request, int64) bool) {
	defer conn.Close()
	in := bufio.NewReader(countingReader{conn, &s.bytes})
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !serve(conn, req, s.runs.Add(1)) {
			return
		}
	}
}

func refusedAddr(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// respond returns a serve function that writes text, with {id} replaced by the request's
// ID, and closes the connection.
func respond(text string) func(*net.TCPConn, *http.Request, int64) bool {
	return func(conn *net.TCPConn, req *http.Request, _ int64) bool {
		text := strings.ReplaceAll(text, "{id}", req.Header.Get("X-Request-Id"))
		fmt.Fprint(conn, strings.ReplaceAll(text, "\n", "\r\n"))
		return false
	}
}

var callCases = []struct {
	name  string
	serve func(*net.TCPConn, *http.Request, int64) bool
	end   answer.End
	facts answer.Facts
}{
	{
		name: "complete answer", serve: respond("HTTP/1.1 201 Created\nX-Request-Id: {id}\nContent-Length: 2\n\nok"),
		end: answer.EndComplete, facts: answer.Facts{MayHaveBeenSent: true, Accepted: true, Complete: true},
	},
	{
		name: "complete chunked answer", serve: respond("HTTP/1.1 201 Created\nX-Request-Id: {id}\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n"),
		end: answer.EndComplete, facts: answer.Facts{MayHaveBeenSent: true, Accepted: true, Complete: true},
	},
	{
		name: "full", serve: respond("HTTP/1.1 503 Full\nX-Request-Id: {id}\nContent-Length: 0\n\n"),
		end: answer.EndComplete, facts: answer.Facts{MayHaveBeenSent: true, Accepted: true, Complete: true, Declined: true},
	},
	{
		name: "cut before the answer", serve: func(*net.TCPConn, *http.Request, int64) bool { return false },
		end: answer.EndCut, facts: answer.Facts{MayHaveBeenSent: true},
	},
	{
		name: "cut mid-answer", serve: respond("HTTP/1.1 201 Created\nX-Request-Id: {id}\nContent-Length: 9\n\nok"),
		end: answer.EndCut, facts: answer.Facts{MayHaveBeenSent: true, Accepted: true},
	},
	{
		name: "cut mid-chunk", serve: respond("HTTP/1.1 201 Created\nX-Request-Id: {id}\nTransfer-Encoding: chunked\n\n9\nok"),
		end: answer.EndCut, facts: answer.Facts{MayHaveBeenSent: true, Accepted: true},
	},
	{
		name: "no explicit length", serve: respond("HTTP/1.0 201 Created\nX-Request-Id: {id}\n\nok"),
		end: answer.EndCut, facts: answer.Facts{MayHaveBeenSent: true, Accepted: true},
	},
	{
		name: "reset after the write", serve: func(conn *net.TCPConn, _ *http.Request, _ int64) bool {
			_ = conn.SetLinger(0)
			return false
		},
		end: answer.EndCut, facts: answer.Facts{MayHaveBeenSent: true},
	},
	{
		name: "misdelivered answer", serve: respond("HTTP/1.1 201 Created\nX-Request-Id: other\nContent-Length: 2\n\nok"),
		end: answer.EndMisdelivered, facts: answer.Facts{MayHaveBeenSent: true},
	},
	{
		name: "answer that names no attempt", serve: respond("HTTP/1.1 201 Created\nContent-Length: 2\n\nok"),
		end: answer.EndMisdelivered, facts: answer.Facts{MayHaveBeenSent: true},
	},
	{
		name: "answer too large", serve: respond("HTTP/1.1 201 Created\nX-Request-Id: {id}\nContent-Length: 99\n\n" + strings.Repeat("a", 99)),
		end: answer.EndCut, facts: answer.Facts{MayHaveBeenSent: true, Accepted: true},
	},
	{
		name: "not HTTP", serve: respond("hello\n\n"),
		end: answer.EndCut, facts: answer.Facts{MayHaveBeenSent: true},
	},
}

func TestCallReportsEndAndFacts(t *testing.T) {
	for _, c := range callCases {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, repeatable %t", c.name, repeatable), func(t *testing.T) {
				is := is.New(t)
				server := newRawService(t, c.serve)
				client := NewHTTPClient()
				defer client.CloseIdleConnections()
				got, facts, err := NewService(server.addr, client).Do(t.Context(), CallRequest{
					Attempt: "a1", Method: http.MethodPost, Target: "/pickups", Body: []byte("{}"),
					IdempotencyKey: "k", Repeatable: repeatable, MaxAnswer: 50,
				})
				is.Equal(facts, c.facts)
				is.Equal(server.runs.Load(), int64(1))
				if c.end == answer.EndComplete {
					is.NoErr(err)
					is.True(got.Status > 0)
					return
				}
				end, errFacts := EndOf(err)
				is.Equal(end, c.end)
				is.Equal(errFacts, c.facts)
			})
		}
	}
}

func TestCallWithoutAWrittenByteDidNotRun(t *testing.T) {
	errLease := errors.New("lease ended")
	for _, repeatable := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused connection, repeatable %t", repeatable), func(t *testing.T) {
			is := is.New(t)
			_, facts, err := NewService(refusedAddr(t), NewHTTPClient()).Do(t.Context(),
				CallRequest{Attempt: "a1", Method: http.MethodPost, Target: "/", Repeatable: repeatable})
			end, _ := EndOf(err)
			is.Equal(end, answer.EndNotConnected)
			is.Equal(facts.Outcome(), fleet.OutcomeNotRun)
		})
		t.Run(fmt.Sprintf("canceled before the write, repeatable %t", repeatable), func(t *testing.T) {
			is := is.New(t)
			server := newRawService(t, respond(""))
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, facts, err := NewService(server.addr, NewHTTPClient()).Do(ctx,
				CallRequest{Attempt: "a1", Method: http.MethodPost, Target: "/", Repeatable: repeatable})
			is.True(err != nil)
			is.Equal(facts.Outcome(), fleet.OutcomeNotRun)
			is.Equal(server.bytes.Load(), int64(0))
		})
		t.Run(fmt.Sprintf("lease ended before the write, repeatable %t", repeatable), func(t *testing.T) {
			is := is.New(t)
			server := newRawService(t, respond(""))
			_, facts, err := NewService(server.addr, NewHTTPClient()).Do(t.Context(), CallRequest{
				Attempt: "a1", Method: http.MethodPost, Target: "/", Repeatable: repeatable,
				BeforeWrite: func() error { return errLease },
			})
			is.True(err != nil)
			is.Equal(facts.Outcome(), fleet.OutcomeNotRun)
			is.Equal(server.bytes.Load(), int64(0))
		})
	}
}

// The outcome of a call that is canceled before its answer is unknown.
func TestCanceledCallIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	server := newRawService(t, func(conn *net.TCPConn, _ *http.Request, _ int64) bool {
		cancel()
		_, _ = conn.Read(make([]byte, 1)) // until the client closes
		return false
	})
	_, facts, err := NewService(server.addr, nil).Do(ctx, CallRequest{Attempt: "a1", Method: http.MethodPost, Target: "/"})
	is.True(errors.Is(err, context.Canceled))
	is.Equal(facts.Outcome(), fleet.OutcomeUnknown)
}

// staleService answers the first request of a connection, and runs the second one
// without an answer, as a restarting service may.
func staleService(t *testing.T) *rawService {
	return newRawService(t, func(conn *net.TCPConn, req *http.Request, run int64) bool {
		if run == 2 {
			return false
		}
		fmt.Fprintf(conn, "HTTP/1.1 201 Created\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Request-Id"))
		return true
	})
}

func callTwice(t *testing.T, pooled bool) (runs int64, second error) {
	server := staleService(t)
	client := NewHTTPClient()
	defer client.CloseIdleConnections()
	service := NewService(server.addr, client)
	service.pooled = pooled
	for i := range 2 {
		_, _, second = service.Do(t.Context(), CallRequest{
			Attempt: answer.AttemptID(fmt.Sprint("a", i)), Method: http.MethodPost, Target: "/pickups",
			IdempotencyKey: fmt.Sprint("k", i),
		})
	}
	return server.runs.Load(), second
}

func TestTransportNeverResendsUnrepeatableCall(t *testing.T) {
	t.Run("own connection", func(t *testing.T) {
		is := is.New(t)
		runs, err := callTwice(t, false)
		is.Equal(runs, int64(2)) // one for each call
		is.True(err != nil)
	})
	t.Run("pooled connections send it twice", func(t *testing.T) {
		is := is.New(t)
		runs, err := callTwice(t, true)
		is.Equal(runs, int64(3)) // the second call ran twice
		is.NoErr(err)
	})
}

func TestSealedGateRejectsWrites(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	gate := &gatedConn{Conn: near, beforeWrite: func() error { return nil }}
	is.True(gate.seal())
	_, err := gate.Write([]byte("late"))
	is.True(err != nil)
	_, err = gate.ReadFrom(strings.NewReader("late"))
	is.True(err != nil)
	is.True(gate.seal())
	_, err = gate.dial(t.Context(), "", "")
	is.NoErr(err)
	_, err = gate.dial(t.Context(), "", "")
	is.True(err != nil)
}

func TestCallDropsHopByHopHeadersAndTheKey(t *testing.T) {
	is := is.New(t)
	var received http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("Etag", "7")
	}))
	defer server.Close()
	got, _, err := NewService(server.Listener.Addr().String(), nil).Do(t.Context(), CallRequest{
		Attempt: "a1", Method: http.MethodPost, Target: "/", IdempotencyKey: "k",
		Header: http.Header{"Connection": {"X-Own, close"}, "X-Own": {"1"}, "Te": {"trailers"}, "Authorization": {"Bearer key"}, "X-Kept": {"1"}},
	})
	is.NoErr(err)
	is.Equal(received.Get("X-Own")+received.Get("Te")+received.Get("Authorization"), "")
	is.Equal(received.Get("X-Kept")+received.Get("Idempotency-Key")+received.Get("X-Request-Id"), "1ka1")
	is.Equal(got.Header.Get("Keep-Alive"), "")
	is.Equal(got.Header.Get("Etag"), "7")
}

func TestLookupReadsTheState(t *testing.T) {
	for _, c := range []struct {
		name, body string
		status     int
		state      string
	}{
		{"ran", `{"state":"ran","status":201,"body":"b"}`, 200, LookupRan},
		{"running", `{"state":"running"}`, 200, LookupRunning},
		{"never", `{"state":"never"}`, 200, LookupNever},
		{"unknown state", `{"state":"perhaps"}`, 200, ""},
		{"no JSON", `never`, 200, ""},
		{"failure", `{"state":"never"}`, 500, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				is.Equal(r.URL.Query().Get("key"), "k &")
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			}))
			defer server.Close()
			got, err := NewService(server.Listener.Addr().String(), nil).Lookup(t.Context(), "/keys", "k &")
			is.Equal(err == nil, c.state != "")
			is.Equal(got.State, c.state)
		})
	}
}
