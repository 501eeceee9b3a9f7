package mesh

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority is a CA that signs test certificates.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	file string
}

func newAuthority(t *testing.T, dir string) *authority {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(der)
	a := &authority{key: key, cert: cert, file: filepath.Join(dir, "authority.pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// issue writes a certificate and key for an IP address.
func (a *authority) issue(t *testing.T, dir, ip string) *TLSFiles {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, _ := x509.MarshalECPrivateKey(key)
	files := &TLSFiles{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: a.file}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", encoded)
	return files
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func withTLS(files *TLSFiles) Config {
	cfg := testConfig
	cfg.TLS = files
	return cfg
}

func TestTLSPeers(t *testing.T) {
	ours := newAuthority(t, t.TempDir())
	theirs := newAuthority(t, t.TempDir())
	server := ours.issue(t, t.TempDir(), "127.0.0.1")
	cases := []struct {
		name   string
		files  *TLSFiles
		server *TLSFiles
		ok     bool
	}{
		{"a certificate of the fleet's authority", ours.issue(t, t.TempDir(), "127.0.0.1"), server, true},
		{"a certificate of another authority", theirs.issue(t, t.TempDir(), "127.0.0.1"), server, false},
		{"plain TCP", nil, server, false},
		{"a server with another IP address", ours.issue(t, t.TempDir(), "127.0.0.1"), ours.issue(t, t.TempDir(), "127.0.0.9"), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			addr := startServer(t, withTLS(tc.server), map[string]Handler{"count": countTo(1)})
			s, err := testPool(t, withTLS(tc.files)).Open(context.Background(), addr, "count", []byte("x"))
			if err == nil {
				_, err = s.Recv(context.Background())
			}
			is.Equal(err == nil, tc.ok)
		})
	}
}

func TestTLSFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ours := newAuthority(t, t.TempDir())
	files := ours.issue(t, dir, "127.0.0.1")
	is.NoErr(files.Check())
	before, _ := files.current()
	ours.issue(t, dir, "127.0.0.1")
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(files.Key, later, later))
	after, err := files.current()
	is.NoErr(err)
	is.True(before.pair != after.pair)
	is.NoErr(os.Remove(files.Key))
	kept, err := files.current()
	is.NoErr(err) // the contents loaded before stay in use
	is.True(kept.pair == after.pair)
	is.True(errors.Is((&TLSFiles{}).Check(), os.ErrNotExist))
}
