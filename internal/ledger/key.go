package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file key.go

// digestSize is the size of a digest in bytes: SHA-256 cut to 128 bits.
const digestSize = 16

// Key stands for an idempotency key of one workspace at one service. The
// ledger keeps no caller's text.
type Key [digestSize]byte

// String returns the key's digest in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// BodyDigest stands for the method, target and body of a request.
type BodyDigest [digestSize]byte

// KeyOf returns the ledger key of an Idempotency-Key header.
func KeyOf(workspace fleet.WorkspaceID, service, idempotencyKey string) Key {
	return Key(digest([]byte(workspace), []byte(service), []byte(idempotencyKey)))
}

// BodyDigestOf returns the digest by which two requests under one key are
// compared.
func BodyDigestOf(method, target string, body []byte) BodyDigest {
	return BodyDigest(digest([]byte(method), []byte(target), body))
}

// digest hashes parts, each after its length, so that no two lists of parts
// read alike.
func digest(parts ...[]byte) [digestSize]byte {
	hash := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write(part)
	}
	return [digestSize]byte(hash.Sum(nil)[:digestSize])
}
