package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
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

// fakeLister is a Lister with a settable list and error, which counts reads.
type fakeLister struct {
	mu    sync.Mutex
	list  []balance.ListedUpstream
	err   error
	reads int
}

func (f *fakeLister) List(context.Context) ([]balance.ListedUpstream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return f.list, f.err
}

func (f *fakeLister) setList(err error, upstreams ...fleet.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list, f.err = nil, err
	for _, u := range upstreams {
		f.list = append(f.list, balance.ListedUpstream{Upstream: u})
	}
}

func (f *fakeLister) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// testRouter is the upstream list of one router, with a real mesh.
type testRouter struct {
	list   *upstreamList
	lister *fakeLister
	server *mesh.Server
	pool   *mesh.Pool
	cancel context.CancelFunc
	done   chan struct{}
	opened atomic.Int64 // streams that other routers have opened

	mu      sync.Mutex
	latest  *snapshot
	running balance.Activities // of this router
	others  balance.Activities // of the other routers, as last set

	*balance.Balancer // exchanges suspicions
}

func (r *testRouter) Activities(time.Duration) balance.Activities {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.running)
}

// activitiesOf returns activities with the given numbers of requests in flight; for each
// of these, three have ended and one of them has failed.
func activitiesOf(inFlight map[fleet.UpstreamID]int) balance.Activities {
	out := make(balance.Activities)
	for id, n := range inFlight {
		out[id] = balance.Activity{Running: n, Ended: 3 * n, Failed: n}
	}
	return out
}

func (r *testRouter) SetPeerActivities(_ time.Duration, others balance.Activities) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others = others
}

func (r *testRouter) setRunning(inFlight map[fleet.UpstreamID]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = activitiesOf(inFlight)
}

func (r *testRouter) hasPeerActivities(others map[fleet.UpstreamID]int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Equal(r.others, activitiesOf(others))
}

func (r *testRouter) listsUpstream(id fleet.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest == nil {
		return false
	}
	_, found := r.latest.entries[id]
	return found
}

func startRouters(t *testing.T, count int) ([]*testRouter, fleet.Membership) {
	t.Helper()
	var membership fleet.Membership
	var listeners []net.Listener
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		membership.Members = append(membership.Members, fleet.Member{ID: fleet.InstanceID(fmt.Sprint("router-", i)), Addr: l.Addr().String()})
	}
	var routers []*testRouter
	for i, m := range membership.Members {
		routers = append(routers, startRouter(t, m, membership, listeners[i], &fakeLister{}))
	}
	return routers, membership
}

func startRouter(t *testing.T, self fleet.Member, membership fleet.Membership, listener net.Listener, lister *fakeLister) *testRouter {
	r := startListRouter(t, self, membership, listener, lister, 50*time.Millisecond)
	r.lister = lister
	return r
}

func startListRouter(t *testing.T, self fleet.Member, membership fleet.Membership, listener net.Listener, lister Lister, interval time.Duration) *testRouter {
	cfg := mesh.Config{Instance: self.ID}
	r := &testRouter{Balancer: balance.New(balance.Config{}), server: mesh.NewServer(cfg), pool: mesh.NewPool(cfg), done: make(chan struct{})}
	r.list = newUpstreamList(upstreamListConfig{
		log: hclog.NewNullLogger(), clock: fleet.MonotonicClock(), self: self, lister: lister, interval: interval,
		pool: r.pool, loads: r, relays: func() []fleet.Member { return placement.Relays(membership) },
		needed: func() bool { return true },
		onChange: func(_ time.Duration, s *snapshot) {
			r.mu.Lock()
			r.latest = s
			r.mu.Unlock()
		},
	})
	r.server.HandleBackground(MethodList, func(ctx context.Context, s *mesh.Stream, message []byte) error {
		r.opened.Add(1)
		return r.list.serve(ctx, s, message)
	})
	go func() { _ = r.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() {
		defer close(r.done)
		r.list.run(ctx)
	}()
	t.Cleanup(func() { r.stop(t) })
	return r
}

func (r *testRouter) stop(t *testing.T) {
	r.cancel()
	<-r.done
	r.pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		t.Log("cannot shut down the mesh server:", err)
	}
}

// await waits until a condition holds, without a timeout other than that of the test.
func await(done func() bool) {
	for !done() {
		time.Sleep(5 * time.Millisecond)
	}
}

// One router reads the list from the platform, and the others receive it and its changes.
func TestOneRouterReadsTheList(t *testing.T) {
	routers, membership := startRouters(t, 5)
	source := placement.Relays(membership)[0].ID
	for _, r := range routers {
		r.lister.setList(nil, testUpstream("a"))
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
	}
	for i, r := range routers { // only the source can read the changed list
		if membership.Members[i].ID == source {
			r.lister.setList(nil, testUpstream("a"), testUpstream("b"))
		}
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("b") })
	}
}

// If a source stops, its followers switch to the next one, or read the list themselves.
func TestSourceIsLost(t *testing.T) {
	routers, membership := startRouters(t, 4)
	ranking := placement.Relays(membership)
	for _, r := range routers {
		r.lister.setList(nil, testUpstream("a"))
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
	}
	var remaining []*testRouter
	for i, r := range routers {
		if membership.Members[i].ID == ranking[0].ID {
			r.stop(t)
			continue
		}
		remaining = append(remaining, r)
	}
	for _, r := range remaining {
		r.lister.setList(nil, testUpstream("c"))
	}
	for _, r := range remaining {
		await(func() bool { return r.listsUpstream("c") })
	}
}

// The followers of a source that can't read the list from the platform read it themselves.
func TestSourceWithoutPlatform(t *testing.T) {
	routers, membership := startRouters(t, 3)
	source := placement.Relays(membership)[0].ID
	for _, r := range routers {
		r.lister.setList(nil, testUpstream("a"))
	}
	for _, r := range routers {
		await(func() bool { return r.listsUpstream("a") })
	}
	for i, r := range routers {
		if membership.Members[i].ID == source {
			r.lister.setList(errors.New("platform unreachable"))
		} else {
			r.lister.setList(nil, testUpstream("b"))
		}
	}
	for i, r := range routers {
		if membership.Members[i].ID != source {
			await(func() bool { return r.listsUpstream("b") })
		}
	}
	is.New(t).True(routers[0].lister.readCount() > 0)
}

// Every router learns the activities of the others and their end, also if the list
// changes or a router stops meanwhile.
func TestLoadsAreShared(t *testing.T) {
	routers, membership := startRouters(t, 4)
	source := placement.Relays(membership)[0].ID
	for i, r := range routers {
		r.setRunning(map[fleet.UpstreamID]int{"a": i + 1, "gone": 9}) // 1, 2, 3 and 4 at a
		r.lister.setList(nil, testUpstream("a"), testUpstream("b"))
	}
	for i, r := range routers {
		await(func() bool { return r.hasPeerActivities(map[fleet.UpstreamID]int{"a": 10 - (i + 1)}) })
	}
	for _, r := range routers {
		r.lister.setList(nil, testUpstream("0"), testUpstream("a"), testUpstream("b"), testUpstream("c")) // indices have moved
		r.setRunning(map[fleet.UpstreamID]int{"b": 5})
	}
	for _, r := range routers {
		await(func() bool { return r.hasPeerActivities(map[fleet.UpstreamID]int{"b": 15}) })
	}
	stopped := -1
	for i, r := range routers {
		if membership.Members[i].ID != source {
			r.stop(t)
			stopped = i
			break
		}
	}
	for i, r := range routers {
		if i != stopped {
			await(func() bool { return r.hasPeerActivities(map[fleet.UpstreamID]int{"b": 10}) })
		}
	}
}

// A report on another list is ignored, since its indices stand for other upstreams.
func TestReportsOfAnotherList(t *testing.T) {
	is := is.New(t)
	s := testSnapshot(0, testUpstream("a"), testUpstream("b"))
	r := s.encodeReport(4, activitiesOf(map[fleet.UpstreamID]int{"b": 3, "z": 1}), nil)
	is.Equal(s.decodeReport(4, r, new(decodedReport)), activitiesOf(map[fleet.UpstreamID]int{"b": 3}))
	is.True(s.decodeReport(5, r, new(decodedReport)) == nil)
	one := []uint16{1}
	is.True(s.decodeReport(4, &LoadReport{Number: 4, Places: []uint16{7}, Running: one, Ended: one, Failed: one}, new(decodedReport)) == nil)
	is.True(s.decodeReport(4, &LoadReport{Number: 4, Places: one, Running: one, Ended: one}, new(decodedReport)) == nil)
	var none *snapshot
	is.True(none.decodeReport(4, r, new(decodedReport)) == nil)
}

// reportingList returns a list of 3,000 upstreams at half of which requests have ended, and a
// function that returns the report of some requests more.
func reportingList(t *testing.T, acceptsChanges bool) (s *snapshot, next func(number uint64, requests int) (*LoadReport, balance.Activities)) {
	t.Helper()
	var upstreams []fleet.Upstream
	activities := balance.Activities{}
	for i := range 3000 {
		u := testUpstream(fmt.Sprintf("engine-%04d", i))
		upstreams = append(upstreams, u)
		if i%2 == 0 {
			activities[u.ID] = balance.Activity{Ended: 1}
		}
	}
	l := &upstreamList{upstreamListConfig: upstreamListConfig{clock: func() time.Duration { return 0 }, loads: &testRouter{Balancer: balance.New(balance.Config{})}}}
	s = testSnapshot(0, upstreams...)
	last, at := new(lastReport), 0
	return s, func(number uint64, requests int) (*LoadReport, balance.Activities) {
		activities = maps.Clone(activities)
		for range requests {
			id := upstreams[at%len(upstreams)].ID
			activities[id] = activities[id].Plus(balance.Activity{Ended: 1})
			at += 7
		}
		return l.newReport(s, number, activities, acceptsChanges, last), activities
	}
}

// All of 3,000 upstreams were named in each report, several times a second.
func TestReportsRepeatWhatIsKnown(t *testing.T) {
	is := is.New(t)
	_, next := reportingList(t, true)
	next(1, 0)
	const second = time.Second / heartbeatInterval
	bytes := 0
	for range second {
		r, _ := next(1, 200/int(second))
		message, err := r.MarshalMsg(nil)
		is.NoErr(err)
		bytes += len(message)
	}
	is.True(bytes <= 2<<10) // the aim: 2 kB a second
}

func TestReportsOfChangesAddUp(t *testing.T) {
	for _, acceptsChanges := range []bool{true, false} {
		is := is.New(t)
		s, next := reportingList(t, acceptsChanges)
		last := new(decodedReport)
		for i, number := range []uint64{1, 1, 1, 2, 2} {
			r, want := next(number, 100)
			is.Equal(r.Changes, acceptsChanges && i != 0 && i != 3) // the list has changed
			is.Equal(s.decodeReport(number, r, last), want)
		}
		r, _ := next(2, 100)
		if acceptsChanges {
			is.True(s.decodeReport(2, r, new(decodedReport)) == nil) // the receiver lacks what has changed
		}
	}
}

// A request that has ended long ago leaves no trace in the sum.
func TestReportOfChangesRemovesActivity(t *testing.T) {
	is := is.New(t)
	s := testSnapshot(0, testUpstream("a"), testUpstream("b"))
	last := new(decodedReport)
	before, after := activitiesOf(map[fleet.UpstreamID]int{"a": 1, "b": 2}), activitiesOf(map[fleet.UpstreamID]int{"b": 2})
	is.Equal(s.decodeReport(1, s.encodeReport(1, before, nil), last), before)
	r := s.encodeReport(1, after, before)
	is.Equal(r.Places, []uint16{0})
	is.Equal(s.decodeReport(1, r, last), after)
}

// Only the first relay reads the list, and no router has more than a bounded number of
// followers.
func TestFollowersPerRouter(t *testing.T) {
	cases := []struct{ routers, maxFollowers int }{{1, 0}, {5, 4}, {17, 16}, {81, 16}, {410, 45}}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.routers, " routers"), func(t *testing.T) {
			is := is.New(t)
			var m fleet.Membership
			for i := range tc.routers {
				m.Members = append(m.Members, fleet.Member{ID: fleet.InstanceID(fmt.Sprint("front-", i))})
			}
			relays := placement.Relays(m)
			followers := map[fleet.InstanceID]int{}
			readers := 0
			for _, member := range m.Members {
				sources, _ := sourcesOf(member, relays)
				if len(sources) == 0 {
					readers++
					continue
				}
				followers[sources[0].ID]++
				is.True(sources[0].ID != member.ID)
			}
			is.Equal(readers, 1)
			for _, n := range followers {
				is.True(n <= tc.maxFollowers)
			}
		})
	}
}

// Each message of the list and the loads crossed zones for five in six routers.
func TestRoutersFollowRelaysOfOtherZones(t *testing.T) {
	is := is.New(t)
	const zones = 6
	var m fleet.Membership
	for i := range 300 {
		m.Members = append(m.Members, fleet.Member{ID: fleet.InstanceID(fmt.Sprint("front-", i)), Zone: fleet.AvailabilityZone(fmt.Sprint("zone-", i%zones))})
	}
	relays := placement.Relays(m)
	followers, crossing := map[fleet.InstanceID]int{}, 0
	for _, member := range m.Members {
		sources, _ := sourcesOf(member, relays)
		if len(sources) == 0 {
			continue // the reader
		}
		followers[sources[0].ID]++
		if sources[0].Zone != member.Zone {
			crossing++
		}
	}
	is.True(crossing < placement.MaxRelays) // only relays follow a router of another zone
	for _, n := range followers {
		is.True(n <= 45)
	}
}

// A router of a large fleet keeps trying the relays even if all of them fail: the few
// relays may read the list themselves, but not hundreds of routers.
func TestRoutersOfALargeFleetDontRead(t *testing.T) {
	is := is.New(t)
	var m fleet.Membership
	for i := range 300 {
		m.Members = append(m.Members, fleet.Member{ID: fleet.InstanceID(fmt.Sprint("front-", i))})
	}
	relays := placement.Relays(m)
	readers := 0
	for _, member := range m.Members {
		now := time.Minute
		l := newUpstreamList(upstreamListConfig{
			self: member, clock: func() time.Duration { return now }, loads: new(testRouter),
			relays: func() []fleet.Member { return relays },
		})
		for _, r := range relays {
			l.failed[r.ID] = now
			now += time.Millisecond
		}
		if _, ok := l.source(); !ok {
			readers++
		}
	}
	is.Equal(readers, placement.MaxRelays)
}

// Every router learns the sum of activities over all routers, including those that
// follow other relays.
func TestLoadsAcrossRelays(t *testing.T) {
	routers, _ := startRouters(t, placement.MaxRelays+8)
	total := 0
	for i, r := range routers {
		r.setRunning(map[fleet.UpstreamID]int{"a": i + 1})
		r.lister.setList(nil, testUpstream("a"))
		total += i + 1
	}
	for i, r := range routers {
		await(func() bool { return r.hasPeerActivities(map[fleet.UpstreamID]int{"a": total - (i + 1)}) })
	}
	for _, r := range routers {
		r.setRunning(map[fleet.UpstreamID]int{"a": 2})
	}
	for _, r := range routers {
		await(func() bool { return r.hasPeerActivities(map[fleet.UpstreamID]int{"a": 2 * (len(routers) - 1)}) })
	}
}

// A router that knows no other routers yet doesn't read the list for at least relayWait:
// a fleet whose routers all start at once would exhaust the platform's rate limit.
func TestReadAwaitsRelays(t *testing.T) {
	is := is.New(t)
	var relays atomic.Pointer[[]fleet.Member]
	r := &testRouter{lister: &fakeLister{}}
	l := newUpstreamList(upstreamListConfig{
		log: hclog.NewNullLogger(), clock: fleet.MonotonicClock(), self: fleet.Member{ID: "router-0"}, lister: r.lister, interval: time.Hour, loads: r,
		needed: func() bool { return true }, onChange: func(time.Duration, *snapshot) {},
		relays: func() []fleet.Member {
			if known := relays.Load(); known != nil {
				return *known
			}
			return nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx)
	}()
	time.Sleep(relayWait / 10)
	is.Equal(r.lister.readCount(), 0)
	relays.Store(&[]fleet.Member{{ID: "router-0"}}) // it learns that it is the reader
	await(func() bool { return r.lister.readCount() == 1 })
	cancel()
	<-done
}
