package socket

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// A connection in the accept queue is told from an empty queue.
func TestWaitingConnectionGoesUnseen(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	is.True(!Waiting(l))
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	for !Waiting(l) { // the handshake may end at the caller first
	}
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close()
	is.True(!Waiting(l))
	is.NoErr(l.Close())
	is.True(!Waiting(l))
	is.True(!Waiting(struct{ net.Listener }{l}))
}
