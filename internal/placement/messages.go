package placement

//go:generate go tool msgp -tests=false -io=false -file messages.go

import "time"

// ChatKey identifies a chat for placement: a hash of workspace, chat and
// adapter. The lowest bit tells a chat (clear) from a single request (set).
type ChatKey uint64

// EventKind is the sort of a cache event.
type EventKind uint8

const (
	// EventStored means that a chat's prefix entered the cache.
	EventStored EventKind = iota
	// EventEvicted means that it left the cache.
	EventEvicted
	// EventCleared means that the whole cache was dropped.
	EventCleared
)

// Event is one cache event of an upstream. Events are numbered without gaps at
// their source.
type Event struct {
	Sequence uint64    `msg:"q"`
	Kind     EventKind `msg:"k"`
	Key      ChatKey   `msg:"c"`
	Tokens   int       `msg:"t"`
	// Age is how long ago it happened, as far as the upstream tells.
	Age time.Duration `msg:"a"`
}

// ChatRecord is one record on its way to the next owner.
type ChatRecord struct {
	Key    ChatKey       `msg:"c"`
	Tokens int           `msg:"t"`
	Age    time.Duration `msg:"a"`
	Doubt  bool          `msg:"d,omitempty"`
}
