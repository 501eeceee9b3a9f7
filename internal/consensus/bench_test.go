package consensus

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sessionLease is how long routers go on without a leader.
const sessionLease = 3 * time.Second

// quietWorld returns a world without faults that has a leader.
func quietWorld(seed uint64, size int, heartbeat time.Duration) *world {
	w := newWorld(seed, size, faults{})
	w.opts.Heartbeat = heartbeat
	for _, m := range w.members {
		w.after(w.random(0, time.Second), m.start)
	}
	w.run(10 * time.Second)
	return w
}

// leaderFaults take a leader out of work.
var leaderFaults = []struct {
	name string
	do   func(w *world, lead *simMember)
}{
	{"kill", func(_ *world, lead *simMember) { lead.crash() }},
	{"freeze", func(_ *world, lead *simMember) { lead.freeze(time.Minute) }},
	{"cut-off", func(w *world, lead *simMember) { w.cutOff(lead, 0) }},
	{"unheard", func(w *world, lead *simMember) { w.cutOff(lead, 2) }},
	{"deaf", func(w *world, lead *simMember) { w.cutOff(lead, 1) }},
	{"transfer", func(w *world, lead *simMember) {
		lead.when(func() { _ = lead.replica.core.TransferLeadership(lead.local(), w.others(lead)[0].id) })
	}},
}

func (w *world) cutOff(m *simMember, oneWay int) {
	for _, o := range w.members {
		w.cut(m.id, o.id, oneWay)
	}
}

// leaderGap strikes the leader at a random moment and returns the true time until
// another member holds a lease.
func leaderGap(w *world, strike func(*world, *simMember)) time.Duration {
	w.run(w.now + w.random(0, time.Second))
	began, lead := w.now, w.leader()
	strike(w, lead)
	for w.now < began+10*sessionLease && w.check.err == nil {
		w.run(w.now + time.Millisecond)
		for _, m := range w.others(lead) {
			if !m.running() {
				continue
			}
			if until, ok := m.replica.core.LeaseUntil(); ok && m.local() < until {
				return w.now - began
			}
		}
	}
	return w.now - began
}

func TestElectionEndsWithinTheSessionLease(t *testing.T) {
	for _, f := range leaderFaults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(100) {
				w := quietWorld(seed, 3, DefaultHeartbeat)
				gap := leaderGap(w, f.do)
				is.NoErr(w.check.err)
				is.True(gap < sessionLease)
			}
		})
	}
}

// heartbeats are the intervals that the benchmarks compare.
var heartbeats = []time.Duration{100 * time.Millisecond, 250 * time.Millisecond}

// BenchmarkLeaderGap reports the time without a leader lease after a fault, in
// milliseconds of virtual time.
func BenchmarkLeaderGap(b *testing.B) {
	for _, heartbeat := range heartbeats {
		for _, f := range leaderFaults {
			b.Run(fmt.Sprint("heartbeat-", heartbeat, "/", f.name), func(b *testing.B) {
				var gaps []time.Duration
				for b.Loop() {
					gaps = append(gaps, leaderGap(quietWorld(uint64(len(gaps)), 3, heartbeat), f.do))
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

// BenchmarkIdle reports the payload bytes and messages per idle second that the
// leader sends and receives; each follower has an equal share of them.
func BenchmarkIdle(b *testing.B) {
	const idle = 60 * time.Second
	for _, heartbeat := range heartbeats {
		for _, size := range []int{3, 5, 7} {
			b.Run(fmt.Sprint("heartbeat-", heartbeat, "/members-", size), func(b *testing.B) {
				for b.Loop() {
					w := quietWorld(1, size, heartbeat)
					lead := w.leader()
					w.measure = true
					w.run(w.now + idle)
					if w.leader() != lead {
						b.Fatal("the leader changed")
					}
					b.ReportMetric(float64(w.bytes)/idle.Seconds(), "leader-B/s")
					b.ReportMetric(float64(w.sent)/idle.Seconds(), "leader-msgs/s")
				}
			})
		}
	}
}

// BenchmarkProposals reports commands per second that three members commit to
// real folders, each synced.
func BenchmarkProposals(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprint("callers-", callers), func(b *testing.B) {
			c := emptyCluster(b, "a", "b", "c")
			c.threshold = 1 << 40 // the journal's snapshots would grow with b.N
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

// blob is a state machine with a state of a given size.
type blob []byte

func (blob) Apply(uint64, []byte) []byte { return nil }
func (b blob) Snapshot() ([]byte, error) { return b, nil }
func (blob) Restore([]byte) error        { return nil }

// BenchmarkSnapshot reports how long a member stands still for a snapshot on a
// real folder.
func BenchmarkSnapshot(b *testing.B) {
	for _, megabytes := range []int{1, 4, 16} {
		b.Run(fmt.Sprint("megabytes-", megabytes), func(b *testing.B) {
			disk, err := OpenFolder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			opts := Options{ID: "a", Bootstrap: true, Rand: testRand()}
			r, err := openReplica(0, disk, "bench", opts, make(blob, megabytes<<20), &switchboard{})
			if err != nil {
				b.Fatal(err)
			}
			defer r.stop(errCrashed)
			r.threshold = 1
			for b.Loop() {
				r.propose(0, []byte("x"), func([]byte, error) {})
				if err := r.process(0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
