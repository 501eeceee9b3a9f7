package mesh

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// exhaustedListener fails to accept the given number of times because the process has no
// descriptors left.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestServerWithoutDescriptorsStopsAccepting(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &exhaustedListener{Listener: inner}
	l.failures.Store(3)
	server := NewServer(testConfig)
	server.Handle("count", countTo(1))
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	s, err := testPool(t, testConfig).Open(t.Context(), inner.Addr().String(), "count", []byte("x"))
	is.NoErr(err)
	_, err = s.Recv(t.Context())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = server.Shutdown(ctx)
	is.NoErr(<-served)
}
