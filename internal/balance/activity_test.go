package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// Engines that fail some of their requests without being ejected must be avoided based on
// the outcomes at all routers: in a large fleet one router sees too few of each engine.
func TestGreyUpstreamsAreAvoided(t *testing.T) {
	cases := []struct {
		name       string
		pool       *routes.Pool
		others     func(i int) Activity // other routers' activity at upstream i of the list
		mostShare  float64              // largest fraction of requests for the first two upstreams
		leastShare float64              // smallest fraction of requests for them
	}{
		{"none fails", engines, func(int) Activity { return Activity{Ended: 20} }, 0.5, 0.1},
		{"two of a service fail two fifths", services, func(i int) Activity {
			if i < 2 {
				return Activity{Ended: 20, Failed: 8}
			}
			return Activity{Ended: 20}
		}, 0.5, 0.1}, // the other instances can't take their work
		{"two engines fail two fifths", engines, func(i int) Activity {
			if i < 2 {
				return Activity{Ended: 20, Failed: 8}
			}
			return Activity{Ended: 20}
		}, 0, 0},
		{"all fail alike", engines, func(int) Activity { return Activity{Ended: 20, Failed: 8} }, 0.5, 0.1},
		{"too few outcomes", engines, func(i int) Activity {
			if i < 2 {
				return Activity{Ended: 2, Failed: 1}
			}
			return Activity{Ended: 20}
		}, 0.5, 0.1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			list := fleetOf(tc.pool, 8)
			b := newBalancer(list)
			now := 20 * time.Second
			others := Activities{}
			for i, l := range list {
				others[l.ID] = tc.others(i)
			}
			const requests = 400
			got := 0
			for i := range uint64(requests) {
				b.SetPeerActivities(now, others)
				request := chat(i, i)
				request.Pool = tc.pool
				p := b.Choose(now, request, onlyRouterSession())
				if p.Upstream.ID == list[0].ID || p.Upstream.ID == list[1].ID {
					got++
				}
				p.End(now, OutcomeUnknown)
				now += time.Millisecond
			}
			is.True(float64(got) <= tc.mostShare*requests)
			is.True(float64(got) >= tc.leastShare*requests)
		})
	}
}

// Outcomes must stop counting after outcomeWindow.
func TestOutcomesExpire(t *testing.T) {
	is := is.New(t)
	var o outcomes
	for i := range 10 {
		o.record(time.Minute+time.Duration(i)*time.Second, i%2 == 0)
	}
	ended, failed := o.sum(time.Minute + 9*time.Second)
	is.Equal(ended, 8)
	is.Equal(failed, 4)
	ended, _ = o.sum(time.Minute + 9*time.Second + outcomeWindow)
	is.Equal(ended, 0)
}
