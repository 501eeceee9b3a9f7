package consensus

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sessionLease is how long routers keep working without a leader.
const sessionLease = 3 * time.Second

// faultlessSimulation returns a simulation without faults that has run for 10 s, in
// which a leader is elected.
func faultlessSimulation(seed uint64, size int, heartbeat time.Duration) *simulation {
	sim := newSimulation(seed, size, faults{})
	sim.opts.Heartbeat = heartbeat
	for _, m := range sim.members {
		sim.after(sim.random(0, time.Second), m.start)
	}
	sim.run(10 * time.Second)
	return sim
}

// leaderFaults are faults that end a leadership.
var leaderFaults = []struct {
	name string
	do   func(sim *simulation, lead *simMember)
}{
	{"kill", func(_ *simulation, lead *simMember) { lead.crash() }},
	{"freeze", func(_ *simulation, lead *simMember) { lead.freeze(time.Minute) }},
	{"cut-off", func(sim *simulation, lead *simMember) { sim.cutOff(lead, 0) }},
	// Messages from the leader are lost.
	{"unheard", func(sim *simulation, lead *simMember) { sim.cutOff(lead, 2) }},
	// Messages to the leader are lost.
	{"deaf", func(sim *simulation, lead *simMember) { sim.cutOff(lead, 1) }},
	{"transfer", func(sim *simulation, lead *simMember) {
		lead.exec(func() { _ = lead.replica.core.TransferLeadership(lead.localTime(), sim.others(lead)[0].id) })
	}},
}

// cutOff blocks the messages between m and every other member. oneWay has the same
// meaning as in cut.
func (sim *simulation) cutOff(m *simMember, oneWay int) {
	for _, o := range sim.members {
		sim.cut(m.id, o.id, oneWay)
	}
}

// leaderGap injects a fault at the leader at a random time and returns the true time
// until another member holds a lease.
func leaderGap(sim *simulation, inject func(*simulation, *simMember)) time.Duration {
	sim.run(sim.now + sim.random(0, time.Second))
	began, lead := sim.now, sim.leader()
	inject(sim, lead)
	for sim.now < began+10*sessionLease && sim.check.err == nil {
		sim.run(sim.now + time.Millisecond)
		for _, m := range sim.others(lead) {
			if !m.running() {
				continue
			}
			if until, ok := m.replica.core.LeaseUntil(); ok && m.localTime() < until {
				return sim.now - began
			}
		}
	}
	return sim.now - began
}

func TestNewLeaderHasALeaseWithinTheSessionLease(t *testing.T) {
	for _, f := range leaderFaults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(100) {
				sim := faultlessSimulation(seed, 3, DefaultHeartbeat)
				gap := leaderGap(sim, f.do)
				is.NoErr(sim.check.err)
				is.True(gap < sessionLease)
			}
		})
	}
}

// heartbeats are the heartbeat intervals that the benchmarks compare.
var heartbeats = []time.Duration{100 * time.Millisecond, 250 * time.Millisecond}

// BenchmarkLeaderGap reports the time without a leader lease after a fault, in
// milliseconds of virtual time.
func BenchmarkLeaderGap(b *testing.B) {
	for _, heartbeat := range heartbeats {
		for _, f := range leaderFaults {
			b.Run(fmt.Sprint("heartbeat-", heartbeat, "/", f.name), func(b *testing.B) {
				var gaps []time.Duration
				for b.Loop() {
					gaps = append(gaps, leaderGap(faultlessSimulation(uint64(len(gaps)), 3, heartbeat), f.do))
				}
				reportGaps(b, gaps)
			})
		}
	}
}

func reportGaps(b *testing.B, gaps []time.Duration) {
	slices.Sort(gaps)
	at := func(q float64) float64 {
		return float64(gaps[int(q*float64(len(gaps)-1))]) / float64(time.Millisecond)
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "max-ms")
}

// BenchmarkIdle reports the payload bytes and messages per second that an idle leader
// sends and receives; each follower has an equal share of them.
func BenchmarkIdle(b *testing.B) {
	const idle = 60 * time.Second
	for _, heartbeat := range heartbeats {
		for _, size := range []int{3, 5, 7} {
			b.Run(fmt.Sprint("heartbeat-", heartbeat, "/members-", size), func(b *testing.B) {
				for b.Loop() {
					sim := faultlessSimulation(1, size, heartbeat)
					lead := sim.leader()
					sim.measure = true
					sim.run(sim.now + idle)
					if sim.leader() != lead {
						b.Fatal("the leader changed in a simulation without faults")
					}
					b.ReportMetric(float64(sim.bytes)/idle.Seconds(), "leader-B/s")
					b.ReportMetric(float64(sim.sent)/idle.Seconds(), "leader-msgs/s")
				}
			})
		}
	}
}

// BenchmarkProposals reports the commands per second that three members commit, with
// synced data directories on the file system.
func BenchmarkProposals(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprint("callers-", callers), func(b *testing.B) {
			c := emptyCluster(b, "a", "b", "c")
			c.threshold = 1 << 40 // no snapshots, whose size would grow with b.N
			for id := range c.dirs {
				c.start(id, true)
			}
			lead, err := c.propose(b.Context(), "first")
			if err != nil {
				b.Fatal(err)
			}
			command := make([]byte, 200)
			b.ResetTimer()
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					for n := i; n < b.N; n += callers {
						if _, err := c.group(lead).Propose(b.Context(), command); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}

// blob is a state machine with a snapshot of a fixed size.
type blob []byte

func (blob) Apply(uint64, []byte) []byte { return nil }
func (b blob) Snapshot() ([]byte, error) { return b, nil }
func (blob) Restore([]byte) error        { return nil }

// BenchmarkSnapshot reports how long a member is blocked while it takes a snapshot in
// a data directory on the file system.
func BenchmarkSnapshot(b *testing.B) {
	for _, megabytes := range []int{1, 4, 16} {
		b.Run(fmt.Sprint("megabytes-", megabytes), func(b *testing.B) {
			disk, err := OpenDir(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			opts := Options{ID: "a", Bootstrap: true, Rand: testRand()}
			r, err := openReplica(0, disk, "bench", opts, make(blob, megabytes<<20), &loopback{})
			if err != nil {
				b.Fatal(err)
			}
			defer r.stop(errCrashed)
			r.snapshotThreshold = 1
			for b.Loop() {
				r.propose(0, []byte("x"), func([]byte, error) {})
				if err := r.processReady(0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
