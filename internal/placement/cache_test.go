package placement

import (
	"container/list"
	"fmt"
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

type cacheEngine struct {
	fleet.Upstream
	inFlight int
	room     int // tokens
	used     int
	chats    map[ChatKey]*list.Element
	lru      list.List
	sequence uint64
}

type cachedChat struct {
	key    ChatKey
	tokens int
}

// store puts the chat into the engine's cache and evicts what was unused longest.
func (r *reuseRun) store(e *cacheEngine, key ChatKey, tokens int) {
	if at := e.chats[key]; at != nil {
		e.used += tokens - at.Value.(*cachedChat).tokens
		at.Value.(*cachedChat).tokens = tokens
		e.lru.MoveToFront(at)
	} else {
		e.chats[key] = e.lru.PushFront(&cachedChat{key, tokens})
		r.hold(e.ID, key)
		e.used += tokens
	}
	for e.used > e.room {
		last := e.lru.Remove(e.lru.Back()).(*cachedChat)
		delete(e.chats, last.key)
		e.used -= last.tokens
		r.publish(e, Event{Kind: EventEvicted, Key: last.key})
	}
}

// hold notes for the oracle that the engine may have the chat.
func (r *reuseRun) hold(id fleet.UpstreamID, key ChatKey) {
	if r.policy == oracle && !slices.Contains(r.holders[key], id) {
		r.holders[key] = append(r.holders[key], id)
	}
}

// publish sends a cache event to the owner, late, and some not at all.
func (r *reuseRun) publish(e *cacheEngine, event Event) {
	e.sequence++
	event.Sequence, event.Age = e.sequence, eventLag
	if r.policy != recorded || r.off.noEvents || r.rng.Float64() < eventLoss {
		return
	}
	r.after(eventLag, func() { r.owner(e.ID).Apply(r.now, e.ID, event) })
}

// restart empties the engine's cache.
func (r *reuseRun) restart(id fleet.UpstreamID) {
	e := r.engines[id]
	e.chats, e.used = map[ChatKey]*list.Element{}, 0
	e.lru.Init()
	r.order++
	e.Boot = fleet.BootID(fmt.Sprint(r.order))
	r.owner(id).Restarted(id)
}

func (r *reuseRun) add(u fleet.Upstream) {
	r.engines[u.ID] = &cacheEngine{Upstream: u, room: engineTokens, chats: map[ChatKey]*list.Element{}}
	r.ids = append(r.ids, u.ID)
	slices.Sort(r.ids)
}
