package placement

import (
	"container/list"
	"fmt"
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// cacheEngine is a fake engine with a least-recently-used cache of chats.
type cacheEngine struct {
	fleet.Upstream
	inFlight int
	capacity int // tokens
	used     int // tokens
	chats    map[ChatKey]*list.Element
	lru      list.List
	sequence uint64
}

type cachedChat struct {
	key    ChatKey
	tokens int
}

// storeChat adds the chat to the engine's cache and evicts the least recently used chats.
func (r *reuseSim) storeChat(e *cacheEngine, key ChatKey, tokens int) {
	if at := e.chats[key]; at != nil {
		e.used += tokens - at.Value.(*cachedChat).tokens
		at.Value.(*cachedChat).tokens = tokens
		e.lru.MoveToFront(at)
	} else {
		e.chats[key] = e.lru.PushFront(&cachedChat{key, tokens})
		r.recordHolder(e.ID, key)
		e.used += tokens
	}
	for e.used > e.capacity {
		last := e.lru.Remove(e.lru.Back()).(*cachedChat)
		delete(e.chats, last.key)
		e.used -= last.tokens
		r.sendCacheEvent(e, Event{Kind: EventEvicted, Key: last.key})
	}
}

// recordHolder records for the oracle that the engine may have the chat cached.
func (r *reuseSim) recordHolder(id fleet.UpstreamID, key ChatKey) {
	if r.policy == oracle && !slices.Contains(r.holders[key], id) {
		r.holders[key] = append(r.holders[key], id)
	}
}

// sendCacheEvent sends a cache event to the owner after eventLag; a fraction of eventLoss is
// lost.
func (r *reuseSim) sendCacheEvent(e *cacheEngine, event Event) {
	e.sequence++
	event.Sequence, event.Age = e.sequence, eventLag
	if r.policy != recorded || r.off.noEvents || r.rng.Float64() < eventLoss {
		return
	}
	r.after(eventLag, func() { r.owner(e.ID).Apply(r.now, e.ID, event) })
}

// restartEngine empties the engine's cache.
func (r *reuseSim) restartEngine(id fleet.UpstreamID) {
	e := r.engines[id]
	e.chats, e.used = map[ChatKey]*list.Element{}, 0
	e.lru.Init()
	r.order++
	e.Boot = fleet.BootID(fmt.Sprint(r.order))
	r.owner(id).HandleRestart(id)
}

func (r *reuseSim) addEngine(u fleet.Upstream) {
	r.engines[u.ID] = &cacheEngine{Upstream: u, capacity: engineTokens, chats: map[ChatKey]*list.Element{}}
	r.ids = append(r.ids, u.ID)
	slices.Sort(r.ids)
}
