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

// policy is a method of choosing the upstream of a chat.
type policy uint8

const (
	plain    policy = iota // current rendezvous order alone
	recorded               // Table, Resident and redirect records
	oracle                 // knows the contents of every cache
)

func (p policy) String() string { return [...]string{"plain", "recorded", "oracle"}[p] }

// reuseOptions disable single mechanisms.
type reuseOptions struct {
	noFormer, noRedirects, noEvents, noAskOthers, noYield bool
}

// reuseSim measures the cache reuse of one policy with fake engines whose caches
// have a limited size.
type reuseSim struct {
	rng        *rand.Rand
	policy     policy
	off        reuseOptions
	now        time.Duration
	events     eventHeap
	order      int
	membership fleet.Membership
	table      *Table
	engines    map[fleet.UpstreamID]*cacheEngine
	holders    map[ChatKey][]fleet.UpstreamID // for the oracle
	ids        []fleet.UpstreamID
	residents  map[fleet.InstanceID]*Resident
	owners     map[fleet.UpstreamID]fleet.InstanceID
	outZones   map[fleet.AvailabilityZone]bool
	mean       float64
	waiting    []*chatHistory

	rate         float64
	prompt       int64    // tokens of histories in requests since measuredFrom
	cached       int64    // of these, tokens found in a cache
	soon         [2]int64 // prompt and cached within soonWindow after measuredFrom
	loadRatios   []float64
	hops         int
	served       int
	redirects    int
	measuredFrom time.Duration // start of the measurement and time of the change
}

// chatHistory is one chat and the length of its history.
type chatHistory struct {
	key    ChatKey
	tokens int
}

type timedEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
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
	loadFactor    = 1.25
	soonWindow    = 4 * time.Minute
	residentChats = 1 << 14
)

func newReuseSim(seed uint64, p policy, off reuseOptions, routers, engines, zones int, rate float64) *reuseSim {
	r := &reuseSim{
		rng: rand.New(rand.NewPCG(seed, 3)), policy: p, off: off, membership: members(routers), rate: rate,
		holders: map[ChatKey][]fleet.UpstreamID{},
		engines: map[fleet.UpstreamID]*cacheEngine{}, residents: map[fleet.InstanceID]*Resident{}, owners: map[fleet.UpstreamID]fleet.InstanceID{}, outZones: map[fleet.AvailabilityZone]bool{},
	}
	for _, u := range upstreams(engines, zones) {
		r.addEngine(u)
	}
	r.rebuildTable()
	r.after(0, r.startChat)
	r.every(time.Second, r.tick)
	return r
}

// rebuildTable computes the table and assigns upstreams to their new owners.
func (r *reuseSim) rebuildTable() {
	v := View{Membership: r.membership, Out: func(u fleet.Upstream) bool { return r.outZones[u.Zone] }}
	for _, id := range r.ids {
		v.Upstreams = append(v.Upstreams, r.engines[id].Upstream)
	}
	if r.table == nil || r.policy == plain || r.off.noFormer {
		r.table = NewTable(r.now, v)
	} else {
		r.table = r.table.Next(r.now, v)
	}
	for _, id := range r.ids {
		r.assignOwner(id)
	}
}

// assignOwner starts the records of an upstream at its owner. There is no handover: the
// records of a stopped former owner are lost, and the new owner's are incomplete until
// most chats have returned.
func (r *reuseSim) assignOwner(id fleet.UpstreamID) {
	instance := r.table.Owner(id)
	if r.owners[id] == instance {
		return
	}
	first := r.owners[id] == ""
	r.owners[id] = instance
	r.owner(id).StartRecords(id, first)
}

func (r *reuseSim) owner(id fleet.UpstreamID) *Resident {
	instance := r.table.Owner(id)
	if r.residents[instance] == nil {
		r.residents[instance] = NewResident(residentChats)
	}
	return r.residents[instance]
}

func (r *reuseSim) after(d time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, timedEvent{r.now + d, r.order, run})
}

func (r *reuseSim) every(d time.Duration, run func()) {
	r.after(d, func() { run(); r.every(d, run) })
}

func (r *reuseSim) run(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at <= until {
		s := heap.Pop(&r.events).(timedEvent)
		r.now = s.at
		s.run()
	}
	r.now = until
}

// startChat starts a new chat. Its turns follow at intervals of minutes, some after an
// hour.
func (r *reuseSim) startChat() {
	r.after(time.Duration(r.rng.ExpFloat64()/r.rate*chatTurns*float64(time.Second)), r.startChat)
	r.order++
	r.startTurn(&chatHistory{key: KeyOf("w", fleet.ChatID(fmt.Sprint(r.order)), "")})
}

// startTurn serves the chat's next turn, or makes it wait if no engine accepts it.
func (r *reuseSim) startTurn(c *chatHistory) {
	e := r.chooseEngine(c)
	if e == nil {
		r.waiting = append(r.waiting, c)
		return
	}
	r.serveTurn(c, e)
}

// serveTurn serves one turn on the engine and schedules the next one, if there is one.
func (r *reuseSim) serveTurn(c *chatHistory, e *cacheEngine) {
	hit := 0
	if at := e.chats[c.key]; at != nil {
		hit = min(at.Value.(*cachedChat).tokens, c.tokens)
	}
	if r.now >= r.measuredFrom {
		r.prompt += int64(c.tokens)
		r.cached += int64(hit)
	}
	if r.now >= r.measuredFrom && r.now < r.measuredFrom+soonWindow {
		r.soon[0] += int64(c.tokens)
		r.soon[1] += int64(hit)
	}
	r.served++
	question := 50 + r.rng.IntN(900)
	c.tokens += question + answerTokens
	e.inFlight++
	prefill := float64(c.tokens-hit-answerTokens) / prefillRate
	d := time.Duration(prefill*float64(time.Second)) + time.Duration(float64(answerTokens)*(0.3+1.4*r.rng.Float64())*float64(tokenTime))
	r.storeChat(e, c.key, c.tokens)
	r.recordServed(c, e)
	r.after(d, func() {
		e.inFlight--
		if r.rng.Float64() < 1.0/chatTurns {
			return
		}
		pause := time.Duration(r.rng.ExpFloat64() * float64(4*time.Minute))
		if r.rng.Float64() < 0.05 {
			pause += time.Duration(r.rng.ExpFloat64() * float64(40*time.Minute))
		}
		r.after(pause, func() { r.startTurn(c) })
	})
}

// recordServed records where the chat was served, at the upstream's owner and, as a
// redirect, at the owner of the chat's first candidate if that is another upstream.
func (r *reuseSim) recordServed(c *chatHistory, e *cacheEngine) {
	if r.policy != recorded {
		return
	}
	r.owner(e.ID).RecordServed(r.now, c.key, e.ID, c.tokens)
	var buf [1]Candidate
	first := r.firstRanked(c.key, buf[:0])
	if first != e.ID && first != "" && !r.off.noRedirects {
		r.redirects++
		r.owner(first).RecordServed(r.now, c.key, e.ID, c.tokens)
	}
}

// firstRanked returns the first Ranked candidate's upstream, or else the last candidate's,
// or "" if there is none.
func (r *reuseSim) firstRanked(key ChatKey, dst []Candidate) fleet.UpstreamID {
	list := r.table.Candidates(key, "llm", "", make([]Candidate, 0, MaxCandidates))
	if at := FirstRanked(list); at >= 0 {
		return list[at].Upstream
	}
	if len(list) > 0 {
		return list[len(list)-1].Upstream
	}
	return ""
}

// limit returns how many requests an engine may run when a chat of which it has this many
// tokens cached asks for a slot, by the rule of admission.Gate.
func (r *reuseSim) limit(tokens int) int {
	yield := admission.YieldFor(tokens)
	if r.off.noYield {
		yield = 0
	}
	return admission.Bound(r.mean*(1+(loadFactor-1)*(1-yield)), 2)
}

// accepts reports whether the upstream is eligible and below its limit for the chat.
func (r *reuseSim) accepts(id fleet.UpstreamID, c *chatHistory) bool {
	e := r.engines[id]
	return e != nil && r.table.Eligible(id) && e.inFlight < r.limit(c.tokens)
}

// chooseEngine returns the engine for the chat's next turn, or nil if it must wait.
func (r *reuseSim) chooseEngine(c *chatHistory) *cacheEngine {
	if r.policy == oracle {
		if e := r.bestCached(c); e != nil {
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
			// The owner returns the upstream in its record; the request goes there first.
			if p.Trust >= Doubtful && p.Upstream != id && r.accepts(p.Upstream, c) {
				return r.engines[p.Upstream]
			}
			if asking {
				candidate.Basis = Former // only where the chat is resident
			}
			if !r.off.noAskOthers && p.AskOthers(candidate) {
				asking = true
				continue
			}
			if !p.Serves(candidate) || asking && p.Trust == Unknown {
				continue
			}
		}
		if r.accepts(id, c) {
			return r.engines[id]
		}
	}
	return r.firstOpen(c, candidates)
}

// firstOpen returns the first Ranked candidate that accepts the chat, or else the first
// candidate below the limit of a fully cached chat.
func (r *reuseSim) firstOpen(c *chatHistory, candidates []Candidate) *cacheEngine {
	for _, candidate := range candidates {
		if candidate.Basis == Ranked && r.accepts(candidate.Upstream, c) {
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

// bestCached returns the accepting engine that has most of the chat's history cached.
func (r *reuseSim) bestCached(c *chatHistory) *cacheEngine {
	var found *cacheEngine
	most := 0
	for _, id := range r.holders[c.key] {
		at := r.engines[id].chats[c.key]
		if at != nil && at.Value.(*cachedChat).tokens > most && r.accepts(id, c) {
			found, most = r.engines[id], at.Value.(*cachedChat).tokens
		}
	}
	return found
}

// tick updates the mean load, samples the load over the mean and retries waiting chats.
// It runs once a second.
func (r *reuseSim) tick() {
	sum, n := 0, 0
	for _, id := range r.ids {
		if r.table.Eligible(id) {
			sum += r.engines[id].inFlight
			n++
		}
	}
	r.mean = float64(sum+len(r.waiting)) / float64(max(n, 1))
	if r.now >= r.measuredFrom && sum > 0 {
		for _, id := range r.ids {
			if r.table.Eligible(id) {
				r.loadRatios = append(r.loadRatios, float64(r.engines[id].inFlight)*float64(n)/float64(sum))
			}
		}
	}
	waiting := r.waiting
	r.waiting = nil
	for _, c := range waiting {
		r.startTurn(c)
	}
}

// setZoneOut takes a zone out of service or puts it back in; a cold one returns with empty
// caches.
func (r *reuseSim) setZoneOut(z fleet.AvailabilityZone, out, cold bool) {
	r.outZones[z] = out
	for _, id := range r.ids {
		if cold && !out && r.engines[id].Zone == z {
			r.restartEngine(id)
		}
	}
	r.rebuildTable()
}

// soonReuse returns the reuse within soonWindow after the change.
func (r *reuseSim) soonReuse() float64 { return float64(r.soon[1]) / float64(max(r.soon[0], 1)) }

// reuse returns the fraction of histories that was found in a cache since measuredFrom.
func (r *reuseSim) reuse() float64 { return float64(r.cached) / float64(max(r.prompt, 1)) }

// p99 returns the 99th percentile of the load over the mean.
func (r *reuseSim) p99() float64 {
	slices.Sort(r.loadRatios)
	if len(r.loadRatios) == 0 {
		return 0
	}
	return r.loadRatios[len(r.loadRatios)*99/100]
}
