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

// strategy is a method of keeping engines below the load bound.
type strategy uint8

const (
	byReports strategy = iota // each router decides by itself on load reports up to 1 s old
	credits                   // each engine's bound is divided among the routers
	owned                     // one owner per upstream decides
)

func (w strategy) String() string { return [...]string{"reports", "credits", "owner"}[w] }

// comparison runs one strategy on a fixed sequence of arrivals, during which one
// engine goes out of service and comes back.
type comparison struct {
	rng          *rand.Rand
	strategy     strategy
	now          time.Duration
	events       eventHeap
	order        int
	routers      []*comparedRouter
	engines      []int   // in flight at each engine
	reported     []int   // engines at the last load report
	reportedMean float64 // mean load at the last load report
	offered      float64 // mean load if every request were admitted
	total        int
	open         int
	table        *placement.Table
	index        map[fleet.UpstreamID]int
	gates        map[fleet.InstanceID]*comparedRouter
	out          fleet.UpstreamID

	loadRatios []float64 // in flight at each admission over the mean
	overBound  int       // admissions beyond the bound of the true mean
	first      int       // placed on the candidate ranked first
	placed     int
	rejected   int
	hops       int
	control    int // bytes that the first router sent and received
	settings   PoolSettings
}

// meanAnswerTime is the mean time of an answer.
const meanAnswerTime = 5 * time.Second

type comparedRouter struct {
	id      fleet.InstanceID
	gate    *Gate
	sums    Sums
	sent    []int // to each engine since its last report
	credits []int // in use at each engine
}

func newComparison(w strategy, routers, engines int, rate float64) *comparison {
	s := &comparison{
		rng: rand.New(rand.NewPCG(7, 7)), strategy: w, engines: make([]int, engines), reported: make([]int, engines),
		index: map[fleet.UpstreamID]int{}, gates: map[fleet.InstanceID]*comparedRouter{}, settings: withDefaults(PoolSettings{MaxConcurrency: 128}),
		open: engines, offered: rate * meanAnswerTime.Seconds() / float64(engines),
	}
	m := fleet.Membership{Epoch: 1}
	for i := range routers {
		r := &comparedRouter{id: fleet.InstanceID(fmt.Sprintf("router-%03d", i)), gate: NewGate(), sent: make([]int, engines), credits: make([]int, engines)}
		r.gate.off = options{noRamp: true}
		r.gate.SetPoolSettings("llm", s.settings)
		s.routers, s.gates[r.id] = append(s.routers, r), r
		m.Members = append(m.Members, fleet.Member{ID: r.id})
		s.after(time.Second*time.Duration(i)/time.Duration(routers), func() { s.renewSession(r) })
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
		s.after(time.Duration(40+20*i)*time.Second, func() {
			s.out = away
			s.table = s.table.Next(s.now, v)
			s.open = engines - 1 + i
			id := v.Upstreams[0].ID
			s.gates[s.table.Owner(id)].gate.SetUpstream(s.now, UpstreamState{ID: id, Pool: "llm", Boot: "b", Out: i == 0}, nil)
		})
	}
	s.after(0, func() { s.scheduleArrivals(rate) })
	s.after(0, s.reportLoads)
	return s
}

func (s *comparison) after(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now + delay, s.order, run})
}

func (s *comparison) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// reportLoads makes all engines report their loads. Only the strategy byReports uses
// them.
func (s *comparison) reportLoads() {
	copy(s.reported, s.engines)
	s.reportedMean = s.currentMean()
	for _, r := range s.routers {
		clear(r.sent)
	}
	s.after(time.Second, s.reportLoads)
}

func (s *comparison) currentMean() float64 { return float64(s.total) / float64(s.open) }

// renewSession renews the session of one router; only the first router's bytes are
// counted.
func (s *comparison) renewSession(r *comparedRouter) {
	s.after(time.Second, func() { s.renewSession(r) })
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
	if s.strategy == owned {
		r.gate.SetPoolLoad(s.now, "llm", load, nil)
	}
}

// controlBytes returns the size of the encoded load messages that one router sends
// and receives in a second.
func (s *comparison) controlBytes(r *comparedRouter, loads []Load, load PoolLoad) int {
	n := 0
	switch s.strategy {
	case byReports: // every router receives a report of every engine
		for id, i := range s.index {
			report := Handover{Upstream: id, InFlight: s.engines[i]}
			raw, _ := report.MarshalMsg(nil)
			n += len(raw)
		}
	case credits: // requests and receives its share of every engine
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

func (s *comparison) scheduleArrivals(rate float64) {
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.scheduleArrivals(rate) })
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
			s.startRequest(r, id, c, i)
			return
		}
	}
	if s.now > 30*time.Second {
		s.rejected++
	}
}

// admits reports whether the strategy admits the request to the candidate.
func (s *comparison) admits(r *comparedRouter, id fleet.RequestID, c placement.Candidate) bool {
	e := s.index[c.Upstream]
	switch s.strategy {
	case byReports:
		return s.reported[e]+r.sent[e] < Bound(s.settings.LoadFactor*s.reportedMean, 2)
	case credits:
		return r.credits[e] < s.creditShare(r, e)
	default:
		d := s.gates[c.Owner].gate.Admit(s.now, Request{ID: id, Upstream: c.Upstream, NoQueue: true})
		return d.Kind == Admitted
	}
}

// creditShare returns the router's share of the engine's bound: the integer quotient,
// plus one at as many routers as the remainder, which differ by engine. The bound is
// that of the offered load, as a bound of the admitted load would never grow.
func (s *comparison) creditShare(r *comparedRouter, e int) int {
	bound, n := Bound(s.settings.LoadFactor*s.offered, 2), len(s.routers)
	part := bound / n
	at := slices.Index(s.routers, r)
	if (at+e*7919)%n < bound%n {
		part++
	}
	return part
}

func (s *comparison) startRequest(r *comparedRouter, id fleet.RequestID, c placement.Candidate, rank int) {
	e := s.index[c.Upstream]
	s.engines[e]++
	s.total++
	r.sent[e]++
	r.credits[e]++
	if s.now > 30*time.Second {
		mean := s.currentMean()
		s.placed++
		s.loadRatios = append(s.loadRatios, float64(s.engines[e])/mean)
		if s.engines[e] > Bound(s.settings.LoadFactor*mean, 2) {
			s.overBound++
		}
		if rank == 0 {
			s.first++
		}
	}
	d := time.Duration((0.3 + 1.4*s.rng.Float64()) * float64(meanAnswerTime))
	s.after(d, func() {
		s.engines[e]--
		s.total--
		r.credits[e]--
		if s.strategy == owned {
			s.gates[c.Owner].gate.Done(s.now, id, Result{Duration: d, Tokens: 200, FirstToken: d / 20}, nil)
		}
	})
}

// BenchmarkStrategies prints the comparison of the three strategies at three fleet
// sizes.
func BenchmarkStrategies(b *testing.B) {
	fmt.Println("size strategy: p99.9 and worst in flight over mean at admission; above the bound; placed on the first candidate; rejected; attempts; control B/s per router")
	for _, size := range []struct {
		name             string
		routers, engines int
		rate             float64
	}{{"dala press", 8, 20, 100}, {"lamphun", 8, 10, 50}, {"letter", 410, 600, 3000}} {
		for w := range 3 {
			s := newComparison(strategy(w), size.routers, size.engines, size.rate)
			s.run(90 * time.Second)
			slices.Sort(s.loadRatios)
			n := len(s.loadRatios)
			fmt.Printf("%-10s %-8s %.2f %.2f  %5.2f%%  %5.1f%%  %5.2f%%  %.2f  %d\n", size.name, strategy(w),
				s.loadRatios[n*999/1000], s.loadRatios[n-1], 100*float64(s.overBound)/float64(n), 100*float64(s.first)/float64(n),
				100*float64(s.rejected)/float64(n+s.rejected), float64(s.hops)/float64(n+s.rejected), s.control/90)
		}
	}
}
