package gateway

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// pagedPlatform serves a list in pages, of which it gives a limited number a second to all
// callers together.
type pagedPlatform struct {
	pages int
	rate  float64 // pages a second

	mu    sync.Mutex
	until time.Time // up to which pages have been given
	given int
}

// List implements Lister.
func (p *pagedPlatform) List(ctx context.Context) ([]balance.ListedUpstream, error) {
	for range p.pages {
		p.mu.Lock()
		if now := time.Now(); p.until.Before(now) {
			p.until = now
		}
		p.until = p.until.Add(time.Duration(float64(time.Second) / p.rate))
		p.given++
		wait := time.Until(p.until)
		p.mu.Unlock()
		if !fleet.Pause(ctx, wait) {
			return nil, ctx.Err()
		}
	}
	return []balance.ListedUpstream{{Upstream: testUpstream("a")}}, nil
}

func (p *pagedPlatform) givenPages() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.given
}

// unusedAddr returns an address of the given group that is free until a router listens at it, also
// while another process runs the same tests.
func unusedAddr(group, n int) string {
	return fmt.Sprintf("127.173.%d.%d:%d", group, n, 10_000+os.Getpid()%20_000)
}

// Each relay that had waited 2 s for the reader's list, or found no reader yet, read all pages
// itself, and the platform's rate let none of them finish.
func TestStartingRelaysReadALongList(t *testing.T) {
	const pages, rate = 60, 42 // 3,000 upstreams
	cases := []struct {
		name   string
		late   int // relays that start late, from the reader on
		by     time.Duration
		longer int // pages of a longer list
		within time.Duration
	}{
		{"all at once", 0, 0, 0, 2 * time.Second},
		{"the reader is late", 1, time.Second, 0, 4 * time.Second},
		{"two relays are late", 2, time.Second, 0, 4 * time.Second},
		{"a longer list", 0, 0, 60, 4 * time.Second},
	}
	for n, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			platform := &pagedPlatform{pages: pages + tc.longer, rate: rate}
			var membership fleet.Membership
			for i := range placement.MaxRelays + 8 {
				addr := unusedAddr(n+1, i+1)
				membership.Members = append(membership.Members, fleet.Member{ID: fleet.InstanceID(fmt.Sprint("router-", i)), Addr: addr})
			}
			relays := placement.Relays(membership)
			began := time.Now()
			var routers []*testRouter
			start := func(m fleet.Member) {
				l, err := net.Listen("tcp", m.Addr)
				is.NoErr(err)
				routers = append(routers, startListRouter(t, m, membership, l, platform, time.Second))
			}
			isLate := map[fleet.InstanceID]bool{}
			for _, m := range relays[:tc.late] {
				isLate[m.ID] = true
			}
			for _, m := range membership.Members {
				if !isLate[m.ID] {
					start(m)
				}
			}
			time.Sleep(tc.by)
			for _, m := range relays[:tc.late] {
				start(m)
			}
			for _, r := range routers {
				await(func() bool { return r.listsUpstream("a") })
			}
			is.True(time.Since(began) <= tc.within)
			is.True(platform.givenPages() <= 3*platform.pages)
		})
	}
}

// Each relay that lost the reader read all pages itself.
func TestRelaysReadALongListWhenTheReaderIsLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	platform := &pagedPlatform{pages: 60, rate: 42}
	var membership fleet.Membership
	for i := range placement.MaxRelays + 8 {
		membership.Members = append(membership.Members, fleet.Member{
			ID: fleet.InstanceID(fmt.Sprint("router-", i)), Addr: unusedAddr(100, i+1),
		})
	}
	reader := placement.Relays(membership)[0].ID
	var lost *testRouter
	var left []*testRouter
	for _, m := range membership.Members {
		l, err := net.Listen("tcp", m.Addr)
		is.NoErr(err)
		r := startListRouter(t, m, membership, l, platform, time.Second)
		if m.ID == reader {
			lost = r
		} else {
			left = append(left, r)
		}
	}
	for _, r := range left {
		await(func() bool { return r.listsUpstream("a") })
	}
	var lostAt []time.Duration // by the clock of each router
	for _, r := range left {
		lostAt = append(lostAt, r.list.clock())
	}
	given := platform.givenPages()
	lost.stop(t)
	for i, r := range left {
		await(func() bool { return r.listAsOf() >= lostAt[i] })
		is.True(!r.hasStaleList())
	}
	is.True(left[0].list.clock()-lostAt[0] <= 4*time.Second)
	is.True(platform.givenPages()-given <= 2*platform.pages)
}

// hungPlatform never answers.
type hungPlatform struct{}

func (hungPlatform) List(ctx context.Context) ([]balance.ListedUpstream, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// The reader tries again and again, and its followers wait for its list.
func TestReaderWithoutPlatformHoldsUpTheFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	platform := &pagedPlatform{pages: 1, rate: 42}
	var membership fleet.Membership
	for i := range placement.MaxRelays + 8 {
		membership.Members = append(membership.Members, fleet.Member{
			ID: fleet.InstanceID(fmt.Sprint("router-", i)), Addr: unusedAddr(110, i+1),
		})
	}
	reader := placement.Relays(membership)[0].ID
	var others []*testRouter
	began := time.Now()
	for _, m := range membership.Members {
		l, err := net.Listen("tcp", m.Addr)
		is.NoErr(err)
		if m.ID == reader {
			startListRouter(t, m, membership, l, hungPlatform{}, time.Second)
		} else {
			others = append(others, startListRouter(t, m, membership, l, platform, time.Second))
		}
	}
	limit := began.Add(firstReadTimeout + 2*firstIdleTimeout)
	for _, r := range others {
		await(func() bool { return r.listsUpstream("a") || time.Now().After(limit) })
		is.True(r.listsUpstream("a"))
	}
}
