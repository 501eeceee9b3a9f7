package balance

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// PromptPart is one part of a prompt, the unit in which engines cache prompts.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request describes a request that needs an upstream.
type Request struct {
	Pool  *routes.Pool
	Parts []PromptPart
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// OutputTokens is the maximum length of the answer; 0 if unknown.
	OutputTokens int
	// Fingerprint is the same each time that the request arrives; 0 if it has none.
	Fingerprint uint64
	// Draw is random; it breaks ties differently for each request.
	Draw uint64
	// MayProbe is set if the request may be repeated. It may then serve as the probe of an
	// ejected upstream.
	MayProbe bool
	// SoundOnly excludes ejected and stalled upstreams, also if there are no others, and also for
	// a probe unless Only limits the choice.
	SoundOnly bool
	// FreeOnly excludes engines that run as many requests as they have slots.
	FreeOnly bool
	// Tried lists the upstreams that must not be chosen.
	Tried []fleet.UpstreamID
	// Only lists those to which the choice is limited; nil for no limit.
	Only []fleet.UpstreamID
	// Side limits the choice while a roll-out is under way.
	Side Side
	// Version limits the choice to upstreams of one software version; nil for no limit.
	Version *string

	beyondSubset bool // see Balancer.soundNew
}

// SessionState is the state of the router's session at the time of a choice.
type SessionState struct {
	// Owns reports whether this router owns an upstream: only the owner may send to a
	// cold one.
	Owns func(fleet.UpstreamID) bool
	// Routers is the number of routers in the membership; 0 while unknown.
	Routers int
	// Out reports whether operators have taken an upstream out of service.
	Out func(fleet.Upstream) bool
	// ListAsOf is the time at which the newest upstream list was requested, whether it has
	// changed or not.
	ListAsOf time.Duration
	// Versions returns which versions of a pool's upstreams may get requests; nil, or a nil
	// result, means all. It is called with the Balancer locked and must not call it.
	Versions func(fleet.PoolID) *VersionPolicy
}

// Config configures a Balancer.
type Config struct {
	Zone fleet.AvailabilityZone // of the router
	// Seed determines the order in which upstreams of equal cost are preferred. It should
	// differ between routers, so that they don't prefer the same one.
	Seed    uint64
	Retries RetryLimits // at each pool
	// OnQuarantine is called when the quarantine of a prompt part or a request begins, with
	// the number of upstreams that broke off and of different parts that followed it. It may
	// be nil and must not call the Balancer.
	OnQuarantine func(key SuspectKey, upstreams, branches int)
	// OnTransition is called when an upstream begins or ceases to leave or rest, OnMalformed for
	// an upstream whose notices have fields without a meaning, at most once a minute. Both
	// may be nil and must not call the Balancer.
	OnTransition func(Transition)
	OnMalformed  func(u fleet.Upstream, fields string)
	// OnEstimate is called with the difference of what an answer shows from what was learned
	// before, in percent of the latter. It may be nil and must not call the Balancer.
	OnEstimate func(e Estimate, percent float64)
}

// Balancer chooses upstreams for one router. It is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu          sync.Mutex
	states      map[fleet.UpstreamID]*upstreamState
	pools       map[fleet.PoolID][]*upstreamState
	notices     map[Incarnation]*notices
	budgets     map[fleet.PoolID]*budget
	zones       map[poolZone]*zoneHealth
	subsets     map[fleet.PoolID]subset // see Balancer.subset
	demands     map[fleet.PoolID]*poolDemand
	peers       peerDemands
	estimates   map[fleet.PoolID]*poolEstimates
	parts       *partLRU
	suspects    *suspects
	served      *servedRequests
	scratch     []*upstreamState // result of usable, reused by the next choice
	cachedParts []*cachedPart    // cached parts of the current request, set by lookUpParts
	lookup      uint64           // counts the calls of lookUpParts and markHolders
	markedAt    time.Duration    // time of the marks of the present lookup; -1 for none

	candidates []int // result of sample, reused
	indices    []int // result of allIndices, reused
}

// New returns a Balancer without upstreams.
func New(cfg Config) *Balancer {
	b := &Balancer{
		cfg: cfg, states: make(map[fleet.UpstreamID]*upstreamState), pools: make(map[fleet.PoolID][]*upstreamState),
		notices: make(map[Incarnation]*notices), budgets: make(map[fleet.PoolID]*budget), zones: make(map[poolZone]*zoneHealth), parts: newPartLRU(),
		subsets: make(map[fleet.PoolID]subset),
		served:  new(servedRequests),
		demands: make(map[fleet.PoolID]*poolDemand), peers: peerDemands{running: make(map[fleet.PoolID]int)},
		estimates: make(map[fleet.PoolID]*poolEstimates),
	}
	if b.cfg.OnEstimate == nil {
		b.cfg.OnEstimate = func(Estimate, float64) {}
	}
	b.suspects = newSuspects(b.servedAt, cfg.OnQuarantine)
	return b
}

// SetUpstreams replaces the upstream list; asOf is the time at which the list was
// requested. An upstream that is no longer listed gets no new work. It returns the
// addresses from which an upstream has moved or gone, or at which it has restarted.
func (b *Balancer) SetUpstreams(asOf time.Duration, list []ListedUpstream) (moved []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		s.listed = false
	}
	var former []*upstreamState
	for _, l := range list {
		s := b.states[l.ID]
		if s != nil && l.Boot == "" && l.Addr == s.Addr {
			l.Boot = s.Boot // an entry that tells no boot tells of no restart
		}
		if s == nil || s.Addr != l.Addr || s.Boot != l.Boot {
			replaced := s
			s = newState(l)
			s.firstListed = asOf
			b.states[l.ID] = s
			if replaced != nil {
				if replaced.Boot != l.Boot {
					replaced.recordRestart(asOf, b.suspects)
				}
				moved = append(moved, replaced.Addr)
				former = append(former, replaced)
			}
		}
		s.ListedUpstream, s.listed = l, true
		s.coldUntil = max(s.coldUntil, asOf+l.ColdFor)
	}
	b.updateNotices(asOf, former)
	for id, s := range b.states {
		if !s.listed && s.running == 0 {
			delete(b.states, id)
			moved = append(moved, s.Addr)
		}
	}
	b.groupByPool()
	b.setZones()
	b.suspects.judge(asOf)
	return moved
}

// groupByPool groups the listed upstreams by pool, in an order that depends on Config.Seed.
func (b *Balancer) groupByPool() {
	b.pools = make(map[fleet.PoolID][]*upstreamState, len(b.pools))
	clear(b.subsets)
	for _, s := range b.states {
		if s.listed {
			b.pools[s.Pool] = append(b.pools[s.Pool], s)
		}
	}
	for _, pool := range b.pools {
		slices.SortFunc(pool, func(s, t *upstreamState) int {
			return cmp.Or(cmp.Compare(placement.Mix(b.cfg.Seed, s.hash), placement.Mix(b.cfg.Seed, t.hash)), cmp.Compare(s.ID, t.ID))
		})
	}
}

// CountRequest counts a request for a pool towards the pool's retry budget and demand, whether
// the request will be sent or not.
func (b *Balancer) CountRequest(now time.Duration, pool fleet.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(pool).countRequest(now, b.cfg.Retries)
	b.demand(pool).countRequest(now)
}

// MayRetry reports whether a pool's budget has a retry of the given sort left.
func (b *Balancer) MayRetry(now time.Duration, pool fleet.PoolID, routers int, r Retry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(pool).mayRetry(now, b.cfg.Retries, routers, r)
}

// TakeRetry takes one retry out of a pool's budget and reports whether there was one left.
func (b *Balancer) TakeRetry(now time.Duration, pool fleet.PoolID, routers int, r Retry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(pool).takeRetry(now, b.cfg.Retries, routers, r)
}

// ReturnRetry gives back a retry that was taken lately, since no request was sent.
func (b *Balancer) ReturnRetry(now time.Duration, pool fleet.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(pool).returnRetry(now, b.cfg.Retries)
}

// budget returns the pool's retry budget, which it adds if it is new.
func (b *Balancer) budget(pool fleet.PoolID) *budget {
	found := b.budgets[pool]
	if found == nil {
		found = new(budget)
		b.budgets[pool] = found
	}
	return found
}

// Activities returns this router's activity at each upstream where it has any.
func (b *Balancer) Activities(now time.Duration) Activities {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(Activities)
	for id, s := range b.states {
		if a := s.activity(now); a != (Activity{}) {
			out[id] = a
		}
	}
	return out
}

// SetPeerActivities sets the other routers' activity by upstream. It is zero at upstreams
// that are missing in others.
func (b *Balancer) SetPeerActivities(now time.Duration, others Activities) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		s.others = others[id]
		s.recordReport(now)
	}
	b.countPeerRunning(others)
}

// rankingKey returns the key by which upstreams are ranked for the request: the ID of the
// prompt's last part but one, since the last part belongs to the request or its session
// alone. It is the only part's ID if there is one part, and random without parts.
func (r *Request) rankingKey() uint64 {
	switch n := len(r.Parts); {
	case n >= 2:
		return r.Parts[n-2].ID
	case n == 1:
		return r.Parts[0].ID
	default:
		return r.Draw
	}
}

// failureCost returns the cost of the request's failure at an upstream in milliseconds.
func (r *Request) failureCost() float64 {
	if r.MayProbe {
		return repeatCost
	}
	return failureCost
}

// ownTokens returns the number of tokens in the prompt's last part, which belongs to the
// request or its session alone, or 0 without parts.
func (r *Request) ownTokens() int {
	if n := len(r.Parts); n > 0 {
		return r.Parts[n-1].Tokens
	}
	return 0
}
