package agent

import (
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/wigeonflow/wigeonflow/internal/settings"
)

// failingListener fails to accept with each of errs before it accepts a connection.
type failingListener struct {
	net.Listener
	errs *[]error
}

func (l failingListener) Accept() (net.Conn, error) {
	if len(*l.errs) > 0 {
		err := (*l.errs)[0]
		*l.errs = (*l.errs)[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// A lack of buffers at one listener, also the one for metrics, ended the process.
func TestAcceptErrorEndsProcess(t *testing.T) {
	is := is.New(t)
	a, _ := startRouter(t, serveAll)
	defer func() { _ = a.callers.Close() }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: serveAll, ReadHeaderTimeout: headerTimeout}
	defer server.Close()
	served := make(chan struct{})
	go func() {
		a.serveOn(server, failingListener{l, &[]error{unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ENETDOWN}}, settings.TLS{})
		close(served)
	}()
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err == nil {
			_ = resp.Body.Close()
		}
		answered <- err
	}()
	select {
	case err := <-a.Failed():
		t.Fatal(err)
	case err := <-answered:
		is.NoErr(err)
	}
	is.NoErr(server.Close())
	<-served // without a failure
	select {
	case err := <-a.Failed():
		t.Fatal(err)
	default:
	}
}
