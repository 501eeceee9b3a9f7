package balance

import "time"

const (
	// memoryShare is the fraction of an engine's memory that requests may need by the estimate. The
	// rest covers requests of other routers that no report shows yet.
	memoryShare = 0.85
	// expectedOutput is the number of output tokens of a request that doesn't tell its maximum.
	expectedOutput = 512
	// reportDelay is how old a report of other routers' requests is when it arrives.
	reportDelay = 400 * time.Millisecond
)

// memoryUse counts the tokens that this router's requests in flight need at an engine. The zero value
// has none.
type memoryUse struct {
	parts  map[uint64]partUse // of their prompts
	tokens int                // of the parts, each counted once, and of all else
}

// partUse counts the requests with one prompt part.
type partUse struct{ requests, tokens int }

// memoryLimit returns the tokens that requests may need at an engine of the request's pool; 0 for no
// limit.
func (r *Request) memoryLimit() int {
	if r.Pool.Engine == nil {
		return 0
	}
	return int(memoryShare * float64(r.Pool.Engine.CacheTokens))
}

// sharedBy is the number of other routers' requests at an engine that are assumed to share a prompt's
// shared parts. If each counted them once, a fleet whose sessions share documents would leave half
// of its slots idle.
const sharedBy = 4.0

// privateTokens returns the tokens that the request needs beside its prompt's parts: the rest of its
// prompt and its output.
func (r *Request) privateTokens() int {
	rest := r.PromptTokens
	for _, p := range r.Parts {
		rest -= p.Tokens
	}
	output := r.OutputTokens
	if output <= 0 {
		output = expectedOutput
	}
	return max(rest, 0) + output
}

// partTokens returns the tokens of the parts that no request in flight has.
func (m *memoryUse) partTokens(parts []PromptPart) (tokens int) {
	for _, p := range parts {
		if m.parts[p.ID].requests == 0 {
			tokens += p.Tokens
		}
	}
	return tokens
}

// add adds a request with the given parts and other tokens, and returns the tokens that it adds.
func (m *memoryUse) add(parts []PromptPart, private int) (added int) {
	if m.parts == nil {
		m.parts = make(map[uint64]partUse)
	}
	before := m.tokens
	m.tokens += private
	for _, p := range parts {
		use := m.parts[p.ID]
		if use.requests++; use.requests == 1 {
			use.tokens = p.Tokens
			m.tokens += p.Tokens
		}
		m.parts[p.ID] = use
	}
	return m.tokens - before
}

// remove removes a request that was added.
func (m *memoryUse) remove(parts []PromptPart, private int) {
	m.tokens -= private
	for _, p := range parts {
		use := m.parts[p.ID]
		if use.requests--; use.requests > 0 {
			m.parts[p.ID] = use
			continue
		}
		m.tokens -= use.tokens
		delete(m.parts, p.ID)
	}
}

// memoryNeed estimates the tokens that the requests of all routers need at an engine with all of their
// output: what this router has sent, and the mean of this router's requests for each request of the
// others that has a slot. The others' requests are those reported, and as many as have arrived in the
// time that no report covers, at the given rate per second.
func (s *upstreamState) memoryNeed(now time.Duration, r *Request, mean, rate float64) int {
	others := float64(s.recentOthers(now).Running)
	if rate > 0 {
		others += rate * (min(now-s.reportedAt, reportAge) + reportDelay).Seconds()
	}
	if slots := s.slotCount(r.Pool); slots > 0 {
		others = min(others, float64(max(slots-s.running, 0)))
	}
	return s.memory.tokens + int(others*mean)
}

// fitting removes the upstreams that lack memory for the request, in place. What other routers get
// meanwhile goes to the engines that still have room by the reports that all have. An engine
// without requests may get one that needs all of its memory.
func (b *Balancer) fitting(now time.Duration, r *Request, usable []*upstreamState) (fitting []*upstreamState) {
	limit := r.memoryLimit()
	if limit == 0 {
		return usable
	}
	estimates, before := b.poolEstimates(r.Pool.Name), len(usable)
	defer func() { estimates.full = before - len(fitting) }()
	usable, most := b.withMemory(now, r, usable, limit, 0)
	offered := b.peers.demands.Pools[r.Pool.Name].Offered
	if offered == 0 || len(usable) == 0 {
		return usable
	}
	sharing := len(usable)
	if r.Only != nil || r.Version != nil || r.Side != AnySide { // the others' requests aren't limited so
		sharing = max(sharing, len(b.pools[r.Pool.Name]))
	}
	rate, mean := offered/float64(sharing), estimates.memory.value
	if float64(most)+rate*(reportAge+reportDelay).Seconds()*mean <= float64(limit) {
		return usable // what no report covers makes no difference
	}
	usable, _ = b.withMemory(now, r, usable, limit, rate)
	return usable
}

// withMemory returns the upstreams that have room for the request within the limit, in place, if
// other routers send each of them requests at the given rate per second, and the most tokens that
// the request and all others need at one of them if no part of its prompt is shared.
func (b *Balancer) withMemory(now time.Duration, r *Request, usable []*upstreamState, limit int, rate float64) (kept []*upstreamState, most int) {
	private, mean := r.privateTokens(), b.poolEstimates(r.Pool.Name).memory.value
	all := private
	for _, p := range r.Parts {
		all += p.Tokens
	}
	kept = usable[:0]
	for _, s := range usable {
		need := s.memoryNeed(now, r, mean, rate)
		if s.load(now) == 0 && all <= r.Pool.Engine.CacheTokens || need+all <= limit || need+private+s.memory.partTokens(r.Parts) <= limit {
			kept = append(kept, s)
			most = max(most, need+all)
		}
	}
	return kept, most
}
