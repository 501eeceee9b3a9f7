package entry

import (
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

const (
	recordShards = 64
	// recordsPerShard bounds the memory of the records: about 3 MB a router.
	recordsPerShard = 1024
)

// records remembers where this router last sent chats that their first
// candidate did not serve, so that they return to the cache that was built.
type records struct {
	shards [recordShards]recordShard
}

type recordShard struct {
	mu    sync.Mutex
	chats map[placement.ChatKey]fleet.UpstreamID
}

func newRecords() *records {
	r := &records{}
	for i := range r.shards {
		r.shards[i].chats = make(map[placement.ChatKey]fleet.UpstreamID)
	}
	return r
}

func (r *records) shard(key placement.ChatKey) *recordShard {
	return &r.shards[uint64(key>>1)%recordShards]
}

func (r *records) lookup(key placement.ChatKey) (fleet.UpstreamID, bool) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.chats[key]
	return id, ok
}

// note records where a chat was served. A full shard forgets a chat of its own
// choice, which costs that chat its record and nothing else.
func (r *records) note(key placement.ChatKey, id fleet.UpstreamID, preferred bool) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if preferred {
		delete(s.chats, key)
		return
	}
	if len(s.chats) >= recordsPerShard {
		for old := range s.chats {
			delete(s.chats, old)
			break
		}
	}
	s.chats[key] = id
}
