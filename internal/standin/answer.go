package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words that generated tokens are drawn from. Its length
// is a power of two, so that a hash selects a word with a mask.
var vocabulary = [64]string{
	"amber", "anchor", "apple", "basin", "beacon", "birch", "bridge", "candle",
	"canvas", "cedar", "choir", "cloth", "copper", "cotton", "court", "cup",
	"dawn", "delta", "dial", "ember", "fabric", "fern", "field", "flame",
	"garden", "glass", "grain", "hall", "harbor", "hazel", "iron", "ivory",
	"judge", "knot", "lamp", "linen", "lotus", "maple", "marble", "meadow",
	"mist", "moss", "night", "oak", "olive", "paper", "pearl", "pine",
	"press", "quartz", "reed", "river", "saffron", "silk", "slate", "spruce",
	"steam", "stone", "temple", "thread", "tie", "velvet", "ward", "willow",
}

// answerSeed hashes the messages into the seed of their answer.
func answerSeed(messages []Message) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range messages {
		_, _ = d.WriteString(m.Role)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(m.Content)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// tokenWord returns the word of token n (from 1) of the answer under seed.
func tokenWord(seed uint64, n int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	return vocabulary[xxhash.Sum64(b[:])%uint64(len(vocabulary))]
}

// appendToken appends the text of token n: its word, after a space unless it is
// the first token.
func appendToken(dst []byte, seed uint64, n int) []byte {
	if n > 1 {
		dst = append(dst, ' ')
	}
	return append(dst, tokenWord(seed, n)...)
}

// ExpectedAnswer returns the first n tokens of the answer that every stand-in
// engine generates for messages.
func ExpectedAnswer(messages []Message, n int) string {
	return expectedText(answerSeed(messages), n)
}

// expectedText returns the first n tokens of the answer under seed, separated by
// spaces.
func expectedText(seed uint64, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		if i > 1 {
			b.WriteByte(' ')
		}
		b.WriteString(tokenWord(seed, i))
	}
	return b.String()
}

// Completion is the answer that every stand-in engine generates for one prompt. It
// stores only the seed and recomputes each token on demand.
type Completion struct{ seed uint64 }

// ExpectedFor returns the answer that every stand-in engine generates for messages.
func ExpectedFor(messages []Message) Completion { return Completion{seed: answerSeed(messages)} }

// AppendToken appends the text of token n, counted from 1, to dst. The text of every
// token but the first starts with a space.
func (c Completion) AppendToken(dst []byte, n int) []byte { return appendToken(dst, c.seed, n) }
