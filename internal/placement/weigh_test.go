package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// churn is one change that the reuse is measured through.
type churn struct {
	name string
	run  func(r *reuseRun)
}

const (
	settle = 40 * time.Minute // until the caches are full
	after  = 40 * time.Minute
)

var changes = []churn{
	{"steady", func(*reuseRun) {}},
	{"one joins", func(r *reuseRun) {
		r.add(fleet.Upstream{ID: "joined", Pool: "llm", Zone: "z0", Boot: "b1"})
		r.rebuild()
	}},
	{"one leaves", func(r *reuseRun) {
		r.engines[r.ids[3]].Leaving = true
		r.rebuild()
	}},
	{"one restarts", func(r *reuseRun) { r.restart(r.ids[3]) }},
	{"one flaps thrice", func(r *reuseRun) {
		for i := range 6 {
			r.after(time.Duration(i)*30*time.Second, func() {
				r.engines[r.ids[3]].Leaving = i%2 == 0
				r.rebuild()
			})
		}
	}},
	{"one drains 10 min", func(r *reuseRun) {
		r.engines[r.ids[3]].Leaving = true
		r.rebuild()
		r.after(10*time.Minute, func() { r.engines[r.ids[3]].Leaving = false; r.rebuild() })
	}},
	{"owner stops", func(r *reuseRun) {
		gone := r.table.Owner(r.ids[0])
		var rest []fleet.Member
		for _, m := range r.m.Members {
			if m.ID != gone {
				rest = append(rest, m)
			}
		}
		delete(r.owners, gone)
		r.m = fleet.Membership{Epoch: 2, Members: rest}
		r.rebuild()
	}},
	{"zone cycle, warm", func(r *reuseRun) {
		r.zone("z0", true, false)
		r.after(10*time.Minute, func() { r.zone("z0", false, false) })
	}},
	{"zone cycle, cold", func(r *reuseRun) {
		r.zone("z0", true, true)
		r.after(10*time.Minute, func() { r.zone("z0", false, true) })
	}},
	{"two zones, cold", func(r *reuseRun) {
		r.zone("z0", true, true)
		r.after(5*time.Minute, func() { r.zone("z1", true, true) })
		r.after(10*time.Minute, func() { r.zone("z0", false, true) })
		r.after(15*time.Minute, func() { r.zone("z1", false, true) })
	}},
}

// measure runs one policy through one change.
func measure(c churn, p policy, off reuseOptions, routers, engines, zones int, rate float64) *reuseRun {
	r := newReuse(1, p, off, routers, engines, zones, rate)
	r.measured = settle
	r.run(settle)
	c.run(r)
	r.run(settle + after)
	return r
}

// BenchmarkReuse prints the part of the returning chats' histories that was
// found in a cache, through each change.
func BenchmarkReuse(b *testing.B) {
	for _, size := range []struct {
		name                    string
		routers, engines, zones int
		rate                    float64
	}{{"dala press", 8, 20, 4, 85}, {"lamphun", 8, 10, 4, 42}} {
		fmt.Printf("%s\n%-20s %7s %9s %7s %8s  %s\n", size.name, "change", "plain", "recorded", "oracle", "of it", "p99/mean plain recorded oracle; hops, notes a request")
		for _, c := range changes {
			var runs [3]*reuseRun
			for p := range runs {
				runs[p] = measure(c, policy(p), reuseOptions{}, size.routers, size.engines, size.zones, size.rate)
			}
			rec := runs[recorded]
			for _, off := range []reuseOptions{{noFormer: true}, {noNotes: true}, {noEvents: true}, {alike: true}} {
				r := measure(c, recorded, off, size.routers, size.engines, size.zones, size.rate)
				fmt.Printf("   %+v %.1f%% %.2f\n", off, 100*r.reuse(), r.p99())
			}
			fmt.Printf("%-20s %6.1f%% %8.1f%% %6.1f%% %7.1f%%  %.2f %.2f %.2f; %.2f %.3f\n", c.name,
				100*runs[plain].reuse(), 100*rec.reuse(), 100*runs[oracle].reuse(), 100*rec.reuse()/runs[oracle].reuse(),
				runs[plain].p99(), rec.p99(), runs[oracle].p99(),
				float64(rec.hops)/float64(rec.served), float64(rec.notes)/float64(rec.served))
		}
	}
}
