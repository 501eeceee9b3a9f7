package placement

import (
	"math"
	"math/bits"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// recordWays is the associativity of the store: the number of records in a set.
	recordWays = 8
	// ageUnit is the resolution of a record's last use.
	ageUnit = 4 * time.Second
	// tokenSteps is the number of steps per doubling in the encoding of token counts.
	tokenSteps = 8
	// doubtShare is the value of a doubtful record relative to a certain one.
	doubtShare = 0.5
	// completeAfter is how long the records of an upstream owned without a handover
	// count as incomplete.
	completeAfter = 5 * time.Minute
	// valueHalfLife is the time in which an unused record loses half its value.
	valueHalfLife = 30 * time.Minute
)

// The generations of an upstream's records at first and after renumbering.
// doubtfulGeneration is that of doubtful records, trustedGeneration that of the others.
const (
	doubtfulGeneration = 1
	trustedGeneration  = 2
)

// Trust is how certain an owner is that a chat is resident.
type Trust uint8

const (
	// Absent means that the chat is known not to be resident.
	Absent Trust = iota
	// Unknown means that nothing is known, for instance after a change of owner.
	Unknown
	// Doubtful means that the chat was resident before cache events were missed.
	Doubtful
	// Present means that the chat is resident according to dispatches and cache events.
	Present
)

// Presence is the result of a lookup in an owner's records: the upstream on which a chat is
// cached, about how many tokens, and how certain that is.
type Presence struct {
	Upstream fleet.UpstreamID
	Tokens   int
	Trust    Trust
}

// record is the record of one chat, in 16 bytes.
type record struct {
	key        uint64
	upstream   uint16 // index in Resident.upstreams
	generation uint16
	lastUsed   uint16 // time of last use in ageUnits, modulo 2^16
	tokens     uint8  // logarithmic
	occupied   bool
}

// upstreamRecords holds which generations of one upstream's records are valid, and its
// position in the upstream's cache events.
type upstreamRecords struct {
	id fleet.UpstreamID
	// generation increases with each gap and each restart. Records older than
	// doubtBefore are doubtful and those older than validFrom are void, where
	// validFrom < doubtBefore.
	generation    uint16
	doubtBefore   uint16
	validFrom     uint16
	sequence      uint64 // of the last cache event
	sequenceKnown bool   // an event was received since the start or the last restart
	// complete is set if every chat resident on the upstream has a record.
	complete bool
	// firstServed is when the first chat was served while the records were
	// incomplete; 0 means none yet.
	firstServed time.Duration
}

// Resident records on which upstreams the chats of an owner are cached. It is a
// set-associative store of fixed size: a full set replaces the record of least value,
// by length of history, age and doubt. It is not safe for concurrent use.
type Resident struct {
	records   []record
	mask      uint64
	upstreams []upstreamRecords
	index     map[fleet.UpstreamID]uint16
}

// NewResident returns a store for about the given number of chats; the number of its
// sets is rounded up to a power of two.
func NewResident(chats int) *Resident {
	sets := uint64(1) << bits.Len64(uint64(max(chats-1, 0))/recordWays)
	return &Resident{
		records: make([]record, sets*recordWays),
		mask:    sets - 1,
		index:   map[fleet.UpstreamID]uint16{},
	}
}

// Bytes returns the memory size of the records.
func (r *Resident) Bytes() int { return len(r.records) * 16 }

// Capacity returns the largest number of chats that the store can hold.
func (r *Resident) Capacity() int { return len(r.records) }

// StartRecords starts the records of an upstream. complete means that nothing is resident
// there yet, or that the former owner's records are being imported. Otherwise the
// records count as complete once completeAfter has passed since the first chat was
// served there.
func (r *Resident) StartRecords(id fleet.UpstreamID, complete bool) {
	s := r.stateOf(id)
	s.complete, s.firstServed = complete, 0
}

// updateComplete marks incomplete records as complete after completeAfter, by when
// most of the resident chats have returned and been recorded.
func (s *upstreamRecords) updateComplete(now time.Duration) {
	switch {
	case s.complete:
	case s.firstServed == 0:
		s.firstServed = max(now, 1)
	case now-s.firstServed >= completeAfter:
		s.complete = true
	}
}

// HandleRestart voids all records of the upstream, whose cache is empty after a restart.
func (r *Resident) HandleRestart(id fleet.UpstreamID) {
	s := r.stateOf(id)
	r.nextGeneration(s)
	r.nextGeneration(s)
	s.validFrom, s.doubtBefore = s.generation-1, s.generation
	s.complete, s.sequenceKnown = true, false
}

// MarkDoubtful marks all records of the upstream as doubtful, because events were missed.
func (r *Resident) MarkDoubtful(id fleet.UpstreamID) {
	s := r.stateOf(id)
	r.nextGeneration(s)
	s.doubtBefore = s.generation
}

// RecordServed records that the upstream served the chat, of which it now has about this
// many tokens cached. The upstream may belong to another owner: the owner of the
// chat's first candidate also records which upstream served the chat instead.
func (r *Resident) RecordServed(now time.Duration, key ChatKey, id fleet.UpstreamID, tokens int) {
	if !key.Chat() {
		return
	}
	s := r.stateOf(id)
	s.updateComplete(now)
	rec := r.recordFor(now, uint64(key))
	*rec = record{uint64(key), r.index[id], s.generation, ageStamp(now), packTokens(tokens), true}
}

// Lookup returns where the chat was last served according to the records. For a chat
// without a valid record the trust is Unknown if the records of upstream, the candidate
// in question, are incomplete, and Absent otherwise.
func (r *Resident) Lookup(key ChatKey, upstream fleet.UpstreamID) Presence {
	if rec := r.find(uint64(key)); rec != nil {
		if s := &r.upstreams[rec.upstream]; rec.generation >= s.validFrom {
			p := Presence{Upstream: s.id, Tokens: unpackTokens(rec.tokens), Trust: Present}
			if rec.generation < s.doubtBefore {
				p.Trust = Doubtful
			}
			return p
		}
	}
	if i, ok := r.index[upstream]; ok && r.upstreams[i].complete {
		return Presence{Trust: Absent}
	}
	return Presence{Trust: Unknown}
}

// Serves reports whether an owner should serve a chat on the candidate rather than
// leave it to the next one: always for a Ranked candidate, and for others unless the
// chat is known not to be resident there.
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

// AskOthers reports whether the owners of the other candidates should be asked before
// the chat is served on this one, because the records are incomplete and another
// upstream may have the chat cached.
func (p Presence) AskOthers(c Candidate) bool { return c.Basis == Ranked && p.Trust == Unknown }

// stateOf returns the state of an upstream's records, which it adds if it is new.
func (r *Resident) stateOf(id fleet.UpstreamID) *upstreamRecords {
	if i, ok := r.index[id]; ok {
		return &r.upstreams[i]
	}
	r.index[id] = uint16(len(r.upstreams))
	r.upstreams = append(r.upstreams, upstreamRecords{id: id, generation: trustedGeneration, doubtBefore: trustedGeneration, validFrom: doubtfulGeneration})
	return &r.upstreams[len(r.upstreams)-1]
}

// nextGeneration starts a new generation. Before the number overflows, it renumbers
// the upstream's records by their current validity.
func (r *Resident) nextGeneration(s *upstreamRecords) {
	if s.generation == math.MaxUint16 {
		r.renumberGenerations(s)
	}
	s.generation++
}

// renumberGenerations gives the upstream's records the lowest generations with the same
// validity, and deletes void ones.
func (r *Resident) renumberGenerations(s *upstreamRecords) {
	index := r.index[s.id]
	for i := range r.records {
		rec := &r.records[i]
		switch {
		case !rec.occupied || rec.upstream != index:
		case rec.generation < s.validFrom:
			rec.occupied = false
		case rec.generation < s.doubtBefore:
			rec.generation = doubtfulGeneration
		default:
			rec.generation = trustedGeneration
		}
	}
	s.validFrom, s.doubtBefore, s.generation = doubtfulGeneration, trustedGeneration, trustedGeneration
}

// candidateRecords returns the set of recordWays records in which the key may be stored.
func (r *Resident) candidateRecords(key uint64) []record {
	at := (Mix(key, saltHome) & r.mask) * recordWays
	return r.records[at : at+recordWays]
}

// find returns the record of the key, or nil.
func (r *Resident) find(key uint64) *record {
	set := r.candidateRecords(key)
	for i := range set {
		if set[i].occupied && set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

// recordFor returns the record to store the key in: its existing one, a free one, or
// the one of least value.
func (r *Resident) recordFor(now time.Duration, key uint64) *record {
	if rec := r.find(key); rec != nil {
		return rec
	}
	set := r.candidateRecords(key)
	least := 0
	for i := range set {
		if !set[i].occupied {
			return &set[i]
		}
		if r.recordValue(now, &set[i]) < r.recordValue(now, &set[least]) {
			least = i
		}
	}
	return &set[least]
}

// recordValue returns the value of keeping a record, by the tokens that it saves, its age
// and its doubt. Void records have none.
func (r *Resident) recordValue(now time.Duration, rec *record) float64 {
	s := &r.upstreams[rec.upstream]
	if rec.generation < s.validFrom {
		return 0
	}
	age := time.Duration(ageStamp(now)-rec.lastUsed) * ageUnit
	value := float64(unpackTokens(rec.tokens)+1) * math.Exp2(-float64(age)/float64(valueHalfLife))
	if rec.generation < s.doubtBefore {
		value *= doubtShare
	}
	return value
}

// ageStamp returns the time in ageUnits; differences are correct for up to 72 hours.
func ageStamp(now time.Duration) uint16 { return uint16(now / ageUnit) }

// packTokens encodes a token count logarithmically.
func packTokens(n int) uint8 {
	if n <= 0 {
		return 0
	}
	return uint8(min(math.Round(math.Log2(float64(n))*tokenSteps)+1, math.MaxUint8))
}

// unpackTokens returns the token count that packTokens encoded, within its steps.
func unpackTokens(p uint8) int {
	if p == 0 {
		return 0
	}
	return int(math.Round(math.Exp2(float64(p-1) / tokenSteps)))
}
