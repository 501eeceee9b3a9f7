package balance

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// noticeRetention is how long a notice of an incarnation that is no longer listed is
	// kept: a list may lack an upstream for some reads and show the same incarnation again.
	noticeRetention = 10 * time.Minute
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
	// Misdirected is set if another upstream has answered than the one that was asked.
	Misdirected bool
	// Malformed describes fields of the notice whose values have no meaning; empty for none.
	Malformed string
}

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	ID   fleet.UpstreamID
	Boot fleet.BootID
	// Addr stands in for an unknown boot; empty if the boot is known.
	Addr string
}

// incarnationOf returns the incarnation that a list entry describes.
func incarnationOf(u fleet.Upstream) Incarnation {
	if u.Boot == "" {
		return Incarnation{ID: u.ID, Addr: u.Addr}
	}
	return Incarnation{ID: u.ID, Boot: u.Boot}
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
)

// Transition is the begin or end of an upstream's condition.
type Transition struct {
	Upstream  fleet.Upstream
	Condition Condition
	// Ended is set if the condition has ended.
	Ended bool
	// By is who said so: ByAnswer, ByList, or the ID of the router that the upstream told.
	By string
	// For is how long the condition lasted, if it has ended.
	For time.Duration
}

// notices holds what one incarnation of an upstream has said of itself.
type notices struct {
	leaving      bool
	leavingSince time.Duration
	leavingBy    fleet.InstanceID // see Leaver.By
	listed       bool             // the incarnation is in the newest list
	unlistedAt   time.Duration    // valid unless listed
}

// bars reports whether the incarnation wants no new work.
func (n *notices) bars() bool { return n != nil && n.leaving }

// announced is the part of an upstream's conditions that OnTransition was called for.
type announced struct {
	leaving bool
	since   time.Duration
	by      string
}

// RecordNotice records what an upstream says of itself in the head of an answer. A
// misdirected answer speaks for the listed upstream at the same address, not for the one
// that was asked.
func (p *Pick) RecordNotice(now time.Duration, n Notice) {
	if !n.Leaving && n.Malformed == "" {
		return
	}
	b := p.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Malformed != "" {
		b.reportMalformed(now, p.state, n.Malformed)
	}
	switch {
	case !n.Leaving:
	case !n.Misdirected:
		b.markLeaving(now, Leaver{Incarnation: incarnationOf(p.state.Upstream)})
	default:
		for _, s := range b.states {
			if s.listed && s.Addr == p.state.Addr && s.ID != p.state.ID {
				b.markLeaving(now, Leaver{Incarnation: incarnationOf(s.Upstream)})
			}
		}
	}
}

// markLeaving records that an incarnation leaves. The first report of it stays. One of
// unknown boot counts only while it is listed, since its next start looks the same.
func (b *Balancer) markLeaving(now time.Duration, l Leaver) {
	s := b.listedIncarnation(l.Incarnation)
	if s == nil && l.Boot == "" {
		return
	}
	n := b.notices[l.Incarnation]
	if n == nil {
		n = &notices{unlistedAt: now}
		b.notices[l.Incarnation] = n
	}
	if n.leaving {
		return
	}
	n.leaving, n.leavingSince, n.leavingBy = true, now-l.Age, l.By
	if s != nil {
		b.attachNotices(s)
		b.announce(now, s)
	}
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
		if !n.listed && asOf-n.unlistedAt > noticeRetention {
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

// detachNotices takes the notices from an upstream that is no longer listed. Those of an
// unknown boot are deleted.
func (b *Balancer) detachNotices(now time.Duration, s *upstreamState) {
	if s.notices == nil {
		return
	}
	s.notices.listed, s.notices.unlistedAt = false, now
	if s.Boot == "" {
		delete(b.notices, incarnationOf(s.Upstream))
	}
	s.notices = nil
}

// announce calls OnTransition for the conditions of an upstream that have begun or ended.
func (b *Balancer) announce(now time.Duration, s *upstreamState) {
	leaving := s.listed && (s.Leaving || s.notices.bars())
	if leaving == s.announced.leaving {
		return
	}
	t := Transition{Upstream: s.Upstream, Condition: Leaving, By: s.announced.by, Ended: !leaving, For: max(now-s.announced.since, 0)}
	if leaving {
		s.announced = announced{leaving: true, since: now, by: s.leavingBy()}
		t.By, t.For = s.announced.by, 0
	} else {
		s.announced = announced{}
	}
	if b.cfg.OnTransition != nil {
		b.cfg.OnTransition(t)
	}
}

// leavingBy returns who said that the upstream leaves.
func (s *upstreamState) leavingBy() string {
	switch {
	case !s.notices.bars():
		return ByList
	case s.notices.leavingBy == "":
		return ByAnswer
	default:
		return string(s.notices.leavingBy)
	}
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

// CountLeaving returns the number of listed upstreams that leave, by their own word or by
// the list.
func (b *Balancer) CountLeaving() (leaving int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		if s.announced.leaving {
			leaving++
		}
	}
	return leaving
}
