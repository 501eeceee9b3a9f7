package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// chat is a conversation whose history grows with each turn.
type chat struct {
	id       string // also its prompt_cache_key
	slot     int
	key      string // of its workspace
	messages []standin.Message
	turns    int // answered so far
}

// chatPool holds the chats of one target and assigns idle ones to requests. It is safe for
// concurrent use.
type chatPool struct {
	cfg  Config
	name string

	mu      sync.Mutex
	random  *rand.Rand
	idle    []*chat
	created int // chats created so far
}

func newChatPool(cfg Config, name string) *chatPool {
	p := &chatPool{cfg: cfg, name: name, random: rand.New(rand.NewPCG(cfg.Seed, uint64(len(name))))}
	for slot := range cfg.Chats {
		p.idle = append(p.idle, p.newChat(slot))
	}
	return p
}

// newChat returns a new chat for a slot. All chats of a slot use the same workspace
// key.
func (p *chatPool) newChat(slot int) *chat {
	p.created++
	c := &chat{
		id:   fmt.Sprintf("%s-%d-%d", p.name, p.cfg.Seed, p.created),
		slot: slot, key: p.cfg.Keys[slot%len(p.cfg.Keys)],
	}
	c.messages = []standin.Message{{Role: "user", Content: randomWords(p.random, c.id, p.cfg.PromptWords)}}
	return c
}

// acquire returns an idle chat, or nil if all are in use.
func (p *chatPool) acquire() *chat {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	i, last := p.random.IntN(len(p.idle)), len(p.idle)-1
	c := p.idle[i]
	p.idle[i] = p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// release makes a chat idle again. A complete answer is appended to its history;
// otherwise the chat repeats the same turn. After its last turn, a new chat takes
// its slot.
func (p *chatPool) release(c *chat, answer string, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if complete {
		c.turns++
		c.messages = append(c.messages,
			standin.Message{Role: "assistant", Content: answer},
			standin.Message{Role: "user", Content: randomWords(p.random, "turn", p.cfg.TurnWords)})
	}
	if c.turns >= p.cfg.Turns {
		c = p.newChat(c.slot)
	}
	p.idle = append(p.idle, c)
}

// randomWords returns n words: first and n-1 random ones.
func randomWords(random *rand.Rand, first string, n int) string {
	var b strings.Builder
	b.WriteString(first)
	for range n - 1 {
		fmt.Fprintf(&b, " w%d", random.IntN(1000))
	}
	return b.String()
}
