package standin

import (
	"sort"
	"time"
)

// generation is one answer that is being generated. Its text is a function of
// seed, so that only the number of produced tokens is stored.
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

	cachedTokens int // prompt tokens found in the prefix cache on admission
	prefillLeft  int // prompt tokens still to be prefilled
	produced     int // answer tokens generated so far
	done         bool
	cancelled    bool
	reader       *reader
	// expiries counts the expiry timers started so far. Only the newest one is in
	// force.
	expiries int
}

// reader is the one connection that a generation's tokens go to.
type reader struct {
	wake     chan struct{} // capacity 1: more tokens, or the end
	replaced chan struct{} // closed when another connection replaces this one
}

func newReader() *reader {
	return &reader{wake: make(chan struct{}, 1), replaced: make(chan struct{})}
}

// notify wakes the reader, if there is one.
func (g *generation) notify() {
	if g.reader == nil {
		return
	}
	select {
	case g.reader.wake <- struct{}{}:
	default:
	}
}

// finalContext returns the number of tokens, of prompt and answer, that the generation
// holds in KV memory at its end. Admission reserves memory for all of them.
func (g *generation) finalContext() int { return g.chain.tokens + g.maxTokens }

// batch schedules the decode steps of a continuous-batching engine. It has no
// clock and no goroutine: startStep starts a step and returns its duration, and
// finishStep ends it.
type batch struct {
	cfg     EngineConfig
	cache   *prefixCache
	running []*generation
	waiting []*generation
	kvUsed  int // tokens of KV memory reserved for the running requests
	// coldOverloads counts requests above ColdConcurrency while the engine was
	// cold, rejected ones included.
	coldOverloads int
	peakInFlight  int // most requests in flight
}

// enqueue adds g to the queue, ordered by priority and then by arrival. It returns
// false if the queue is full, or if the engine is cold and has at least
// coldRejectFactor times ColdConcurrency requests in flight.
func (b *batch) enqueue(g *generation, cold bool) bool {
	if len(b.waiting) >= b.cfg.MaxWaiting {
		return false
	}
	inFlight := b.inFlight()
	if cold && inFlight >= b.cfg.ColdConcurrency*coldRejectFactor {
		b.coldOverloads++
		return false
	}
	if cold && inFlight >= b.cfg.ColdConcurrency {
		b.coldOverloads++
	}
	b.waiting = append(b.waiting, g)
	sort.SliceStable(b.waiting, func(i, j int) bool {
		return b.waiting[i].priority > b.waiting[j].priority
	})
	b.peakInFlight = max(b.peakInFlight, inFlight+1)
	return true
}

// inFlight returns the number of running and waiting requests.
func (b *batch) inFlight() int { return len(b.running) + len(b.waiting) }

// startStep starts a step: it admits waiting requests, spends the step's prefill budget
// and returns the step's duration. The step is ColdSlowdown times as long while the
// engine is cold and runs more than ColdConcurrency requests.
func (b *batch) startStep(cold bool) time.Duration {
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

// admit starts waiting requests while the batch and the KV memory have room. A
// request that needs more than the whole KV memory runs alone.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.cfg.MaxRunning {
		g := b.waiting[0]
		if len(b.running) > 0 && b.kvUsed+g.finalContext() > b.cfg.KVCapacity {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, g)
		b.kvUsed += g.finalContext()
		g.cachedTokens = min(b.cache.match(g.chain.blocks), max(g.chain.tokens-1, 0))
		g.prefillLeft = g.chain.tokens - g.cachedTokens
	}
}

// prefill processes up to PrefillChunk prompt tokens of the running requests, in the
// order of their admission, and returns their number. A prompt that is complete is
// stored in the prefix cache.
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

// finishStep ends a step: each request whose prompt is prefilled produces one token.
// It returns the number of tokens produced and the requests that ended.
func (b *batch) finishStep() (tokens int, ended []*generation) {
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
		b.kvUsed -= g.finalContext()
		ended = append(ended, g)
	}
	clear(b.running[len(kept):])
	b.running = kept
	return tokens, ended
}

// remove drops an unfinished request from the batch or the queue.
func (b *batch) remove(g *generation) {
	for i, r := range b.running {
		if r == g {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.kvUsed -= g.finalContext()
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
