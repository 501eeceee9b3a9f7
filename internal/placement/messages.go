package placement

//go:generate go tool msgp -tests=false -io=false -file messages.go

import "time"

// ChatKey identifies a chat for placement: a hash of workspace, chat and
// adapter. The lowest bit is clear for a chat and set for a single request.
type ChatKey uint64

// EventKind is the kind of a cache event.
type EventKind uint8

const (
	// EventStored means that a chat's prefix entered the cache.
	EventStored EventKind = iota
	// EventEvicted means that a chat's prefix was evicted from the cache.
	EventEvicted
	// EventCleared means that the whole cache was cleared.
	EventCleared
)

// Event is one cache event of an upstream. The upstream numbers its events without
// gaps.
type Event struct {
	Sequence uint64    `msg:"q"`
	Kind     EventKind `msg:"k"`
	Key      ChatKey   `msg:"c"`
	Tokens   int       `msg:"t"`
	// Age is how long ago the event happened, as reported by the upstream.
	Age time.Duration `msg:"a"`
}

// ChatRecord is the record of one chat in a handover to the next owner.
type ChatRecord struct {
	Key    ChatKey       `msg:"c"`
	Tokens int           `msg:"t"`
	Age    time.Duration `msg:"a"`
	Doubt  bool          `msg:"d,omitempty"`
}
