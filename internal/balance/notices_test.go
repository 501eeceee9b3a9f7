package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// observedBalancer returns a balancer whose transitions are appended to the returned slice.
func observedBalancer(list []ListedUpstream) (*Balancer, *[]Transition) {
	var seen []Transition
	b := New(Config{Zone: "zone-0", OnTransition: func(t Transition) { seen = append(seen, t) }})
	b.SetUpstreams(0, list)
	return b, &seen
}

// bootedFleet returns engines that the platform lists with a boot.
func bootedFleet(count int) []ListedUpstream {
	list := fleetOf(engines, count)
	for i := range list {
		list[i].Boot = "1"
	}
	return list
}

// tell has the router get an answer with the notice from the upstream chosen at now.
func tell(b *Balancer, now time.Duration, n Notice) {
	p := b.Choose(now, chat(1, 1), onlyRouterSession())
	p.RecordNotice(now, n)
	p.End(now, OutcomeUnknown)
}

func chosen(b *Balancer, now time.Duration) bool {
	p := b.Choose(now, chat(1, 1), onlyRouterSession())
	if p != nil {
		p.End(now, OutcomeUnknown)
	}
	return p != nil
}

func leavingCount(b *Balancer) int {
	leaving, _ := b.CountConditions(0)
	return leaving
}

// Without the mark, an upstream that says that it leaves gets work until the list shows it,
// and for good if the list never does.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	listed := func(modify func(*ListedUpstream)) func(*Balancer) {
		return func(b *Balancer) {
			list := bootedFleet(1)
			modify(&list[0])
			b.SetUpstreams(time.Minute, list)
		}
	}
	unlisted := func(gap time.Duration) func(*Balancer) {
		return func(b *Balancer) {
			b.SetUpstreams(time.Second, nil)
			b.SetUpstreams(time.Second+gap, bootedFleet(1))
		}
	}
	cases := []struct {
		name  string
		after func(*Balancer)
		now   time.Duration
		works bool
	}{
		{"at once", func(*Balancer) {}, 0, false},
		{"days later with a list that never shows it", func(*Balancer) {}, 72 * time.Hour, false},
		{"listed as ready again", listed(func(*ListedUpstream) {}), time.Hour, false},
		{"listed as leaving and as ready again", func(b *Balancer) {
			listed(func(u *ListedUpstream) { u.Leaving = true })(b)
			listed(func(*ListedUpstream) {})(b)
		}, time.Hour, false},
		{"the same start at another address", listed(func(u *ListedUpstream) { u.Addr = "10.0.9.9:80" }), time.Hour, false},
		{"missing from some reads of the list", unlisted(time.Minute), time.Hour, false},
		{"listed without a boot", func(b *Balancer) {
			listed(func(u *ListedUpstream) { u.Boot = "" })(b)
			listed(func(*ListedUpstream) {})(b)
		}, time.Hour, false},
		{"listed without a boot from now on", listed(func(u *ListedUpstream) { u.Boot = "" }), time.Hour, false},
		{"restarted under its ID and address", listed(func(u *ListedUpstream) { u.Boot = "2" }), time.Hour, true},
		{"another upstream at its address", listed(func(u *ListedUpstream) { u.ID = "language-x" }), time.Hour, true},
		{"forgotten long after it was gone", unlisted(noticeRetention + time.Second), time.Hour, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(bootedFleet(1))
			tell(b, 0, Notice{Leaving: true})
			tc.after(b)
			is.Equal(chosen(b, tc.now), tc.works)
		})
	}
}

// Without a boot, a restart under the same ID is told by a gap in the list alone.
func TestLeavingUpstreamOfUnknownBoot(t *testing.T) {
	const unlisted = time.Minute
	for _, gap := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Hour} {
		is := is.New(t)
		b := newBalancer(fleetOf(engines, 1))
		tell(b, 0, Notice{Leaving: true})
		if gap > 0 {
			b.SetUpstreams(unlisted, nil)
		}
		b.SetUpstreams(unlisted+gap, fleetOf(engines, 1))
		is.Equal(chosen(b, unlisted+gap), gap > 3*time.Second)
	}
	t.Run("said while it is missing from the list", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(fleetOf(engines, 1))
		p := b.Choose(0, chat(1, 1), onlyRouterSession())
		b.SetUpstreams(time.Second, nil)
		p.RecordNotice(1500*time.Millisecond, Notice{Leaving: true})
		b.SetUpstreams(2*time.Second, fleetOf(engines, 1))
		is.True(!chosen(b, time.Hour))
	})
	t.Run("another address", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(fleetOf(engines, 1))
		tell(b, 0, Notice{Leaving: true})
		moved := fleetOf(engines, 1)
		moved[0].Addr = "10.0.9.9:80"
		b.SetUpstreams(time.Second, moved)
		is.True(!chosen(b, time.Hour))
	})
}

// A failed upstream is better than none; one that leaves is not, failed or in good health.
func TestNoneIsBetterThanALeavingUpstream(t *testing.T) {
	for _, failed := range []fleet.UpstreamID{"language-0", "language-1"} {
		is := is.New(t)
		b := newBalancer(bootedFleet(2))
		(&Pick{balancer: b, state: b.states["language-0"]}).RecordNotice(0, Notice{Leaving: true})
		b.states[failed].health.eject(0)
		p := b.Choose(time.Millisecond, chat(1, 1), onlyRouterSession())
		is.Equal(p.Upstream.ID, fleet.UpstreamID("language-1"))
		p.End(time.Millisecond, OutcomeUnknown)
		b.SetUpstreams(time.Second, bootedFleet(1))
		is.True(!chosen(b, time.Second))
	}
}

// A 421 comes from whatever holds the address now. Blaming the upstream that was asked would
// condemn one that has not spoken.
func TestMisdirectedNoticeSpeaksForTheAddress(t *testing.T) {
	is := is.New(t)
	list := bootedFleet(3)
	list[1].Addr = list[0].Addr
	b := newBalancer(list)
	(&Pick{balancer: b, state: b.states["language-0"]}).RecordNotice(0, Notice{Leaving: true, Misdirected: true})
	is.True(!b.states["language-0"].notices.leaves())
	is.True(b.states["language-1"].notices.leaves())
	is.True(!b.states["language-2"].notices.leaves())
}

// An answer that was sent before a restart must not condemn the new start.
func TestLateNoticeOfAFormerStart(t *testing.T) {
	is := is.New(t)
	b := newBalancer(bootedFleet(1))
	p := b.Choose(0, chat(1, 1), onlyRouterSession())
	restarted := bootedFleet(1)
	restarted[0].Boot = "2"
	b.SetUpstreams(time.Second, restarted)
	p.RecordNotice(2*time.Second, Notice{Leaving: true})
	is.True(chosen(b, 2*time.Second))
}

func TestReportsOfLeavingUpstreams(t *testing.T) {
	const now = time.Minute
	named := func(id, boot string) Leaver {
		return Leaver{Incarnation: Incarnation{fleet.UpstreamID(id), fleet.BootID(boot)}, By: "router-7", Age: time.Second}
	}
	old := func(l Leaver) Leaver { l.Age = now; return l }
	cases := []struct {
		name   string
		boot   string // of the listed upstream
		report Leaver
		works  bool
	}{
		{"this start", "2", named("language-0", "2"), false},
		{"this start, long ago", "2", old(named("language-0", "2")), false},
		{"an earlier start", "2", named("language-0", "1"), true},
		{"a start that the list doesn't show yet", "2", named("language-0", "3"), true},
		{"another upstream", "2", named("language-9", "2"), true},
		{"unknown boot", "", named("language-0", ""), false},
		{"unknown boot before the upstream was listed", "", old(named("language-0", "")), true},
		{"unknown boot in the report alone", "2", named("language-0", ""), true},
		{"unknown boot in the list alone", "", named("language-0", "2"), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			list := fleetOf(engines, 1)
			list[0].Boot = fleet.BootID(tc.boot)
			b := New(Config{Zone: "zone-0"})
			b.SetUpstreams(now-10*time.Second, list)
			b.MergeLeavers(now, []Leaver{tc.report})
			is.Equal(chosen(b, now), tc.works)
		})
	}
	t.Run("a report that precedes the list", func(t *testing.T) {
		is := is.New(t)
		b := New(Config{Zone: "zone-0"})
		b.MergeLeavers(0, []Leaver{named("language-0", "1")})
		b.SetUpstreams(time.Second, bootedFleet(1))
		is.True(!chosen(b, time.Second))
	})
}

// Reports are passed on with the router that the upstream told, until the list shows it.
func TestLeaversAreReportedUntilTheListShowsThem(t *testing.T) {
	is := is.New(t)
	b := newBalancer(bootedFleet(1))
	tell(b, time.Second, Notice{Leaving: true})
	want := Leaver{Incarnation: Incarnation{ID: "language-0", Boot: "1"}, Age: 2 * time.Second}
	is.Equal(b.Leavers(3*time.Second), []Leaver{want})

	other := newBalancer(bootedFleet(1))
	want.By = "router-1"
	other.MergeLeavers(10*time.Second, []Leaver{want})
	want.Age = 3 * time.Second
	is.Equal(other.Leavers(11*time.Second), []Leaver{want})

	shown := bootedFleet(1)
	shown[0].Leaving = true
	other.SetUpstreams(12*time.Second, shown)
	is.Equal(len(other.Leavers(12*time.Second)), 0)
	other.SetUpstreams(13*time.Second, nil)
	is.Equal(len(other.Leavers(13*time.Second)), 0)
}

func TestTransitionsOfLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	b, seen := observedBalancer(bootedFleet(1))
	upstream := bootedFleet(1)[0].Upstream
	tell(b, time.Second, Notice{Leaving: true})
	b.MergeLeavers(2*time.Second, []Leaver{{Incarnation: incarnationOf(upstream), By: "router-1"}}) // known already
	is.Equal(*seen, []Transition{{Upstream: upstream, By: ByAnswer}})
	is.Equal(leavingCount(b), 1)

	moved := bootedFleet(1)
	moved[0].Addr = "10.0.9.9:80"
	b.SetUpstreams(3*time.Second, moved)
	is.Equal(len(*seen), 1)
	restarted := bootedFleet(1)
	restarted[0].Boot = "2"
	b.SetUpstreams(5*time.Second, restarted)
	is.Equal((*seen)[1], Transition{Upstream: moved[0].Upstream, By: ByAnswer, Ended: true, For: 4 * time.Second})
	is.Equal(leavingCount(b), 0)

	restarted[0].Leaving = true
	b.SetUpstreams(6*time.Second, restarted)
	b.SetUpstreams(8*time.Second, nil)
	is.Equal((*seen)[2:], []Transition{
		{Upstream: restarted[0].Upstream, By: ByList}, {Upstream: restarted[0].Upstream, By: ByList, Ended: true, For: 2 * time.Second},
	})

	b.SetUpstreams(9*time.Second, bootedFleet(1))
	b.SetUpstreams(9*time.Second, moved)
	b.MergeLeavers(10*time.Second, []Leaver{{Incarnation: Incarnation{ID: upstream.ID, Boot: "2"}, By: "router-1"}}) // not listed
	is.Equal((*seen)[4].By, ByAnswer)                                                                                // boot 1 is listed again
}

// An upstream may send a malformed field with each answer.
func TestMalformedNoticesAreReportedOnceAMinute(t *testing.T) {
	is := is.New(t)
	reports := 0
	b := New(Config{OnMalformed: func(fleet.Upstream, string) { reports++ }})
	b.SetUpstreams(0, bootedFleet(1))
	for now := time.Second; now <= 3*time.Minute; now += time.Second {
		tell(b, now, Notice{Malformed: "Field: value"})
	}
	is.Equal(reports, 3)
	is.True(chosen(b, 4*time.Minute))
}

// Without the rest, an upstream that turned this router away gets the next request at once.
func TestRestingUpstreamGetsNothing(t *testing.T) {
	list := func(modify func(*ListedUpstream)) func(*Balancer) {
		return func(b *Balancer) {
			list := bootedFleet(1)
			modify(&list[0])
			b.SetUpstreams(time.Second, list)
		}
	}
	cases := []struct {
		name  string
		after func(*Balancer)
		rests bool
	}{
		{"nothing happens", func(*Balancer) {}, true},
		{"a shorter rest follows", func(b *Balancer) { b.markResting(time.Second, Incarnation{ID: "language-0", Boot: "1"}, time.Second) }, true},
		{"an earlier request is served", func(b *Balancer) { b.states["language-0"].health.recordOutcome(time.Second, OutcomeServed) }, true},
		{"it is ejected", func(b *Balancer) { b.states["language-0"].health.eject(time.Second) }, true},
		{"it moves to another address", list(func(u *ListedUpstream) { u.Addr = "10.0.9.9:80" }), true},
		{"it is missing from a read of the list", func(b *Balancer) { b.SetUpstreams(time.Second, nil); list(func(*ListedUpstream) {})(b) }, true},
		{"it restarts", list(func(u *ListedUpstream) { u.Boot = "2" }), false},
		{"another one gets its address", list(func(u *ListedUpstream) { u.ID = "language-x" }), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(bootedFleet(1))
			tell(b, 0, Notice{Rest: time.Minute})
			tc.after(b)
			for now := 2 * time.Second; now < time.Minute; now += 100 * time.Millisecond {
				is.Equal(chosen(b, now), !tc.rests)
			}
			is.True(chosen(b, time.Minute+time.Millisecond))
		})
	}
	t.Run("a longer rest follows", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(bootedFleet(1))
		p, q := b.Choose(0, chat(1, 1), onlyRouterSession()), b.Choose(0, chat(1, 2), onlyRouterSession())
		p.RecordNotice(0, Notice{Rest: time.Second})
		q.RecordNotice(500*time.Millisecond, Notice{Rest: time.Minute})
		is.True(!chosen(b, time.Minute))
		is.True(chosen(b, 61*time.Second))
	})
	t.Run("unknown boot, missing from a read of the list", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(fleetOf(engines, 1))
		tell(b, 0, Notice{Rest: time.Hour, Leaving: true})
		b.SetUpstreams(time.Second, nil)
		b.SetUpstreams(30*time.Minute, nil)
		b.SetUpstreams(31*time.Minute, fleetOf(engines, 1))
		is.True(!chosen(b, 32*time.Minute))
		is.True(chosen(b, 61*time.Minute))
	})
}

// A failed upstream is better than none, and may be probed; one that rests is neither.
func TestNoneIsBetterThanARestingUpstream(t *testing.T) {
	is := is.New(t)
	b := newBalancer(bootedFleet(2))
	b.states["language-0"].health.eject(0)
	b.states["language-1"].health.eject(0)
	b.markResting(0, Incarnation{ID: "language-0", Boot: "1"}, time.Minute)
	probe := chat(1, 1)
	probe.MayProbe = true
	for _, now := range []time.Duration{time.Millisecond, 30 * time.Second} {
		p := b.Choose(now, probe, onlyRouterSession())
		is.Equal(p.Upstream.ID, fleet.UpstreamID("language-1"))
		p.End(now, OutcomeUnknown)
		probe.Tried = []fleet.UpstreamID{"language-1"}
		is.True(b.Choose(now, probe, onlyRouterSession()) == nil)
		probe.Tried = nil
	}
}

// Fetching cached parts is work for the upstream that has them.
func TestRestingUpstreamIsNoSource(t *testing.T) {
	for _, rest := range []time.Duration{0, time.Minute} {
		is := is.New(t)
		b := newBalancer(bootedFleet(2))
		const now = 20 * time.Second
		first := b.Choose(now, chat(1, 1), onlyRouterSession())
		first.End(now, OutcomeServed)
		request := chat(1, 2)
		request.Tried = []fleet.UpstreamID{first.Upstream.ID} // it moves
		if rest > 0 {
			first.RecordNotice(now, Notice{Rest: rest})
		}
		p := b.Choose(now, request, onlyRouterSession())
		is.Equal(p.Source == first.Upstream.Addr, rest == 0)
		is.True(rest == 0 || p.Source == "")
	}
}

func TestRestIsNotReportedToOtherRouters(t *testing.T) {
	is := is.New(t)
	b := newBalancer(bootedFleet(1))
	tell(b, 0, Notice{Rest: time.Minute})
	is.Equal(len(b.Leavers(time.Second)), 0)
}

func TestRestLeft(t *testing.T) {
	rest := func(b *Balancer, id string, from, length time.Duration) {
		b.markResting(from, Incarnation{ID: fleet.UpstreamID(id), Boot: "1"}, length)
	}
	leave := func(b *Balancer, id string) {
		b.markLeaving(0, Leaver{Incarnation: Incarnation{ID: fleet.UpstreamID(id), Boot: "1"}})
	}
	cases := []struct {
		name         string
		prepare      func(*Balancer)
		left, length time.Duration
	}{
		{"none rests", func(*Balancer) {}, 0, 0},
		{"one takes work", func(b *Balancer) { rest(b, "language-0", 0, time.Minute) }, 0, 0},
		{"both rest", func(b *Balancer) {
			rest(b, "language-0", 0, time.Minute)
			rest(b, "language-1", 5*time.Second, 20*time.Second)
		}, 15 * time.Second, 20 * time.Second},
		{"one rests and one leaves", func(b *Balancer) { rest(b, "language-0", 0, time.Minute); leave(b, "language-1") }, 50 * time.Second, time.Minute},
		{"both leave", func(b *Balancer) { leave(b, "language-0"); leave(b, "language-1") }, 0, 0},
		{"the one that rests also leaves", func(b *Balancer) {
			rest(b, "language-0", 0, time.Minute)
			leave(b, "language-0")
			leave(b, "language-1")
		}, 0, 0},
		{"one rests and one was replaced", func(b *Balancer) {
			rest(b, "language-0", 0, time.Minute)
			(&Pick{balancer: b, state: b.states["language-1"]}).MarkReplaced(8 * time.Second)
		}, 3 * time.Second, 3 * time.Second},
		{"one rest has ended", func(b *Balancer) {
			rest(b, "language-0", 0, time.Minute)
			rest(b, "language-1", 0, 9*time.Second)
		}, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(bootedFleet(2))
			tc.prepare(b)
			left, length, ok := b.RestLeft(10*time.Second, engines.Name, onlyRouterSession())
			is.Equal(left, tc.left)
			is.Equal(length, tc.length)
			is.Equal(ok, tc.left > 0)
		})
	}
	t.Run("one rests and one is out of service", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(bootedFleet(2))
		rest(b, "language-0", 0, time.Minute)
		session := onlyRouterSession()
		session.Out = func(u fleet.Upstream) bool { return u.ID == "language-1" }
		left, _, ok := b.RestLeft(10*time.Second, engines.Name, session)
		is.True(ok)
		is.Equal(left, 50*time.Second)
	})
}

func TestTransitionsOfRestingUpstreams(t *testing.T) {
	is := is.New(t)
	b, seen := observedBalancer(bootedFleet(1))
	upstream := bootedFleet(1)[0].Upstream
	i := incarnationOf(upstream)
	tell(b, time.Second, Notice{Rest: 10 * time.Second})
	b.markResting(5*time.Second, i, 10*time.Second)
	b.UpdateConditions(14 * time.Second)
	begin := Transition{Upstream: upstream, Condition: Resting, By: ByAnswer, For: 10 * time.Second}
	is.Equal(*seen, []Transition{begin})
	_, resting := b.CountConditions(14 * time.Second)
	is.Equal(resting, 1)

	b.UpdateConditions(15900 * time.Millisecond)
	is.Equal((*seen)[1], Transition{Upstream: upstream, Condition: Resting, By: ByAnswer, Ended: true, For: 14 * time.Second})
	_, resting = b.CountConditions(15900 * time.Millisecond)
	is.Equal(resting, 0)

	b.markResting(20*time.Second, i, time.Hour)
	b.SetUpstreams(25*time.Second, nil) // the upstream is gone
	b.UpdateConditions(26 * time.Second)
	is.Equal(len(*seen), 4)
	is.Equal((*seen)[3].For, 5*time.Second)
}
