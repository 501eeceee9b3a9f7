package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// change is one change of the fleet through which the reuse is measured.
type change struct {
	name string
	run  func(r *reuseSim)
}

// span is how long the caches fill before the change, and how long the reuse is
// measured after it.
const span = 40 * time.Minute

var changes = []change{
	{"steady", func(*reuseSim) {}},
	{"one joins", func(r *reuseSim) {
		r.addEngine(fleet.Upstream{ID: "joined", Pool: "llm", Zone: "z0", Boot: "b1"})
		r.rebuildTable()
	}},
	{"one leaves", func(r *reuseSim) {
		r.engines[r.ids[3]].Leaving = true
		r.rebuildTable()
	}},
	{"one restarts", func(r *reuseSim) { r.restartEngine(r.ids[3]) }},
	{"one flaps thrice", func(r *reuseSim) {
		for i := range 6 {
			r.after(time.Duration(i)*30*time.Second, func() {
				r.engines[r.ids[3]].Leaving = i%2 == 0
				r.rebuildTable()
			})
		}
	}},
	{"one drains 10 min", func(r *reuseSim) {
		r.engines[r.ids[3]].Leaving = true
		r.rebuildTable()
		r.after(10*time.Minute, func() { r.engines[r.ids[3]].Leaving = false; r.rebuildTable() })
	}},
	{"owner stops", func(r *reuseSim) {
		gone := r.table.Owner(r.ids[0])
		var rest []fleet.Member
		for _, m := range r.membership.Members {
			if m.ID != gone {
				rest = append(rest, m)
			}
		}
		delete(r.residents, gone)
		r.membership = fleet.Membership{Epoch: 2, Members: rest}
		r.rebuildTable()
	}},
	{"zone cycle, warm", func(r *reuseSim) {
		r.setZoneOut("z0", true, false)
		r.after(10*time.Minute, func() { r.setZoneOut("z0", false, false) })
	}},
	{"zone cycle, cold", func(r *reuseSim) {
		r.setZoneOut("z0", true, true)
		r.after(10*time.Minute, func() { r.setZoneOut("z0", false, true) })
	}},
	{"two zones, cold", func(r *reuseSim) {
		r.setZoneOut("z0", true, true)
		r.after(5*time.Minute, func() { r.setZoneOut("z1", true, true) })
		r.after(10*time.Minute, func() { r.setZoneOut("z0", false, true) })
		r.after(15*time.Minute, func() { r.setZoneOut("z1", false, true) })
	}},
}

// fleetSize is the size of a fleet and its load in chat turns per second.
type fleetSize struct {
	name                    string
	routers, engines, zones int
	rate                    float64
}

// measure simulates one policy for span before and after one change.
func measure(c change, p policy, off reuseOptions, size fleetSize, span time.Duration) *reuseSim {
	r := newReuseSim(1, p, off, size.routers, size.engines, size.zones, size.rate)
	r.measuredFrom = span
	r.run(span)
	c.run(r)
	r.run(2 * span)
	return r
}

// BenchmarkReuseAtScale prints the reuse at the size to design for.
func BenchmarkReuseAtScale(b *testing.B) {
	designSize := fleetSize{"letter", 410, 600, 11, 2600}
	fmt.Println("letter: reuse over 15 min, in the first 4 min, p99 of load over mean")
	for _, c := range []change{changes[0], changes[2], changes[8]} {
		for p := range 3 {
			r := measure(c, policy(p), reuseOptions{}, designSize, 15*time.Minute)
			r.printResult(c.name, policy(p).String())
		}
	}
}

func (r *reuseSim) printResult(change, name string) {
	fmt.Printf("%-20s %-10s %5.1f%% %5.1f%% %.2f  hops %.2f notes %.2f\n", change, name, 100*r.reuse(), 100*r.soonReuse(),
		r.p99(), float64(r.hops)/float64(r.served), float64(r.redirects)/float64(r.served))
}

// BenchmarkReuse prints the fraction of the returning chats' histories that was found in
// a cache, for each change.
func BenchmarkReuse(b *testing.B) {
	for _, size := range []fleetSize{{"dala press", 8, 20, 4, 85}, {"lamphun", 8, 10, 4, 42}} {
		fmt.Printf("%s: reuse over 40 min, in the first 4 min, p99 of load over mean\n", size.name)
		for _, c := range changes {
			for _, tc := range []struct {
				name   string
				policy policy
				off    reuseOptions
			}{
				{"plain", plain, reuseOptions{}}, {"recorded", recorded, reuseOptions{}}, {"oracle", oracle, reuseOptions{}},
				{"no former", recorded, reuseOptions{noFormer: true}}, {"no notes", recorded, reuseOptions{noRedirects: true}},
				{"no events", recorded, reuseOptions{noEvents: true}}, {"no yield", recorded, reuseOptions{noYield: true}},
			} {
				measure(c, tc.policy, tc.off, size, span).printResult(c.name, tc.name)
			}
		}
	}
}
