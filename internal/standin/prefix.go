package standin

import (
	"container/list"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of tokens that one cache block holds.
const blockTokens = 16

// prefixChain hashes a sequence of tokens into blocks. A block's hash covers
// every token before it, so that equal hashes mean equal prefixes.
type prefixChain struct {
	hash   uint64
	tokens int
	blocks []uint64
}

// add appends the words of text, each one token.
func (c *prefixChain) add(text string) {
	for word := range strings.FieldsSeq(text) {
		var b [16]byte
		binary.LittleEndian.PutUint64(b[:8], c.hash)
		binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(word))
		c.hash = xxhash.Sum64(b[:])
		c.tokens++
		if c.tokens%blockTokens == 0 {
			c.blocks = append(c.blocks, c.hash)
		}
	}
}

// promptChain returns the chain of a request's messages.
func promptChain(messages []Message) prefixChain {
	var c prefixChain
	for _, m := range messages {
		c.add(m.Role)
		c.add(m.Content)
	}
	return c
}

// prefixCache keeps a bounded number of blocks and evicts the least recently used one.
// A chain is touched from its end to its start, so that a block is never evicted before
// those that follow it.
type prefixCache struct {
	capacity int        // blocks
	order    *list.List // of *cacheBlock, the most recently used first
	blocks   map[uint64]*list.Element
	// keys counts the blocks that each prompt cache key holds.
	keys map[string]int
	// onEvict is called with a key when its last block is evicted or stored under
	// another key.
	onEvict func(key string)
}

type cacheBlock struct {
	hash uint64
	key  string
	// depth is the block's index in its chain, from 0.
	depth int
}

func newPrefixCache(tokens int, onEvict func(key string)) *prefixCache {
	return &prefixCache{
		capacity: tokens / blockTokens,
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
		keys:     make(map[string]int),
		onEvict:  onEvict,
	}
}

// match returns the number of tokens in the longest resident prefix of the chain.
func (c *prefixCache) match(blocks []uint64) int {
	for i, hash := range blocks {
		if _, ok := c.blocks[hash]; !ok {
			return i * blockTokens
		}
	}
	return len(blocks) * blockTokens
}

// store makes the chain resident under key, as far as the capacity allows, and
// evicts the least recently used blocks above the capacity.
func (c *prefixCache) store(key string, blocks []uint64) {
	if len(blocks) > c.capacity {
		blocks = blocks[:c.capacity]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(key, blocks[i], i)
	}
	for c.order.Len() > c.capacity {
		c.evict(c.order.Back())
	}
}

// touch makes a block resident under key and the most recently used one.
func (c *prefixCache) touch(key string, hash uint64, depth int) {
	if el, ok := c.blocks[hash]; ok {
		c.order.MoveToFront(el)
		b := el.Value.(*cacheBlock)
		if b.key != key {
			c.release(b.key)
			b.key = key
			c.keys[key]++
		}
		return
	}
	c.blocks[hash] = c.order.PushFront(&cacheBlock{hash: hash, key: key, depth: depth})
	c.keys[key]++
}

// evict removes a block.
func (c *prefixCache) evict(el *list.Element) {
	b := c.order.Remove(el).(*cacheBlock)
	delete(c.blocks, b.hash)
	c.release(b.key)
}

// release subtracts one block from those of key and calls onEvict after the last one.
func (c *prefixCache) release(key string) {
	c.keys[key]--
	if c.keys[key] > 0 {
		return
	}
	delete(c.keys, key)
	c.onEvict(key)
}

// clear drops every block.
func (c *prefixCache) clear() {
	for c.order.Len() > 0 {
		c.evict(c.order.Back())
	}
}

// export returns the chain that key holds, from its start up to the first block
// that was evicted or has since been stored under another key.
func (c *prefixCache) export(key string) []uint64 {
	held := make(map[int]uint64)
	for el := c.order.Front(); el != nil; el = el.Next() {
		if b := el.Value.(*cacheBlock); b.key == key {
			held[b.depth] = b.hash
		}
	}
	chain := make([]uint64, 0, len(held))
	for depth := 0; ; depth++ {
		hash, ok := held[depth]
		if !ok {
			return chain
		}
		chain = append(chain, hash)
	}
}

// tokens returns how many tokens are resident.
func (c *prefixCache) tokens() int { return c.order.Len() * blockTokens }
