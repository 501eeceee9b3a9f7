package balance

import (
	"container/list"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// memoryParts bounds the prompt parts that a router remembers.
	memoryParts = 8192
	// memoryAge is how long a part counts as cached after its last use.
	memoryAge = 60 * time.Second
	// holdersPerPart bounds the upstreams that are remembered for one part.
	holdersPerPart = 6
)

// memory remembers which upstreams have read which prompt parts lately.
type memory struct {
	parts map[uint64]*list.Element
	order *list.List // least recently used first
}

type partUse struct {
	part    uint64
	holders []holder // most recently used first
}

type holder struct {
	upstream fleet.UpstreamID
	at       time.Duration
}

func newMemory() *memory { return &memory{parts: make(map[uint64]*list.Element), order: list.New()} }

// holds tells whether an upstream has read a part lately.
func (m *memory) holds(now time.Duration, part uint64, id fleet.UpstreamID) bool {
	e := m.parts[part]
	if e == nil {
		return false
	}
	for _, h := range e.Value.(*partUse).holders {
		if h.upstream == id {
			return now-h.at < memoryAge
		}
	}
	return false
}

// used notes that an upstream reads a part.
func (m *memory) used(now time.Duration, part uint64, id fleet.UpstreamID) {
	e := m.parts[part]
	if e == nil {
		if len(m.parts) >= memoryParts {
			oldest := m.order.Front()
			delete(m.parts, oldest.Value.(*partUse).part)
			m.order.Remove(oldest)
		}
		e = m.order.PushBack(&partUse{part: part})
		m.parts[part] = e
	}
	m.order.MoveToBack(e)
	use := e.Value.(*partUse)
	holders := make([]holder, 0, holdersPerPart)
	holders = append(holders, holder{id, now})
	for _, h := range use.holders {
		if h.upstream != id && len(holders) < holdersPerPart {
			holders = append(holders, h)
		}
	}
	use.holders = holders
}
