package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

func up(id string) fleet.Upstream {
	return fleet.Upstream{ID: fleet.UpstreamID(id), Pool: "pool", Addr: "10.0.0.1:80"}
}

func snap(asOf time.Duration, upstreams ...fleet.Upstream) *snapshot {
	var list []balance.Listed
	for _, u := range upstreams {
		list = append(list, balance.Listed{Upstream: u})
	}
	return newSnapshot(asOf, list)
}

// A follower that applies updates in order holds what the source holds, and an
// unchanged list costs no entries.
func TestUpdatesLeadToTheSourcesList(t *testing.T) {
	leaving := up("b")
	leaving.Leaving = true
	cases := []struct {
		name             string
		before, after    *snapshot
		changed, removed int
	}{
		{"unchanged", snap(0, up("a"), up("b")), snap(time.Second, up("a"), up("b")), 0, 0},
		{"one leaves", snap(0, up("a"), up("b")), snap(time.Second, up("a"), leaving), 1, 0},
		{"one is gone", snap(0, up("a"), up("b")), snap(time.Second, up("a")), 0, 1},
		{"one is new", snap(0, up("a")), snap(time.Second, up("a"), up("c")), 1, 0},
		{"all are replaced", snap(0, up("a")), snap(time.Second, up("c")), 1, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tc.after.after(tc.before)
			now := 2 * time.Second
			var follower *snapshot
			follower = follower.apply(now, tc.before.update(nil, now))
			u := tc.after.update(tc.before, now)
			is.Equal(len(u.Changed), tc.changed)
			is.Equal(len(u.Removed), tc.removed)
			follower = follower.apply(now, u)
			is.Equal(len(follower.entries), len(tc.after.entries))
			for id, e := range tc.after.entries {
				is.Equal(follower.entries[id].Upstream, e.Upstream)
			}
			is.Equal(follower.asOf, tc.after.asOf)
		})
	}
	t.Run("an update without a list in hand", func(t *testing.T) {
		var none *snapshot
		is.New(t).True(none.apply(0, &ListUpdate{}) == nil)
	})
}

// The end of a cold start is told once, not with each read of the list.
func TestColdStartIsOneChange(t *testing.T) {
	is := is.New(t)
	read := func(asOf, coldFor time.Duration) *snapshot {
		return newSnapshot(asOf, []balance.Listed{{Upstream: up("a"), ColdFor: coldFor}})
	}
	first := read(0, 3*time.Second)
	second := read(time.Second, 2050*time.Millisecond) // the same end, measured again
	second.after(first)
	is.Equal(second.number, first.number)
	again := read(2*time.Second, 3*time.Second) // cold once more
	again.after(second)
	is.Equal(again.number, second.number+1)
}

// fakeList is the platform's list, which can fail.
type fakeList struct {
	mu    sync.Mutex
	list  []balance.Listed
	err   error
	reads int
}

func (f *fakeList) List(context.Context) ([]balance.Listed, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return f.list, f.err
}

func (f *fakeList) set(err error, upstreams ...fleet.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list, f.err = nil, err
	for _, u := range upstreams {
		f.list = append(f.list, balance.Listed{Upstream: u})
	}
}

func (f *fakeList) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// node is one router's list keeping over a real mesh.
type node struct {
	lists  *lists
	lister *fakeList
	server *mesh.Server
	pool   *mesh.Pool
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	taken   *snapshot
	running map[fleet.UpstreamID]int // of this router
	others  map[fleet.UpstreamID]int // as told
}

func (n *node) Running() map[fleet.UpstreamID]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.running)
}

func (n *node) SetOthers(_ time.Duration, others map[fleet.UpstreamID]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.others = others
}

func (n *node) run(running map[fleet.UpstreamID]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running = running
}

func (n *node) sees(others map[fleet.UpstreamID]int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Equal(n.others, others)
}

func (n *node) has(id fleet.UpstreamID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.taken == nil {
		return false
	}
	_, found := n.taken.entries[id]
	return found
}

func startNodes(t *testing.T, count int) ([]*node, fleet.Membership) {
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
	var nodes []*node
	for i, m := range membership.Members {
		cfg := mesh.Config{Instance: m.ID}
		n := &node{lister: &fakeList{}, server: mesh.NewServer(cfg), pool: mesh.NewPool(cfg), done: make(chan struct{})}
		n.lists = newLists(listsConfig{
			log: hclog.NewNullLogger(), clock: fleet.MonotonicClock(), self: m.ID, lister: n.lister, interval: 50 * time.Millisecond,
			pool: n.pool, loads: n, members: func() fleet.Membership { return membership },
			take: func(_ time.Duration, s *snapshot) {
				n.mu.Lock()
				n.taken = s
				n.mu.Unlock()
			},
		})
		n.server.HandleBackground(MethodList, n.lists.serve)
		go func() { _ = n.server.Serve(listeners[i]) }()
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		go func() {
			defer close(n.done)
			n.lists.run(ctx)
		}()
		nodes = append(nodes, n)
		t.Cleanup(func() { n.stop(t) })
	}
	return nodes, membership
}

func (n *node) stop(t *testing.T) {
	n.cancel()
	<-n.done
	n.pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := n.server.Shutdown(ctx); err != nil {
		t.Log("mesh not shut down:", err)
	}
}

// await waits for what must come to be; the test's own timeout bounds it.
func await(done func() bool) {
	for !done() {
		time.Sleep(5 * time.Millisecond)
	}
}

func TestOneRouterReadsForAll(t *testing.T) {
	nodes, membership := startNodes(t, 5)
	source := rankSources(membership)[0].ID
	for _, n := range nodes {
		n.lister.set(nil, up("a"))
	}
	for _, n := range nodes {
		await(func() bool { return n.has("a") })
	}
	for i, n := range nodes { // only the source's list says so
		if membership.Members[i].ID == source {
			n.lister.set(nil, up("a"), up("b"))
		}
	}
	for _, n := range nodes {
		await(func() bool { return n.has("b") })
	}
}

// A source that stops is replaced: its followers go on with the next one, or read
// the list themselves.
func TestSourceIsLost(t *testing.T) {
	nodes, membership := startNodes(t, 4)
	ranking := rankSources(membership)
	for _, n := range nodes {
		n.lister.set(nil, up("a"))
	}
	for _, n := range nodes {
		await(func() bool { return n.has("a") })
	}
	var rest []*node
	for i, n := range nodes {
		if membership.Members[i].ID == ranking[0].ID {
			n.stop(t)
			continue
		}
		rest = append(rest, n)
	}
	for _, n := range rest {
		n.lister.set(nil, up("c"))
	}
	for _, n := range rest {
		await(func() bool { return n.has("c") })
	}
}

// A source that can't read the platform's list tells nothing old: followers read
// the list themselves.
func TestSourceWithoutPlatform(t *testing.T) {
	nodes, membership := startNodes(t, 3)
	source := rankSources(membership)[0].ID
	for _, n := range nodes {
		n.lister.set(nil, up("a"))
	}
	for _, n := range nodes {
		await(func() bool { return n.has("a") })
	}
	for i, n := range nodes {
		if membership.Members[i].ID == source {
			n.lister.set(errors.New("cut off"))
		} else {
			n.lister.set(nil, up("b"))
		}
	}
	for i, n := range nodes {
		if membership.Members[i].ID != source {
			await(func() bool { return n.has("b") })
		}
	}
	is.New(t).True(nodes[0].lister.count() > 0)
}

// Every router learns what runs for the others, and that it has ended, also where
// the list changes or a router stops meanwhile.
func TestLoadsAreShared(t *testing.T) {
	nodes, membership := startNodes(t, 4)
	source := rankSources(membership)[0].ID
	for i, n := range nodes {
		n.run(map[fleet.UpstreamID]int{"a": i + 1, "gone": 9}) // 1, 2, 3 and 4 at a
		n.lister.set(nil, up("a"), up("b"))
	}
	for i, n := range nodes {
		await(func() bool { return n.sees(map[fleet.UpstreamID]int{"a": 10 - (i + 1)}) })
	}
	for _, n := range nodes {
		n.lister.set(nil, up("0"), up("a"), up("b"), up("c")) // places have moved
		n.run(map[fleet.UpstreamID]int{"b": 5})
	}
	for _, n := range nodes {
		await(func() bool { return n.sees(map[fleet.UpstreamID]int{"b": 15}) })
	}
	stopped := -1
	for i, n := range nodes {
		if membership.Members[i].ID != source {
			n.stop(t)
			stopped = i
			break
		}
	}
	for i, n := range nodes {
		if i != stopped {
			await(func() bool { return n.sees(map[fleet.UpstreamID]int{"b": 10}) })
		}
	}
}

// A report of another list is of no use: its places mean other upstreams.
func TestReportsOfAnotherList(t *testing.T) {
	is := is.New(t)
	s := snap(0, up("a"), up("b"))
	r := s.report(4, map[fleet.UpstreamID]int{"b": 3, "z": 1})
	is.Equal(s.running(4, r), map[fleet.UpstreamID]int{"b": 3})
	is.Equal(len(s.running(5, r)), 0)
	is.True(s.running(5, r) == nil)
	is.True(s.running(4, &LoadReport{Number: 4, Places: []uint16{7}, Counts: []uint16{1}}) == nil)
	is.True(s.running(4, &LoadReport{Number: 4, Places: []uint16{1}}) == nil)
	var none *snapshot
	is.True(none.running(4, r) == nil)
}
