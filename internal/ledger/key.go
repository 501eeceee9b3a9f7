package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file key.go

// digestSize is the size of a digest in bytes: SHA-256 truncated to 128 bits.
const digestSize = 16

// Key is the digest of an idempotency key together with its workspace and service. The
// ledger doesn't store text from callers.
type Key [digestSize]byte

// String returns the key's digest in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// BodyDigest is the digest of a request's method, target and body.
type BodyDigest [digestSize]byte

// KeyOf returns the ledger key of an Idempotency-Key header.
func KeyOf(workspace fleet.WorkspaceID, service, idempotencyKey string) Key {
	return Key(digest([]byte(workspace), []byte(service), []byte(idempotencyKey)))
}

// BodyDigestOf returns the digest that must be equal for all requests under one key.
func BodyDigestOf(method, target string, body []byte) BodyDigest {
	return BodyDigest(digest([]byte(method), []byte(target), body))
}

// digest hashes parts, each preceded by its length, so that two different lists of
// parts don't have the same input to the hash.
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
