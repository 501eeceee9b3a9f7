package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// rejectionOf returns a complete answer that says that a request was not run; without an ID if
// id is empty.
func rejectionOf(id string) string {
	head := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n"
	if id != "" {
		head += "X-Id: " + id + "\r\n"
	}
	return head + "\r\nfull"
}

// awaitBytes waits until the newest idle connection to the peer has unread bytes.
func awaitBytes(t *testing.T, pool *Pool, addr string) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		c, err := pool.idleConn(addr, getRequest("z"))
		if err != nil || c == nil {
			t.Fatal("no idle connection")
		}
		idle := c.isIdle()
		pool.put(c, time.Minute)
		if !idle {
			return
		}
	}
	t.Fatal("no bytes received")
}

// An upstream writes an earlier rejection, or another answer, once more where the answer to the
// next request is due. It must not be taken for that one.
func TestEarlierRejectionOnceMore(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 4\r\n\r\nsilk"
	cases := []struct {
		name  string
		extra string // written before the answer to the second request
		body  string // of the second exchange; empty if it fails
	}{
		{"with its ID", rejectionOf("a") + answer, "silk"},
		{"without an ID", rejectionOf("") + answer, "silk"},
		{"with an empty ID", strings.Replace(rejectionOf("a"), "X-Id: a", "X-Id:", 1) + answer, "silk"},
		{"twice", rejectionOf("a") + rejectionOf("a") + answer, "silk"},
		{"more often than is skipped", strings.Repeat(rejectionOf("a"), maxMisdelivered) + answer, ""},
		{"in chunks", "HTTP/1.1 503 X\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\nX-Id: b\r\n\r\n" + answer, "silk"},
		{"without a length", "HTTP/1.1 503 X\r\nX-Id: a\r\n\r\nfull" + answer, ""},
		{"without a length or an ID", "HTTP/1.0 400 X\r\n\r\nfull" + answer, ""},
		{"longer than is skipped", "HTTP/1.1 503 X\r\nX-Id: a\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2000000) + answer, ""},
		{"cut", rejectionOf("a")[:len(rejectionOf("a"))-2], ""},
		{"after informational answers", "HTTP/1.1 103 Early Hints\r\nX-Id: b\r\n\r\n" + rejectionOf("a") + "HTTP/1.1 100 Continue\r\nX-Id: a\r\n\r\n" + answer, "silk"},
		{"without a body", "HTTP/1.1 204 X\r\nX-Id: a\r\n\r\nHTTP/1.1 304 X\r\nX-Id: a\r\nContent-Length: 9\r\n\r\n" + answer, "silk"},
		{"as to a request without a body", "HTTP/1.1 503 X\r\nX-Id: a\r\nContent-Length: 4\r\n\r\n" + answer, ""},
		{"alone", rejectionOf("a"), ""},
		{"alone, without an ID", rejectionOf(""), ""},
		{"in the middle of a body in chunks", "HTTP/1.1 200 OK\r\nX-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nsi\r\n" + rejectionOf("a") + "2\r\nlk\r\n0\r\n\r\n", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
				if read() == nil {
					return
				}
				_, _ = io.WriteString(conn, rejectionOf("a"))
				if read() != nil {
					_, _ = io.WriteString(conn, tc.extra)
				}
			})
			pool := NewPool()
			defer pool.Close()
			_, err := doExchange(pool, p.addr(), getRequest("a"))
			is.NoErr(err)
			resp, err := pool.Do(context.Background(), p.addr(), getRequest("b"))
			var body []byte
			if err == nil {
				is.Equal(resp.Status, http.StatusOK) // the rejection isn't the answer
				body, err = io.ReadAll(resp)
				resp.Close()
			} else {
				var failed *Error
				is.True(errors.As(err, &failed))
				is.Equal(failed.Phase, PhaseAnswer) // the request may have run
			}
			is.Equal(err != nil, tc.body == "")
			if err == nil {
				is.Equal(string(body), tc.body)
			}
			is.Equal(p.received.Load(), int32(2)) // sent once
			is.Equal(p.accepted.Load(), int32(1))
		})
	}
}

// Answers that can't be told apart end the exchange.
func TestUnmatchedAnswersEndTheExchange(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		for read() != nil {
			_, _ = io.WriteString(conn, strings.Repeat(rejectionOf("z"), maxMisdelivered))
		}
	})
	pool := NewPool()
	defer pool.Close()
	_, err := doExchange(pool, p.addr(), getRequest("a"))
	is.True(errorx.IsOfType(err.(*Error).Cause, ErrUnmatched))
	is.Equal(err.(*Error).Phase, PhaseAnswer)
	_, err = doExchange(pool, p.addr(), getRequest("b"))
	is.True(err != nil)
	is.Equal(p.accepted.Load(), int32(2))
}

// Where the extra answer arrives before the next request, the connection isn't used for it.
func TestEarlierRejectionBeforeTheNextRequest(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		for r := read(); r != nil; r = read() {
			_, _ = io.WriteString(conn, rejectionOf(r.Header.Get("X-Id")))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, rejectionOf(r.Header.Get("X-Id")))
		}
	})
	pool := NewPool()
	defer pool.Close()
	for i := range 3 {
		_, err := doExchange(pool, p.addr(), getRequest(strconv.Itoa(i)))
		is.NoErr(err)
		awaitBytes(t, pool, p.addr())
	}
	is.Equal(p.accepted.Load(), int32(3))
}

// A request that returns to an upstream must not get the rejection of its first visit once more.
func TestRequestReturnsOnAnotherConnection(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(p *peer, conn net.Conn, read func() *http.Request) {
		if read() == nil {
			return
		}
		if p.accepted.Load() == 1 {
			_, _ = io.WriteString(conn, rejectionOf("a"))
			if r := read(); r != nil {
				_, _ = io.WriteString(conn, rejectionOf("a")+answerTo(r.Header.Get("X-Id"), "second"))
			}
			return
		}
		_, _ = io.WriteString(conn, answerTo("a", "silk"))
		read()
	})
	pool := NewPool()
	defer pool.Close()
	req := getRequest("a")
	req.Trail = new(Trail)
	body, err := doExchange(pool, p.addr(), req)
	is.NoErr(err)
	is.Equal(body, "full")
	body, err = doExchange(pool, p.addr(), req)
	is.NoErr(err)
	is.Equal(body, "silk")
	is.Equal(p.accepted.Load(), int32(2))
	c, err := pool.idleConn(p.addr(), req)
	is.NoErr(err)
	is.True(c == nil) // neither connection carries the request again
	c, err = pool.idleConn(p.addr(), getRequest("b"))
	is.NoErr(err)
	is.True(c != nil) // but they carry others
	c.close()
}

// Without an ID, an extra answer can't be told from the one that is due.
func TestRequestThatMatchesAllGetsItsOwnConnection(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		for r := read(); r != nil; r = read() {
			_, _ = io.WriteString(conn, answerTo(r.Header.Get("X-Id"), "silk"))
		}
	})
	pool := NewPool()
	defer pool.Close()
	for range 2 {
		req := getRequest("a")
		req.Matches = nil
		_, err := doExchange(pool, p.addr(), req)
		is.NoErr(err)
	}
	is.Equal(p.accepted.Load(), int32(2))
	_, err := doExchange(pool, p.addr(), getRequest("b"))
	is.NoErr(err)
	is.Equal(p.accepted.Load(), int32(2)) // others may use it
}

// A value that comes from outside must not add a field, or a request, to what is sent.
func TestHeaderValuesStayInTheirField(t *testing.T) {
	is := is.New(t)
	received := make(chan http.Header, 1)
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		if r := read(); r != nil {
			received <- r.Header
			_, _ = io.WriteString(conn, answerTo("a", "silk"))
		}
	})
	pool := NewPool()
	defer pool.Close()
	req := getRequest("a")
	req.Header["X-Event"] = []string{"5\r\nX-Added: 1\r\n\r\nGET / HTTP/1.1\r\n\x00", "6\nX-Added: 1"}
	_, err := doExchange(pool, p.addr(), req)
	is.NoErr(err)
	is.Equal(<-received, http.Header{"X-Id": {"a"}, "X-Event": {"5  X-Added: 1    GET / HTTP/1.1", "6 X-Added: 1"}})
}
