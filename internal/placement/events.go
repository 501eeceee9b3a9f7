package placement

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Apply updates the records by one cache event. After a gap in the sequence the
// upstream's records are marked doubtful rather than deleted: most of them still
// hold, and a request sent to an upstream without the chat's cache costs no more
// than it would elsewhere. Duplicate and late events are ignored.
func (r *Resident) Apply(now time.Duration, id fleet.UpstreamID, e Event) {
	s := r.state(id)
	if s.sequenced && e.Sequence <= s.sequence {
		return
	}
	if s.sequenced && e.Sequence != s.sequence+1 {
		r.MarkDoubtful(id)
		s = r.state(id)
	}
	s.sequence, s.sequenced = e.Sequence, true
	switch e.Kind {
	case EventStored:
		r.RecordServed(now-e.Age, e.Key, id, e.Tokens)
	case EventEvicted:
		r.evicted(now-e.Age, e.Key, id)
	case EventCleared:
		sequence := s.sequence
		r.Restarted(id)
		s = r.state(id)
		s.sequence, s.sequenced = sequence, true
	}
}

// evicted deletes the chat's record, unless the chat was served again after the event.
func (r *Resident) evicted(at time.Duration, key ChatKey, id fleet.UpstreamID) {
	found := r.find(uint64(key))
	if found == nil || r.upstreams[found.upstream].id != id {
		return
	}
	if int16(found.lastUsed-ageStamp(at)) > 0 {
		return
	}
	found.occupied = false
}

// Export appends the records of one upstream to dst, for its next owner.
func (r *Resident) Export(now time.Duration, id fleet.UpstreamID, dst []ChatRecord) []ChatRecord {
	index, ok := r.index[id]
	if !ok {
		return dst
	}
	s := &r.upstreams[index]
	for i := range r.records {
		at := &r.records[i]
		if !at.occupied || at.upstream != index || at.generation < s.validFrom {
			continue
		}
		dst = append(dst, ChatRecord{
			Key: ChatKey(at.key), Tokens: unpackTokens(at.tokens),
			Age: time.Duration(ageStamp(now)-at.lastUsed) * ageUnit, Doubt: at.generation < s.doubtBefore,
		})
	}
	return dst
}

// Import adds records of an upstream from its former owner. It skips chats that
// already have a record here, as that record is newer.
func (r *Resident) Import(now time.Duration, id fleet.UpstreamID, records []ChatRecord) {
	s := r.state(id)
	for _, c := range records {
		if r.find(uint64(c.Key)) != nil {
			continue
		}
		at := r.recordFor(now, uint64(c.Key))
		*at = record{uint64(c.Key), r.index[id], s.generation, ageStamp(now - c.Age), packTokens(c.Tokens), true}
		if c.Doubt {
			at.generation = s.doubtBefore - 1
		}
	}
}
