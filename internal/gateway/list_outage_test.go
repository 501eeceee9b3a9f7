package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

var errPlatformAway = errors.New("platform unreachable")

// startOutage starts routers that share a list, and returns once the platform has been away
// for longer than maxListAge and sourceIdleTimeout. began is the time of its last answer or
// later.
func startOutage(t *testing.T, count int) (routers []*testRouter, membership fleet.Membership, began time.Duration) {
	t.Helper()
	routers, membership = startRouters(t, count)
	for _, r := range routers {
		r.lister.setList(nil, testUpstream("a"), testUpstream("b"))
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
		r.SetUpstreams(0, r.latest.upstreams())
	}
	for _, r := range routers {
		r.lister.setList(errPlatformAway)
	}
	began = routers[0].list.clock()
	time.Sleep(maxListAge + sourceIdleTimeout + time.Second)
	return routers, membership, began
}

// listAsOf returns the time of the router's list.
func (r *testRouter) listAsOf() time.Duration {
	current, _ := r.list.newest()
	return current.asOf
}

// hasStaleList reports whether the router's list is stale.
func (r *testRouter) hasStaleList() bool {
	current, _ := r.list.newest()
	return current.isStale(r.list.clock())
}

// awaitSharedLoads waits until each router knows what the others have in flight, which is
// changed first.
func awaitSharedLoads(routers []*testRouter, inFlight int) {
	for _, r := range routers {
		r.setRunning(map[fleet.UpstreamID]int{"a": inFlight})
	}
	for _, r := range routers {
		await(func() bool { return r.hasPeerActivities(map[fleet.UpstreamID]int{"a": inFlight * (len(routers) - 1)}) })
	}
}

// Routers go on telling each other their loads while the platform can't be reached, also
// through relays.
func TestLoadsAreSharedWithoutPlatform(t *testing.T) {
	for _, count := range []int{3, placement.MaxRelays + 8} {
		t.Run(fmt.Sprint(count, " routers"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			routers, _, began := startOutage(t, count)
			awaitSharedLoads(routers, 1)
			awaitSharedLoads(routers, 3)
			for _, r := range routers {
				is.True(r.hasStaleList())
				is.True(r.listAsOf() <= began+2*sourceIdleTimeout) // an update delayed for longer loses its source, on each of two hops
			}
		})
	}
}

// A prompt part that ends upstreams is quarantined at all routers, and an upstream that says
// that it leaves gets no new work from any, while the platform can't be reached.
func TestEvidenceIsSharedWithoutPlatform(t *testing.T) {
	for _, count := range []int{4, placement.MaxRelays + 8} {
		t.Run(fmt.Sprint(count, " routers"), func(t *testing.T) {
			t.Parallel()
			routers, _, _ := startOutage(t, count)
			const deadly = 0xdd
			for i, r := range routers[:3] { // each router sees one upstream end
				r.MergeSuspicions(time.Second, []balance.Suspicion{{Key: balance.PartKey(deadly), Breaks: []balance.Break{{Upstream: uint64(i), Next: uint64(i)}}}})
			}
			last := routers[len(routers)-1]
			last.MergeLeavers(time.Second, []balance.Leaver{{Incarnation: balance.Incarnation{ID: "b"}}})
			for _, r := range routers {
				await(func() bool {
					part, _, ok := r.Quarantined(time.Second, []balance.PromptPart{{ID: deadly}, {ID: 7}})
					return ok && part == deadly
				})
				await(func() bool { leaving, _ := r.CountConditions(0); return leaving == 1 })
			}
			is.New(t).True(len(last.Leavers(time.Second)) == 1)
		})
	}
}

// During an outage routers neither open streams again and again nor exhaust the platform's
// rate limit.
func TestOutageCausesNoCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	routers, membership, _ := startOutage(t, placement.MaxRelays+8)
	awaitSharedLoads(routers, 1)
	opened, reads := int64(0), 0
	count := func() (o int64, n int) {
		for i, r := range routers {
			o += r.opened.Load()
			if membership.Members[i].ID != placement.Relays(membership)[0].ID {
				n += r.lister.readCount()
			}
		}
		return o, n
	}
	opened, reads = count()
	const searches = 3 // at most in the time below, with a pause of firstSearchPause or more
	time.Sleep(2 * firstSearchPause)
	openedAfter, readsAfter := count()
	is.True(openedAfter-opened <= int64(searches*len(routers)))
	is.True(readsAfter-reads <= searches*placement.MaxRelays)
}

// The calls of all relays at the platform stay below its rate in each second of an outage.
func TestSearchesStayWithinThePlatformsRate(t *testing.T) {
	is := is.New(t)
	const (
		step     = 50 * time.Millisecond
		maxCalls = 42 // a second
	)
	stale := &snapshot{asOf: -searchAge - 1}
	calls := make(map[int]int)
	for range placement.MaxRelays - 1 {
		var p searchPace
		is.True(!p.due(0, &snapshot{}, 1))
		var searches []time.Duration
		for now := time.Duration(0); now < time.Minute; now += step {
			if p.due(now, stale, 1) {
				searches = append(searches, now)
				calls[int(now/time.Second)]++
			}
		}
		is.Equal(searches[0], time.Duration(0)) // a fresh list is searched for at once
		for i, at := range searches[1:] {
			is.True(at-searches[i] >= firstSearchPause)
			is.True(at-searches[i] <= sourceBackoff*3/2+step)
		}
		is.True(len(searches) <= 14)
		is.True(!p.due(time.Minute, &snapshot{asOf: time.Minute}, 1))
		is.True(p.due(time.Minute, &snapshot{asOf: time.Minute + stale.asOf}, 1)) // the next outage begins as the first
	}
	for _, n := range calls {
		is.True(n+1 <= maxCalls) // and the reader's
	}
}

// All relays read a list that takes long to read, and exhaust the platform's rate, if a search
// begins between two reads that succeed.
func TestListUnderwayIsNotSearchedFor(t *testing.T) {
	const readPause = time.Second
	for _, readTime := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1430 * time.Millisecond} { // 60 pages
		t.Run(readTime.String(), func(t *testing.T) {
			is := is.New(t)
			var p searchPace
			s := &snapshot{readTime: readTime}
			for now := readTime; now < time.Minute; now += heartbeatInterval {
				for s.asOf+2*readTime+readPause <= now { // the next read has ended
					s.asOf += readTime + readPause
				}
				is.True(!p.due(now, s, 1))
				is.True(!s.isStale(now)) // the reader's followers stay with it
			}
		})
	}
}

// All relays read a long list at once when the reader couldn't, and none of them could finish.
func TestSearchesForALongListFollowEachOther(t *testing.T) {
	is := is.New(t)
	const readTime = 1430 * time.Millisecond
	stale := &snapshot{readTime: readTime}
	var starts []time.Duration
	for position := 1; position < placement.MaxRelays; position++ {
		var p searchPace
		for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
			if p.due(now, stale, position) {
				starts = append(starts, now)
			}
		}
	}
	slices.Sort(starts)
	is.True(starts[0] <= 2*readTime+searchAge+readTime+50*time.Millisecond)
	for i := range starts[2:] {
		is.True(starts[i+2]-starts[i] >= readTime) // two at a time, each within firstReadTimeout
	}
}

// A follower leaves a source only for a list that is fresh and newer than the source's.
func TestSourceIsLeftOnlyForAFresherList(t *testing.T) {
	const now = time.Minute
	cases := []struct {
		name                     string
		sourceAge, age, patience time.Duration
		outdated                 bool
	}{
		{"both are fresh", time.Second, 0, 0, false},
		{"both are stale", 9 * time.Second, 3 * time.Second, 0, false},
		{"the source's is as new, its update was delayed", 2100 * time.Millisecond, 1900 * time.Millisecond, 0, false},
		{"the source is new and stale", 3 * time.Second, 100 * time.Millisecond, 0, true},
		{"the source may get it yet", 3 * time.Second, 100 * time.Millisecond, catchUpTime, false},
		{"the source has had time to get it", 4 * time.Second, 1100 * time.Millisecond, catchUpTime, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(isOutdated(now, &snapshot{asOf: now - tc.sourceAge}, &snapshot{asOf: now - tc.age}, tc.patience), tc.outdated)
		})
	}
}

// Followers of a relay whose list is stale change to one whose list is fresh.
func TestStaleRelayIsLeft(t *testing.T) {
	t.Parallel()
	routers, membership := startRouters(t, placement.MaxRelays+8)
	relays := placement.Relays(membership)
	for _, r := range routers {
		r.lister.setList(nil, testUpstream("a"))
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
	}
	var stale fleet.InstanceID
	for _, m := range membership.Members {
		if sources, reads := sourcesOf(m, relays); !reads {
			stale = sources[0].ID
		}
	}
	for i, r := range routers {
		if membership.Members[i].ID == stale {
			r.lister.setList(errPlatformAway)
			r.pool.Close() // it can't reach other relays either
		} else {
			r.lister.setList(nil, testUpstream("b"))
		}
	}
	for i, r := range routers {
		if membership.Members[i].ID != stale {
			await(func() bool { return r.listsUpstream("b") && !r.hasStaleList() })
		}
	}
}

// A follower that can't reach the platform gets the fresh list of a source that can, though
// the preferred source can't either.
func TestFreshSourceIsFound(t *testing.T) {
	t.Parallel()
	routers, membership := startRouters(t, 4)
	relays := placement.Relays(membership)
	for _, r := range routers {
		r.lister.setList(nil, testUpstream("a"))
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
	}
	for i, r := range routers {
		if membership.Members[i].ID == relays[1].ID {
			r.lister.setList(nil, testUpstream("b"))
		} else {
			r.lister.setList(errPlatformAway)
		}
	}
	for i, r := range routers {
		if membership.Members[i].ID != relays[0].ID {
			await(func() bool { return r.listsUpstream("b") })
		}
	}
}

// All routers adopt the list of a platform that answers again, and one reads it.
func TestPlatformReturns(t *testing.T) {
	for _, count := range []int{4, placement.MaxRelays + 8} {
		t.Run(fmt.Sprint(count, " routers"), func(t *testing.T) {
			t.Parallel()
			routers, _, _ := startOutage(t, count)
			for _, r := range routers {
				r.lister.setList(nil, testUpstream("a"), testUpstream("c"))
			}
			for _, r := range routers {
				await(func() bool { return r.listsUpstream("c") && !r.hasStaleList() })
			}
			awaitSharedLoads(routers, 2)
		})
	}
}

// A source that restarts while the platform is away gets the list of the others, as old as it
// is, and all go on sharing loads.
func TestSourceRestartsWithoutPlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	routers, membership, _ := startOutage(t, 4)
	for i, m := range membership.Members {
		if m.ID != placement.Relays(membership)[0].ID {
			continue
		}
		routers[i].stop(t)
		listener, err := net.Listen("tcp", m.Addr)
		is.NoErr(err)
		routers[i] = startRouter(t, m, membership, listener, routers[i].lister)
		await(func() bool { return routers[i].listsUpstream("a") })
		is.True(routers[i].hasStaleList())
	}
	awaitSharedLoads(routers, 5)
}

// What the lost source told stays known until another source tells it anew.
func TestTotalsOutliveTheirSource(t *testing.T) {
	is := is.New(t)
	pool := mesh.NewPool(mesh.Config{Instance: "self"})
	defer pool.Close()
	var relays []fleet.Member
	for i := range placement.MaxRelays {
		relays = append(relays, fleet.Member{ID: fleet.InstanceID(fmt.Sprint("relay-", i)), Addr: "127.0.0.1:1"})
	}
	l := newUpstreamList(upstreamListConfig{
		log: hclog.NewNullLogger(), clock: fleet.MonotonicClock(), self: fleet.Member{ID: "self"}, pool: pool, loads: new(testRouter),
		relays: func() []fleet.Member { return relays }, needed: func() bool { return true },
	})
	totals := activitiesOf(map[fleet.UpstreamID]int{"a": 5})
	l.loadTotals.setTotals(totals, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx)
	}()
	await(func() bool { return l.hasFailed(relays[1].ID) && l.hasFailed(relays[2].ID) })
	is.Equal(l.loadTotals.fleetActivities(l.clock()), totals)
	cancel()
	<-done
}

// A follower doesn't leave its source for a preferred one that had failed and still sends nothing.
func TestFailedSourceIsTriedBesideTheFollowedOne(t *testing.T) {
	is := is.New(t)
	routers, membership := startRouters(t, 3)
	relays := placement.Relays(membership)
	byID := make(map[fleet.InstanceID]*testRouter)
	for i, r := range routers {
		byID[membership.Members[i].ID] = r
		r.lister.setList(nil, testUpstream("a"))
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
	}
	byID[relays[0].ID].stop(t)
	listener, err := net.Listen("tcp", relays[0].Addr)
	is.NoErr(err)
	var tries atomic.Int64 // of the last relay
	silent := mesh.NewServer(mesh.Config{Instance: relays[0].ID})
	silent.HandleBackground(MethodList, func(ctx context.Context, s *mesh.Stream, _ []byte) error {
		if s.Peer() == string(relays[2].ID) {
			tries.Add(1)
		}
		<-ctx.Done()
		return ctx.Err()
	})
	go func() { _ = silent.Serve(listener) }()
	t.Cleanup(func() { _ = silent.Shutdown(context.Background()) })

	source := byID[relays[1].ID]
	await(func() bool { return source.opened.Load() == 1 })
	before := tries.Load()
	await(func() bool { return tries.Load() >= before+2 }) // the first of these has failed
	is.Equal(source.opened.Load(), int64(1))
}

// No router follows one that follows it: a stale list would be handed round as fresh.
func TestSourcesFormNoCycle(t *testing.T) {
	for _, count := range []int{2, 5, placement.MaxRelays, placement.MaxRelays + 8, 410} {
		is := is.New(t)
		var m fleet.Membership
		for i := range count {
			m.Members = append(m.Members, fleet.Member{ID: fleet.InstanceID(fmt.Sprint("front-", i))})
		}
		relays := placement.Relays(m)
		rank := make(map[fleet.InstanceID]int)
		for i, r := range relays {
			rank[r.ID] = i + 1
		}
		for _, member := range m.Members {
			own := rank[member.ID]
			if own == 0 {
				own = len(relays) + 1
			}
			sources, _ := sourcesOf(member, relays)
			for _, s := range sources {
				is.True(rank[s.ID] > 0)
				is.True(rank[s.ID] < own)
			}
		}
	}
}

// Followers of the release before open streams without a pause if they are sent stale lists.
func TestEarlierReleaseGetsNoStaleList(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	l := newUpstreamList(upstreamListConfig{self: fleet.Member{ID: "self"}, clock: func() time.Duration { return now }, loads: new(testRouter)})
	var request ListRequest
	_, err := request.UnmarshalMsg([]byte("\x81\xa1d\x05")) // d: 5
	is.NoErr(err)
	is.Equal(request, ListRequest{Digest: 5})
	is.NoErr(l.sendUpdate(context.Background(), nil, testSnapshot(now-3*time.Second, testUpstream("a")), nil, &request, nil)) // nothing is sent
}
