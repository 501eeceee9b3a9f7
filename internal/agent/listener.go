package agent

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

// acceptPause is the time between two attempts to accept a connection while the process lacks
// descriptors or memory for it.
const acceptPause = 100 * time.Millisecond

// retryListener is a listener whose Accept fails only once it is closed. net/http ends a server
// at errors that it doesn't count as temporary, such as a lack of buffers.
type retryListener struct {
	net.Listener
	log hclog.Logger
}

// Accept implements net.Listener.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.log.Warn("cannot accept a connection; trying again", "address", l.Addr().String(), "error", err, "wait", acceptPause.String())
		time.Sleep(acceptPause)
	}
}

// SyscallConn implements syscall.Conn.
func (l retryListener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

// rawConn returns the descriptor of the listener below another one. It returns
// errors.ErrUnsupported if that has none.
func rawConn(l net.Listener) (syscall.RawConn, error) {
	sys, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sys.SyscallConn()
}
