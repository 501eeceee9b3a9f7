package exchange

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// brokenConn is a connection whose writes panic.
type brokenConn struct{ net.Conn }

// Write implements net.Conn.
func (brokenConn) Write([]byte) (int, error) { panic("test") }

// The upstream's answer isn't awaited: it waits for the rest of the request.
func TestPanickingWriterEndsProcess(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	var recorded []string
	pool := NewPool()
	pool.Guard = &fleet.Guard{Record: func(work string, _ any, _ []byte) { recorded = append(recorded, work) }}
	r := &Response{conn: newConn(brokenConn{near}, "a"), pool: pool}
	err := r.exchange(&Request{Method: http.MethodPost, Body: make([]byte, 2*maxInlineWrite)})
	is.True(err != nil)
	is.Equal(recorded, []string{"upstream: write a request"})
}
