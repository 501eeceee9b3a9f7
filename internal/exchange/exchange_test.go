package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/wigeonflow/wigeonflow/internal/testnet"
)

// peer is an upstream that runs a script on each connection.
type peer struct {
	listener net.Listener
	accepted atomic.Int32
	received atomic.Int32 // requests read completely
	wg       sync.WaitGroup
}

// script serves one connection. It reads requests with read, which returns nil at the
// end, and writes raw bytes.
type script func(p *peer, conn net.Conn, read func() *http.Request)

func newPeer(t testing.TB, play script) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: l}
	p.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			p.wg.Go(func() { p.runScript(conn, play) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.wg.Wait()
	})
	return p
}

func (p *peer) runScript(conn net.Conn, play script) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	play(p, conn, func() *http.Request {
		r, err := http.ReadRequest(in)
		if err != nil {
			return nil
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil
		}
		p.received.Add(1)
		return r
	})
}

func (p *peer) addr() string { return p.listener.Addr().String() }

func getRequest(id string) *Request {
	return &Request{
		Method: "GET", Target: "/stock/silk?size=2", Host: "counter.example", Header: http.Header{"X-Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// doExchange makes one exchange and returns the body, or the error of the exchange or of
// reading the body.
func doExchange(p *Pool, addr string, req *Request) (string, error) {
	resp, err := p.Do(context.Background(), addr, req)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestConnectionIsReusedAfterACleanEnd(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		for r := read(); r != nil; r = read() {
			_, _ = io.WriteString(conn, answerTo(r.Header.Get("X-Id"), "silk"))
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"a", "b", "c"} {
		body, err := doExchange(pool, p.addr(), getRequest(id))
		is.NoErr(err)
		is.Equal(body, "silk")
	}
	is.Equal(p.accepted.Load(), int32(1))
	is.Equal(pool.Dials(), uint64(1))
}

// A request that may have arrived is never resent by the pool, even if a reused
// connection closes without an answer.
func TestRequestIsNeverSentTwice(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		if r := read(); r != nil {
			_, _ = io.WriteString(conn, answerTo(r.Header.Get("X-Id"), "one"))
			read() // and the connection closes without an answer
		}
	})
	pool := NewPool()
	defer pool.Close()
	_, err := doExchange(pool, p.addr(), getRequest("a"))
	is.NoErr(err)
	_, err = doExchange(pool, p.addr(), getRequest("b"))
	var failed *Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.Phase, PhaseAnswer)
	is.True(failed.Reused)
	is.Equal(p.received.Load(), int32(2))
	is.Equal(p.accepted.Load(), int32(1))
}

func TestIncompleteAnswers(t *testing.T) {
	cases := map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nsilk",
		"a chunk is cut":          "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nsilk",
		"no last chunk":           "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsilk\r\n",
		"no answer":               "",
		"not HTTP":                "silk and cotton\r\n\r\n",
		"half a header":           "HTTP/1.1 200 OK\r\nX-Id: a\r\n",
		"of another request":      "HTTP/1.1 200 OK\r\nX-Id: z\r\n\r\nsilk",
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
				read()
				_, _ = io.WriteString(conn, bytes)
			})
			pool := NewPool()
			defer pool.Close()
			_, err := doExchange(pool, p.addr(), getRequest("a"))
			is.True(err != nil)
			_, err = doExchange(pool, p.addr(), getRequest("a"))
			is.True(err != nil)
			is.Equal(p.accepted.Load(), int32(2)) // such a connection isn't reused
		})
	}
}

// If a body ends with its connection, a connection reset is an error and not its end.
func TestResetBodyIsIncomplete(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		read()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nsilk")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	pool := NewPool()
	defer pool.Close()
	resp, err := pool.Do(context.Background(), p.addr(), getRequest("a"))
	is.NoErr(err)
	defer resp.Close()
	is.True(!resp.Delimited)
	_, err = io.ReadAll(resp)
	is.True(err != nil)
}

// A second answer to an earlier request, received before the next answer, is skipped.
func TestLateAnswerOfAnEarlierExchange(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		first := read()
		_, _ = io.WriteString(conn, answerTo(first.Header.Get("X-Id"), "one"))
		second := read()
		if second == nil {
			return
		}
		_, _ = io.WriteString(conn, answerTo(first.Header.Get("X-Id"), "late"))
		_, _ = io.WriteString(conn, answerTo(second.Header.Get("X-Id"), "two"))
		read()
	})
	pool := NewPool()
	defer pool.Close()
	body, err := doExchange(pool, p.addr(), getRequest("a"))
	is.NoErr(err)
	is.Equal(body, "one")
	body, err = doExchange(pool, p.addr(), getRequest("b"))
	is.NoErr(err)
	is.Equal(body, "two")
}

// Bytes that follow an answer belong to no request: the connection isn't reused.
func TestExtraBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		for r := read(); r != nil; r = read() {
			id := r.Header.Get("X-Id")
			_, _ = io.WriteString(conn, answerTo(id, "silk")+answerTo(id, "again"))
		}
	})
	pool := NewPool()
	defer pool.Close()
	for _, id := range []string{"a", "b"} {
		body, err := doExchange(pool, p.addr(), getRequest(id))
		is.NoErr(err)
		is.Equal(body, "silk")
	}
	is.Equal(p.accepted.Load(), int32(2))
}

// An idle connection that the peer has closed is replaced by a new one.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		r := read()
		_, _ = io.WriteString(conn, answerTo(r.Header.Get("X-Id"), "silk"))
	})
	pool := NewPool()
	defer pool.Close()
	_, err := doExchange(pool, p.addr(), getRequest("a"))
	is.NoErr(err)
	// The peer closes its side at the end of its script: wait until the close arrives.
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if c, _ := pool.idleConn(p.addr(), getRequest("z")); c != nil {
			idle := c.isIdle()
			pool.put(c, time.Second)
			if !idle {
				break
			}
		}
	}
	body, err := doExchange(pool, p.addr(), getRequest("b"))
	is.NoErr(err)
	is.Equal(body, "silk")
	is.Equal(p.accepted.Load(), int32(2))
}

// An upstream may answer before it has read a long request. The connection must not be
// reused, since the rest of the first request is still being written to it.
func TestEarlyAnswerToALongRequest(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	p := newPeer(t, func(_ *peer, conn net.Conn, _ func() *http.Request) {
		_, _ = bufio.NewReaderSize(conn, 16).ReadString('\n')
		_, _ = io.WriteString(conn, answerTo("a", "too long"))
		<-release
	})
	pool := NewPool()
	defer pool.Close()
	defer close(release)
	req := getRequest("a")
	req.Method, req.Body = "POST", []byte(strings.Repeat("x", 32<<20))
	body, err := doExchange(pool, p.addr(), req)
	is.NoErr(err)
	is.Equal(body, "too long")
	c, err := pool.idleConn(p.addr(), getRequest("z"))
	is.NoErr(err)
	is.True(c == nil)
}

func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan error, 1)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		read()
		_, err := conn.Read(make([]byte, 1))
		closed <- err
	})
	pool := NewPool()
	defer pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for p.received.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := pool.Do(ctx, p.addr(), getRequest("a"))
	is.True(errors.Is(err, context.Canceled))
	is.True(<-closed != nil) // the upstream's connection is closed at once
}

func TestRefusedConnectionFailsToConnect(t *testing.T) {
	is := is.New(t)
	pool := NewPool()
	defer pool.Close()
	_, err := doExchange(pool, testnet.RefusingAddr(t), getRequest("a"))
	var failed *Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.Phase, PhaseConnect)
}

func TestKeepAliveTimeout(t *testing.T) {
	cases := map[string]time.Duration{
		"":                 defaultIdleTimeout,
		"timeout=5":        5*time.Second - idleMargin,
		"timeout=5, max=9": 5*time.Second - idleMargin,
		"max=9, Timeout=2": 2*time.Second - idleMargin,
		"timeout=x":        defaultIdleTimeout,
		"timeout=0":        -idleMargin,
		"timeout=-1":       -time.Second - idleMargin,
		// A number of seconds beyond a duration must not wrap to a time in the past.
		"timeout=9223372037":           maxIdleTimeout - idleMargin,
		"timeout=18446744075":          maxIdleTimeout - idleMargin,
		"timeout=9223372036854775807":  maxIdleTimeout - idleMargin,
		"timeout=99999999999999999999": maxIdleTimeout - idleMargin,
		"timeout=-9223372037":          -maxIdleTimeout - idleMargin,
	}
	for field, want := range cases {
		t.Run(field, func(t *testing.T) {
			is.New(t).Equal(keepAliveTimeout(http.Header{"Keep-Alive": {field}}), want)
		})
	}
}

// Without a bound, the head would be kept in memory until the request's deadline.
func TestEndlessHeadEndsTheExchange(t *testing.T) {
	const endless = 64 << 20 // bytes; more than the buffers of a connection hold
	cases := []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "OK"},
		{"one field", "HTTP/1.1 200 OK\r\nX-Id: ", "a"},
		{"many fields", "HTTP/1.1 200 OK\r\n", "X-Id: a\r\n"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		{"no answer at all", "", "\x00"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var written atomic.Int64
			ended := make(chan struct{})
			p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
				defer close(ended)
				read()
				_, _ = io.WriteString(conn, tc.start)
				block := []byte(strings.Repeat(tc.repeated, 1+(32<<10)/len(tc.repeated)))
				for written.Load() < endless {
					n, err := conn.Write(block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			pool := NewPool()
			defer pool.Close()
			_, err := pool.Do(context.Background(), p.addr(), getRequest("a"))
			is.True(errorx.IsOfType(err.(*Error).Cause, ErrHeadTooLong))
			<-ended
			is.True(written.Load() < endless)
		})
	}
}
