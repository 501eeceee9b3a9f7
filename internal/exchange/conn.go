package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes is the size of a connection's read buffer in bytes: a header and a
// few events of a stream.
const readBufferBytes = 4 << 10

// conn is one connection to an upstream. It serves one exchange at a time.
type conn struct {
	net.Conn
	addr      string
	in        *bufio.Reader
	reused    bool      // an earlier exchange has used the connection
	idleUntil time.Time // end of the time for which it may be reused
}

func newConn(raw net.Conn, addr string) *conn {
	return &conn{Conn: raw, addr: addr, in: bufio.NewReaderSize(raw, readBufferBytes)}
}

// close closes the connection. An error is ignored, since the connection is not used
// again.
func (c *conn) close() { _ = c.Conn.Close() }

// isIdle reports whether the peer has neither closed the connection nor sent any bytes
// on it since the last exchange.
func (c *conn) isIdle() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}
