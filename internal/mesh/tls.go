package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// TLSFiles names the PEM files of mutual TLS. They are read again when they
// change, so that certificates are renewed without a restart.
type TLSFiles struct {
	// Certificate and Key are this instance's; the certificate holds its IP number.
	Certificate, Key string
	// Authority signs every instance's certificate.
	Authority string

	mu     sync.Mutex
	loaded tlsMaterial
}

// tlsMaterial is what the files held when they were read last.
type tlsMaterial struct {
	changed   time.Time // newest modification of the files
	pair      *tls.Certificate
	authority *x509.CertPool
}

// Check reads the files once, so that a fault is told at the start.
func (t *TLSFiles) Check() error {
	_, err := t.material()
	return err
}

var errNoAuthority = errors.New("the authority's file holds no certificate")

// material returns the files' contents. Files that can't be read, as in the
// middle of a renewal, leave the former contents in use.
func (t *TLSFiles) material() (tlsMaterial, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, err := t.modified()
	if err == nil && t.loaded.pair != nil && changed.Equal(t.loaded.changed) {
		return t.loaded, nil
	}
	var fresh tlsMaterial
	if err == nil {
		fresh, err = t.read(changed)
	}
	if err == nil {
		t.loaded = fresh
	}
	if t.loaded.pair != nil {
		return t.loaded, nil
	}
	return t.loaded, err
}

func (t *TLSFiles) modified() (newest time.Time, err error) {
	for _, file := range []string{t.Certificate, t.Key, t.Authority} {
		info, err := os.Stat(file)
		if err != nil {
			return time.Time{}, fleet.At(err, "mesh.tls", file)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (t *TLSFiles) read(changed time.Time) (tlsMaterial, error) {
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return tlsMaterial{}, fleet.At(err, "mesh.tls", t.Certificate)
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return tlsMaterial{}, fleet.At(err, "mesh.tls", t.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return tlsMaterial{}, fleet.At(errNoAuthority, "mesh.tls", t.Authority)
	}
	return tlsMaterial{changed: changed, pair: &pair, authority: pool}, nil
}

// server returns a configuration that asks for the files at each handshake.
func (t *TLSFiles) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := t.material()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.pair},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: m.authority,
			}, nil
		},
	}
}

// client returns the configuration for dialling addr, whose IP number the
// peer's certificate must hold.
func (t *TLSFiles) client(addr string) *tls.Config {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: x509.NewCertPool()}
	if m, err := t.material(); err == nil {
		cfg.RootCAs = m.authority
		cfg.Certificates = []tls.Certificate{*m.pair}
	}
	return cfg
}
