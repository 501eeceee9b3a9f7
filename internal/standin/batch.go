package standin

import (
	"sort"
	"time"
)

// generation is one answer in the making. Its text is a function of seed, so
// that only the count of finished tokens has to be kept.
type generation struct {
	id        string
	model     string
	cacheKey  string
	seed      uint64
	chain     prefixChain
	maxTokens int
	finish    string
	priority  int
	created   int64

	cachedTokens int
	prefillLeft  int
	produced     int
	done         bool
	cancelled    bool
	reader       *reader
	// idle counts how often a wait for a reader has begun.
	idle int
}

// reader is the one connection that a generation's tokens go to.
type reader struct {
	wake chan struct{} // capacity 1: more tokens, or the end
	gone chan struct{} // closed when another connection takes over
}

func newReader() *reader {
	return &reader{wake: make(chan struct{}, 1), gone: make(chan struct{})}
}

func (g *generation) notify() {
	if g.reader == nil {
		return
	}
	select {
	case g.reader.wake <- struct{}{}:
	default:
	}
}

// context returns how many tokens the generation holds in memory at its end.
func (g *generation) context() int { return g.chain.tokens + g.maxTokens }

// batch decides what each decode step of a continuous-batching engine does. It
// is a plain type: plan starts a step and tells how long it lasts, finish ends
// it.
type batch struct {
	cfg     EngineConfig
	cache   *prefixCache
	running []*generation
	waiting []*generation
	kvUsed  int
	// coldOver counts requests that started above the cold bound.
	coldOver int
	peak     int
}

// add queues g. It returns false when the queue is full.
func (b *batch) add(g *generation, cold bool) bool {
	if len(b.waiting) >= b.cfg.MaxWaiting {
		return false
	}
	inFlight := b.inFlight()
	if cold && inFlight >= b.cfg.ColdConcurrency*coldRefusalFactor {
		b.coldOver++
		return false
	}
	if cold && inFlight >= b.cfg.ColdConcurrency {
		b.coldOver++
	}
	b.waiting = append(b.waiting, g)
	sort.SliceStable(b.waiting, func(i, j int) bool {
		return b.waiting[i].priority > b.waiting[j].priority
	})
	b.peak = max(b.peak, inFlight+1)
	return true
}

func (b *batch) inFlight() int { return len(b.running) + len(b.waiting) }

// plan admits waiting requests, gives them the step's prefill budget and returns
// how long the step lasts.
func (b *batch) plan(cold bool) time.Duration {
	b.admit()
	prefill := b.prefill()
	d := b.cfg.StepTime +
		time.Duration(len(b.running))*b.cfg.StepTimePerRequest +
		time.Duration(prefill)*b.cfg.PrefillTime
	if cold && len(b.running) > b.cfg.ColdConcurrency {
		d *= time.Duration(b.cfg.ColdSlowdown)
	}
	return d
}

func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.cfg.MaxRunning {
		g := b.waiting[0]
		if len(b.running) > 0 && b.kvUsed+g.context() > b.cfg.KVCapacity {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, g)
		b.kvUsed += g.context()
		g.cachedTokens = min(b.cache.match(g.chain.blocks), max(g.chain.tokens-1, 0))
		g.prefillLeft = g.chain.tokens - g.cachedTokens
	}
}

// prefill spends the step's budget on prompts in the order of their admission
// and returns the tokens it covered.
func (b *batch) prefill() int {
	budget := b.cfg.PrefillChunk
	for _, g := range b.running {
		if g.prefillLeft == 0 {
			continue
		}
		n := min(budget, g.prefillLeft)
		g.prefillLeft -= n
		budget -= n
		if g.prefillLeft == 0 {
			b.cache.store(g.cacheKey, g.chain.blocks)
		}
		if budget == 0 {
			break
		}
	}
	return b.cfg.PrefillChunk - budget
}

// finish gives each request whose prompt is complete one token. It returns how
// many tokens were made and which requests ended.
func (b *batch) finish() (tokens int, ended []*generation) {
	kept := b.running[:0]
	for _, g := range b.running {
		if g.prefillLeft == 0 {
			g.produced++
			tokens++
		}
		if g.produced < g.maxTokens {
			kept = append(kept, g)
			continue
		}
		g.done = true
		b.kvUsed -= g.context()
		ended = append(ended, g)
	}
	clear(b.running[len(kept):])
	b.running = kept
	return tokens, ended
}

// remove takes an unfinished request out of the batch.
func (b *batch) remove(g *generation) {
	for i, r := range b.running {
		if r == g {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.kvUsed -= g.context()
			return
		}
	}
	for i, w := range b.waiting {
		if w == g {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}
