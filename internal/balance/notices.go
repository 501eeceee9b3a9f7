package balance

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// noticeRetention is how long a notice of an incarnation that is no longer listed is
	// kept: a list may lack an upstream for some reads and show the same incarnation again.
	noticeRetention = 10 * time.Minute
	// unbootedRetention is the same for an incarnation of unknown boot, whose next start looks
	// the same: it allows for two reads of the list that lack the upstream.
	unbootedRetention = 3 * time.Second
	// malformedInterval is the shortest time between two reports of malformed notices of
	// one upstream, which may come with each of its answers.
	malformedInterval = time.Minute
)

// ByAnswer and ByList are the values of Transition.By for an answer of the upstream to this
// router and for the platform's list.
const (
	ByAnswer = "answer"
	ByList   = "list"
)

// Notice is what an upstream says of itself in the head of an answer.
type Notice struct {
	// Leaving is set if the upstream leaves and wants no new work.
	Leaving bool
	// Rest is the time from now for which the upstream wants no work from this router; 0 for
	// none.
	Rest time.Duration
	// Misdirected is set if another upstream has answered than the one that was asked.
	Misdirected bool
	// Malformed describes fields of the notice whose values have no meaning; empty for none.
	Malformed string
}

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	ID   fleet.UpstreamID
	Boot fleet.BootID // empty if the platform tells none
}

// incarnationOf returns the incarnation that a list entry describes.
func incarnationOf(u fleet.Upstream) Incarnation { return Incarnation{u.ID, u.Boot} }

// retention returns how long notices are kept while the incarnation is not listed.
func (i Incarnation) retention() time.Duration {
	if i.Boot == "" {
		return unbootedRetention
	}
	return noticeRetention
}

// Leaver is an incarnation of an upstream that has said that it leaves.
type Leaver struct {
	Incarnation
	// By is the router that the upstream told; empty for this one.
	By fleet.InstanceID
	// Age is the time since the upstream said so.
	Age time.Duration
}

// Condition is a reason for which an upstream gets no new work.
type Condition uint8

// The conditions of upstreams.
const (
	// Leaving is the condition of an upstream that will stop, by its own word or by the
	// platform's list. It ends with the incarnation.
	Leaving Condition = iota
	// Resting is the condition of an upstream that has turned this router away for some
	// time. It ends with that time or with the incarnation.
	Resting
	conditionCount
)

// Transition is the begin or end of an upstream's condition.
type Transition struct {
	Upstream  fleet.Upstream
	Condition Condition
	// Ended is set if the condition has ended.
	Ended bool
	// By is who said so: ByAnswer, ByList, or the ID of the router that the upstream told.
	By string
	// For is how long the condition lasted, or how long it will last if it begins and that
	// is known.
	For time.Duration
}

// notices holds what one incarnation of an upstream has said of itself.
type notices struct {
	leaving      bool
	leavingSince time.Duration
	leavingBy    fleet.InstanceID // see Leaver.By
	restSince    time.Duration
	restUntil    time.Duration
	listed       bool          // the incarnation is in the newest list
	unlistedAt   time.Duration // valid unless listed
}

// bars reports whether the incarnation wants no new work.
func (n *notices) bars(now time.Duration) bool { return n != nil && (n.leaving || now < n.restUntil) }

func (n *notices) leaves() bool { return n != nil && n.leaving }

func (n *notices) rests(now time.Duration) bool { return n != nil && now < n.restUntil }

// announced is a condition of an upstream that OnTransition was called for.
type announced struct {
	active bool
	since  time.Duration
	until  time.Duration // the known end; unset for none
	by     string
}

// RecordNotice records what an upstream says of itself in the head of an answer. A
// misdirected answer speaks for the listed upstream at the same address, not for the one
// that was asked.
func (p *Pick) RecordNotice(now time.Duration, n Notice) {
	if n == (Notice{Misdirected: n.Misdirected}) {
		return
	}
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Malformed != "" {
		b.reportMalformed(now, p.state, n.Malformed)
	}
	if !n.Misdirected {
		b.record(now, incarnationOf(p.state.Upstream), n)
		return
	}
	for _, s := range b.states {
		if s.listed && s.Addr == p.state.Addr && s.ID != p.state.ID {
			b.record(now, incarnationOf(s.Upstream), n)
		}
	}
}

// record records the notice of an incarnation.
func (b *Balancer) record(now time.Duration, i Incarnation, n Notice) {
	if n.Leaving {
		b.markLeaving(now, Leaver{Incarnation: i})
	}
	if n.Rest > 0 {
		b.markResting(now, i, n.Rest)
	}
}

// markLeaving records that an incarnation leaves. The first report of it stays.
func (b *Balancer) markLeaving(now time.Duration, l Leaver) {
	n := b.noticesOf(now, l.Incarnation)
	if n.leaving {
		return
	}
	n.leaving, n.leavingSince, n.leavingBy = true, now-l.Age, l.By
	if s := b.listedIncarnation(l.Incarnation); s != nil {
		b.announce(now, s)
	}
}

// markResting records that an incarnation wants no work from this router for some time. A
// shorter time doesn't end a longer one.
func (b *Balancer) markResting(now time.Duration, i Incarnation, rest time.Duration) {
	n := b.noticesOf(now, i)
	if !n.rests(now) {
		n.restSince = now
	}
	n.restUntil = max(n.restUntil, now+rest)
	if s := b.listedIncarnation(i); s != nil {
		b.announce(now, s)
	}
}

// noticesOf returns the notices of an incarnation, which it adds if there are none.
func (b *Balancer) noticesOf(now time.Duration, i Incarnation) *notices {
	n := b.notices[i]
	if n == nil {
		n = &notices{unlistedAt: now}
		b.notices[i] = n
		if s := b.listedIncarnation(i); s != nil {
			b.attachNotices(s)
		}
	}
	return n
}

// listedIncarnation returns the state of an incarnation, or nil if it is not listed.
func (b *Balancer) listedIncarnation(i Incarnation) *upstreamState {
	if s := b.states[i.ID]; s != nil && s.listed && incarnationOf(s.Upstream) == i {
		return s
	}
	return nil
}

// updateNotices brings notices and conditions in line with a new list. former holds the
// states that the list has replaced.
func (b *Balancer) updateNotices(asOf time.Duration, former []*upstreamState) {
	for _, s := range former {
		if next := b.states[s.ID]; incarnationOf(next.Upstream) == incarnationOf(s.Upstream) {
			next.announced = s.announced // the same start at another address
			continue
		}
		b.detachNotices(asOf, s)
		b.announce(asOf, s)
	}
	for _, s := range b.states {
		if !s.listed {
			b.detachNotices(asOf, s)
			b.announce(asOf, s)
		}
	}
	for i, n := range b.notices {
		if n.listed || asOf-n.unlistedAt <= i.retention() {
			continue
		}
		if n.leaving = false; !n.rests(asOf) {
			delete(b.notices, i)
		}
	}
	for _, s := range b.states {
		if s.listed {
			b.attachNotices(s)
			b.announce(asOf, s)
		}
	}
}

// attachNotices gives a listed upstream the notices of its incarnation.
func (b *Balancer) attachNotices(s *upstreamState) {
	if s.notices = b.notices[incarnationOf(s.Upstream)]; s.notices != nil {
		s.notices.listed = true
	}
}

// detachNotices takes the notices from an upstream that is no longer listed.
func (b *Balancer) detachNotices(now time.Duration, s *upstreamState) {
	if s.notices == nil {
		return
	}
	s.notices.listed, s.notices.unlistedAt = false, now
	s.notices = nil
}

// announce calls OnTransition for the conditions of an upstream that have begun or ended.
func (b *Balancer) announce(now time.Duration, s *upstreamState) {
	b.announceCondition(now, s, Leaving, s.listed && (s.Leaving || s.notices.leaves()), 0)
	rests, until := s.listed && s.notices.rests(now), time.Duration(0)
	if rests {
		until = s.notices.restUntil
	}
	b.announceCondition(now, s, Resting, rests, until)
}

// announceCondition calls OnTransition if a condition has begun or ended. until is the known
// end of an active one, 0 for none.
func (b *Balancer) announceCondition(now time.Duration, s *upstreamState, c Condition, active bool, until time.Duration) {
	a := &s.announced[c]
	t := Transition{Upstream: s.Upstream, Condition: c, Ended: !active}
	switch {
	case active && a.active:
		a.until = until
		return
	case active:
		*a = announced{active: true, since: now, until: until, by: s.conditionBy(c)}
		t.By, t.For = a.by, max(until-now, 0)
	case a.active:
		end := now
		if a.until > 0 {
			end = min(now, a.until)
		}
		t.By, t.For = a.by, max(end-a.since, 0)
		*a = announced{}
	default:
		return
	}
	if b.cfg.OnTransition != nil {
		b.cfg.OnTransition(t)
	}
}

// conditionBy returns who said that the upstream is in an active condition.
func (s *upstreamState) conditionBy(c Condition) string {
	switch {
	case c == Leaving && !s.notices.leaves():
		return ByList
	case c == Leaving && s.notices.leavingBy != "":
		return string(s.notices.leavingBy)
	default:
		return ByAnswer
	}
}

// UpdateConditions calls OnTransition for the rests that have ended.
func (b *Balancer) UpdateConditions(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		b.announce(now, s)
	}
}

// RestLeft returns the time until the first upstream of a pool takes work again, and the
// length of its rest. It reports false unless all upstreams in service rest, leave or were
// replaced, and at least one of them rests.
func (b *Balancer) RestLeft(now time.Duration, pool fleet.PoolID, session SessionState) (left, length time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.pools[pool] {
		if s.Leaving || s.notices.leaves() || session.Out(s.Upstream) {
			continue
		}
		until := s.replacedUntil
		if s.notices.rests(now) {
			ok, until = true, max(until, s.notices.restUntil)
		}
		if until <= now {
			return 0, 0, false
		}
		if left == 0 || until-now < left {
			left, length = until-now, until-now
			if s.notices.rests(now) {
				length = until - s.notices.restSince
			}
		}
	}
	return left, length, ok
}

// reportMalformed calls OnMalformed for an upstream, at most once in malformedInterval.
func (b *Balancer) reportMalformed(now time.Duration, s *upstreamState, fields string) {
	if b.cfg.OnMalformed == nil || s.malformedAt > 0 && now-s.malformedAt < malformedInterval {
		return
	}
	s.malformedAt = now
	b.cfg.OnMalformed(s.Upstream, fields)
}

// Leavers returns the listed upstreams that have said that they leave, other than those that
// the list itself shows as leaving.
func (b *Balancer) Leavers(now time.Duration) []Leaver {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Leaver
	for i, n := range b.notices {
		if s := b.listedIncarnation(i); s != nil && n.leaving && !s.Leaving {
			out = append(out, Leaver{Incarnation: i, By: n.leavingBy, Age: now - n.leavingSince})
		}
	}
	return out
}

// MergeLeavers adds what another router knows of leaving upstreams. A report that precedes
// the first list with an upstream of unknown boot may be about an earlier start, and is
// ignored.
func (b *Balancer) MergeLeavers(now time.Duration, leavers []Leaver) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range leavers {
		if l.Boot == "" {
			if s := b.listedIncarnation(l.Incarnation); s == nil || now-l.Age < s.firstListed {
				continue
			}
		}
		b.markLeaving(now, l)
	}
}

// CountConditions returns the numbers of listed upstreams that leave, by their own word or by
// the list, and of those that rest.
func (b *Balancer) CountConditions(now time.Duration) (leaving, resting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		if !s.listed {
			continue
		}
		if s.Leaving || s.notices.leaves() {
			leaving++
		}
		if s.notices.rests(now) {
			resting++
		}
	}
	return leaving, resting
}
