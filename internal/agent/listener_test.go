package agent

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// failingListener returns errs from its first calls of Accept.
type failingListener struct {
	net.Listener
	errs chan error
}

func (l failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errs:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	default:
		return l.Listener.Accept()
	}
}

// http.Server ends at each error of accept but EMFILE, ENFILE and those of single connections.
// A lack of socket buffers, or an error that a connection's network has left, ended the process.
func TestAcceptErrorEndsCallersServer(t *testing.T) {
	for _, cause := range []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EHOSTUNREACH} {
		t.Run(cause.Error(), func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			errs := make(chan error, 1)
			errs <- cause
			server := newCallerServer(&http.Server{Handler: serveAll, ReadHeaderTimeout: headerTimeout})
			served := make(chan error, 1)
			go func() { served <- server.Serve(failingListener{l, errs}) }()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer c.Close()
			send(t, c)
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			status, err := readAnswer(c)
			is.NoErr(err) // the listener was closed
			is.Equal(status, http.StatusOK)
			is.NoErr(c.Close())
			is.NoErr(server.drain(t.Context()))
			is.Equal(<-served, http.ErrServerClosed)
		})
	}
}
