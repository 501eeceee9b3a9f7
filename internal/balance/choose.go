package balance

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

const (
	// prefillRate is the number of prompt tokens that an engine reads per millisecond, unless
	// the pool's is known to differ.
	prefillRate = 64.0
	// requestCost is the cost in milliseconds that each request at an upstream adds to a
	// new one there, unless the pool's is known to differ: all tokens come later, and the prompt
	// waits behind the others.
	requestCost = 1.0
	// rereadFactor multiplies the time to read a part again, because other requests
	// wait meanwhile and operators count it as waste.
	rereadFactor = 12.0
	// fetchFactor is the factor for a part that is fetched from another upstream.
	// Operators count a fetched token as about a ninth of one that is read again.
	fetchFactor = rereadFactor / 9
	// minSourceAge is how long an upstream must have been listed to count as a source
	// of parts that this router hasn't sent there itself.
	minSourceAge = 5 * time.Second
	// zoneCost is the cost in milliseconds of sending to another availability zone: the
	// round trip and the traffic between zones.
	zoneCost = 2.5
	// boundFactor and boundSlack bound the load of an upstream to boundFactor times the
	// mean plus boundSlack; operators allow twice the mean plus 3. The mean is that of
	// all listed upstreams, including those that get no work now, or that of the usable
	// ones if it is lower.
	boundFactor = 1.7
	boundSlack  = 2.0
	// overBoundCost is the cost in milliseconds of exceeding the bound, and
	// overBoundCostEach that of each request above it. It is more than reading a long
	// prompt again costs, so that if all upstreams exceed the bound, they do so evenly.
	overBoundCost     = 2000.0
	overBoundCostEach = 500.0
	// fullCost is the cost in milliseconds of an upstream whose slots are all taken.
	fullCost = 1000.0
	// firstRankShare and secondRankShare are the assumed probabilities that a prompt's
	// key part is cached at the first and second upstream of its ranking although this
	// router hasn't sent it there.
	firstRankShare  = 0.9
	secondRankShare = 0.1
	// sampledUpstreams plus the number of usable upstreams per router gives the size of the
	// random sample that a request considers if many routers choose at once. The upstreams
	// that may hold its prompt are considered too. Reports are about as old as a request
	// lasts: until they show its new requests, an idle upstream gets about this multiple of
	// the mean load. Operators allow twice the mean.
	sampledUpstreams = 2
	// fewRouters is the largest number of routers with which a request considers all
	// engines. Each router then places a large part of the load itself and counts that at
	// once, so that the age of reports matters less.
	fewRouters = 16
	// connectionShare is the fraction of an upstream's connections that routers use.
	connectionShare = 0.8
)

// Pick is a chosen upstream with one slot taken at it. End releases the slot; call it
// once.
type Pick struct {
	Upstream fleet.Upstream
	// Source is the address of an upstream that probably has parts of the prompt
	// cached which the chosen one lacks; empty for none.
	Source string
	// Load is the estimated number of requests at the upstream before this one, and Mean
	// the estimated mean load from which its bound follows.
	Load int
	Mean float64

	balancer    *Balancer
	state       *upstreamState
	parts       []PromptPart // of a request to an engine
	fingerprint uint64       // of the request
	prefill     int32
	slots       int32 // of the upstream; 0 if unknown
	answered    bool  // a byte of the answer has arrived
	zoneProbe   bool  // the request probes the zone of the upstream
	ended       bool
	memory      int32         // tokens beside the prompt's parts; 0 if the engine's memory isn't known
	toRead      int32         // prompt tokens of this request and of those before it
	began       time.Duration // when the slot was taken
	firstAt     time.Duration // time of the first event until it is recorded; 0 for none
	eventAt     time.Duration // time of the newest event; 0 for none
	// streamed is the time in milliseconds between the events, as far as it has an expectation, and
	// expected what that is.
	streamed, expected float64
	// idleBytes is the time of the newest byte that delivered nothing, and idleSince that of the
	// first one since something was delivered; 0 for none.
	idleBytes, idleSince time.Duration
}

// Choose takes a slot at the cheapest upstream of the request's pool. It returns nil if no
// upstream may get the request now.
func (b *Balancer) Choose(now time.Duration, r *Request, session SessionState) *Pick {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(now, r, session, false)
	if len(usable) == 0 && r.Side == NewSide && !r.FreeOnly {
		usable = b.soundNew(now, r, session)
	}
	if len(usable) == 0 && !r.SoundOnly && !r.FreeOnly {
		// An ejected or stalled upstream is better than none.
		usable = b.usable(now, r, session, true)
	}
	usable = b.fitting(now, r, usable)
	b.lookUpParts(r)
	source := b.cacheSource(now, r)
	all := meanLoad(now, b.pools[r.Pool.Name])
	estimates := b.poolEstimates(r.Pool.Name)
	for len(usable) > 0 {
		mean := poolMeans{load: min(all, meanLoad(now, usable))}
		if r.Pool.Engine != nil {
			mean.failures = meanFailureRate(now, usable)
		}
		c := comparison{now: now, request: r, usable: usable, routers: session.Routers, source: source, mean: mean}
		c.prefillRate, c.requestCost = estimates.costs()
		c.spread = spread(usable, r.Pool, mean.load, session.Routers)
		c.first, c.second = rank(r.rankingKey(), usable)
		if r.Pool.Engine != nil && len(r.Parts) > 0 {
			c.homeCost = b.leastHomeCost(&c)
		}
		i := b.best(&c)
		s := usable[i]
		if !s.isCold(now, r.Pool, session) || s.coldBucket.takeToken(now, r.Pool.ColdRate, coldBurst) {
			p := b.takeSlot(now, r, s, s.sourceFor(source, &session))
			p.Mean = mean.load
			return p
		}
		usable = slices.Delete(usable, i, i+1)
	}
	return nil
}

// usable returns the upstreams that may get the request; with includeFailed also those that
// are ejected or stalled, but never those that leave or rest.
func (b *Balancer) usable(now time.Duration, r *Request, session SessionState, includeFailed bool) []*upstreamState {
	out, versions := b.scratch[:0], session.versions(r.Pool.Name)
	for _, s := range b.pools[r.Pool.Name] {
		if session.Out(s.Upstream) {
			s.outAt = now
			continue
		}
		if s.Leaving || s.notices.bars(now) || now < s.replacedUntil || !r.allows(s.ID) || s.stalled(now) && !includeFailed {
			continue
		}
		if (versions != nil || r.Version != nil) && !b.admits(now, versions, s, r, &session, includeFailed) {
			continue
		}
		if s.isCold(now, r.Pool, session) && r.Pool.ColdRate > 0 && !session.Owns(s.ID) {
			continue
		}
		if limit := connectionLimit(r.Pool.MaxConnections, session.Routers); limit > 0 && s.running >= limit {
			continue
		}
		if r.FreeOnly && s.atSlots(now, r.Pool) {
			continue
		}
		if ok, probe := s.health.usable(now); !includeFailed && (!ok || probe && (!r.MayProbe || r.SoundOnly && r.Only == nil)) {
			continue
		}
		if ok, probe := s.zoneHealth.usable(now); !includeFailed && (!ok || probe && (!r.MayProbe && now < s.zoneHealth.barredUntil+zoneBarMax || r.SoundOnly && r.Only == nil)) {
			continue
		}
		out = append(out, s)
	}
	b.scratch = out
	return out
}

// allows reports whether the request may be sent to an upstream by Tried and Only.
func (r *Request) allows(id fleet.UpstreamID) bool {
	return !slices.Contains(r.Tried, id) && (r.Only == nil || slices.Contains(r.Only, id))
}

// lookUpParts finds the cached parts of the request, once for all upstreams.
func (b *Balancer) lookUpParts(r *Request) {
	b.lookup++
	b.markedAt = -1
	b.cachedParts = b.cachedParts[:0]
	if r.Pool.Engine == nil {
		return
	}
	for _, p := range r.Parts {
		b.cachedParts = append(b.cachedParts, b.parts.find(p.ID))
	}
}

// heldParts is what an upstream probably has cached of the prompt of the lookup with the given
// number.
type heldParts struct {
	lookup uint64
	// leading counts the prompt's first parts, and tokens those of their tokens.
	leading, tokens int
	key             bool // the key part, see Balancer.keyIndex
}

// markHolders sets upstreamState.held for the upstreams that hold parts of the request's prompt, which
// was looked up last. It costs less than to look for each upstream in each part's record.
func (b *Balancer) markHolders(now time.Duration, r *Request) {
	b.lookup++
	b.markedAt = now
	for i, part := range b.cachedParts {
		if part == nil {
			continue
		}
		for k := range part.holders[:part.count] {
			s := b.states[part.holders[k].upstream]
			if s == nil || !part.holders[k].valid(now, s) {
				continue
			}
			if s.held.lookup != b.lookup {
				s.held = heldParts{lookup: b.lookup}
			}
			if s.held.leading == i {
				s.held.leading++
				s.held.tokens += r.Parts[i].Tokens
			}
			s.held.key = s.held.key || i == b.keyIndex()
		}
	}
}

// heldBy returns what the upstream holds of the request's prompt, which was looked up last.
func (b *Balancer) heldBy(now time.Duration, r *Request, s *upstreamState) heldParts {
	if b.markedAt != now {
		b.markHolders(now, r)
	}
	if s.held.lookup != b.lookup {
		return heldParts{}
	}
	return s.held
}

// keyIndex returns the index of the request's key part, or -1.
func (b *Balancer) keyIndex() int {
	return max(len(b.cachedParts)-2, min(len(b.cachedParts), 1)-1)
}

// keyPart returns the record of the request's key part, or nil.
func (b *Balancer) keyPart() *cachedPart {
	if i := b.keyIndex(); i >= 0 {
		return b.cachedParts[i]
	}
	return nil
}

// connectionLimit returns this router's share of an upstream's connections, at least 2, or
// 0 for no limit.
func connectionLimit(all, routers int) int {
	if all <= 0 || routers <= 0 {
		return 0
	}
	return max(int(connectionShare*float64(all)/float64(routers)), 2)
}

// comparison holds the data by which upstreams are compared for one request.
type comparison struct {
	now     time.Duration
	request *Request
	usable  []*upstreamState
	routers int
	source  *upstreamState // of the prompt's shared parts, see Balancer.cacheSource; nil for none
	mean    poolMeans
	// first and second are the indices in usable of the first two upstreams in the
	// key's ranking; -1 for none.
	first, second int
	homeCost      float64 // see Balancer.leastHomeCost
	// prefillRate and requestCost are the constants, or what has been learned of the pool.
	prefillRate, requestCost float64
	// spread is the range in requests over which a plain pool's upstreams count as equal by chance.
	spread float64
}

// best returns the index of the upstream to choose: the cheapest of all, or, in a pool of
// engines with more than fewRouters routers, the cheapest of a sample. The routers of a
// large fleet choose at the same time and by the same reports: if all of them considered
// all engines, all would choose the one that the reports show idle. Each request therefore
// considers a random sample and the engines that may hold its prompt, and considers all
// engines only if these exceed the bound.
func (b *Balancer) best(c *comparison) int {
	if sampled := sampledUpstreams + len(c.usable)/max(c.routers, 1); c.request.Pool.Engine != nil && c.routers > fewRouters && sampled < len(c.usable) {
		if best, cost := b.cheapest(c, b.sample(c, sampled)); cost < overBoundCost {
			return best
		}
	}
	best, _ := b.cheapest(c, b.allIndices(len(c.usable)))
	return best
}

// allIndices returns the numbers from 0 to n-1.
func (b *Balancer) allIndices(n int) []int {
	for i := len(b.indices); i < n; i++ {
		b.indices = append(b.indices, i)
	}
	return b.indices[:n]
}

// sample returns the indices of the upstreams that may hold the prompt and of count random
// ones.
func (b *Balancer) sample(c *comparison, count int) []int {
	b.candidates = b.candidates[:0]
	for i, s := range c.usable {
		if i == c.first || i == c.second || b.heldBy(c.now, c.request, s).key {
			b.candidates = append(b.candidates, i)
		}
	}
	for k := range count {
		b.candidates = append(b.candidates, int(placement.Mix(c.request.Draw, uint64(k)+1)%uint64(len(c.usable))))
	}
	return b.candidates
}

// cheapest returns the index of the cheapest of the upstreams with the given indices, and
// its cost.
func (b *Balancer) cheapest(c *comparison, indices []int) (best int, bestCost float64) {
	bestCost = math.Inf(1)
	for _, i := range indices {
		share := 0.0
		switch i {
		case c.first:
			share = firstRankShare
		case c.second:
			share = secondRankShare
		}
		if cost := b.cost(c, c.usable[i], share); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// poolMeans holds the mean load and failure rate of the upstreams that a choice compares.
// The failure rate is set for engines only: the instances of a service are not avoided for
// their failures.
type poolMeans struct{ load, failures float64 }

// meanLoad returns the mean estimated load of the upstreams.
func meanLoad(now time.Duration, states []*upstreamState) float64 {
	total := 0
	for _, s := range states {
		total += s.load(now)
	}
	return float64(total) / float64(len(states))
}

// rank returns the indices of the first two upstreams in a key's ranking by rendezvous
// hashing, -1 for none.
func rank(key uint64, usable []*upstreamState) (first, second int) {
	first, second = -1, -1
	var firstScore, secondScore uint64
	for i, s := range usable {
		switch score := s.rankingScore(key); {
		case first < 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	return first, second
}

// cost returns the cost of the request at an upstream in milliseconds. share is the fraction
// of the shared parts that counts as cached although this router hasn't sent them there.
func (b *Balancer) cost(c *comparison, s *upstreamState, share float64) float64 {
	now, r := c.now, c.request
	load := float64(s.load(now))
	cost := c.requestCost * load
	if s.Zone != b.cfg.Zone {
		cost += zoneCost
	}
	if beyond := load + s.unreported(now, c.routers) - (boundFactor*c.mean.load + boundSlack); beyond > 0 {
		cost += overBoundCost + overBoundCostEach*beyond
	}
	if r.Pool.Engine == nil {
		// Break ties differently for each request.
		return cost + c.requestCost*c.spread*float64(placement.Mix(r.Draw, s.hash)>>40)/float64(1<<24)
	}
	// Only engines are avoided: the few instances of a service can't take each other's work.
	cost += r.failureCost() * max(s.failureRate(now)-c.mean.failures, 0)
	if slots := s.slotCount(r.Pool); slots > 0 && load >= float64(slots) {
		cost += fullCost
	}
	cost += float64(s.prefill)/c.prefillRate + b.paceCost(c, s)
	unread := b.uncachedTokens(now, r, s, share)
	if c.source == nil {
		return cost + rereadFactor*unread/c.prefillRate
	}
	own := min(float64(r.ownTokens()), unread)
	return cost + (rereadFactor*own+fetchFactor*(unread-own))/c.prefillRate
}

// cacheSource returns the upstream that most probably has the request's shared parts
// cached, or nil: one that this router has sent them to, or else the first in the key's
// ranking that has been listed for minSourceAge. It may be leaving, but isn't stalled,
// ejected, replaced or resting: a transfer is work for its source.
func (b *Balancer) cacheSource(now time.Duration, r *Request) *upstreamState {
	if r.Pool.Engine == nil || !r.Pool.Engine.Transfers || len(r.Parts) < 2 {
		return nil
	}
	var best bestSource
	if part := b.keyPart(); part != nil {
		for i := range part.holders[:part.count] {
			if s := b.states[part.holders[i].upstream]; s != nil && s.listed && s.Pool == r.Pool.Name && b.heldBy(now, r, s).key {
				best.consider(now, r, s)
			}
		}
	}
	if best.state != nil {
		return best.state
	}
	for _, s := range b.pools[r.Pool.Name] {
		if now-s.firstListed >= minSourceAge {
			best.consider(now, r, s)
		}
	}
	return best.state
}

// bestSource is the upstream of those considered that is first in the ranking of the request's key
// and may be a source; nil for none.
type bestSource struct {
	state *upstreamState
	score uint64
}

func (b *bestSource) consider(now time.Duration, r *Request, s *upstreamState) {
	if s.stalled(now) || now < s.health.ejectedUntil || now < s.replacedUntil || s.notices.rests(now) {
		return
	}
	if score := s.rankingScore(r.rankingKey()); b.state == nil || score > b.score {
		b.state, b.score = s, score
	}
}

// uncachedTokens estimates the number of prompt tokens that an upstream would have to read.
func (b *Balancer) uncachedTokens(now time.Duration, r *Request, s *upstreamState, share float64) float64 {
	held := b.heldBy(now, r, s)
	left := float64(r.PromptTokens - held.tokens)
	if share > 0 {
		for i := held.leading; i < len(r.Parts)-1; i++ {
			left -= share * float64(r.Parts[i].Tokens)
		}
	}
	return max(left, 0)
}

// takeSlot takes a slot at the upstream s, as a probe if s is ejected. If s is an engine, it
// records that s will have the prompt's parts cached.
func (b *Balancer) takeSlot(now time.Duration, r *Request, s, source *upstreamState) *Pick {
	_, probe := s.health.usable(now)
	s.health.probing = s.health.probing || probe
	if s.running == 0 {
		s.lastByte = now
	}
	s.running++
	p := &Pick{Upstream: s.Upstream, Load: s.load(now) - 1, balancer: b, state: s, fingerprint: r.Fingerprint, began: now, slots: int32(s.slotCount(r.Pool))}
	p.zoneProbe = s.zoneHealth.beginProbe(now)
	if r.Pool.Engine != nil {
		p.parts = r.Parts
		if source != nil && source != s && !b.heldBy(now, r, s).key {
			p.Source = source.Addr
		}
		p.prefill = int32(min(b.uncachedTokens(now, r, s, 0), math.MaxInt32))
		s.prefill += int(p.prefill)
		if r.memoryLimit() > 0 {
			p.memory = int32(min(r.privateTokens(), math.MaxInt32))
			added := s.memory.add(r.Parts, int(p.memory))
			// Other routers' requests share some of their parts with each other.
			own := min(r.ownTokens()+int(p.memory), added)
			b.poolEstimates(r.Pool.Name).memory.add(float64(own) + float64(added-own)/sharedBy)
		}
		p.toRead = int32(min(s.prefill, math.MaxInt32))
		for _, part := range r.Parts {
			b.parts.recordUse(now, part.ID, s.ID)
		}
	}
	return p
}

// RecordBytes records that bytes of an answer arrived that serve the request: of a stream, events
// after the first.
func (p *Pick) RecordBytes(now time.Duration) {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	if p.eventAt > 0 {
		e := p.balancer.poolEstimates(p.state.Pool)
		e.recordFirst(p)
		e.recordBetween(p, now)
	}
	p.eventAt = now
	p.recordDelivery(now)
}

// RecordIdleBytes records that bytes of an answer arrived that don't serve the request, such as a
// comment or an event that its caller has.
func (p *Pick) RecordIdleBytes(now time.Duration) {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	if p.idleSince == 0 {
		p.idleSince = now
	}
	p.idleBytes = now
}

// recordDelivery records that the upstream serves the request. The balancer's mu must be held.
func (p *Pick) recordDelivery(now time.Duration) {
	p.state.lastByte = max(p.state.lastByte, now)
	p.state.answeredAt = max(p.state.answeredAt, now)
	p.idleBytes, p.idleSince = 0, 0
	p.answered = true
	p.state.zoneHealth.recordAnswer(now)
}

// RecordAnswerHead records the arrival of an answer's head, or of a stream's first event,
// and the load that the upstream reported with it, if any.
func (p *Pick) RecordAnswerHead(now time.Duration, load *Load) {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	s := p.state
	p.recordDelivery(now)
	s.prefill -= int(p.prefill)
	p.prefill = 0
	p.firstAt, p.eventAt = now, now
	if load != nil {
		s.recordLoad(now, load)
	}
}

// MarkReplaced records that another upstream answers at the upstream's address. The upstream
// gets no work for replacedFor, or until it is listed with a new address or boot.
func (p *Pick) MarkReplaced(now time.Duration) {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.state.replacedUntil = now + replacedFor
}

// Stalled reports whether the upstream has stalled: it has requests in flight and has served
// none of them for stallTimeout, or has sent bytes for longer than that which don't serve this one.
func (p *Pick) Stalled(now time.Duration) bool {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	return p.state.stalled(now) || p.idleBytes-p.idleSince > stallTimeout
}

// SendsIdleBytes reports whether the upstream goes on sending bytes that don't serve the request,
// unlike one that is silent.
func (p *Pick) SendsIdleBytes(now time.Duration) bool {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	return p.idleSince > 0 && now-p.idleBytes <= stallTimeout
}

// End releases the slot and records the outcome. Later calls do nothing.
func (p *Pick) End(now time.Duration, o Outcome) {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	if p.memory > 0 {
		p.state.memory.remove(p.parts, int(p.memory))
	}
	p.balancer.poolEstimates(p.state.Pool).recordStream(p)
	p.state.running--
	p.state.prefill -= int(p.prefill)
	p.state.health.recordOutcome(now, o)
	if p.zoneProbe {
		p.state.zoneHealth.endProbe()
	}
	if o == OutcomeBroken && !p.answered {
		p.state.zoneHealth.recordSilence(now, p.began, p.state.ID)
	}
	if o == OutcomeServed {
		p.balancer.recordRequestServed(now, p.fingerprint)
		e := p.balancer.poolEstimates(p.state.Pool)
		e.recordFirst(p)
		e.recordService(p, now)
	}
	if o != OutcomeUnknown {
		p.state.outcomes.record(now, o != OutcomeServed)
	}
}
