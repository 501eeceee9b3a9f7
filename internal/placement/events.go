package placement

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Apply updates the records by one cache event of the upstream. After a gap in the
// sequence the upstream's records are marked doubtful rather than deleted: most of them
// still hold, and a request sent to an upstream without the chat's cache costs no more
// than it would elsewhere. Duplicate and late events are ignored.
func (r *Resident) Apply(now time.Duration, id fleet.UpstreamID, e Event) {
	s := r.stateOf(id)
	if s.sequenceKnown && e.Sequence <= s.sequence {
		return
	}
	if s.sequenceKnown && e.Sequence != s.sequence+1 {
		r.MarkDoubtful(id)
		s = r.stateOf(id)
	}
	s.sequence, s.sequenceKnown = e.Sequence, true
	switch e.Kind {
	case EventStored:
		r.RecordServed(now-e.Age, e.Key, id, e.Tokens)
	case EventEvicted:
		r.applyEviction(now-e.Age, e.Key, id)
	case EventCleared:
		sequence := s.sequence
		r.HandleRestart(id)
		s = r.stateOf(id)
		s.sequence, s.sequenceKnown = sequence, true
	}
}

// applyEviction deletes the record of a chat that the upstream evicted at the given time,
// unless the chat was served there or elsewhere after that, as far as ageUnit resolves it.
func (r *Resident) applyEviction(at time.Duration, key ChatKey, id fleet.UpstreamID) {
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
		rec := &r.records[i]
		if !rec.occupied || rec.upstream != index || rec.generation < s.validFrom {
			continue
		}
		dst = append(dst, ChatRecord{
			Key: ChatKey(rec.key), Tokens: unpackTokens(rec.tokens),
			Age: time.Duration(ageStamp(now)-rec.lastUsed) * ageUnit, Doubt: rec.generation < s.doubtBefore,
		})
	}
	return dst
}

// Import adds records of an upstream from its former owner. It skips chats that
// already have a record here, as that record is newer.
func (r *Resident) Import(now time.Duration, id fleet.UpstreamID, records []ChatRecord) {
	s := r.stateOf(id)
	for _, c := range records {
		if r.find(uint64(c.Key)) != nil {
			continue
		}
		rec := r.recordFor(now, uint64(c.Key))
		*rec = record{uint64(c.Key), r.index[id], s.generation, ageStamp(now - c.Age), packTokens(c.Tokens), true}
		if c.Doubt {
			rec.generation = s.doubtBefore - 1
		}
	}
}
