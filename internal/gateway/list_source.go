package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// MethodList opens a stream on which a router sends the upstream list and its
// changes to a follower.
const MethodList = "gateway.list"

const (
	// heartbeatInterval is the interval of heartbeat updates while the list doesn't change.
	heartbeatInterval = 400 * time.Millisecond
	// sourceIdleTimeout is the idle timeout of a source, after which a follower switches to
	// another one. Together with the read interval it stays below the time after which
	// a leaving upstream must get no more requests.
	sourceIdleTimeout = time.Second
	// firstIdleTimeout is the idle timeout until a router has received its first list, which
	// may be long and sent to all followers of the source at once. It is also the time that a
	// relay with two sources retries them before it reads its first list itself.
	firstIdleTimeout = 2 * time.Second
	// maxListAge is the age, see snapshot.agesFrom, up to which a list is fresh: it allows for a
	// read each second, some tenths of a second to transfer a long list, and two routers on the
	// path.
	maxListAge = 2 * time.Second
	// maxSources is the number of routers a relay tries to follow before it reads the
	// list itself. The other routers of a large fleet never read it: together they would
	// exhaust the platform's rate limit.
	maxSources = 2
	// sourceBackoff is the backoff before a failed source is tried again.
	sourceBackoff = 5 * time.Second
	// sourceRetryPause is the pause before a source is tried again within sourceBackoff,
	// because all others have failed as well.
	sourceRetryPause = 400 * time.Millisecond
	// openTimeout bounds opening a stream.
	openTimeout = 500 * time.Millisecond
	// relayWait is the time that a router which knows no other routers waits for
	// the membership before it reads the list itself. A random time of up to the same
	// length is added, so that the routers of a starting fleet don't read at once.
	relayWait = 2 * time.Second
	// relayPoll is the interval at which the membership is checked during relayWait.
	relayPoll = 10 * time.Millisecond
)

// upstreamListConfig configures an upstreamList.
type upstreamListConfig struct {
	log      hclog.Logger
	clock    fleet.Clock
	self     fleet.Member
	lister   Lister
	interval time.Duration // between two reads of the list from the platform
	pool     *mesh.Pool
	// relays returns the routers that distribute the list: the first one reads it, the
	// other relays follow the first, and all other routers follow one of these.
	relays func() []fleet.Member
	// needed reports whether this router uses the list yet. The list is not read until it
	// does.
	needed   func() bool
	loads    Loads
	guard    *fleet.Guard
	onChange func(asOf time.Duration, s *snapshot) // called for each changed list
}

// upstreamList keeps the upstream list up to date. One router of the fleet reads it from the
// platform; the others follow that router, in large fleets through relays. A router
// that receives nothing from its source switches to the next one, or reads the list
// itself. It is safe for concurrent use.
type upstreamList struct {
	upstreamListConfig
	loadTotals   *loadAggregator // of the followers
	demandTotals *demandAggregator

	pending    atomic.Bool    // the first list is being read, by this router or its source
	readFailed atomic.Bool    // the latest read by this router
	searching  atomic.Bool    // a search for a fresh list runs
	searches   sync.WaitGroup // of the running search
	peeks      atomic.Uint64  // selects the source that is peeked at next

	adopting sync.Mutex // held until onChange has returned, so that lists are passed on in order
	mu       sync.Mutex
	current  *snapshot
	changed  chan struct{}                      // closed when there is a newer list
	failed   map[fleet.InstanceID]time.Duration // time of each source's latest failure
	began    time.Duration                      // when the list began to be needed
	updated  time.Duration                      // when a list was last adopted
}

func newUpstreamList(cfg upstreamListConfig) *upstreamList {
	return &upstreamList{
		upstreamListConfig: cfg, loadTotals: newLoadAggregator(cfg.loads.Activities), demandTotals: newDemandAggregator(cfg.loads.Demands), changed: make(chan struct{}),
		failed: make(map[fleet.InstanceID]time.Duration),
	}
}

// run keeps the list up to date until ctx ends.
func (l *upstreamList) run(ctx context.Context) {
	l.awaitRelays(ctx)
	l.setBegan()
	defer l.searches.Wait()
	for ctx.Err() == nil {
		source, ok := l.source()
		if !ok {
			l.loadTotals.setTotals(nil, nil)
			l.demandTotals.setTotals(balance.Demands{}, balance.Demands{})
			l.readFromPlatform(ctx)
			if !l.hasList() {
				l.peekNext(ctx, l.relays(), "") // an old list serves until the platform answers
			}
			fleet.Pause(ctx, l.interval)
			continue
		}
		if l.failedLately(source.ID) && !fleet.Pause(ctx, sourceRetryPause) {
			return
		}
		err := l.follow(ctx, source.Addr)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errSourceChanged) {
			continue
		}
		l.log.Info("lost the source of the upstream list", "peer", string(source.ID), "error", err)
		l.setFailed(source.ID, true)
	}
}

// awaitRelays waits until the list is needed and relays are known. It stops waiting
// for relays after relayWait and a random time of up to the same length.
func (l *upstreamList) awaitRelays(ctx context.Context) {
	if !fleet.Await(ctx, relayPoll, l.needed) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait+rand.N(relayWait))
	defer cancel()
	fleet.Await(ctx, relayPoll, func() bool { return len(l.relays()) > 0 })
}

// setBegan records that the list is needed from now on.
func (l *upstreamList) setBegan() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.began = l.clock()
}

// source returns the router to follow; ok is false if this router reads the list
// itself. If all sources have failed recently, a router that must not read the list
// retries the one that failed first, and so does a relay until it is to read, see mayRead.
func (l *upstreamList) source() (source fleet.Member, ok bool) {
	candidates, reads := sourcesOf(l.self, l.relays())
	position := l.position()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	oldest := now
	for _, c := range candidates {
		if !l.isBackedOff(c.ID, now) {
			return c, true
		}
		if at := l.failed[c.ID]; at < oldest {
			source, oldest = c, at
		}
	}
	return source, !(reads && l.mayRead(now, position)) && source.ID != ""
}

// mayRead reports whether a relay whose sources have failed is to read the list itself. If all
// relays read at once, the platform's rate limit lets none of them finish a long list. So the
// reader's successor reads at once, and each later relay by one read later than the one before
// it. A relay without a list waits while its source says that one is being read and, unless it
// is the successor, for firstIdleTimeout. l.mu must be held.
func (l *upstreamList) mayRead(now time.Duration, position int) bool {
	switch {
	case l.current == nil && l.pending.Load():
		return false
	case position < maxSources:
		return true
	case l.current == nil:
		return now >= l.began+firstIdleTimeout
	default:
		return now >= l.updated+time.Duration(position-1)*l.current.readTime
	}
}

// isBackedOff reports whether a source has failed within sourceBackoff. l.mu must be held.
func (l *upstreamList) isBackedOff(id fleet.InstanceID, now time.Duration) bool {
	at, failed := l.failed[id]
	return failed && now-at <= sourceBackoff
}

// failedLately reports whether a source has failed within sourceBackoff.
func (l *upstreamList) failedLately(id fleet.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isBackedOff(id, l.clock())
}

// hasFailed reports whether a source has failed and not answered since.
func (l *upstreamList) hasFailed(id fleet.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, failed := l.failed[id]
	return failed
}

// setFailed records the failure of a source, or that it has answered.
func (l *upstreamList) setFailed(id fleet.InstanceID, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if failed {
		l.failed[id] = l.clock()
	} else {
		delete(l.failed, id)
	}
}

// mayFollow reports whether this router may follow the router at addr.
func (l *upstreamList) mayFollow(addr string) bool {
	sources, _ := sourcesOf(l.self, l.relays())
	return slices.ContainsFunc(sources, func(m fleet.Member) bool { return m.Addr == addr })
}

// sourcesOf returns the routers that self may follow, in order of preference, and
// whether it reads the list itself if these fail. A relay only follows relays that
// precede it, so that no two follow each other. In a large fleet, a router that is not a
// relay follows the relays other than the first, those of its availability zone before others.
func sourcesOf(self fleet.Member, relays []fleet.Member) (sources []fleet.Member, reads bool) {
	index := slices.IndexFunc(relays, func(m fleet.Member) bool { return m.ID == self.ID })
	if index >= 0 {
		return relays[:min(index, maxSources)], true
	}
	if len(relays) < placement.MaxRelays {
		return relays[:min(len(relays), maxSources)], true
	}
	return placement.NearestFirst(relays[1:], self), false
}

// position returns the number of relays that precede this router; 0 for a router that isn't a
// relay, which doesn't read the list.
func (l *upstreamList) position() int {
	isSelf := func(m fleet.Member) bool { return m.ID == l.self.ID }
	return max(slices.IndexFunc(l.relays(), isSelf), 0)
}

// readFromPlatform reads the list from the platform. On a failure the previous list stays in use.
func (l *upstreamList) readFromPlatform(ctx context.Context) {
	timeout := firstReadTimeout
	if current, _ := l.newest(); current != nil {
		timeout = min(minReadTimeout+2*current.readTime, firstReadTimeout)
	} else if !l.readFailed.Load() { // followers turn to another source after a failure
		l.pending.Store(true)
		defer l.pending.Store(false)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asOf := l.clock()
	var list []balance.ListedUpstream
	err := l.guard.Confine("upstream list: read", func() (err error) {
		list, err = l.lister.List(ctx)
		return err
	})
	l.readFailed.Store(err != nil)
	if err != nil {
		l.log.Warn("cannot read the upstream list; keeping the previous one", "error", err)
		return
	}
	s := newSnapshot(asOf, list)
	s.readTime = l.clock() - asOf
	l.adopt(s)
}

const (
	// minReadTimeout bounds one read of a list of a few pages. A longer one gets twice the time
	// of the read before, too.
	minReadTimeout = 1500 * time.Millisecond
	// firstReadTimeout bounds the read of the first list, which has no other one to fall back
	// on: sixty pages while two more routers read. It is the longest time of any read.
	firstReadTimeout = 5 * time.Second
)

// adopt adopts a list that is at least as recent as the current one, and calls onChange if
// its contents have changed.
func (l *upstreamList) adopt(s *snapshot) {
	l.adopting.Lock()
	defer l.adopting.Unlock()
	if l.replace(s) {
		l.onChange(s.asOf, s)
	}
}

// replace makes s the current list unless it is older, and reports whether its contents differ.
func (l *upstreamList) replace(s *snapshot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updated = l.clock()
	former := l.current
	if former != nil && former.asOf > s.asOf {
		return false
	}
	s.numberAfter(former)
	l.current = s
	close(l.changed)
	l.changed = make(chan struct{})
	return former == nil || former.number != s.number
}

// hasList reports whether there is a list.
func (l *upstreamList) hasList() bool {
	current, _ := l.newest()
	return current != nil
}

// newest returns the current list, or nil if there is none, and a channel that is closed
// when a newer one is adopted.
func (l *upstreamList) newest() (*snapshot, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.changed
}
