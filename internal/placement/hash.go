package placement

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Salts make the rankings for different purposes independent of each other.
const (
	saltOwner   = 0x9e3779b97f4a7c15
	saltHome    = 0xc2b2ae3d27d4eb4f
	saltAdapter = 0x165667b19e3779f9
)

// Odd multipliers of the mixing steps.
const (
	mixA = 0xa0761d6478bd642f
	mixB = 0xe7037ed1a0b428db
)

// requestBit marks the keys of requests that belong to no chat.
const requestBit ChatKey = 1

// KeyOf returns the key of a chat. The key includes the adapter because a prefix
// cached under one adapter can't be used with another.
func KeyOf(workspace fleet.WorkspaceID, chat fleet.ChatID, adapter string) ChatKey {
	h := xxhash.Sum64String(string(workspace))
	h = Mix(h, xxhash.Sum64String(string(chat)))
	if adapter != "" {
		h = Mix(h^saltAdapter, xxhash.Sum64String(adapter))
	}
	return ChatKey(h) &^ requestBit
}

// RequestKey returns the key of a request that belongs to no chat. Any upstream of
// the pool serves such a request equally well.
func RequestKey(id fleet.RequestID) ChatKey {
	return ChatKey(Mix(xxhash.Sum64String(string(id)), mixB)) | requestBit
}

// Chat reports whether the key belongs to a chat.
func (k ChatKey) Chat() bool { return k&requestBit == 0 }

// Mix combines two hashes into one whose bits depend on all bits of both.
func Mix(a, b uint64) uint64 { return fold(a^mixA, b^mixB) }

// fold is Mix for operands that are already salted. Loops over many members use it
// with hashes salted in advance.
func fold(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a, b)
	return hi ^ lo
}
