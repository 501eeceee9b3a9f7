package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// quarantineUpstreams is how many different upstreams must have broken off under a part
	// before it is quarantined: one that ends for a reason of its own breaks off many
	// prompts, but it is one upstream.
	quarantineUpstreams = 3
	// quarantineBranches is how many different parts must have followed the part in the broken
	// prompts. If the same one always follows, that one may be to blame as well, or the prompt
	// as a whole.
	quarantineBranches = 2
	// soundFor is how long a part that was served isn't blamed for an upstream that breaks off.
	soundFor = 10 * time.Second
	// breakAge is how long a break counts towards a quarantine.
	breakAge = 30 * time.Second
	// quarantineFor is how long a part stays quarantined after its latest break. It is long
	// because each request that is let through to try again may end another upstream.
	quarantineFor = 10 * time.Minute
	// maxSuspects bounds the parts with breaks that a router knows of, and maxReported those
	// that it reports to other routers at a time.
	maxSuspects = 512
	maxReported = 24
	// maxBreaks bounds the breaks kept for one part.
	maxBreaks = 8
	// reportReuse is how long a report is reused: a router with many followers reports to
	// each of them.
	reportReuse = 100 * time.Millisecond
	// servedTolerance is by how much a reported time of service must be newer than the known
	// one to replace it. A report that comes back to its sender is late by its transfer.
	servedTolerance = 200 * time.Millisecond
)

// Break is a request that an upstream broke off before it had written the start of an answer.
type Break struct {
	Upstream uint64 // hash of the upstream's ID and boot
	Next     uint64 // ID of the part that followed in the prompt
	Age      time.Duration
}

// Suspicion is what routers know about a prompt part under which upstreams broke off.
type Suspicion struct {
	Part uint64
	// Served is set if the part was served SinceServed ago.
	Served      bool
	SinceServed time.Duration
	Breaks      []Break
}

// suspects records the prompt parts under which upstreams broke off, at all routers. A part
// is quarantined if several upstreams broke off under it, none served it, and it is the
// longest common beginning of the broken prompts. An upstream that crashes takes sound
// requests with it, but their shared parts are served elsewhere. Routers exchange what they
// know; merging is idempotent, so that all routers come to the same verdict.
type suspects struct {
	parts map[uint64]*suspect

	reported   []Suspicion // latest result of report
	reportedAt time.Duration
}

// suspect is the evidence on one part.
type suspect struct {
	served   bool
	servedAt time.Duration
	breaks   []partBreak // oldest first; no two of the same upstream with the same next part

	announced bool // the quarantine was passed to Config.OnQuarantine
}

type partBreak struct {
	upstream, next uint64
	at             time.Duration
}

func newSuspects() *suspects { return &suspects{parts: make(map[uint64]*suspect)} }

// recordBreak records that an upstream broke off a request with the given parts. The last one
// belongs to the request or its session alone and isn't blamed. servedAt returns when this
// router last saw a part served.
func (s *suspects) recordBreak(now time.Duration, upstream fleet.Upstream, parts []PromptPart, servedAt func(part uint64) (time.Duration, bool)) {
	hash := xxhash.Sum64String(string(upstream.ID) + "/" + string(upstream.Boot))
	for i := range len(parts) - 1 {
		p := parts[i]
		at, served := servedAt(p.ID)
		if served && now-at < soundFor {
			s.recordServed(p.ID, at)
			continue
		}
		x := s.find(now, p.ID)
		if served {
			x.recordServed(at)
		}
		x.addBreak(partBreak{upstream: hash, next: parts[i+1].ID, at: now})
	}
}

// find returns the evidence on a part, which it adds if there is none. It makes room by
// dropping evidence that no longer counts, or else that on the part that broke longest ago.
func (s *suspects) find(now time.Duration, part uint64) *suspect {
	if x := s.parts[part]; x != nil {
		return x
	}
	if len(s.parts) >= maxSuspects {
		s.expire(now)
	}
	if len(s.parts) >= maxSuspects {
		delete(s.parts, s.ranked(now)[len(s.parts)-1])
	}
	x := new(suspect)
	s.parts[part] = x
	return x
}

// recordServed records that a part was served at the given time, if breaks under it are
// known.
func (s *suspects) recordServed(part uint64, at time.Duration) {
	if x := s.parts[part]; x != nil {
		x.recordServed(at)
	}
}

func (x *suspect) recordServed(at time.Duration) {
	if !x.served || at > x.servedAt {
		x.served, x.servedAt = true, at
	}
	x.breaks = slices.DeleteFunc(x.breaks, func(b partBreak) bool { return !x.blames(b) })
}

// blames reports whether a break counts against the part: none that came before the part was
// served or within soundFor after it.
func (x *suspect) blames(b partBreak) bool { return !x.served || b.at >= x.servedAt+soundFor }

// addBreak adds a break unless the part isn't to blame for it. Of the same break, the earlier
// time wins. If there is no room, the newest break of a pair with the same next part is
// dropped, so that upstreams and next parts stay different.
func (x *suspect) addBreak(b partBreak) {
	if !x.blames(b) {
		return
	}
	for i := range x.breaks {
		if known := &x.breaks[i]; known.upstream == b.upstream && known.next == b.next {
			known.at = min(known.at, b.at)
			return
		}
	}
	x.breaks = append(x.breaks, b)
	slices.SortFunc(x.breaks, func(a, b partBreak) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.next, b.next))
	})
	if len(x.breaks) > maxBreaks {
		x.breaks = slices.Delete(x.breaks, x.spare(), x.spare()+1)
	}
}

// spare returns the index of the break to drop: the latest one before the newest, which dates
// the quarantine, whose next part stands in an earlier break as well.
func (x *suspect) spare() int {
	for i := len(x.breaks) - 2; i > 0; i-- {
		if slices.ContainsFunc(x.breaks[:i], func(b partBreak) bool { return b.next == x.breaks[i].next }) {
			return i
		}
	}
	return len(x.breaks) - 2
}

// count returns the numbers of different upstreams and next parts among the breaks for
// which counts returns true, and the time of the newest of these.
func (x *suspect) count(counts func(partBreak) bool) (upstreams, branches int, latest time.Duration) {
	seen, followed := make(map[uint64]bool, len(x.breaks)), make(map[uint64]bool, len(x.breaks))
	for _, b := range x.breaks {
		if counts(b) {
			seen[b.upstream], followed[b.next] = true, true
			latest = b.at
		}
	}
	return len(seen), len(followed), latest
}

// isSuspected reports whether enough upstreams broke off under a part that different parts
// followed.
func (s *suspects) isSuspected(part uint64) bool {
	x := s.parts[part]
	if x == nil {
		return false
	}
	upstreams, branches, _ := x.count(func(partBreak) bool { return true })
	return upstreams >= quarantineUpstreams && branches >= quarantineBranches
}

// quarantinedUntil returns the end of a part's quarantine; 0 if there is none. If exactly one
// of the next parts is suspected, that one explains its breaks and they don't count against
// this part; if several are, this part is what they have in common.
func (s *suspects) quarantinedUntil(part uint64) time.Duration {
	x := s.parts[part]
	if x == nil || len(x.breaks) < quarantineUpstreams {
		return 0
	}
	suspected := make(map[uint64]bool)
	for _, b := range x.breaks {
		if s.isSuspected(b.next) {
			suspected[b.next] = true
		}
	}
	upstreams, branches, latest := x.count(func(b partBreak) bool { return len(suspected) > 1 || !suspected[b.next] })
	if upstreams < quarantineUpstreams || branches < quarantineBranches {
		return 0
	}
	return latest + quarantineFor
}

// expire drops the breaks that no longer count, and the parts that have none.
func (s *suspects) expire(now time.Duration) {
	for id, x := range s.parts {
		if now < s.quarantinedUntil(id) {
			continue
		}
		x.breaks = slices.DeleteFunc(x.breaks, func(b partBreak) bool { return now-b.at >= breakAge })
		if len(x.breaks) == 0 && (!x.served || now-x.servedAt >= soundFor) {
			delete(s.parts, id)
		}
	}
}

// ranked returns the parts by the number of their breaks, and by the time of the latest one.
func (s *suspects) ranked(now time.Duration) []uint64 {
	s.expire(now)
	ids := make([]uint64, 0, len(s.parts))
	for id := range s.parts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		x, y := s.parts[a], s.parts[b]
		return cmp.Or(cmp.Compare(len(y.breaks), len(x.breaks)), cmp.Compare(y.latest(), x.latest()), cmp.Compare(a, b))
	})
	return ids
}

// latest returns the time of the newest break or, without breaks, of the newest service.
func (x *suspect) latest() time.Duration {
	if n := len(x.breaks); n > 0 {
		return x.breaks[n-1].at
	}
	return x.servedAt
}

// quarantined returns the end of the quarantine of one of the parts; ok is false if none is
// quarantined.
func (s *suspects) quarantined(now time.Duration, parts []PromptPart) (part uint64, until time.Duration, ok bool) {
	for _, p := range parts {
		if until = s.quarantinedUntil(p.ID); now < until {
			return p.ID, until, true
		}
	}
	return 0, 0, false
}

// report returns the evidence on up to maxReported parts, those with most breaks first. It
// is reused for reportReuse and must not be changed.
func (s *suspects) report(now time.Duration) []Suspicion {
	if len(s.parts) == 0 {
		return nil
	}
	if s.reported != nil && now-s.reportedAt < reportReuse {
		return s.reported
	}
	ids := s.ranked(now)
	out := make([]Suspicion, 0, min(len(ids), maxReported))
	for _, id := range ids[:min(len(ids), maxReported)] {
		x := s.parts[id]
		r := Suspicion{Part: id, Served: x.served, SinceServed: now - x.servedAt}
		for _, b := range x.breaks {
			r.Breaks = append(r.Breaks, Break{Upstream: b.upstream, Next: b.next, Age: now - b.at})
		}
		out = append(out, r)
	}
	s.reported, s.reportedAt = out, now
	return out
}

// merge adds what another router knows. servedAt is as for recordBreak.
func (s *suspects) merge(now time.Duration, reports []Suspicion, servedAt func(part uint64) (time.Duration, bool)) {
	for _, r := range reports {
		x := s.find(now, r.Part)
		if at, served := servedAt(r.Part); served {
			x.recordServed(at)
		}
		if at := now - r.SinceServed; r.Served && (!x.served || at > x.servedAt+servedTolerance) {
			x.recordServed(at)
		}
		for _, b := range r.Breaks {
			x.addBreak(partBreak{upstream: b.Upstream, next: b.Next, at: now - b.Age})
		}
	}
}

// RecordBreak records that the upstream broke off before it had written the start of the
// answer.
func (p *Pick) RecordBreak(now time.Duration) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.recordBreak(now, p.Upstream, p.parts, b.parts.servedAt)
	for _, part := range p.parts {
		b.announceQuarantine(now, part.ID)
	}
}

// RecordServed records that the upstream has written enough of the answer to show that the
// prompt does it no harm.
func (p *Pick) RecordServed(now time.Duration) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, part := range p.parts {
		b.parts.recordServed(now, part.ID)
		b.suspects.recordServed(part.ID, now)
	}
}

// Quarantined returns the end of the quarantine of one of a prompt's parts. ok is false if
// none is quarantined.
func (b *Balancer) Quarantined(now time.Duration, parts []PromptPart) (part uint64, until time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.quarantined(now, parts)
}

// Suspicions returns what is known of prompt parts under which upstreams broke off, at this
// router and as merged by MergeSuspicions. The result must not be changed.
func (b *Balancer) Suspicions(now time.Duration) []Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.report(now)
}

// QuarantinedSuspicions returns those of the Suspicions whose parts are quarantined.
func (b *Balancer) QuarantinedSuspicions(now time.Duration) (out []Suspicion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.suspects.report(now) {
		if now < b.suspects.quarantinedUntil(r.Part) {
			out = append(out, r)
		}
	}
	return out
}

// MergeSuspicions adds what another router knows.
func (b *Balancer) MergeSuspicions(now time.Duration, reports []Suspicion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.merge(now, reports, b.parts.servedAt)
	for _, r := range reports {
		b.announceQuarantine(now, r.Part)
	}
}

// announceQuarantine calls OnQuarantine if the part's quarantine has begun since the last
// call.
func (b *Balancer) announceQuarantine(now time.Duration, part uint64) {
	x := b.suspects.parts[part]
	if x == nil {
		return
	}
	quarantined := now < b.suspects.quarantinedUntil(part)
	if quarantined && !x.announced && b.cfg.OnQuarantine != nil {
		upstreams, branches, _ := x.count(func(partBreak) bool { return true })
		b.cfg.OnQuarantine(part, upstreams, branches)
	}
	x.announced = quarantined
}
