package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// setMask has bit i set when an upstream was eligible in the i-th remembered
// set; bit 0 stands for the current one.
type setMask uint8

const currentSet setMask = 1

// poolTable holds the upstreams of one pool that are or were eligible. The
// first `steady` of them were eligible in every remembered set.
type poolTable struct {
	hashes  []uint64
	entries []poolEntry
	steady  int
	sets    int
}

type poolEntry struct {
	upstream fleet.UpstreamID
	owner    fleet.InstanceID
	zone     fleet.AvailabilityZone
	mask     setMask
}

// ranked is a position in the pool with its score for one key.
type ranked struct {
	score uint64
	index int32
}

// ranking holds the best positions, highest score first.
type ranking struct {
	best  [MaxCandidates]ranked
	len   int
	limit int
}

func (p *poolTable) add(u fleet.Upstream, owner fleet.InstanceID, mask setMask) {
	if mask == 0 {
		return
	}
	p.entries = append(p.entries, poolEntry{u.ID, owner, u.Zone, mask})
}

// finish orders the entries with the steady ones first.
func (p *poolTable) finish(all setMask) {
	slices.SortStableFunc(p.entries, func(a, b poolEntry) int {
		return boolOrder(a.mask == all, b.mask == all)
	})
	for _, e := range p.entries {
		p.hashes = append(p.hashes, xxhash.Sum64String(string(e.upstream)))
		if e.mask == all {
			p.steady++
		}
	}
	for mask := all; mask != 0; mask >>= 1 {
		p.sets++
	}
}

// boolOrder sorts true before false.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// offer keeps the position if it ranks among the best.
func (r *ranking) offer(score uint64, index int) {
	if r.len == r.limit {
		if score <= r.best[r.len-1].score {
			return
		}
		r.len--
	}
	at := r.len
	for at > 0 && r.best[at-1].score < score {
		r.best[at] = r.best[at-1]
		at--
	}
	r.best[at] = ranked{score, int32(index)}
	r.len++
}

// offerSteady ranks the steady entries.
func (p *poolTable) offerSteady(key uint64, r *ranking) {
	least := uint64(0)
	for i, h := range p.hashes[:p.steady] {
		score := mix(key, h)
		if score <= least {
			continue
		}
		r.offer(score, i)
		if r.len == r.limit {
			least = r.best[r.len-1].score
		}
	}
}

func (p *poolTable) chatCandidates(key uint64, limit int, dst []Candidate) []Candidate {
	r := ranking{limit: limit}
	p.offerSteady(key, &r)
	var former [formerSets]ranked
	for i := range former {
		former[i].index = -1
		if r.len > 0 {
			former[i] = r.best[0]
		}
	}
	for i := p.steady; i < len(p.entries); i++ {
		score, mask := mix(key, p.hashes[i]), p.entries[i].mask
		if mask&currentSet != 0 {
			r.offer(score, i)
		}
		offerFormer(&former, mask, score, i)
	}
	start := len(dst)
	for _, f := range former[:max(p.sets-1, 0)] {
		if f.index >= 0 && f.index != r.top() && p.eligible(f.index) {
			dst = p.appendOnce(dst, start, limit, f.index, Former)
		}
	}
	for _, b := range r.best[:r.len] {
		dst = p.appendOnce(dst, start, limit, b.index, Ranked)
	}
	return dst
}

// offerFormer keeps the position as the first of every former set it was in.
func offerFormer(former *[formerSets]ranked, mask setMask, score uint64, index int) {
	for s := range former {
		if mask&(2<<s) != 0 && (former[s].index < 0 || score > former[s].score) {
			former[s] = ranked{score, int32(index)}
		}
	}
}

// top returns the position ranked first, or -1.
func (r *ranking) top() int32 {
	if r.len == 0 {
		return -1
	}
	return r.best[0].index
}

func (p *poolTable) eligible(index int32) bool {
	return p.entries[index].mask&currentSet != 0
}

// appendOnce appends the candidate unless dst[start:] is full or has it.
func (p *poolTable) appendOnce(dst []Candidate, start, limit int, index int32, basis Basis) []Candidate {
	e := &p.entries[index]
	if len(dst)-start >= limit {
		return dst
	}
	for i := start; i < len(dst); i++ {
		if dst[i].Upstream == e.upstream {
			return dst
		}
	}
	return append(dst, Candidate{Upstream: e.upstream, Owner: e.owner, Basis: basis})
}

// requestCandidates ranks the upstreams of localZone before all others. The
// topmost bit of the score carries the preference.
func (p *poolTable) requestCandidates(key uint64, limit int, localZone fleet.AvailabilityZone, dst []Candidate) []Candidate {
	r := ranking{limit: limit}
	for i, h := range p.hashes {
		e := &p.entries[i]
		if e.mask&currentSet == 0 {
			continue
		}
		score := mix(key, h) >> 1
		if e.zone == localZone {
			score |= 1 << 63
		}
		r.offer(score, i)
	}
	start := len(dst)
	for _, b := range r.best[:r.len] {
		dst = p.appendOnce(dst, start, limit, b.index, Ranked)
	}
	return dst
}
