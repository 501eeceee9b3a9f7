package standin

import "time"

// Kinds of cache event.
const (
	// EventStored reports that a chat's prefix is resident.
	EventStored = "stored"
	// EventEvicted reports that no block of a chat's prefix is resident any longer.
	EventEvicted = "evicted"
)

// CacheEvent reports one change of the prefix cache.
type CacheEvent struct {
	Seq  int64  `json:"seq"`
	Kind string `json:"kind"`
	// Key is the prompt_cache_key of the requests that the prefix belongs to.
	Key string `json:"key"`
	// Tokens is the length of the prefix that was stored or evicted.
	Tokens int `json:"tokens"`
}

// CacheEvents is the response body of GET /cache/events.
type CacheEvents struct {
	BootID string `json:"boot_id"`
	// First is the lowest sequence number still kept.
	First int64 `json:"first"`
	// Next is the sequence number of the next event to be published. A number below it,
	// from First on, that no response contains belongs to a dropped event.
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// eventLog stores cache events and publishes each one after a delay. It can drop
// every gapEvery-th event, which leaves a gap in the sequence numbers.
type eventLog struct {
	delay    time.Duration
	gapEvery int
	capacity int
	next     int64
	entries  []timedEvent
	// storedTokens holds, for each key, the length in its last stored event, unless
	// an evicted event has followed.
	storedTokens map[string]int
}

// timedEvent is a cache event with the time at which it happened. A dropped event is
// never published.
type timedEvent struct {
	at      time.Time
	event   CacheEvent
	dropped bool
}

func newEventLog(c EngineConfig) *eventLog {
	return &eventLog{
		delay: c.EventDelay, gapEvery: c.EventGapEvery, capacity: c.EventCapacity,
		next: 1, storedTokens: make(map[string]int),
	}
}

// addStored adds an event that the first tokens of a chat are resident. It ignores a
// chat without a key or without tokens.
func (l *eventLog) addStored(now time.Time, key string, tokens int) {
	if key == "" || tokens == 0 {
		return
	}
	l.storedTokens[key] = tokens
	l.append(now, EventStored, key, tokens)
}

// addEvicted adds an event that a chat's prefix was evicted. It ignores a key without
// a stored event since its last eviction.
func (l *eventLog) addEvicted(now time.Time, key string) {
	tokens, ok := l.storedTokens[key]
	if !ok {
		return
	}
	delete(l.storedTokens, key)
	l.append(now, EventEvicted, key, tokens)
}

func (l *eventLog) append(now time.Time, kind, key string, tokens int) {
	e := timedEvent{at: now, event: CacheEvent{Seq: l.next, Kind: kind, Key: key, Tokens: tokens}}
	e.dropped = l.gapEvery > 0 && l.next%int64(l.gapEvery) == 0
	l.next++
	l.entries = append(l.entries, e)
	if len(l.entries) > l.capacity {
		l.entries = append(l.entries[:0:0], l.entries[len(l.entries)-l.capacity/2:]...)
	}
}

// eventsAfter returns the events published by now whose sequence number is above seq.
func (l *eventLog) eventsAfter(now time.Time, seq int64) CacheEvents {
	out := CacheEvents{First: l.next, Next: l.next, Events: []CacheEvent{}}
	if len(l.entries) > 0 {
		out.First = l.entries[0].event.Seq
	}
	for _, e := range l.entries {
		if now.Sub(e.at) < l.delay {
			out.Next = e.event.Seq
			return out
		}
		if e.event.Seq > seq && !e.dropped {
			out.Events = append(out.Events, e.event)
		}
	}
	return out
}
