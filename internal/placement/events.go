package placement

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Apply corrects the records by one event. After a gap in the sequence the
// upstream's records are doubtful, not deleted: most of them still hold, and a
// request that is sent there in vain costs what it would cost elsewhere. Events
// that come twice or out of order change nothing.
func (r *Resident) Apply(now time.Duration, id fleet.UpstreamID, e Event) {
	s := r.source(id)
	if s.sequenced && e.Sequence <= s.sequence {
		return
	}
	if s.sequenced && e.Sequence != s.sequence+1 {
		r.Doubt(id)
		s = r.source(id)
	}
	s.sequence, s.sequenced = e.Sequence, true
	switch e.Kind {
	case EventStored:
		r.Served(now-e.Age, e.Key, id, e.Tokens)
	case EventEvicted:
		r.evicted(now-e.Age, e.Key, id)
	case EventCleared:
		sequence := s.sequence
		r.Restarted(id)
		s = r.source(id)
		s.sequence, s.sequenced = sequence, true
	}
}

// evicted drops a record, unless the chat was served again after the event.
func (r *Resident) evicted(at time.Duration, key ChatKey, id fleet.UpstreamID) {
	found := r.find(uint64(key))
	if found == nil || r.sources[found.upstream].id != id {
		return
	}
	if int16(found.used-stamp(at)) > 0 {
		return
	}
	found.full = false
}

// Export appends the records of one upstream to dst, for its next owner.
func (r *Resident) Export(now time.Duration, id fleet.UpstreamID, dst []ChatRecord) []ChatRecord {
	index, ok := r.index[id]
	if !ok {
		return dst
	}
	s := &r.sources[index]
	for i := range r.records {
		at := &r.records[i]
		if !at.full || at.upstream != index || at.generation < s.validFrom {
			continue
		}
		dst = append(dst, ChatRecord{
			Key: ChatKey(at.key), Tokens: unpackTokens(at.tokens),
			Age: time.Duration(stamp(now)-at.used) * ageUnit, Doubt: at.generation < s.doubtBefore,
		})
	}
	return dst
}

// Import takes records of an upstream from its former owner. Records made here
// since count as newer.
func (r *Resident) Import(now time.Duration, id fleet.UpstreamID, records []ChatRecord) {
	s := r.source(id)
	for _, c := range records {
		if r.find(uint64(c.Key)) != nil {
			continue
		}
		at := r.place(now, uint64(c.Key))
		*at = record{uint64(c.Key), r.index[id], s.generation, stamp(now - c.Age), packTokens(c.Tokens), true}
		if c.Doubt {
			at.generation = s.doubtBefore - 1
		}
	}
}
