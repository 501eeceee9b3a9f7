package placement

import (
	"math"
	"math/bits"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// recordWays is how many records a chat's key may be kept in.
	recordWays = 8
	// ageUnit is the resolution of a record's last use.
	ageUnit = 4 * time.Second
	// tokenSteps is the number of steps per doubling in which tokens are kept.
	tokenSteps = 8
	// doubtShare is the worth of a doubtful record against a certain one.
	doubtShare = 0.5
	// completeAfter is how long the records of an upstream without a handover
	// count as incomplete.
	completeAfter = 5 * time.Minute
	// worthHalfLife is the time in which an unused record loses half its worth.
	worthHalfLife = 30 * time.Minute
)

// Generations of a source whose records have just been numbered.
const (
	valid   = 1
	trusted = 2
)

// Trust tells how far a record is to be believed.
type Trust uint8

const (
	// Absent means the chat is known to be nowhere here.
	Absent Trust = iota
	// Unknown means nothing is known, as right after a change of owner.
	Unknown
	// Doubtful means that the chat was resident before cache events were missed.
	Doubtful
	// Present means that the chat is resident as far as dispatches and events tell.
	Present
)

// Presence is what an owner knows about one chat's cache.
type Presence struct {
	Upstream fleet.UpstreamID
	Tokens   int
	Trust    Trust
}

// record is one chat: 16 bytes.
type record struct {
	key        uint64
	upstream   uint16
	generation uint16
	used       uint16 // ageUnits, modulo 2^16
	tokens     uint8  // logarithmic
	full       bool
}

// source is what is known about the records of one upstream.
type source struct {
	id fleet.UpstreamID
	// generation grows with each gap and each restart. Records older than
	// doubtBefore are doubtful, those older than validFrom count for nothing, and
	// validFrom < doubtBefore.
	generation  uint16
	doubtBefore uint16
	validFrom   uint16
	sequence    uint64 // of the last cache event
	sequenced   bool
	// complete is set when every chat resident there has a record.
	complete bool
	// since is when the first chat was served on an upstream whose records are
	// incomplete; 0 means none yet.
	since time.Duration
}

// Resident records where the chats of an owner's upstreams have their cache. Its
// memory is fixed: a full set replaces the record worth least, by length of
// history, age and doubt. It is not safe for concurrent use.
type Resident struct {
	records []record
	mask    uint64
	sources []source
	index   map[fleet.UpstreamID]uint16
}

// NewResident returns a store for about the given number of chats, rounded up to
// a power of two.
func NewResident(chats int) *Resident {
	sets := uint64(1) << bits.Len64(uint64(max(chats-1, 0))/recordWays)
	return &Resident{
		records: make([]record, sets*recordWays),
		mask:    sets - 1,
		index:   map[fleet.UpstreamID]uint16{},
	}
}

// Bytes returns the memory that the records take.
func (r *Resident) Bytes() int { return len(r.records) * 16 }

// Capacity returns how many chats the store can hold at most.
func (r *Resident) Capacity() int { return len(r.records) }

// Own begins the records of an upstream. Complete tells that nothing is resident
// there yet, or that the former owner's records are being imported; else the
// records count as complete completeAfter the first chat was served there.
func (r *Resident) Own(id fleet.UpstreamID, complete bool) {
	s := r.source(id)
	s.complete, s.since = complete, 0
}

// settled counts incomplete records as complete once chats have been recorded
// for long enough that most of those resident have returned.
func (s *source) settled(now time.Duration) {
	switch {
	case s.complete:
	case s.since == 0:
		s.since = max(now, 1)
	case now-s.since >= completeAfter:
		s.complete = true
	}
}

// Restarted forgets all that was resident on the upstream.
func (r *Resident) Restarted(id fleet.UpstreamID) {
	s := r.source(id)
	r.nextGeneration(s)
	r.nextGeneration(s)
	s.validFrom, s.doubtBefore = s.generation-1, s.generation
	s.complete, s.sequenced = true, false
}

// Doubt marks all records of the upstream as doubtful, for events were missed.
func (r *Resident) Doubt(id fleet.UpstreamID) {
	s := r.source(id)
	r.nextGeneration(s)
	s.doubtBefore = s.generation
}

// Served notes that the upstream served the chat, which now has about so many
// tokens cached there. The upstream may be another owner's: the owner of the
// chat's first candidate keeps a note of where the chat went instead.
func (r *Resident) Served(now time.Duration, key ChatKey, id fleet.UpstreamID, tokens int) {
	if !key.Chat() {
		return
	}
	s := r.source(id)
	s.settled(now)
	at := r.place(now, uint64(key))
	*at = record{uint64(key), r.index[id], s.generation, stamp(now), packTokens(tokens), true}
}

// Lookup tells where the chat was served last, as far as is known here. For a
// chat without a record the trust is Unknown if the records of upstream, the
// candidate in question, are incomplete.
func (r *Resident) Lookup(key ChatKey, upstream fleet.UpstreamID) Presence {
	if at := r.find(uint64(key)); at != nil {
		if s := &r.sources[at.upstream]; at.generation >= s.validFrom {
			p := Presence{Upstream: s.id, Tokens: unpackTokens(at.tokens), Trust: Present}
			if at.generation < s.doubtBefore {
				p.Trust = Doubtful
			}
			return p
		}
	}
	if i, ok := r.index[upstream]; ok && r.sources[i].complete {
		return Presence{Trust: Absent}
	}
	return Presence{Trust: Unknown}
}

// Serves tells whether an owner should serve a chat on the candidate rather than
// send it on: always in the current ranking, and at a Former candidate unless
// the chat is known not to be resident there.
func (p Presence) Serves(c Candidate) bool {
	switch {
	case c.Basis == Ranked:
		return true
	case p.Trust == Absent:
		return false
	case p.Trust == Unknown:
		return true
	default:
		return p.Upstream == c.Upstream
	}
}

// AskOthers tells whether the other candidates should be asked before a chat is
// served on the candidate: the records are incomplete, and another upstream may
// hold the chat's cache.
func (p Presence) AskOthers(c Candidate) bool { return c.Basis == Ranked && p.Trust == Unknown }

func (r *Resident) source(id fleet.UpstreamID) *source {
	if i, ok := r.index[id]; ok {
		return &r.sources[i]
	}
	r.index[id] = uint16(len(r.sources))
	r.sources = append(r.sources, source{id: id, generation: trusted, doubtBefore: trusted, validFrom: valid})
	return &r.sources[len(r.sources)-1]
}

// nextGeneration starts a new generation. Before the number runs out, the
// source's records are renumbered by what they are worth now.
func (r *Resident) nextGeneration(s *source) {
	if s.generation == math.MaxUint16 {
		r.renumber(s)
	}
	s.generation++
}

func (r *Resident) renumber(s *source) {
	index := r.index[s.id]
	for i := range r.records {
		at := &r.records[i]
		switch {
		case !at.full || at.upstream != index:
		case at.generation < s.validFrom:
			at.full = false
		case at.generation < s.doubtBefore:
			at.generation = valid
		default:
			at.generation = trusted
		}
	}
	s.validFrom, s.doubtBefore, s.generation = valid, trusted, trusted
}

func (r *Resident) set(key uint64) []record {
	at := (Mix(key, saltHome) & r.mask) * recordWays
	return r.records[at : at+recordWays]
}

func (r *Resident) find(key uint64) *record {
	set := r.set(key)
	for i := range set {
		if set[i].full && set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

// place returns the record to write the key to: its own, a free one, or the one
// worth least.
func (r *Resident) place(now time.Duration, key uint64) *record {
	if at := r.find(key); at != nil {
		return at
	}
	set := r.set(key)
	least := 0
	for i := range set {
		if !set[i].full {
			return &set[i]
		}
		if r.worth(now, &set[i]) < r.worth(now, &set[least]) {
			least = i
		}
	}
	return &set[least]
}

// worth values a record by the tokens that it saves, its age and its trust.
func (r *Resident) worth(now time.Duration, at *record) float64 {
	s := &r.sources[at.upstream]
	if at.generation < s.validFrom {
		return 0
	}
	age := time.Duration(stamp(now)-at.used) * ageUnit
	worth := float64(unpackTokens(at.tokens)+1) * math.Exp2(-float64(age)/float64(worthHalfLife))
	if at.generation < s.doubtBefore {
		worth *= doubtShare
	}
	return worth
}

// stamp is the time in ageUnits; differences are right for up to 72 hours.
func stamp(now time.Duration) uint16 { return uint16(now / ageUnit) }

func packTokens(n int) uint8 {
	if n <= 0 {
		return 0
	}
	return uint8(min(math.Round(math.Log2(float64(n))*tokenSteps)+1, math.MaxUint8))
}

func unpackTokens(p uint8) int {
	if p == 0 {
		return 0
	}
	return int(math.Round(math.Exp2(float64(p-1) / tokenSteps)))
}
