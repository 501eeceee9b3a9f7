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

// TLSFiles names the PEM files of mutual TLS. They are reloaded when they change, so
// that certificates can be renewed without a restart.
type TLSFiles struct {
	// Certificate and Key belong to this instance; the certificate holds its IP address.
	Certificate, Key string
	// Authority is the certificate of the CA that signs every instance's certificate.
	Authority string

	mu     sync.Mutex
	loaded tlsMaterial
}

// tlsMaterial holds the parsed contents of the files.
type tlsMaterial struct {
	changed   time.Time // newest modification time of the files
	pair      *tls.Certificate
	authority *x509.CertPool
}

// Check loads the files, so that unusable files are reported at startup.
func (t *TLSFiles) Check() error {
	_, err := t.current()
	return err
}

var errNoAuthority = errors.New("the authority file contains no PEM certificate")

// current returns the files' contents and reloads them if they have changed. If the
// files can't be loaded, as in the middle of a renewal, it returns the contents loaded
// before.
func (t *TLSFiles) current() (tlsMaterial, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, err := t.newestModTime()
	if err == nil && t.loaded.pair != nil && changed.Equal(t.loaded.changed) {
		return t.loaded, nil
	}
	var reloaded tlsMaterial
	if err == nil {
		reloaded, err = t.read(changed)
	}
	if err == nil {
		t.loaded = reloaded
	}
	if t.loaded.pair != nil {
		return t.loaded, nil
	}
	return t.loaded, err
}

func (t *TLSFiles) newestModTime() (newest time.Time, err error) {
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

// read loads and parses the files; changed is their newest modification time.
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

// serverConfig returns a configuration that loads the current files at each handshake.
func (t *TLSFiles) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := t.current()
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

// clientConfig returns the configuration for dialing addr. The peer's certificate must hold
// the IP address of addr.
func (t *TLSFiles) clientConfig(addr string) *tls.Config {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: x509.NewCertPool()}
	if m, err := t.current(); err == nil {
		cfg.RootCAs = m.authority
		cfg.Certificates = []tls.Certificate{*m.pair}
	}
	return cfg
}
