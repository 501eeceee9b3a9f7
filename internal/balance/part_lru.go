package balance

import (
	"container/list"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// maxParts bounds the prompt parts that a router has records of.
	maxParts = 8192
	// maxPartAge is how long a part counts as cached after its last use.
	maxPartAge = 60 * time.Second
	// holdersPerPart bounds the upstreams recorded for one part.
	holdersPerPart = 6
)

// partLRU records which upstreams have read which prompt parts recently, and so
// probably have them cached. It evicts the least recently used part.
type partLRU struct {
	parts map[uint64]*list.Element
	order *list.List // least recently used first
}

// cachedPart lists the upstreams that have read one part.
type cachedPart struct {
	part    uint64
	holders [holdersPerPart]holder // most recently used first
	count   int                    // of holders

	served   bool
	servedAt time.Duration // when the part was last part of a prompt that was served
}

// holder is an upstream that has read a part, and when the part was last used there.
type holder struct {
	upstream fleet.UpstreamID
	lastUse  time.Duration
}

func newPartLRU() *partLRU { return &partLRU{parts: make(map[uint64]*list.Element), order: list.New()} }

// find returns the record of a part, or nil.
func (m *partLRU) find(part uint64) *cachedPart {
	e := m.parts[part]
	if e == nil {
		return nil
	}
	return e.Value.(*cachedPart)
}

// heldBy reports whether an upstream has read the part within maxPartAge and since its
// start.
func (u *cachedPart) heldBy(now time.Duration, s *upstreamState) bool {
	if u == nil {
		return false
	}
	for i := range u.holders[:u.count] {
		if h := &u.holders[i]; h.upstream == s.ID {
			return h.valid(now, s)
		}
	}
	return false
}

// valid reports whether the part counts as cached at its holder, which s is the state of.
func (h *holder) valid(now time.Duration, s *upstreamState) bool {
	return now-h.lastUse < maxPartAge && h.lastUse >= s.firstListed
}

// recordUse records that an upstream reads a part.
func (m *partLRU) recordUse(now time.Duration, part uint64, id fleet.UpstreamID) {
	e := m.parts[part]
	if e == nil {
		if len(m.parts) >= maxParts {
			oldest := m.order.Front()
			delete(m.parts, oldest.Value.(*cachedPart).part)
			m.order.Remove(oldest)
		}
		e = m.order.PushBack(&cachedPart{part: part})
		m.parts[part] = e
	}
	m.order.MoveToBack(e)
	e.Value.(*cachedPart).addHolder(now, id)
}

// recordServed records that a prompt with the part was served.
func (m *partLRU) recordServed(now time.Duration, part uint64) {
	if u := m.find(part); u != nil {
		u.served, u.servedAt = true, now
	}
}

// servedAt returns when a prompt with the part was last served; ok is false if none is known
// to have been.
func (m *partLRU) servedAt(part uint64) (at time.Duration, ok bool) {
	u := m.find(part)
	if u == nil {
		return 0, false
	}
	return u.servedAt, u.served
}

// addHolder makes an upstream the most recent holder, in place of the least recent one if
// the record is full.
func (u *cachedPart) addHolder(now time.Duration, id fleet.UpstreamID) {
	i := 0
	for i < u.count && u.holders[i].upstream != id {
		i++
	}
	switch {
	case i < u.count:
	case u.count < holdersPerPart:
		u.count++
	default:
		i = holdersPerPart - 1
	}
	copy(u.holders[1:i+1], u.holders[:i])
	u.holders[0] = holder{id, now}
}
