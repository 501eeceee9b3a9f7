package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

func members(n int) fleet.Membership {
	m := fleet.Membership{Epoch: 1}
	for i := range n {
		m.Members = append(m.Members, fleet.Member{ID: fleet.InstanceID(fmt.Sprintf("router-%03d", i))})
	}
	return m
}

func upstreams(n, zones int) []fleet.Upstream {
	us := make([]fleet.Upstream, n)
	for i := range us {
		us[i] = fleet.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("engine-%03d", i)), Pool: "llm",
			Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%zones)), Boot: "b1",
		}
	}
	return us
}

func chat(i int) ChatKey { return KeyOf("w", fleet.ChatID(fmt.Sprint(i)), "") }

func outZone(z fleet.AvailabilityZone) func(fleet.Upstream) bool {
	return func(u fleet.Upstream) bool { return u.Zone == z }
}

func TestOwnerMovesOnlyWithItsMember(t *testing.T) {
	is := is.New(t)
	before, after := NewRing(members(10)), NewRing(members(9))
	for i := range 2000 {
		id := fleet.UpstreamID(fmt.Sprint("u", i))
		if owner := before.Owner(id); owner != "router-009" {
			is.Equal(after.Owner(id), owner)
		}
	}
}

func TestWeightedOwnersShareByWeight(t *testing.T) {
	is := is.New(t)
	m := members(4)
	m.Members[0].Weight = 3
	ring, heavy := NewRing(m), 0
	const n = 20000
	for i := range n {
		if ring.Owner(fleet.UpstreamID(fmt.Sprint("u", i))) == "router-000" {
			heavy++
		}
	}
	is.True(heavy > n*47/100 && heavy < n*53/100) // 3 of 6 parts
}

func TestEqualWeightsPickTheSameByEitherMethod(t *testing.T) {
	is := is.New(t)
	ring := NewRing(members(50))
	for i := range 5000 {
		key := Mix(uint64(i), saltOwner)
		is.Equal(ring.pickUniform(key), ring.pickWeighted(key))
	}
}

func TestOwnerWithoutMembers(t *testing.T) {
	is := is.New(t)
	is.Equal(Owner(fleet.Membership{}, "u"), fleet.InstanceID(""))
	is.Equal(Home(fleet.Membership{}, "w"), fleet.InstanceID(""))
}

func TestCandidatesAreEligibleDistinctAndBounded(t *testing.T) {
	us := upstreams(20, 4)
	us[3].Leaving = true
	cases := []struct {
		name     string
		out      func(fleet.Upstream) bool
		capacity int
		want     int
	}{
		{"all in", nil, 4, 4},
		{"a zone out", outZone("z1"), 16, MaxCandidates},
		{"everything out", func(fleet.Upstream) bool { return true }, 4, 0},
		{"no room", nil, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(0, View{members(8), us, tc.out}).Next(time.Second, View{members(8), us, tc.out})
			for i := range 500 {
				got := table.Candidates(chat(i), "llm", "z0", make([]Candidate, 0, tc.capacity))
				is.Equal(len(got), tc.want)
				seen := map[fleet.UpstreamID]bool{}
				for _, c := range got {
					is.True(!seen[c.Upstream] && table.Eligible(c.Upstream))
					is.Equal(c.Owner, table.Owner(c.Upstream))
					seen[c.Upstream] = true
				}
			}
		})
	}
}

func TestFormerUpstreamRanksFirstAfterJoin(t *testing.T) {
	is := is.New(t)
	before := NewTable(0, View{Membership: members(8), Upstreams: upstreams(19, 4)})
	after := before.Next(time.Minute, View{Membership: members(8), Upstreams: upstreams(20, 4)})
	moved := 0
	for i := range 2000 {
		old := before.Candidates(chat(i), "llm", "", make([]Candidate, 0, 4))[0].Upstream
		got := after.Candidates(chat(i), "llm", "", make([]Candidate, 0, 4))
		is.Equal(got[0].Upstream, old)
		if got[0].Basis == Former {
			moved++
			is.Equal(got[1].Upstream, fleet.UpstreamID("engine-019"))
			is.Equal(FirstRanked(got), 1)
		}
	}
	is.True(moved > 50 && moved < 160) // 1 in 20
	late := after.Next(3*time.Hour, View{Membership: members(8), Upstreams: upstreams(20, 4)})
	for i := range 200 {
		is.Equal(late.Candidates(chat(i), "llm", "", make([]Candidate, 0, 4))[0].Basis, Ranked)
	}
}

func TestZoneCycleKeepsBothFormerUpstreams(t *testing.T) {
	is := is.New(t)
	us, m := upstreams(20, 4), members(8)
	in := NewTable(0, View{Membership: m, Upstreams: us})
	out := in.Next(time.Minute, View{m, us, outZone("z0")})
	back := out.Next(2*time.Minute, View{Membership: m, Upstreams: us})
	for i := range 500 {
		first := in.Candidates(chat(i), "llm", "", make([]Candidate, 0, 4))[0].Upstream
		during := out.Candidates(chat(i), "llm", "", make([]Candidate, 0, 4))[0].Upstream
		got := back.Candidates(chat(i), "llm", "", make([]Candidate, 0, 4))
		is.Equal(got[0].Upstream, during)
		is.True(got[0].Upstream == first || got[1].Upstream == first)
	}
}

func TestRequestsPreferTheirZoneAndChatsDoNot(t *testing.T) {
	is := is.New(t)
	table := NewTable(0, View{Membership: members(8), Upstreams: upstreams(20, 4)})
	for i := range 200 {
		got := table.Candidates(RequestKey(fleet.RequestID(fmt.Sprint(i))), "llm", "z2", make([]Candidate, 0, 8))
		for j, c := range got {
			u, _ := table.Upstream(c.Upstream)
			is.Equal(u.Zone == "z2", j < 5)
		}
		a := table.Candidates(chat(i), "llm", "z1", make([]Candidate, 0, 1))
		b := table.Candidates(chat(i), "llm", "z2", make([]Candidate, 0, 1))
		is.Equal(a, b)
	}
}

func TestPromotePutsTheRecordedUpstreamFirst(t *testing.T) {
	is := is.New(t)
	us := upstreams(20, 4)
	table := NewTable(0, View{members(8), us, outZone("z0")})
	list := table.Candidates(chat(1), "llm", "", make([]Candidate, 0, 4))
	third := list[2].Upstream
	list = table.Promote(list, third)
	is.Equal(list[0], Candidate{third, table.Owner(third), Recorded})
	is.Equal(len(list), 4)
	list = table.Promote(list, "engine-000") // out
	is.Equal(list[0].Upstream, third)
}

func TestLookupsAllocateNothing(t *testing.T) {
	is := is.New(t)
	table := largeTable()
	var buf [4]Candidate
	i := 0
	is.Equal(testing.AllocsPerRun(1000, func() {
		i++
		table.Candidates(ChatKey(Mix(uint64(i), mixA))&^requestBit, "llm", "z1", buf[:0])
		table.Owner("engine-001")
		table.Home("w")
	}), 0.0)
}

// largeTable returns a table at the size to design for, after one zone has just come
// back.
func largeTable() *Table {
	us, m := upstreams(600, 11), members(410)
	t := NewTable(0, View{Membership: m, Upstreams: us})
	t = t.Next(time.Minute, View{m, us, outZone("z0")})
	return t.Next(2*time.Minute, View{Membership: m, Upstreams: us})
}

func BenchmarkCandidates(b *testing.B) {
	steady := NewTable(0, View{Membership: members(410), Upstreams: upstreams(600, 11)})
	for _, tc := range []struct {
		name  string
		table *Table
	}{{"steady", steady}, {"zone-just-back", largeTable()}} {
		b.Run(tc.name, func(b *testing.B) {
			var buf [4]Candidate
			b.ReportAllocs()
			for i := range b.N {
				tc.table.Candidates(ChatKey(Mix(uint64(i), mixA))&^requestBit, "llm", "z1", buf[:0])
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	ring := NewRing(members(410))
	b.ReportAllocs()
	for range b.N {
		ring.Owner("engine-001")
	}
}

func BenchmarkNextTable(b *testing.B) {
	table := largeTable()
	v := View{Membership: members(410), Upstreams: upstreams(600, 11)}
	b.ReportAllocs()
	for i := range b.N {
		table.Next(time.Duration(i), v)
	}
}
