// Package socket sets up TCP connections that notice when their peer is gone. A
// connection may fall silent for good without a reset, and after a partition the
// kernel's retransmissions resume only after seconds.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits tell when a connection counts as lost.
type Limits struct {
	// Dial bounds connecting.
	Dial time.Duration
	// Unacked is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	Unacked time.Duration
	// Idle, Interval and Probes are those of keep-alive probes.
	Idle, Interval time.Duration
	Probes         int
}

func (l Limits) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: l.Idle, Interval: l.Interval, Count: l.Probes}
}

// Dialer returns a dialer of connections with the limits.
func (l Limits) Dialer() net.Dialer {
	return net.Dialer{
		Timeout: l.Dial, KeepAliveConfig: l.keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error { return l.limitUnacked(raw) },
	}
}

// Listener returns a listener whose connections have the limits.
func (l Limits) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limits Limits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limits.apply(conn) == nil {
			return conn, nil
		}
		_ = conn.Close() // the peer is gone already
	}
}

// apply sets the limits on a connection; those that aren't TCP stay as they are.
func (l Limits) apply(conn net.Conn) error {
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
	return l.limitUnacked(raw)
}

func (l Limits) limitUnacked(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.Unacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
