package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// setMask has bit i set if an upstream was eligible in the i-th set of the table's
// history; bit 0 stands for the current set.
type setMask uint8

const currentSet setMask = 1

// poolTable holds the upstreams of one pool that are or were eligible, grouped by
// the sets in which they are eligible.
type poolTable struct {
	hashes   []uint64 // by entry: the hash of its upstream, salted for fold
	entries  []poolEntry
	groups   []group
	setCount int // number of sets in the table's history
}

// group is a run of entries with the same mask.
type group struct {
	start, end int
	mask       setMask
}

type poolEntry struct {
	upstream fleet.UpstreamID
	owner    fleet.InstanceID
	zone     fleet.AvailabilityZone
	mask     setMask
}

// ranked is an index into the pool's entries with its score for one key.
type ranked struct {
	score uint64
	index int32
}

// ranking holds the entries with the highest scores, highest first.
type ranking struct {
	best  [MaxCandidates]ranked
	len   int
	limit int // at most MaxCandidates
}

// addUpstream adds the upstream unless it is eligible in no set.
func (p *poolTable) addUpstream(u fleet.Upstream, owner fleet.InstanceID, mask setMask) {
	if mask == 0 {
		return
	}
	p.entries = append(p.entries, poolEntry{u.ID, owner, u.Zone, mask})
}

// groupEntries sorts the entries into groups of equal mask, the largest mask first, and
// hashes them. all is the mask of an upstream that is eligible in every set.
func (p *poolTable) groupEntries(all setMask) {
	slices.SortStableFunc(p.entries, func(a, b poolEntry) int { return int(b.mask) - int(a.mask) })
	for i, e := range p.entries {
		p.hashes = append(p.hashes, xxhash.Sum64String(string(e.upstream))^mixB)
		if i == 0 || e.mask != p.entries[i-1].mask {
			p.groups = append(p.groups, group{start: i, mask: e.mask})
		}
		p.groups[len(p.groups)-1].end = i + 1
	}
	for mask := all; mask != 0; mask >>= 1 {
		p.setCount++
	}
}

// insert adds the entry with the given index if its score is among the limit highest.
func (r *ranking) insert(score uint64, index int) {
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

// rankCurrent adds the entries of a currently eligible group to the ranking. It
// returns the best of them, or index -1 if none enters the ranking.
func (p *poolTable) rankCurrent(key uint64, g group, r *ranking) ranked {
	first, least := ranked{index: -1}, uint64(0)
	if r.len == r.limit {
		least = r.best[r.len-1].score
	}
	for i, h := range p.hashes[g.start:g.end] {
		score := fold(key, h)
		if score <= least {
			continue
		}
		r.insert(score, g.start+i)
		if r.len == r.limit {
			least = r.best[r.len-1].score
		}
		if score > first.score {
			first = ranked{score, int32(g.start + i)}
		}
	}
	return first
}

// bestOfGroup returns the entry of a group with the highest score for the key.
func (p *poolTable) bestOfGroup(key uint64, g group) ranked {
	first := ranked{index: -1}
	for i, h := range p.hashes[g.start:g.end] {
		if score := fold(key, h); score > first.score {
			first = ranked{score, int32(g.start + i)}
		}
	}
	return first
}

// chatCandidates appends the eligible upstreams that ranked first in earlier sets, and
// then the current ranking.
func (p *poolTable) chatCandidates(key uint64, limit int, dst []Candidate) []Candidate {
	r := ranking{limit: limit}
	former := [formerSets]ranked{{index: -1}, {index: -1}, {index: -1}}
	for _, g := range p.groups {
		var first ranked
		if g.mask&currentSet != 0 {
			first = p.rankCurrent(key, g, &r)
		} else {
			first = p.bestOfGroup(key, g)
		}
		for s := range former {
			if g.mask&(2<<s) != 0 && first.score > former[s].score {
				former[s] = first
			}
		}
	}
	start := len(dst)
	for _, f := range former[:max(p.setCount-1, 0)] {
		if f.index >= 0 && f.index != r.topIndex() && p.eligible(f.index) {
			dst = p.appendOnce(dst, start, limit, f.index, Former)
		}
	}
	for _, b := range r.best[:r.len] {
		dst = p.appendOnce(dst, start, limit, b.index, Ranked)
	}
	return dst
}

// topIndex returns the index of the entry ranked first, or -1.
func (r *ranking) topIndex() int32 {
	if r.len == 0 {
		return -1
	}
	return r.best[0].index
}

// eligible reports whether the entry is eligible in the current set.
func (p *poolTable) eligible(index int32) bool {
	return p.entries[index].mask&currentSet != 0
}

// appendOnce appends the entry as a candidate unless dst[start:] has limit candidates
// or contains it.
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

// requestCandidates ranks the upstreams of localZone before all others by setting
// the top bit of their scores.
func (p *poolTable) requestCandidates(key uint64, limit int, localZone fleet.AvailabilityZone, dst []Candidate) []Candidate {
	r := ranking{limit: limit}
	for i, h := range p.hashes {
		e := &p.entries[i]
		if e.mask&currentSet == 0 {
			continue
		}
		score := fold(key, h) >> 1
		if e.zone == localZone {
			score |= 1 << 63
		}
		r.insert(score, i)
	}
	start := len(dst)
	for _, b := range r.best[:r.len] {
		dst = p.appendOnce(dst, start, limit, b.index, Ranked)
	}
	return dst
}
