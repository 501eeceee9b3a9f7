package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// schedule runs the gates of several routers against fake engines on a virtual
// clock, with randomness from one seed, and records every violated invariant.
type schedule struct {
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	sequence int
	settings PoolSettings
	off      options

	routers []*fakeRouter
	engines []*fakeEngine
	byID    map[fleet.UpstreamID]*fakeEngine
	members []bool // by router: in the membership
	table   *placement.Table
	epoch   fleet.Epoch
	outZone map[fleet.AvailabilityZone]time.Duration

	rate            float64 // requests a second
	meanServiceTime time.Duration
	noArrivals      bool
	batch           float64 // fraction of requests that is batch work
	pending         map[fleet.RequestID]*fakeRequest
	violations      []string
	log             []string
	arrived         int
	done            int
	excess          int // most requests above what a cold engine sustains
	rejected        map[Reason]int
	sampledMean     float64 // mean at the last sample
	// worst and worstAdmission are the highest load over the current mean, at any
	// time and at an admission.
	worst, worstAdmission float64
	waits                 map[fleet.Priority]time.Duration // longest wait for a slot
}

type fakeRouter struct {
	id       fleet.InstanceID
	gate     *Gate
	reported Sums // by the gate at its last renewal
	counted  Sums // at the engines, at the time of that report
	renewed  Sums // sum of all routers' counted at the last renewal
	alive    bool
}

type fakeEngine struct {
	fleet.Upstream
	running     int
	limit       int // concurrency that it sustains while cold
	cold        bool
	coldSince   time.Duration // of the last start, or of turning cold
	silent      bool          // turned cold without a new boot ID
	firstTokens int           // since coldSince
	started     []*fakeRequest
	completed   int
	owner       *fakeRouter
}

type fakeRequest struct {
	Request
	key        placement.ChatKey
	candidates []placement.Candidate
	arrived    time.Duration
	router     *fakeRouter
	engine     *fakeEngine
	boot       fleet.BootID
	started    time.Duration
	ended      bool
	gate       *Gate // that admitted it
}

const (
	renewInterval   = time.Second
	sampleEvery     = 50 * time.Millisecond
	zoneDelay       = 2 * time.Second // until every owner is notified of a zone's state
	zoneBound       = 5 * time.Second // after which a zone out of service must get no work
	coldSlowdown    = 6               // factor on all times of a cold engine
	leastMean       = 8               // least mean with which loads are compared
	coldFirstTokens = 3               // first tokens within which a silent cold start must be detected
	warmAfter       = 40              // answers after which a cold engine is warm
)

func newSchedule(seed uint64, routers, engines int, off options) *schedule {
	s := &schedule{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second, off: off, epoch: 1,
		settings: withDefaults(PoolSettings{MaxConcurrency: 64}),
		byID:     map[fleet.UpstreamID]*fakeEngine{}, outZone: map[fleet.AvailabilityZone]time.Duration{},
		pending: map[fleet.RequestID]*fakeRequest{}, rejected: map[Reason]int{},
		waits: map[fleet.Priority]time.Duration{}, meanServiceTime: 5 * time.Second,
	}
	for i := range routers {
		r := &fakeRouter{id: fleet.InstanceID(fmt.Sprintf("router-%03d", i)), gate: NewGate(), alive: true}
		r.gate.off = off
		r.gate.SetPoolSettings("llm", s.settings)
		s.routers, s.members = append(s.routers, r), append(s.members, true)
	}
	for i := range engines {
		e := &fakeEngine{Upstream: fleet.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("engine-%03d", i)), Pool: "llm",
			Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%4)), Boot: "b0"}, limit: s.settings.MaxConcurrency}
		s.engines = append(s.engines, e)
		s.byID[e.ID] = e
	}
	s.rebuildTable()
	s.assignOwners(false)
	for i, r := range s.routers {
		s.after(renewInterval*time.Duration(i)/time.Duration(routers), func() { s.renewSession(r) })
	}
	s.every(sampleEvery, s.sampleLoad)
	s.every(100*time.Millisecond, s.tick)
	s.after(0, s.scheduleArrivals)
	return s
}

// recordViolation records a violated invariant.
func (s *schedule) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// rebuildTable computes the placement table that all routers use.
func (s *schedule) rebuildTable() {
	m := fleet.Membership{Epoch: s.epoch}
	for i, in := range s.members {
		if in {
			m.Members = append(m.Members, fleet.Member{ID: s.routers[i].id})
		}
	}
	v := placement.View{Membership: m, Out: func(u fleet.Upstream) bool { _, out := s.outZone[u.Zone]; return out }}
	for _, e := range s.engines {
		v.Upstreams = append(v.Upstreams, e.Upstream)
	}
	if s.table == nil {
		s.table = placement.NewTable(s.now, v)
		return
	}
	s.table = s.table.Next(s.now, v)
}

func (s *schedule) router(id fleet.InstanceID) *fakeRouter {
	for _, r := range s.routers {
		if r.id == id {
			return r
		}
	}
	return nil
}

// assignOwners moves the upstreams to their owners in the current table. With a
// handover the new owner adopts the former owner's state; without one it receives only
// the number of foreign requests, from the upstream itself.
func (s *schedule) assignOwners(handover bool) {
	for _, e := range s.engines {
		owner := s.router(s.table.Owner(e.ID))
		if owner == e.owner {
			continue
		}
		former, h := e.owner, Handover{}
		if former != nil && former.alive {
			var decisions []QueuedDecision
			h, decisions = former.gate.Release(s.now, e.ID, nil)
			s.applyDecisions(former, decisions)
		}
		e.owner = owner
		s.sendState(e)
		if handover {
			owner.gate.Adopt(h)
		}
		s.sendForeign(e)
	}
}

// sendForeign sends the owner the number of requests on the engine that it didn't
// admit.
func (s *schedule) sendForeign(e *fakeEngine) {
	n := e.running - e.owner.gate.Running(e.ID)
	s.applyDecisions(e.owner, e.owner.gate.SetForeignInFlight(s.now, e.ID, n, nil))
}

// sendState sends the engine's state to its owner.
func (s *schedule) sendState(e *fakeEngine) {
	_, out := s.outZone[e.Zone]
	state := UpstreamState{ID: e.ID, Pool: e.Pool, Boot: e.Boot, Out: out, Leaving: e.Leaving}
	s.applyDecisions(e.owner, e.owner.gate.SetUpstream(s.now, state, nil))
}

// renewSession reports one router's loads and sends it the pool's sums.
func (s *schedule) renewSession(r *fakeRouter) {
	if !r.alive {
		return
	}
	for _, l := range r.gate.Loads(nil) {
		r.reported = l.Sums
	}
	r.counted = s.sumRunning(func(e *fakeEngine) bool { return e.owner == r })
	var total Sums
	r.renewed = Sums{}
	for _, o := range s.routers {
		if o.alive {
			total = total.plus(o.reported)
			r.renewed = r.renewed.plus(o.counted)
		}
	}
	s.applyDecisions(r, r.gate.SetPoolLoad(s.now, "llm", PoolLoad{Total: total, Own: r.reported}, nil))
	next := renewInterval
	if r.gate.HeldBackByBound() {
		next = renewInterval / 4
	}
	s.after(next, func() { s.renewSession(r) })
}

// sumRunning sums the requests that run on the matching engines that accept new work.
func (s *schedule) sumRunning(match func(*fakeEngine) bool) Sums {
	var sums Sums
	for _, e := range s.engines {
		u := e.owner.gate.upstreams[e.ID]
		if !e.owner.alive || u == nil || u.closed() || !match(e) {
			continue
		}
		sums.All += e.running
		sums.AllUpstreams++
		if !u.starting {
			sums.InFlight += e.running
			sums.Upstreams++
		}
	}
	return sums
}

// scheduleArrivals adds a request now and schedules the next arrival.
func (s *schedule) scheduleArrivals() {
	if s.rate > 0 && !s.noArrivals {
		s.addRequest()
	}
	s.after(time.Duration(s.rng.ExpFloat64()/max(s.rate, 1)*float64(time.Second)), s.scheduleArrivals)
}

func (s *schedule) addRequest() {
	s.sequence++
	s.arrived++
	r := &fakeRequest{Request: Request{ID: fleet.RequestID(fmt.Sprint("r", s.sequence)), Priority: fleet.PriorityInteractive, Deadline: s.now + 10*time.Second}, arrived: s.now}
	if s.rng.Float64() < s.batch {
		r.Priority, r.Deadline = fleet.PriorityBatch, s.now+20*time.Second
	}
	r.key = placement.KeyOf("w", fleet.ChatID(fmt.Sprint(s.rng.IntN(5000))), "")
	r.candidates = s.table.Candidates(r.key, "llm", "", make([]placement.Candidate, 0, 4))
	s.pending[r.ID] = r
	s.tryCandidates(r)
}

// tryCandidates offers the request to the candidates in turn, first for slots below the
// mean and then for any slot, and finally queues it at the first candidate.
func (s *schedule) tryCandidates(r *fakeRequest) {
	n := len(r.candidates)
	for i := range 2*n + 1 {
		if n == 0 {
			break
		}
		last := i == 2*n
		e := s.byID[r.candidates[i%n].Upstream]
		if !e.owner.alive {
			continue
		}
		r.Upstream, r.NoQueue, r.Yield, r.router, r.engine = e.ID, !last, 0, e.owner, e
		if i < n {
			r.Yield = YieldFor(0)
		}
		switch d := e.owner.gate.Admit(s.now, r.Request); d.Kind {
		case Admitted:
			s.startRequest(r)
			return
		case Queued:
			return
		default:
			if last {
				s.rejected[d.Reason]++
			}
		}
	}
	delete(s.pending, r.ID)
}

// startRequest runs an admitted request on its engine and checks the invariants.
func (s *schedule) startRequest(r *fakeRequest) {
	e := r.engine
	e.running++
	e.started = append(slices.DeleteFunc(e.started, func(r *fakeRequest) bool { return r.ended }), r)
	r.boot, r.started, r.gate = e.Boot, s.now, r.router.gate
	s.waits[r.Priority] = max(s.waits[r.Priority], s.now-r.arrived)
	if s.now > r.Deadline {
		s.recordViolation("%s started after its deadline", r.ID)
	}
	s.checkAdmission(e)
	slowdown := 1.0
	if e.cold {
		slowdown = coldSlowdown
	}
	duration := time.Duration(slowdown * float64(s.meanServiceTime) * (0.5 + s.rng.Float64()))
	first := time.Duration(slowdown * float64(300*time.Millisecond) * (0.7 + 0.6*s.rng.Float64()))
	tokens := int(float64(duration-first) / slowdown / float64(26*time.Millisecond))
	s.after(first, func() {
		if e.Boot == r.boot && r.started >= e.coldSince {
			e.firstTokens++
		}
		r.router.gate.FirstToken(s.now, r.ID, first)
	})
	s.after(duration, func() { s.finishRequest(r, Result{FirstToken: first, Duration: duration, Tokens: max(tokens, 2)}) })
}

// checkAdmission verifies the invariants at one admission.
func (s *schedule) checkAdmission(e *fakeEngine) {
	multiple := s.settings.LoadFactor * e.owner.renewed.mean()
	allowed := max(s.settings.StartConcurrency, min(int(math.Ceil(multiple)), roundUpBound), int(math.Floor(multiple+1e-9)))
	if e.running > allowed {
		s.recordViolation("bound: %s runs %d requests, bound %d", e.ID, e.running, allowed)
	}
	if s.sampledMean >= leastMean {
		s.worstAdmission = max(s.worstAdmission, float64(e.running)/s.sampledMean)
	}
	if at, out := s.outZone[e.Zone]; out && s.now-at > zoneBound {
		s.recordViolation("zone: %s got work %v after its zone went out", e.ID, s.now-at)
	}
	if !e.cold || e.running <= e.limit {
		return
	}
	s.excess = max(s.excess, e.running-e.limit)
	if !e.silent || e.firstTokens >= coldFirstTokens {
		s.recordViolation("ramp: %s runs %d requests, sustains %d while cold", e.ID, e.running, e.limit)
	}
}

func (s *schedule) finishRequest(r *fakeRequest, result Result) {
	if r.ended {
		return
	}
	r.ended = true
	delete(s.pending, r.ID)
	if !result.Failed {
		r.engine.completeRequest()
		s.done++
	}
	if r.router.alive && r.gate == r.router.gate {
		s.applyDecisions(r.router, r.gate.Done(s.now, r.ID, result, nil))
	}
	if r.engine.owner.gate != r.gate {
		s.sendForeign(r.engine)
	}
}

// completeRequest ends one request; each answer warms up a cold engine.
func (e *fakeEngine) completeRequest() {
	e.running--
	e.completed++
	e.limit++
	if e.cold && e.completed >= warmAfter {
		e.cold = false
	}
}

// applyDecisions starts the admitted requests and drops the rejected ones.
func (s *schedule) applyDecisions(r *fakeRouter, decisions []QueuedDecision) {
	for _, d := range decisions {
		q := s.pending[d.ID]
		if q == nil {
			s.recordViolation("gate decided on %s, which isn't pending", d.ID)
			continue
		}
		if d.Decision.Kind == Admitted {
			s.startRequest(q)
			continue
		}
		s.rejected[d.Decision.Reason]++
		delete(s.pending, d.ID)
	}
}

func (s *schedule) tick() {
	for _, r := range s.routers {
		if r.alive {
			s.applyDecisions(r, r.gate.Tick(s.now, nil))
		}
	}
}

// sampleLoad records the mean load, as counted at the engines.
func (s *schedule) sampleLoad() {
	most := 0
	mean := s.sumRunning(func(e *fakeEngine) bool {
		most = max(most, e.running)
		return true
	}).mean()
	s.sampledMean = mean
	if mean >= leastMean {
		s.worst = max(s.worst, float64(most)/mean)
	}
}
