// Package socket configures TCP connections so that they detect an unreachable peer, and tells
// what they have received. A peer may become unreachable without a reset, and the kernel may
// wait for seconds after the end of a partition before it retransmits.
package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits define when a connection counts as lost.
type Limits struct {
	// Dial is the timeout of connecting.
	Dial time.Duration
	// Unacked is how long sent bytes may remain unacknowledged (TCP_USER_TIMEOUT).
	Unacked time.Duration
	// Idle, Interval and Probes configure TCP keep-alive: the idle time before the first
	// probe, the time between probes, and the number of unanswered probes after which
	// the connection is lost.
	Idle, Interval time.Duration
	Probes         int
}

// keepAlive returns the TCP keep-alive configuration.
func (l Limits) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: l.Idle, Interval: l.Interval, Count: l.Probes}
}

// Dialer returns a dialer that applies the limits to its connections.
func (l Limits) Dialer() net.Dialer {
	return net.Dialer{
		Timeout: l.Dial, KeepAliveConfig: l.keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error { return l.setUserTimeout(raw) },
	}
}

// Listener wraps inner and applies the limits to the accepted connections.
func (l Limits) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limits Limits
}

// Accept implements net.Listener. It closes and skips connections on which the limits can't
// be set.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limits.applyTo(conn) == nil {
			return conn, nil
		}
		_ = conn.Close() // the peer has already closed the connection
	}
}

// applyTo sets the limits on a TCP connection. Other connections are left unchanged.
func (l Limits) applyTo(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(l.keepAlive()); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return l.setUserTimeout(raw)
}

// setUserTimeout sets TCP_USER_TIMEOUT to Unacked.
func (l Limits) setUserTimeout(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.Unacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Unread reports whether the connection, or the one below it if it is over TLS, has received bytes
// that nobody has read. It is false for a connection without a descriptor. It may run beside a Read.
func Unread(conn net.Conn) bool {
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	received, err := Peek(conn)
	return err == nil && received
}

// Peek reports whether bytes can be read from the connection at once. The error is unix.EAGAIN if
// there are none as yet, io.EOF if the peer has closed its side, and errors.ErrUnsupported
// for a connection without a descriptor of its own. It may run beside a Read.
func Peek(conn net.Conn) (received bool, err error) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false, errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false, err
	}
	n := 0
	var peekErr error
	if err := raw.Control(func(fd uintptr) { // Read would wait for a Read under way
		var one [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); err != nil {
		return false, err
	}
	switch {
	case peekErr != nil:
		return false, peekErr
	case n == 0:
		return false, io.EOF
	}
	return true, nil
}

// Waiting reports whether a connection waits to be accepted by a listener. It is false for a
// listener without a descriptor. It may run beside an Accept.
func Waiting(listener net.Listener) bool {
	sys, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var pollErr error
	if err := raw.Control(func(fd uintptr) { // Read would wait for an Accept under way
		n, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	}); err != nil {
		return false // the listener is closed
	}
	return pollErr == nil && n > 0
}
