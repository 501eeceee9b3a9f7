package mesh

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net"
)

const (
	nonceBytes = 16
	// handshakeMaxBytes limits the frames of a peer that is not yet authenticated.
	handshakeMaxBytes = 1024
)

// Labels prevent the proof of one side from being replayed as the other side's.
const (
	dialerLabel   = "wigeonflow mesh dialler"
	acceptorLabel = "wigeonflow mesh acceptor"
)

// computeProof returns the HMAC-SHA-256 of the label and nonces under the secret.
func computeProof(secret []byte, label string, nonces ...[]byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(label))
	for _, nonce := range nonces {
		mac.Write(nonce)
	}
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails, see crypto/rand
	return nonce
}

// dialHandshake authenticates the acceptor and this side to it. It returns the peer's
// instance ID.
func dialHandshake(conn net.Conn, r *bufio.Reader, cfg *Config) (peer string, err error) {
	mine := hello{Version: protocolVersion, Instance: string(cfg.Instance), Nonce: newNonce()}
	if err := writeHandshake(conn, frameHello, &mine); err != nil {
		return "", err
	}
	theirs, err := readHello(r)
	if err != nil {
		return "", err
	}
	want := computeProof(cfg.Secret, acceptorLabel, mine.Nonce, theirs.Nonce)
	if !hmac.Equal(want, theirs.Proof) {
		return "", fmt.Errorf("%w: %s does not know the fleet secret", ErrHandshake, theirs.Instance)
	}
	p := proof{Proof: computeProof(cfg.Secret, dialerLabel, theirs.Nonce, mine.Nonce)}
	return theirs.Instance, writeHandshake(conn, frameProof, &p)
}

// acceptHandshake authenticates the dialer and this side to it. It returns the peer's
// instance ID.
func acceptHandshake(conn net.Conn, r *bufio.Reader, cfg *Config) (peer string, err error) {
	theirs, err := readHello(r)
	if err != nil {
		return "", err
	}
	mine := hello{Version: protocolVersion, Instance: string(cfg.Instance), Nonce: newNonce()}
	mine.Proof = computeProof(cfg.Secret, acceptorLabel, theirs.Nonce, mine.Nonce)
	if err := writeHandshake(conn, frameHello, &mine); err != nil {
		return "", err
	}
	f, err := readFrame(r, handshakeMaxBytes)
	if err != nil {
		return "", err
	}
	var p proof
	if _, err := p.UnmarshalMsg(f.body); err != nil || f.kind != frameProof {
		return "", fmt.Errorf("%w: malformed proof", ErrHandshake)
	}
	if !hmac.Equal(computeProof(cfg.Secret, dialerLabel, mine.Nonce, theirs.Nonce), p.Proof) {
		return "", fmt.Errorf("%w: %s does not know the fleet secret", ErrHandshake, theirs.Instance)
	}
	return theirs.Instance, nil
}

// readHello reads the peer's hello and checks its protocol version.
func readHello(r *bufio.Reader) (hello, error) {
	var h hello
	f, err := readFrame(r, handshakeMaxBytes)
	if err != nil {
		return h, err
	}
	if f.kind != frameHello {
		return h, fmt.Errorf("%w: first frame is not a hello", ErrHandshake)
	}
	if _, err := h.UnmarshalMsg(f.body); err != nil {
		return h, fmt.Errorf("%w: malformed hello", ErrHandshake)
	}
	if h.Version != protocolVersion {
		return h, fmt.Errorf("%w: peer has protocol version %d, want %d", ErrHandshake, h.Version, protocolVersion)
	}
	return h, nil
}

type marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

func writeHandshake(conn net.Conn, kind frameKind, m marshaler) error {
	body, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = conn.Write(appendFrame(nil, kind, 0, body))
	return err
}
