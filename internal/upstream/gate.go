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
	// gateWritten means that a byte may have been passed to the network.
	gateWritten
	// gateSealed means that no byte was passed to the network, and that none will be.
	gateSealed
)

// gatedConn is the only connection of a call that is not repeatable. It calls
// beforeWrite directly before the first byte, and records whether any byte may have
// been sent.
//
// Invariant: the state leaves gateOpen once. A Write reaches the network only after
// it has changed the state to gateWritten, so a successful seal proves that no byte
// was sent and that none will be, even if the transport's writer is still running.
type gatedConn struct {
	net.Conn
	beforeWrite func() error
	state       atomic.Uint32
	dialed      atomic.Bool
}

// dial is the transport's dial function. It returns the connection once, and an error
// after that.
func (g *gatedConn) dial(context.Context, string, string) (net.Conn, error) {
	if g.dialed.Swap(true) {
		return nil, ErrAlreadyWritten.New("the connection of a call that is not repeatable was already used")
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

// open calls beforeWrite and opens the gate. After an error no later write succeeds.
func (g *gatedConn) open() error {
	if err := g.beforeWrite(); err != nil {
		g.seal()
		return err
	}
	if !g.state.CompareAndSwap(gateOpen, gateWritten) {
		return ErrAlreadyWritten.New("the attempt ended before its first byte was written")
	}
	return nil
}

// ReadFrom implements io.ReaderFrom by Write, so that the transport can't bypass the
// gate.
func (g *gatedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{g}, r)
}

// seal prevents further first writes, and reports whether no byte was sent.
func (g *gatedConn) seal() bool {
	return g.state.CompareAndSwap(gateOpen, gateSealed) || g.state.Load() == gateSealed
}
