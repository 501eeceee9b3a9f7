package agent

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/socket"
)

// selfSigned returns a certificate for tests.
func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Like TestDrainDropsRequestThatWasNotRead, on a connection over TLS.
func TestDrainDropsRequestOverTLSThatWasNotRead(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer raw.Close()
	inner, err := l.Accept()
	is.NoErr(err)
	defer inner.Close()
	caller := tls.Client(raw, &tls.Config{InsecureSkipVerify: true})
	c := tls.Server(inner, &tls.Config{Certificates: []tls.Certificate{selfSigned(t)}})
	handshake := make(chan error, 1)
	go func() { handshake <- caller.Handshake() }()
	is.NoErr(c.Handshake())
	is.NoErr(<-handshake)

	server := newCallerServer(&http.Server{})
	server.trackState(c, http.StateIdle)
	send(t, caller)
	arrived, err := inner.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(arrived.Read(func(uintptr) bool { return socket.Unread(inner) }))
	is.Equal(server.expireIdle(time.Now().Add(firstRequestWait)), 1)
	_, err = http.ReadRequest(bufio.NewReader(c))
	is.NoErr(err) // the request was dropped
}
