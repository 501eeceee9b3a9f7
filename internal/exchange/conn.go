package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonflow/wigeonflow/internal/socket"
)

const (
	// readBufferBytes is the size of a connection's read buffer in bytes: a header and a
	// few events of a stream.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer in bytes, with informational answers before
	// it. An upstream in trouble may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxHeadFields bounds the fields of an answer's head. Each holds a hundred bytes and more
	// beside its own.
	maxHeadFields = 256
)

// conn is one connection to an upstream. It serves one exchange at a time.
type conn struct {
	net.Conn
	addr      string
	in        *bufio.Reader
	head      headLimit // between Conn and in
	reused    bool      // an earlier exchange has used the connection
	idleUntil time.Time // end of the time for which it may be reused
	limit     ConnLimit // of the request that used it last
	peer      *peerState
	closed    atomic.Bool
}

func newConn(raw net.Conn, addr string) *conn {
	c := &conn{Conn: raw, addr: addr, head: headLimit{inner: raw}}
	c.in = bufio.NewReaderSize(&c.head, readBufferBytes)
	return c
}

// headLimit fails with ErrHeadTooLong once the head being read exceeds maxHeadBytes.
type headLimit struct {
	inner   io.Reader
	reading bool // a head is being read
	left    int  // bytes that the head may still have
}

// begin starts a head, and end ends it.
func (l *headLimit) begin() { l.reading, l.left = true, maxHeadBytes }
func (l *headLimit) end()   { l.reading = false }

// exceeded reports whether the head being read has maxHeadBytes and no end.
func (l *headLimit) exceeded() bool { return l.reading && l.left <= 0 }

func errHeadTooLong() error {
	return ErrHeadTooLong.New("the answer's head does not end within %d bytes", maxHeadBytes)
}

// Read implements io.Reader.
func (l *headLimit) Read(b []byte) (int, error) {
	if !l.reading {
		return l.inner.Read(b)
	}
	if l.exceeded() {
		return 0, errHeadTooLong()
	}
	n, err := l.inner.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// close closes the connection and ends its count. An error is ignored, since the connection is not
// used again.
func (c *conn) close() {
	if !c.closed.Swap(true) && c.peer != nil {
		c.peer.open.Add(-1)
	}
	_ = c.Conn.Close()
}

// checkOpen returns an error if the peer has ended a new connection. It waits for that up to the given
// time; 0 for no wait.
func (c *conn) checkOpen(wait time.Duration) error {
	if wait <= 0 {
		received, err := socket.Peek(c.Conn)
		if received || errors.Is(err, unix.EAGAIN) || errors.Is(err, errors.ErrUnsupported) {
			return nil
		}
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	if _, err := c.in.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

// isIdle reports whether the peer has neither closed the connection nor sent any bytes
// on it since the last exchange.
func (c *conn) isIdle() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	_, err := socket.Peek(c.Conn)
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, errors.ErrUnsupported)
}
