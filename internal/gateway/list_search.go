package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

const (
	// catchUpTime is the time that a followed source has to get a list as fresh as its
	// follower's: the source reads the platform's list each second.
	catchUpTime = time.Second
	// listTimeError bounds how much newer than it is a list appears to a follower, because
	// its update was delayed on the way.
	listTimeError = 500 * time.Millisecond
	// searchAge is the age, see snapshot.agesFrom, of the followed source's list from which a
	// fresh one is searched for. With a heartbeat more it is the age at which a follower leaves
	// a source that has fallen silent.
	searchAge = maxListAge + sourceIdleTimeout - heartbeatInterval
	// firstSearchPause is the pause after the first search for a fresh list. It doubles
	// with each search up to sourceBackoff, so that all routers together stay within the
	// platform's rate limit.
	firstSearchPause = time.Second
)

// isStale reports whether the list exceeds maxListAge.
func (s *snapshot) isStale(now time.Duration) bool { return now-s.agesFrom() > maxListAge }

// isOutdated reports whether a source's list is stale while the follower has a fresh one
// of another origin, which the source had the given time to get as well.
func isOutdated(now time.Duration, source, own *snapshot, patience time.Duration) bool {
	return source.isStale(now) && !own.isStale(now) && own.asOf-source.asOf > listTimeError && now-own.asOf >= patience
}

// searchPace paces the searches for a fresh list while the source's exceeds searchAge.
type searchPace struct {
	next  time.Duration // time of the next search
	pause time.Duration // after the latest search; 0 if there was none
}

// due reports whether a search is due, and expects the next one after a longer pause. The
// first one is due as soon as the source's list exceeds searchAge; at a relay, by as many reads
// later as relays precede it, so that not all of them read a long list at once.
func (p *searchPace) due(now time.Duration, source *snapshot, position int) bool {
	if now-source.agesFrom() <= searchAge+time.Duration(position)*source.readTime {
		*p = searchPace{}
		return false
	}
	if p.pause > 0 && now < p.next {
		return false
	}
	p.pause = min(max(2*p.pause, firstSearchPause), sourceBackoff)
	p.next = now + max(p.pause+rand.N(p.pause/2), placement.MaxRelays*source.readTime)
	return true
}

// searchOnce runs f in the background unless an earlier search still runs.
func (l *upstreamList) searchOnce(f func()) {
	if !l.searching.CompareAndSwap(false, true) {
		return
	}
	l.searches.Go(func() {
		defer l.searching.Store(false)
		l.guard.Run("upstream list: search", f)
	})
}

// search reads the list from the platform in the background, if this router may, and
// otherwise or if that fails asks another source than the followed one for a fresh list.
func (l *upstreamList) search(ctx context.Context, followed string) {
	l.searchOnce(func() {
		sources, reads := sourcesOf(l.self, l.relays())
		if reads {
			l.readFromPlatform(ctx)
		}
		if current, _ := l.newest(); current.isStale(l.clock()) {
			l.peekNext(ctx, sources, followed)
		}
	})
}

// retry asks a source that had failed for its list in the background, and records whether
// it may be followed again.
func (l *upstreamList) retry(ctx context.Context, source fleet.Member) {
	l.searchOnce(func() { l.setFailed(source.ID, l.peek(ctx, source.Addr) != nil) })
}

// peekNext asks the next of the given routers, in turn, for its list. This router and
// the followed one are left out.
func (l *upstreamList) peekNext(ctx context.Context, routers []fleet.Member, followed string) {
	var others []fleet.Member
	for _, m := range routers {
		if m.ID != l.self.ID && m.Addr != followed {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return
	}
	m := others[(l.peeks.Add(1)-1)%uint64(len(others))]
	if err := l.peek(ctx, m.Addr); err != nil {
		l.log.Debug("cannot get the upstream list of another source", "peer", string(m.ID), "error", err)
	}
}

// peek adopts a router's list, if it is fresh or this router has none, without following
// that router. The error is errListStale if that list is stale and this router's is fresh.
func (l *upstreamList) peek(ctx context.Context, addr string) error {
	stream, known, err := l.openList(ctx, addr)
	if err != nil {
		return fleet.At(err, "gateway.peek", addr)
	}
	defer stream.Close()
	u, s, err := l.readUpdate(ctx, stream, idleTimeout(known), known)
	if err == nil && u.Pending {
		err = errListGap
	}
	if err != nil {
		return fleet.At(err, "gateway.peek", addr)
	}
	l.mergeReport(&u.Totals, l.mergeSuspicions) // before new upstreams may get requests
	now := l.clock()
	current, _ := l.newest()
	if current == nil || !s.isStale(now) {
		l.adopt(s)
	}
	l.mergeReport(&u.Totals, l.mergeLeaving)
	if current != nil && isOutdated(now, s, current, 0) {
		return fleet.At(errListStale, "gateway.peek", addr)
	}
	return nil
}
