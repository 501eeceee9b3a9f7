package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// policy is a way to choose the upstream of a chat.
type policy uint8

const (
	plain    policy = iota // current rendezvous order, without any memory
	recorded               // Table, Resident and the owners' notes
	oracle                 // knows every cache
)

func (p policy) String() string { return [...]string{"plain", "recorded", "oracle"}[p] }

// reuseOptions switch single mechanisms off.
type reuseOptions struct {
	noFormer, noNotes, noEvents, noAsking, alike bool
}

// reuseRun measures the cache reuse of one policy with fake engines that keep
// chats in a least-recently-used cache of limited size.
type reuseRun struct {
	rng     *rand.Rand
	policy  policy
	off     reuseOptions
	now     time.Duration
	steps   stepHeap
	order   int
	m       fleet.Membership
	table   *Table
	engines map[fleet.UpstreamID]*cacheEngine
	holders map[ChatKey][]fleet.UpstreamID // for the oracle
	ids     []fleet.UpstreamID
	owners  map[fleet.InstanceID]*Resident
	owns    map[fleet.UpstreamID]fleet.InstanceID
	out     map[fleet.AvailabilityZone]bool
	mean    float64
	waiting []*returning

	rate     float64
	prompt   int64    // tokens of histories asked for, from the start of measuring
	cached   int64    // of these, in the cache
	window   [2]int64 // prompt and cached, soon after the change
	skew     []float64
	hops     int
	served   int
	notes    int
	measured time.Duration
}

// returning is one chat and its history.
type returning struct {
	key    ChatKey
	tokens int
}

type step struct {
	at    time.Duration
	order int
	run   func()
}

type stepHeap []step

func (h stepHeap) Len() int { return len(h) }
func (h stepHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h stepHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *stepHeap) Push(x any)   { *h = append(*h, x.(step)) }
func (h *stepHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	*h = old[:len(old)-1]
	return s
}

const (
	tokenTime     = 26 * time.Millisecond
	answerTokens  = 200
	prefillRate   = 8000.0 // tokens a second
	engineTokens  = 3_000_000
	chatTurns     = 8 // mean number of turns of a chat
	eventLag      = 2 * time.Second
	eventLoss     = 0.01
	factor        = 1.25 // load factor
	soon          = 4 * time.Minute
	residentChats = 1 << 14
)

func newReuse(seed uint64, p policy, off reuseOptions, routers, engines, zones int, rate float64) *reuseRun {
	r := &reuseRun{
		rng: rand.New(rand.NewPCG(seed, 3)), policy: p, off: off, m: members(routers), rate: rate,
		holders: map[ChatKey][]fleet.UpstreamID{},
		engines: map[fleet.UpstreamID]*cacheEngine{}, owners: map[fleet.InstanceID]*Resident{}, owns: map[fleet.UpstreamID]fleet.InstanceID{}, out: map[fleet.AvailabilityZone]bool{},
	}
	for _, u := range upstreams(engines, zones) {
		r.add(u)
	}
	r.rebuild()
	r.after(0, r.start)
	r.every(time.Second, r.second)
	return r
}

// rebuild makes the table and moves records to new owners.
func (r *reuseRun) rebuild() {
	v := View{Membership: r.m, Out: func(u fleet.Upstream) bool { return r.out[u.Zone] }}
	for _, id := range r.ids {
		v.Upstreams = append(v.Upstreams, r.engines[id].Upstream)
	}
	if r.table == nil || r.policy == plain || r.off.noFormer {
		r.table = NewTable(r.now, v)
	} else {
		r.table = r.table.Next(r.now, v)
	}
	for _, id := range r.ids {
		r.own(id)
	}
}

// own begins the records of an upstream at its owner. Those of a stopped former
// owner are lost, and the new one's are incomplete until most chats have come
// back.
func (r *reuseRun) own(id fleet.UpstreamID) {
	instance := r.table.Owner(id)
	if r.owns[id] == instance {
		return
	}
	first := r.owns[id] == ""
	r.owns[id] = instance
	r.owner(id).Own(id, first)
}

func (r *reuseRun) owner(id fleet.UpstreamID) *Resident {
	instance := r.table.Owner(id)
	if r.owners[instance] == nil {
		r.owners[instance] = NewResident(residentChats)
	}
	return r.owners[instance]
}

func (r *reuseRun) after(d time.Duration, run func()) {
	r.order++
	heap.Push(&r.steps, step{r.now + d, r.order, run})
}

func (r *reuseRun) every(d time.Duration, run func()) {
	r.after(d, func() { run(); r.every(d, run) })
}

func (r *reuseRun) run(until time.Duration) {
	for len(r.steps) > 0 && r.steps[0].at <= until {
		s := heap.Pop(&r.steps).(step)
		r.now = s.at
		s.run()
	}
	r.now = until
}

// start begins a new chat; its turns follow after pauses of minutes, some after
// an hour.
func (r *reuseRun) start() {
	r.after(time.Duration(r.rng.ExpFloat64()/r.rate*chatTurns*float64(time.Second)), r.start)
	r.order++
	r.turn(&returning{key: KeyOf("w", fleet.ChatID(fmt.Sprint(r.order)), "")})
}

func (r *reuseRun) turn(c *returning) {
	e := r.choose(c)
	if e == nil {
		r.waiting = append(r.waiting, c)
		return
	}
	r.serve(c, e)
}

func (r *reuseRun) serve(c *returning, e *cacheEngine) {
	hit := 0
	if at := e.chats[c.key]; at != nil {
		hit = min(at.Value.(*cachedChat).tokens, c.tokens)
	}
	if r.now >= r.measured {
		r.prompt += int64(c.tokens)
		r.cached += int64(hit)
	}
	if r.now >= r.measured && r.now < r.measured+soon {
		r.window[0] += int64(c.tokens)
		r.window[1] += int64(hit)
	}
	r.served++
	question := 50 + r.rng.IntN(900)
	c.tokens += question + answerTokens
	e.inFlight++
	prefill := float64(c.tokens-hit-answerTokens) / prefillRate
	d := time.Duration(prefill*float64(time.Second)) + time.Duration(float64(answerTokens)*(0.3+1.4*r.rng.Float64())*float64(tokenTime))
	r.store(e, c.key, c.tokens)
	r.note(c, e)
	r.after(d, func() {
		e.inFlight--
		if r.rng.Float64() < 1.0/chatTurns {
			return
		}
		pause := time.Duration(r.rng.ExpFloat64() * float64(4*time.Minute))
		if r.rng.Float64() < 0.05 {
			pause += time.Duration(r.rng.ExpFloat64() * float64(40*time.Minute))
		}
		r.after(pause, func() { r.turn(c) })
	})
}

// note records where the chat was served: at the upstream's owner, and at the
// owner of the chat's first candidate if that is another upstream.
func (r *reuseRun) note(c *returning, e *cacheEngine) {
	if r.policy != recorded {
		return
	}
	r.owner(e.ID).Served(r.now, c.key, e.ID, c.tokens)
	var room [1]Candidate
	first := r.first(c.key, room[:0])
	if first != e.ID && first != "" && !r.off.noNotes {
		r.notes++
		r.owner(first).Served(r.now, c.key, e.ID, c.tokens)
	}
}

// first returns the upstream ranked first at present.
func (r *reuseRun) first(key ChatKey, dst []Candidate) fleet.UpstreamID {
	list := r.table.Candidates(key, "llm", "", make([]Candidate, 0, MaxCandidates))
	if at := FirstRanked(list); at >= 0 {
		return list[at].Upstream
	}
	if len(list) > 0 {
		return list[len(list)-1].Upstream
	}
	return ""
}

// limit is that of admission.Gate for a chat with so many tokens cached.
func (r *reuseRun) limit(tokens int) int {
	yield := admission.YieldFor(tokens)
	if r.off.alike {
		yield = 0
	}
	return admission.Bound(r.mean*(1+(factor-1)*(1-yield)), 2)
}

func (r *reuseRun) open(id fleet.UpstreamID, c *returning) bool {
	e := r.engines[id]
	return e != nil && r.table.Eligible(id) && e.inFlight < r.limit(c.tokens)
}

// choose returns the engine for the chat's next turn, or nil if it must wait.
func (r *reuseRun) choose(c *returning) *cacheEngine {
	if r.policy == oracle {
		if e := r.best(c); e != nil {
			return e
		}
	}
	candidates := r.table.Candidates(c.key, "llm", "", make([]Candidate, 0, 6))
	asking := false
	for _, candidate := range candidates {
		id := candidate.Upstream
		if r.policy == recorded {
			r.hops++
			p := r.owner(id).Lookup(c.key, id)
			// The owner names the place it knows; the entry tries that first.
			if p.Trust >= Doubtful && p.Upstream != id && r.open(p.Upstream, c) {
				return r.engines[p.Upstream]
			}
			if asking {
				candidate.Basis = Former // only where the chat is resident
			}
			if !r.off.noAsking && p.AskOthers(candidate) {
				asking = true
				continue
			}
			if !p.Serves(candidate) || asking && p.Trust == Unknown {
				continue
			}
		}
		if r.open(id, c) {
			return r.engines[id]
		}
	}
	return r.anyOpen(c, candidates)
}

// anyOpen takes the first candidate with room for the chat, then with any room.
func (r *reuseRun) anyOpen(c *returning, candidates []Candidate) *cacheEngine {
	for _, candidate := range candidates {
		if candidate.Basis == Ranked && r.open(candidate.Upstream, c) {
			return r.engines[candidate.Upstream]
		}
	}
	for _, candidate := range candidates {
		if r.engines[candidate.Upstream].inFlight < r.limit(1<<30) {
			return r.engines[candidate.Upstream]
		}
	}
	return nil
}

// best returns the open engine with most of the chat's history.
func (r *reuseRun) best(c *returning) *cacheEngine {
	var found *cacheEngine
	most := 0
	for _, id := range r.holders[c.key] {
		at := r.engines[id].chats[c.key]
		if at != nil && at.Value.(*cachedChat).tokens > most && r.open(id, c) {
			found, most = r.engines[id], at.Value.(*cachedChat).tokens
		}
	}
	return found
}

// second renews the mean, samples the skew and lets in what waits.
func (r *reuseRun) second() {
	sum, n := 0, 0
	for _, id := range r.ids {
		if r.table.Eligible(id) {
			sum += r.engines[id].inFlight
			n++
		}
	}
	r.mean = float64(sum+len(r.waiting)) / float64(max(n, 1))
	if r.now >= r.measured && sum > 0 {
		for _, id := range r.ids {
			if r.table.Eligible(id) {
				r.skew = append(r.skew, float64(r.engines[id].inFlight)*float64(n)/float64(sum))
			}
		}
	}
	waiting := r.waiting
	r.waiting = nil
	for _, c := range waiting {
		r.turn(c)
	}
}

// zone takes a zone out or in.
func (r *reuseRun) zone(z fleet.AvailabilityZone, out, cold bool) {
	r.out[z] = out
	for _, id := range r.ids {
		if cold && !out && r.engines[id].Zone == z {
			r.restart(id)
		}
	}
	r.rebuild()
}

// soonReuse is the reuse in the minutes after the change.
func (r *reuseRun) soonReuse() float64 { return float64(r.window[1]) / float64(max(r.window[0], 1)) }

func (r *reuseRun) reuse() float64 { return float64(r.cached) / float64(max(r.prompt, 1)) }

// p99 returns the 99th percentile of the load over the mean.
func (r *reuseRun) p99() float64 {
	slices.Sort(r.skew)
	if len(r.skew) == 0 {
		return 0
	}
	return r.skew[len(r.skew)*99/100]
}
