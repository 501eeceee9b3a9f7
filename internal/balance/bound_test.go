package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// Half of all requests belong to one session. It must be spread over several upstreams
// before the load of its first one exceeds the operators' limit.
func TestHotSessionKeepsTheLoadBound(t *testing.T) {
	is := is.New(t)
	b := newBalancer(fleetOf(engines, 10))
	const now = 20 * time.Second
	for i := range uint64(200) {
		session := uint64(7)
		if i%2 == 0 {
			session = 100 + i
		}
		p := b.Choose(now, chat(session, i), onlyRouterSession())
		is.True(p != nil)
		p.RecordAnswerHead(now, nil) // the request stays in flight
	}
	total, most := 0, 0
	for _, s := range b.states {
		total += s.running
		most = max(most, s.running)
	}
	is.Equal(total, 200)
	mean := float64(total) / 10
	is.True(float64(most) <= 2*mean+3)
}

// The operators' limit is a multiple of the mean load of all upstreams, including those that
// get no work from this router: in a zone taken out of service, leaving, or cold and owned
// by another router.
func TestLoadBoundCountsIdleUpstreams(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(list []ListedUpstream, s *SessionState)
	}{
		{"a zone is emptied", func(_ []ListedUpstream, s *SessionState) {
			s.Out = func(u fleet.Upstream) bool { return u.Zone == "zone-1" }
		}},
		{"a quarter is cold and owned by others", func(list []ListedUpstream, s *SessionState) {
			for i := range list {
				if i%4 == 0 {
					list[i].ColdFor = time.Hour
				}
			}
			s.Owns = func(fleet.UpstreamID) bool { return false }
		}},
		{"a quarter is leaving", func(list []ListedUpstream, _ *SessionState) {
			for i := range list {
				list[i].Leaving = i%4 == 0
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			list, sessionState := fleetOf(engines, 24), onlyRouterSession()
			tc.prepare(list, &sessionState)
			b := newBalancer(list)
			const now = 20 * time.Second
			const requests = 480
			over := 0
			for i := range uint64(requests) {
				session := uint64(7)
				if i%2 == 0 {
					session = 100 + i
				}
				p := b.Choose(now, chat(session, i), sessionState)
				is.True(p != nil)
				p.RecordAnswerHead(now, nil) // the request stays in flight
				if float64(p.Load) > 2*float64(i)/float64(len(list))+3 {
					over++
				}
			}
			is.Equal(over, 0)
		})
	}
}

// If every usable upstream exceeds the bound, the one that exceeds it least must get the
// work, even if keeping the session where it was would save reading its prompt again.
func TestLeastLoadedIsChosenAboveTheBound(t *testing.T) {
	is := is.New(t)
	pool := *engines
	pool.Engine = &routes.Engine{Slots: 64} // sessions can't be fetched
	sessionState := onlyRouterSession()
	sessionState.Out = func(u fleet.Upstream) bool { return u.ID != "language-0" && u.ID != "language-1" }
	b := newBalancer(fleetOf(&pool, 12))
	const now = 20 * time.Second
	request := chat(7, 1)
	request.Pool = &pool
	home := b.Choose(now, request, sessionState)
	others := Activities{"language-0": {Running: 10}, "language-1": {Running: 10}}
	others[home.Upstream.ID] = Activity{Running: 40}
	home.RecordAnswerHead(now, nil)
	home.End(now, OutcomeServed)
	b.SetPeerActivities(now, others)
	next := b.Choose(now, request, sessionState)
	is.True(next.Upstream.ID != home.Upstream.ID)
}

// Many routers choose by the same reports, some tenths of a second old. An engine that has
// just become warm looks idle to all of them, and must not get the requests of all.
func TestRoutersDontOverloadAnIdleEngine(t *testing.T) {
	for _, routers := range []int{20, 81, 410} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			is := is.New(t)
			const count, mean = 60, 13
			list := fleetOf(engines, count)
			const now = 20 * time.Second
			others := Activities{}
			for _, l := range list[1:] {
				others[l.ID] = Activity{Running: mean}
			}
			sessionState := onlyRouterSession()
			sessionState.Routers = routers
			var balancers []*Balancer
			for i := range routers {
				b := New(Config{Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%3)), Seed: uint64(i)})
				b.SetUpstreams(0, list)
				b.SetPeerActivities(now, others)
				balancers = append(balancers, b)
			}
			placed := map[fleet.UpstreamID]int{}
			for i := range uint64(400) { // half a second's requests
				request := &Request{
					Pool: engines, Draw: (i + 1) * 0x9e3779b97f4a7c15, PromptTokens: 830,
					Parts: []PromptPart{{ID: 1 + i%16, Tokens: 120}, {ID: 1000 + i%484, Tokens: 580}, {ID: 1 << 40 * (i + 1), Tokens: 130}},
				}
				p := balancers[i%uint64(routers)].Choose(now, request, sessionState)
				is.True(p != nil)
				p.RecordAnswerHead(now, nil)
				placed[p.Upstream.ID]++
			}
			is.True(placed[list[0].ID] > 0)
			is.True(placed[list[0].ID] <= 2*mean+3)
		})
	}
}

func TestUnreportedRequestsOfOtherRouters(t *testing.T) {
	is := is.New(t)
	s := &upstreamState{}
	s.recordReport(time.Second)
	s.running = 3
	for routers, want := range map[int]float64{0: 0, 1: 0, 2: 1.5, 7: 9, 16: 22.5, 400: 22.5} {
		is.Equal(s.unreported(time.Second, routers), want)
	}
	is.Equal(s.unreported(time.Second+reportAge, 7), 0.0)
	s.recordReport(2 * time.Second)
	is.Equal(s.unreported(2*time.Second, 7), 0.0)
	s.running = 1
	is.Equal(s.unreported(2*time.Second, 7), 0.0) // requests that end say nothing
}

// Six routers send the requests of one key to its engine, and learn of each other's only with the
// next report.
func TestBurstOfOneKeyKeepsTheLoadBound(t *testing.T) {
	for _, routers := range []int{3, 6, 12} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			is := is.New(t)
			const (
				mean      = 4
				burst     = 40
				perWindow = 340 // requests in the 5 s for which operators allow 3 in 100 over the bound
				now       = 20 * time.Second
			)
			list := fleetOf(engines, 10)
			sessionState := onlyRouterSession()
			sessionState.Routers = routers
			others := Activities{}
			for _, l := range list {
				others[l.ID] = Activity{Running: mean}
			}
			var balancers []*Balancer
			for i := range routers {
				b := New(Config{Zone: fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%3)), Seed: uint64(i)})
				b.SetUpstreams(0, list)
				p := b.Choose(now-time.Second, chat(7, uint64(1000+i)), sessionState) // so that the key's home is known
				p.RecordAnswerHead(now-time.Second, nil)
				p.End(now-time.Second, OutcomeServed)
				b.SetPeerActivities(now, others)
				balancers = append(balancers, b)
			}
			placed := map[fleet.UpstreamID]int{}
			over := 0
			for i := range uint64(burst) {
				p := balancers[i%uint64(routers)].Choose(now, chat(7, i), sessionState)
				is.True(p != nil)
				loaded := float64(mean + placed[p.Upstream.ID])
				if loaded > 2*(mean+float64(i)/float64(len(list)))+3 {
					over++
				}
				placed[p.Upstream.ID]++
			}
			is.True(over <= perWindow*3/100)
		})
	}
}
