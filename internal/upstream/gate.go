package upstream

import (
	"context"
	"io"
	"net"
	"sync/atomic"
)

// States of a gate.
const (
	gateOpen uint32 = iota
	// gateWritten means that a byte may have been handed to the network.
	gateWritten
	// gateSealed means that no byte was, and that none will be.
	gateSealed
)

// gatedConn is the one connection of a call that may not be repeated. It asks
// beforeWrite directly before the first byte and knows whether any byte may have
// left.
//
// Invariant: the state leaves gateOpen once. A Write reaches the network only
// after it moved the state to gateWritten, so a successful seal proves that no
// byte left and that none will, also if the transport's writer is still running.
type gatedConn struct {
	net.Conn
	beforeWrite func() error
	state       atomic.Uint32
	taken       atomic.Bool
}

// take is the transport's dial function. It yields the connection once.
func (g *gatedConn) take(context.Context, string, string) (net.Conn, error) {
	if g.taken.Swap(true) {
		return nil, ErrWritten.New("connection was used before")
	}
	return g, nil
}

// Write implements net.Conn.
func (g *gatedConn) Write(p []byte) (int, error) {
	if g.state.Load() != gateWritten {
		if err := g.open(); err != nil {
			return 0, err
		}
	}
	return g.Conn.Write(p)
}

// open asks for admission. After a refusal no later write gets through.
func (g *gatedConn) open() error {
	if err := g.beforeWrite(); err != nil {
		g.seal()
		return err
	}
	if !g.state.CompareAndSwap(gateOpen, gateWritten) {
		return ErrWritten.New("attempt has ended")
	}
	return nil
}

// ReadFrom keeps the transport from writing past the gate.
func (g *gatedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{g}, r)
}

// seal ends the attempt and tells whether no byte left.
func (g *gatedConn) seal() bool {
	return g.state.CompareAndSwap(gateOpen, gateSealed) || g.state.Load() == gateSealed
}
