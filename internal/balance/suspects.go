package balance

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// quarantineUpstreams is how many different upstreams must have broken off under a suspect
	// before it is quarantined: one that ends for a reason of its own breaks off many
	// requests, but it is one upstream.
	quarantineUpstreams = 3
	// quarantineBranches is how many different parts must have followed a part in the broken
	// prompts, sound ones left out. If the same one always follows, that one may be to blame as
	// well, or the prompt as a whole.
	quarantineBranches = 2
	// unexplainedUpstreams is how many upstreams there must be under a request that no other
	// request explains, see rivals.
	unexplainedUpstreams = 2
	// soundFor is how long a suspect that was served isn't blamed for an upstream that breaks
	// off, and servedInterval the time between two such services that are reported.
	soundFor       = 10 * time.Second
	servedInterval = soundFor / 4
	// partBreakAge is how long a break counts towards the quarantine of a part, and
	// requestBreakAge that of a request, which may come rarely.
	partBreakAge    = 30 * time.Second
	requestBreakAge = quarantineFor
	// quarantineFor is how long a quarantine lasts after the latest break. It is long because
	// each request that is let through to try again may end another upstream.
	quarantineFor = 10 * time.Minute
	// maxSuspects bounds the suspects that a router knows of, and maxReported those that it
	// reports to another router at a time: an engine that ends breaks off as many requests as
	// it has slots.
	maxSuspects = 4096
	maxReported = 128
	// loneBreakAge is how long a suspect under which one upstream broke off is reported.
	loneBreakAge = 30 * time.Second
	// maxBreaks bounds the breaks kept for one suspect.
	maxBreaks = 8
	// expireInterval is the time between two searches for evidence that no longer counts.
	expireInterval = time.Second
	// servedTolerance is by how much a reported time of service must be newer than the known
	// one to replace it. A report that comes back to its sender is late by its transfer.
	servedTolerance = 200 * time.Millisecond
)

// SuspectKind says what a suspicion is about.
type SuspectKind uint8

// The kinds of suspects.
const (
	SuspectPart    SuspectKind = iota // a part of prompts
	SuspectRequest                    // a whole request
)

// SuspectKey names what a suspicion is about.
type SuspectKey struct {
	Kind SuspectKind
	// ID is that of the part, or the fingerprint of the request.
	ID uint64
}

// PartKey returns the key of a prompt part.
func PartKey(id uint64) SuspectKey { return SuspectKey{SuspectPart, id} }

// RequestKey returns the key of a whole request.
func RequestKey(fingerprint uint64) SuspectKey { return SuspectKey{SuspectRequest, fingerprint} }

// Break is a request that an upstream broke off.
type Break struct {
	Upstream uint64 // hash of the upstream's ID and boot
	Next     uint64 // ID of the part that followed in the prompt; 0 for a whole request
	Last     uint64 // ID of the prompt's last part; 0 for a whole request
	// NextSound is set if the part that followed was served, so that it isn't to blame.
	NextSound bool
	// Late is set if the upstream had written enough of the answer to show that beginning
	// with the request does it no harm.
	Late bool
	Age  time.Duration
}

// Suspicion is what routers know about a suspect: a prompt part or a request under which
// upstreams broke off.
type Suspicion struct {
	Key SuspectKey
	// Served is set if the suspect was served SinceServed ago.
	Served      bool
	SinceServed time.Duration
	Breaks      []Break
}

// suspects records the prompt parts and requests under which upstreams broke off, at all
// routers. A part is quarantined if several upstreams broke off under it, none served it, and
// it is the longest common beginning of the broken prompts. A request is quarantined if
// several upstreams broke off under it, none served it, and no other request explains them.
// An upstream that crashes takes sound requests with it, but these and their shared parts are
// served elsewhere. Routers exchange what they know; merging is idempotent, so that all
// routers come to the same verdict.
type suspects struct {
	byKey   map[SuspectKey]*suspect
	order   *list.List // of *suspect, the one that changed longest ago first
	changes uint64     // number of changes of the evidence

	servedAt    servedFunc
	quarantines map[SuspectKey]time.Duration // ends, as judge last found them
	judged      bool                         // quarantines follows from the evidence
	expiredAt   time.Duration                // when expire last ran

	onQuarantine func(key SuspectKey, upstreams, branches int) // may be nil
}

// suspect is the evidence on one part or request.
type suspect struct {
	key      SuspectKey
	element  *list.Element // in order
	changed  uint64        // the number of its latest change
	served   bool
	servedAt time.Duration
	toldAt   time.Duration // the value of servedAt at the latest change by a service
	// breaks is sorted by time. No two are of the same upstream with the same next part, so
	// that those of a request are of different upstreams.
	breaks []upstreamBreak
}

type upstreamBreak struct {
	upstream, next, last uint64
	nextSound            bool
	late                 bool
	at                   time.Duration
}

// servedFunc returns when this router last saw a part or request served.
type servedFunc func(SuspectKey) (at time.Duration, ok bool)

func newSuspects(servedAt servedFunc, onQuarantine func(key SuspectKey, upstreams, branches int)) *suspects {
	return &suspects{
		byKey: make(map[SuspectKey]*suspect), order: list.New(), servedAt: servedAt,
		quarantines: make(map[SuspectKey]time.Duration), judged: true, onQuarantine: onQuarantine,
	}
}

// recordPartBreaks records that an upstream broke off a request with the given parts. The
// last one belongs to the request or its session alone and isn't blamed.
func (s *suspects) recordPartBreaks(at time.Duration, upstream uint64, parts []PromptPart) {
	for i := range len(parts) - 1 {
		s.recordBreak(at, PartKey(parts[i].ID), upstreamBreak{upstream: upstream, next: parts[i+1].ID, last: parts[len(parts)-1].ID, at: at})
	}
}

// recordBreak records a break under a suspect, unless it was served lately.
func (s *suspects) recordBreak(now time.Duration, key SuspectKey, b upstreamBreak) {
	at, served := s.servedAt(key)
	if served && now-at < soundFor {
		s.recordServed(key, at)
		return
	}
	x := s.find(now, key)
	if served {
		s.setServed(x, at)
	}
	s.addBreak(x, b)
	s.clearSoundNext(x)
}

// clearSoundNext marks the breaks whose next part was served. Marks stay, since services are
// forgotten sooner than a quarantine ends.
func (s *suspects) clearSoundNext(x *suspect) {
	changed := false
	for i := range x.breaks {
		if b := &x.breaks[i]; !b.nextSound && b.next != b.last && s.wasServed(PartKey(b.next), b.at) {
			b.nextSound, changed = true, true
		}
	}
	if changed {
		s.recordChange(x, len(x.breaks))
	}
}

// wasServed reports whether a suspect is known to have been served after the given time or less
// than soundFor before it.
func (s *suspects) wasServed(key SuspectKey, at time.Duration) bool {
	if servedAt, ok := s.servedAt(key); ok && at-servedAt < soundFor {
		return true
	}
	x := s.byKey[key]
	return x != nil && x.served && at-x.servedAt < soundFor
}

// find returns the evidence on a suspect, which it adds if there is none. It makes room by
// dropping evidence that no longer counts, or else that which changed longest ago, of
// suspects with one break first.
func (s *suspects) find(now time.Duration, key SuspectKey) *suspect {
	if x := s.byKey[key]; x != nil {
		return x
	}
	if len(s.byKey) >= maxSuspects {
		s.expire(now)
	}
	if len(s.byKey) >= maxSuspects {
		s.drop(s.leastSuspect())
	}
	x := &suspect{key: key}
	x.element = s.order.PushBack(x)
	s.byKey[key] = x
	s.recordChange(x, 0) // keeps order sorted
	return x
}

// leastSuspect returns the suspect to drop for a new one.
func (s *suspects) leastSuspect() *suspect {
	for e := s.order.Front(); e != nil; e = e.Next() {
		if x := e.Value.(*suspect); len(x.breaks) < 2 {
			return x
		}
	}
	return s.order.Front().Value.(*suspect)
}

func (s *suspects) drop(x *suspect) {
	if len(x.breaks) >= quarantineUpstreams {
		s.judged = false
	}
	s.order.Remove(x.element)
	delete(s.byKey, x.key)
}

// recordChange counts a change of the evidence on a suspect that had the given number of
// breaks before.
func (s *suspects) recordChange(x *suspect, before int) {
	s.changes++
	x.changed = s.changes
	s.order.MoveToBack(x.element)
	if max(before, len(x.breaks)) >= quarantineUpstreams {
		s.judged = false
	}
}

// recordServed records that a suspect was served at the given time, if breaks under it are
// known.
func (s *suspects) recordServed(key SuspectKey, at time.Duration) {
	if x := s.byKey[key]; x != nil {
		s.setServed(x, at)
	}
}

func (s *suspects) setServed(x *suspect, at time.Duration) {
	if x.served && at <= x.servedAt {
		return
	}
	first, before := !x.served, len(x.breaks)
	x.served, x.servedAt = true, at
	x.breaks = slices.DeleteFunc(x.breaks, func(b upstreamBreak) bool { return !x.blames(b) })
	if first || len(x.breaks) != before || at-x.toldAt >= servedInterval {
		x.toldAt = at
		s.recordChange(x, before)
	}
}

// blames reports whether a break counts against the suspect: none that came before it was
// served or within soundFor after it.
func (x *suspect) blames(b upstreamBreak) bool { return !x.served || b.at >= x.servedAt+soundFor }

// addBreak adds a break unless the suspect isn't to blame for it. Of the same break, the
// earlier time, the lower last part, a sound next part, and one that isn't late win. If there
// is no room, the newest break of a pair with the same next part is dropped, so that upstreams
// and next parts stay different.
func (s *suspects) addBreak(x *suspect, b upstreamBreak) {
	if !x.blames(b) {
		return
	}
	for i := range x.breaks {
		if known := &x.breaks[i]; known.upstream == b.upstream && known.next == b.next {
			former := *known
			known.at, known.last = min(known.at, b.at), min(known.last, b.last)
			known.late, known.nextSound = known.late && b.late, known.nextSound || b.nextSound
			if former.at = known.at; former != *known {
				s.recordChange(x, len(x.breaks))
			}
			return
		}
	}
	before := len(x.breaks)
	x.breaks = append(x.breaks, b)
	slices.SortFunc(x.breaks, func(a, b upstreamBreak) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.next, b.next))
	})
	if len(x.breaks) > maxBreaks {
		x.breaks = slices.Delete(x.breaks, x.spare(), x.spare()+1)
	}
	s.recordChange(x, before)
}

// spare returns the index of the break to drop: the latest one before the newest, which dates
// the quarantine, whose next part stands in an earlier break as well.
func (x *suspect) spare() int {
	for i := len(x.breaks) - 2; i > 0; i-- {
		if slices.ContainsFunc(x.breaks[:i], func(b upstreamBreak) bool { return b.next == x.breaks[i].next }) {
			return i
		}
	}
	return len(x.breaks) - 2
}

// count returns the numbers of different upstreams and branches among the breaks for which
// counts returns true, and the time of the newest of these. The branch of a break is the next
// part or, if that is sound, the last one.
func (x *suspect) count(counts func(upstreamBreak) bool) (upstreams, branches int, latest time.Duration) {
	sound := make(map[uint64]bool)
	for _, b := range x.breaks {
		if b.nextSound {
			sound[b.next] = true
		}
	}
	seen, followed := make(map[uint64]bool, len(x.breaks)), make(map[uint64]bool, len(x.breaks))
	for _, b := range x.breaks {
		if !counts(b) {
			continue
		}
		branch := b.next
		if sound[b.next] {
			branch = b.last
		}
		seen[b.upstream], followed[branch] = true, true
		latest = b.at
	}
	return len(seen), len(followed), latest
}

func anyBreak(upstreamBreak) bool { return true }

// judge finds the quarantines that follow from the evidence, if it has changed.
func (s *suspects) judge(now time.Duration) {
	if s.judged {
		return
	}
	s.judged = true
	former := maps.Clone(s.quarantines)
	clear(s.quarantines)
	rivals := s.rivals()
	for key, x := range s.byKey {
		until := s.quarantinedUntil(x, rivals)
		if until == 0 {
			continue
		}
		s.quarantines[key] = until
		if now < until && now >= former[key] && s.onQuarantine != nil {
			upstreams, branches, _ := x.count(anyBreak)
			s.onQuarantine(key, upstreams, branches)
		}
	}
}

// quarantinedUntil returns the end of a suspect's quarantine; 0 if there is none.
func (s *suspects) quarantinedUntil(x *suspect, rivals rivals) time.Duration {
	switch {
	case len(x.breaks) < quarantineUpstreams:
		return 0
	case x.key.Kind == SuspectRequest:
		return x.requestQuarantinedUntil(rivals)
	default:
		return s.partQuarantinedUntil(x)
	}
}

// isSuspected reports whether enough upstreams broke off under a part in enough branches.
func (s *suspects) isSuspected(part uint64) bool {
	x := s.byKey[PartKey(part)]
	if x == nil {
		return false
	}
	upstreams, branches, _ := x.count(anyBreak)
	return upstreams >= quarantineUpstreams && branches >= quarantineBranches
}

// partQuarantinedUntil returns the end of a part's quarantine; 0 if there is none. If exactly
// one of the next parts is suspected, that one explains its breaks and they don't count
// against this part; if several are, this part is what they have in common.
func (s *suspects) partQuarantinedUntil(x *suspect) time.Duration {
	suspected := make(map[uint64]bool)
	for _, b := range x.breaks {
		if s.isSuspected(b.next) {
			suspected[b.next] = true
		}
	}
	upstreams, branches, latest := x.count(func(b upstreamBreak) bool { return len(suspected) > 1 || !suspected[b.next] })
	if upstreams < quarantineUpstreams || branches < quarantineBranches {
		return 0
	}
	return latest + quarantineFor
}

// requestQuarantinedUntil returns the end of a request's quarantine; 0 if there is none.
func (x *suspect) requestQuarantinedUntil(rivals rivals) time.Duration {
	unexplained := 0
	for _, b := range x.breaks {
		if !rivals.explain(b.upstream, x) {
			unexplained++
		}
	}
	if unexplained < unexplainedUpstreams {
		return 0
	}
	return x.latest() + quarantineFor
}

// rivals holds the two strongest suspects among the requests that broke off at each upstream.
// A request that ends upstreams takes sound ones with it, which are retried as it is, at times
// beside it. But it stands at all of these upstreams, and never gets further with its answer.
type rivals map[uint64][2]*suspect

// rivals returns the rivals among the requests that have enough breaks for a quarantine.
func (s *suspects) rivals() rivals {
	out := make(rivals)
	for key, x := range s.byKey {
		if key.Kind != SuspectRequest || len(x.breaks) < quarantineUpstreams {
			continue
		}
		for _, b := range x.breaks {
			top := out[b.upstream]
			switch {
			case top[0] == nil || x.compare(top[0]) > 0:
				top = [2]*suspect{x, top[0]}
			case top[1] == nil || x.compare(top[1]) > 0:
				top[1] = x
			}
			out[b.upstream] = top
		}
	}
	return out
}

// explain reports whether another request explains the break of x at an upstream: a stronger
// suspect, or one as strong while its breaks are the fewest that count. Of such a pair, the
// one that stands in the next break is to blame.
func (r rivals) explain(upstream uint64, x *suspect) bool {
	for _, other := range r[upstream] {
		if other != nil && other != x {
			order := other.compare(x)
			return order > 0 || order == 0 && len(x.breaks) == quarantineUpstreams
		}
	}
	return false
}

// compare compares two requests by the number of their breaks, and by that of late ones, which
// speak for a request. The result is above 0 if x is the stronger suspect.
func (x *suspect) compare(other *suspect) int {
	return cmp.Or(cmp.Compare(len(x.breaks), len(other.breaks)), cmp.Compare(other.lateBreaks(), x.lateBreaks()))
}

func (x *suspect) lateBreaks() (n int) {
	for _, b := range x.breaks {
		if b.late {
			n++
		}
	}
	return n
}

// expire drops the breaks that no longer count, and the suspects that have none, unless it has
// done so within expireInterval.
func (s *suspects) expire(now time.Duration) {
	if now-s.expiredAt < expireInterval {
		return
	}
	s.expiredAt = now
	s.judge(now)
	for key, x := range s.byKey {
		if now < s.quarantines[key] {
			continue
		}
		age := partBreakAge
		if key.Kind == SuspectRequest {
			age = requestBreakAge
		}
		s.clearSoundNext(x)
		before := len(x.breaks)
		x.breaks = slices.DeleteFunc(x.breaks, func(b upstreamBreak) bool { return now-b.at >= age })
		if before >= quarantineUpstreams && len(x.breaks) < before {
			s.judged = false
		}
		if len(x.breaks) == 0 && (!x.served || now-x.servedAt >= soundFor) {
			s.drop(x)
		}
	}
}

// quarantined returns the end of a suspect's quarantine; ok is false if there is none.
func (s *suspects) quarantined(now time.Duration, key SuspectKey) (until time.Duration, ok bool) {
	s.judge(now)
	until = s.quarantines[key]
	return until, now < until
}

// report returns the evidence that has changed since the given change, or all if that is 0,
// and the number of the newest change in it. It holds up to maxReported suspects: the
// quarantined ones first if all are reported, then those that changed longest ago.
func (s *suspects) report(now time.Duration, since uint64) (out []Suspicion, upTo uint64) {
	s.expire(now)
	if since == 0 {
		out = s.reportQuarantined(now, maxReported/2)
	}
	e := s.order.Back()
	for e != nil && e.Value.(*suspect).changed > since {
		e = e.Prev()
	}
	if e == nil {
		e = s.order.Front()
	} else {
		e = e.Next()
	}
	first := out
	for ; e != nil; e = e.Next() {
		x := e.Value.(*suspect)
		if len(out) >= maxReported {
			return out, since
		}
		since = x.changed
		isFirst := slices.ContainsFunc(first, func(r Suspicion) bool { return r.Key == x.key })
		if !isFirst && (len(x.breaks) > 1 || now-x.latest() < loneBreakAge) {
			out = append(out, x.report(now))
		}
	}
	return out, s.changes
}

// reportQuarantined returns the evidence on up to most quarantined suspects, those whose
// quarantine ends last first.
func (s *suspects) reportQuarantined(now time.Duration, most int) (out []Suspicion) {
	s.judge(now)
	keys := slices.SortedFunc(maps.Keys(s.quarantines), func(a, b SuspectKey) int {
		return cmp.Or(cmp.Compare(s.quarantines[b], s.quarantines[a]), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
	for _, key := range keys {
		if now < s.quarantines[key] && len(out) < most {
			out = append(out, s.byKey[key].report(now))
		}
	}
	return out
}

// report returns the evidence on a suspect.
func (x *suspect) report(now time.Duration) Suspicion {
	r := Suspicion{Key: x.key, Served: x.served, SinceServed: now - x.servedAt}
	for _, b := range x.breaks {
		r.Breaks = append(r.Breaks, Break{Upstream: b.upstream, Next: b.next, Last: b.last, NextSound: b.nextSound, Late: b.late, Age: now - b.at})
	}
	return r
}

// latest returns the time of the newest break or, without breaks, of the newest service.
func (x *suspect) latest() time.Duration {
	if n := len(x.breaks); n > 0 {
		return x.breaks[n-1].at
	}
	return x.servedAt
}

// merge adds what another router knows.
func (s *suspects) merge(now time.Duration, reports []Suspicion) {
	for _, r := range reports {
		x := s.find(now, r.Key)
		if at, served := s.servedAt(r.Key); served {
			s.setServed(x, at)
		}
		if at := now - r.SinceServed; r.Served && (!x.served || at > x.servedAt+servedTolerance) {
			s.setServed(x, at)
		}
		for _, b := range r.Breaks {
			s.addBreak(x, upstreamBreak{upstream: b.Upstream, next: b.Next, last: b.Last, nextSound: b.NextSound, late: b.Late, at: now - b.Age})
		}
		s.clearSoundNext(x)
	}
}

// servedRequests records when requests were served. It forgets a request once another one
// with the same slot is served.
type servedRequests [servedSlots]struct {
	fingerprint uint64
	at          time.Duration
}

// servedSlots is the number of requests that a router remembers to have served.
const servedSlots = 4096

func (m *servedRequests) record(now time.Duration, fingerprint uint64) {
	slot := &m[fingerprint%servedSlots]
	slot.fingerprint, slot.at = fingerprint, now
}

// servedAt returns when a request was last served; ok is false if it isn't known to have been.
func (m *servedRequests) servedAt(fingerprint uint64) (at time.Duration, ok bool) {
	slot := &m[fingerprint%servedSlots]
	return slot.at, slot.fingerprint == fingerprint
}

// RecordBreak records that the upstream broke off before it had written the start of the
// answer. The parts of the prompt and the request as a whole are suspected.
func (p *Pick) RecordBreak(now time.Duration) {
	p.recordBreak(now, func(upstream uint64) {
		p.state.recordEnd(now, p.balancer.suspects)
		p.balancer.suspects.recordPartBreaks(now, upstream, p.parts)
	}, false)
}

// RecordLateBreak records that the upstream broke off late, see Break. Only the request as a
// whole is suspected.
func (p *Pick) RecordLateBreak(now time.Duration) {
	p.recordBreak(now, func(uint64) { p.state.recordEnd(now, p.balancer.suspects) }, true)
}

// RecordIdleBreak records that a connection that had been idle broke off before anything of the
// answer. The upstream may have closed it before the request arrived, so that the parts of the
// prompt are suspected only if the upstream itself has ended.
func (p *Pick) RecordIdleBreak(now time.Duration) {
	p.recordBreak(now, func(upstream uint64) {
		p.state.recordIdleBreak(idleBreak{upstream: upstream, parts: p.parts, at: now}, p.balancer.suspects)
	}, false)
}

// RecordEnd records that the upstream accepts no connections, so that it has ended.
func (p *Pick) RecordEnd(now time.Duration) {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.state.recordEnd(now, p.balancer.suspects)
	p.balancer.suspects.judge(now)
}

// recordBreak records a break of the whole request, and that of its parts by recordParts.
func (p *Pick) recordBreak(now time.Duration, recordParts func(upstream uint64), late bool) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	upstream := xxhash.Sum64String(string(p.Upstream.ID) + "/" + string(p.Upstream.Boot))
	recordParts(upstream)
	if p.fingerprint != 0 {
		b.suspects.recordBreak(now, RequestKey(p.fingerprint), upstreamBreak{upstream: upstream, late: late, at: now})
	}
	b.suspects.judge(now)
}

// servedAt returns when this router last saw a part or request served.
func (b *Balancer) servedAt(key SuspectKey) (at time.Duration, ok bool) {
	if key.Kind == SuspectRequest {
		return b.served.servedAt(key.ID)
	}
	return b.parts.servedAt(key.ID)
}

// RecordServed records that the upstream has written enough of the answer to show that the
// prompt does it no harm. End records that the request as a whole was served.
func (p *Pick) RecordServed(now time.Duration) {
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, part := range p.parts {
		b.parts.recordServed(now, part.ID)
		b.suspects.recordServed(PartKey(part.ID), now)
	}
}

// recordRequestServed records that a request was served to its end.
func (b *Balancer) recordRequestServed(now time.Duration, fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	b.served.record(now, fingerprint)
	b.suspects.recordServed(RequestKey(fingerprint), now)
}

// Quarantined returns the end of the quarantine of one of a prompt's parts. ok is false if
// none is quarantined.
func (b *Balancer) Quarantined(now time.Duration, parts []PromptPart) (part uint64, until time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range parts {
		if until, ok = b.suspects.quarantined(now, PartKey(p.ID)); ok {
			return p.ID, until, true
		}
	}
	return 0, 0, false
}

// RequestQuarantined returns the end of the quarantine of a request. ok is false if it isn't
// quarantined.
func (b *Balancer) RequestQuarantined(now time.Duration, fingerprint uint64) (until time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.quarantined(now, RequestKey(fingerprint))
}

// Suspicions returns what has become known since the given change, at this router and by
// MergeSuspicions, and the change to ask from next time; 0 asks for all. A large report is
// split: later calls return the rest.
func (b *Balancer) Suspicions(now time.Duration, since uint64) (suspicions []Suspicion, upTo uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.report(now, since)
}

// QuarantinedSuspicions returns what is known of quarantined parts and requests.
func (b *Balancer) QuarantinedSuspicions(now time.Duration) []Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.expire(now)
	return b.suspects.reportQuarantined(now, maxReported)
}

// MergeSuspicions adds what another router knows.
func (b *Balancer) MergeSuspicions(now time.Duration, reports []Suspicion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.merge(now, reports)
	b.suspects.judge(now)
}
