package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// way is a way to keep engines below the load bound.
type way uint8

const (
	alone   way = iota // each router by itself, on load reports a second old
	credits            // each engine's bound shared out to the routers
	owned              // one owner per upstream
)

func (w way) String() string { return [...]string{"reports", "credits", "owner"}[w] }

// weighing compares the ways on the same arrivals, with one engine leaving and
// coming back in the middle.
type weighing struct {
	rng      *rand.Rand
	way      way
	now      time.Duration
	events   eventHeap
	order    int
	routers  []*weighRouter
	engines  []int   // in flight
	reported []int   // in flight, a second ago
	told     float64 // mean a second ago
	offered  float64 // mean load if all is let in
	total    int
	open     int
	table    *placement.Table
	index    map[fleet.UpstreamID]int
	gates    map[fleet.InstanceID]*weighRouter
	out      fleet.UpstreamID

	over     []float64 // in flight at each admission over the mean
	beyond   int       // admissions beyond the bound of the true mean
	first    int       // placed on the candidate ranked first
	placed   int
	refused  int
	hops     int
	control  int // bytes that one router sent and received
	settings PoolSettings
}

// weighService is the mean time of an answer.
const weighService = 5 * time.Second

type weighRouter struct {
	id      fleet.InstanceID
	gate    *Gate
	sums    Sums
	sent    []int // to each engine since its last report
	credits []int // in use, of each engine
}

func newWeighing(w way, routers, engines int, rate float64) *weighing {
	s := &weighing{
		rng: rand.New(rand.NewPCG(7, 7)), way: w, engines: make([]int, engines), reported: make([]int, engines),
		index: map[fleet.UpstreamID]int{}, gates: map[fleet.InstanceID]*weighRouter{}, settings: withDefaults(PoolSettings{MaxConcurrency: 128}),
		open: engines, offered: rate * weighService.Seconds() / float64(engines),
	}
	m := fleet.Membership{Epoch: 1}
	for i := range routers {
		r := &weighRouter{id: fleet.InstanceID(fmt.Sprintf("router-%03d", i)), gate: NewGate(), sent: make([]int, engines), credits: make([]int, engines)}
		r.gate.off = options{noRamp: true}
		r.gate.SetPoolSettings("llm", s.settings)
		s.routers, s.gates[r.id] = append(s.routers, r), r
		m.Members = append(m.Members, fleet.Member{ID: r.id})
		s.at(time.Second*time.Duration(i)/time.Duration(routers), func() { s.renew(r) })
	}
	v := placement.View{Membership: m, Out: func(u fleet.Upstream) bool { return u.ID == s.out }}
	for i := range engines {
		id := fleet.UpstreamID(fmt.Sprintf("engine-%03d", i))
		s.index[id] = i
		v.Upstreams = append(v.Upstreams, fleet.Upstream{ID: id, Pool: "llm"})
	}
	s.table = placement.NewTable(0, v)
	for _, u := range v.Upstreams {
		s.gates[s.table.Owner(u.ID)].gate.SetUpstream(0, UpstreamState{ID: u.ID, Pool: "llm", Boot: "b"}, nil)
	}
	for i, away := range []fleet.UpstreamID{v.Upstreams[0].ID, ""} {
		s.at(time.Duration(40+20*i)*time.Second, func() {
			s.out = away
			s.table = s.table.Next(s.now, v)
			s.open = engines - 1 + i
			id := v.Upstreams[0].ID
			s.gates[s.table.Owner(id)].gate.SetUpstream(s.now, UpstreamState{ID: id, Pool: "llm", Boot: "b", Out: i == 0}, nil)
		})
	}
	s.at(0, func() { s.arrive(rate) })
	s.at(0, s.report)
	return s
}

func (s *weighing) at(after time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now + after, s.order, run})
}

func (s *weighing) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// report is the engines' load report, of use to the first two ways.
func (s *weighing) report() {
	copy(s.reported, s.engines)
	s.told = s.meanNow()
	for _, r := range s.routers {
		clear(r.sent)
	}
	s.at(time.Second, s.report)
}

func (s *weighing) meanNow() float64 { return float64(s.total) / float64(s.open) }

// renew is the session renewal of one router; the first router's bytes count.
func (s *weighing) renew(r *weighRouter) {
	s.at(time.Second, func() { s.renew(r) })
	loads := r.gate.Loads(nil)
	var total Sums
	if len(loads) > 0 {
		r.sums = loads[0].Sums
	}
	for _, o := range s.routers {
		total = total.plus(o.sums)
	}
	load := PoolLoad{Total: total, Own: r.sums}
	if r == s.routers[0] {
		s.control += s.controlBytes(r, loads, load)
	}
	if s.way == owned {
		r.gate.SetPool(s.now, "llm", load, nil)
	}
}

// controlBytes is what one router sends and receives for load in a second, in
// encoded messages.
func (s *weighing) controlBytes(r *weighRouter, loads []Load, load PoolLoad) int {
	n := 0
	switch s.way {
	case alone: // every router hears of every engine
		for id, i := range s.index {
			report := Handover{Upstream: id, InFlight: s.engines[i]}
			raw, _ := report.MarshalMsg(nil)
			n += len(raw)
		}
	case credits: // asks for and gets its part of every engine
		for id, i := range s.index {
			part := Handover{Upstream: id, InFlight: r.credits[i]}
			raw, _ := part.MarshalMsg(nil)
			n += 2 * len(raw)
		}
	default:
		for i := range loads {
			raw, _ := loads[i].MarshalMsg(nil)
			n += len(raw)
		}
		raw, _ := load.MarshalMsg(nil)
		n += len(raw)
	}
	return n
}

func (s *weighing) arrive(rate float64) {
	s.at(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(rate) })
	r := s.routers[s.rng.IntN(len(s.routers))]
	s.order++
	key := placement.KeyOf("w", fleet.ChatID(fmt.Sprint(s.rng.IntN(1<<20))), "")
	id := fleet.RequestID(fmt.Sprint(s.order))
	candidates := s.table.Candidates(key, "llm", "", make([]placement.Candidate, 0, 4))
	for i, c := range candidates {
		if s.now > 30*time.Second {
			s.hops++
		}
		if s.admits(r, id, c) {
			s.start(r, id, c, i)
			return
		}
	}
	if s.now > 30*time.Second {
		s.refused++
	}
}

// admits tells whether the way lets the request onto the candidate.
func (s *weighing) admits(r *weighRouter, id fleet.RequestID, c placement.Candidate) bool {
	e := s.index[c.Upstream]
	switch s.way {
	case alone:
		return s.reported[e]+r.sent[e] < Bound(s.settings.LoadFactor*s.told, 2)
	case credits:
		return r.credits[e] < s.part(r, e)
	default:
		d := s.gates[c.Owner].gate.Admit(s.now, Request{ID: id, Upstream: c.Upstream, NoQueue: true})
		return d.Kind == Admitted
	}
}

// part is the router's share of the engine's bound: the whole part to each, the
// rest to some, in turn by engine. The bound is that of the load on offer, for
// one of the load that is let in would never grow.
func (s *weighing) part(r *weighRouter, e int) int {
	bound, n := Bound(s.settings.LoadFactor*s.offered, 2), len(s.routers)
	part := bound / n
	at := slices.Index(s.routers, r)
	if (at+e*7919)%n < bound%n {
		part++
	}
	return part
}

func (s *weighing) start(r *weighRouter, id fleet.RequestID, c placement.Candidate, rank int) {
	e := s.index[c.Upstream]
	s.engines[e]++
	s.total++
	r.sent[e]++
	r.credits[e]++
	if s.now > 30*time.Second {
		mean := s.meanNow()
		s.placed++
		s.over = append(s.over, float64(s.engines[e])/mean)
		if s.engines[e] > Bound(s.settings.LoadFactor*mean, 2) {
			s.beyond++
		}
		if rank == 0 {
			s.first++
		}
	}
	d := time.Duration((0.3 + 1.4*s.rng.Float64()) * float64(weighService))
	s.at(d, func() {
		s.engines[e]--
		s.total--
		r.credits[e]--
		if s.way == owned {
			s.gates[c.Owner].gate.Done(s.now, id, Result{Duration: d, Tokens: 200, FirstToken: d / 20}, nil)
		}
	})
}

// BenchmarkWays prints the weighing of the three ways at three sizes.
func BenchmarkWays(b *testing.B) {
	fmt.Println("size way: p99.9 and worst in flight over mean at admission; beyond the bound; placed first; refused; tries; control B/s a router")
	for _, size := range []struct {
		name             string
		routers, engines int
		rate             float64
	}{{"dala press", 8, 20, 100}, {"lamphun", 8, 10, 50}, {"letter", 410, 600, 3000}} {
		for w := range 3 {
			s := newWeighing(way(w), size.routers, size.engines, size.rate)
			s.run(90 * time.Second)
			slices.Sort(s.over)
			n := len(s.over)
			fmt.Printf("%-10s %-8s %.2f %.2f  %5.2f%%  %5.1f%%  %5.2f%%  %.2f  %d\n", size.name, way(w),
				s.over[n*999/1000], s.over[n-1], 100*float64(s.beyond)/float64(n), 100*float64(s.first)/float64(n),
				100*float64(s.refused)/float64(n+s.refused), float64(s.hops)/float64(n+s.refused), s.control/90)
		}
	}
}
