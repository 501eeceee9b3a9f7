package agent

import (
	"bufio"
	"crypto/tls"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A request arrives after the last look at a connection that is closed as idle.
func TestExpiryDropsRequestThatArrivesBesideIt(t *testing.T) {
	for _, state := range []http.ConnState{http.StateIdle, http.StateNew} {
		for _, secure := range []bool{false, true} {
			t.Run(state.String()+map[bool]string{true: " over TLS"}[secure], func(t *testing.T) {
				is := is.New(t)
				s := newCallerServer(&http.Server{})
				caller, inner := acceptedPair(t, s)
				var c net.Conn = inner
				if secure {
					caller, c = handshaken(t, caller, inner)
				}
				s.trackState(c, state)
				s.conns[c].expire(c)
				send(t, caller)
				awaitUnread(inner)
				_, err := http.ReadRequest(bufio.NewReader(c))
				is.NoErr(err) // the request was dropped
			})
		}
	}
}

// handshaken returns the ends of a TLS connection over those of another.
func handshaken(t *testing.T, client, server net.Conn) (*tls.Conn, *tls.Conn) {
	t.Helper()
	caller := tls.Client(client, &tls.Config{InsecureSkipVerify: true})
	c := tls.Server(server, &tls.Config{Certificates: []tls.Certificate{selfSigned(t)}})
	done := make(chan error, 1)
	go func() { done <- caller.Handshake() }()
	if err := c.Handshake(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return caller, c
}
