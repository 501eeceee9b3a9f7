package balance

import (
	"math"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// learnedTolerance is the factor by which a learned cost must differ from its prior to take its
	// place: the priors serve engines well that differ by less. learnedRange is the largest factor
	// by which it may differ.
	learnedTolerance = 4.0
	learnedRange     = 16.0
	// minPromptToRead is the number of prompt tokens from which a time to the first event tells how
	// fast an engine reads.
	minPromptToRead = 1000
	// paceSteps is the number of steps of an upstream's learned pace for each doubling. Routers that
	// learn about the same find the same step, and so rank the upstreams of a key alike.
	paceSteps = 4.0
	// paceHysteresis is by how many steps the learned pace must differ from the present step before
	// that changes, and paceDoubt divided by the square root of the number of streams adds to it:
	// how fast one stream is says little where engines slow down for moments.
	paceHysteresis = 0.5
	paceDoubt      = 4.0
	minPaceSamples = 16
	// maxPaceStep bounds the step of an upstream's pace, to a quarter and to four times the usual
	// one.
	maxPaceStep = 2 * paceSteps
	// minStreamTime is the time in milliseconds that a stream must have lasted to tell the pace of
	// its engine.
	minStreamTime = 500.0
)

// Estimate names one of the learned quantities.
type Estimate uint8

// The learned quantities.
const (
	// EstimateRead is the time in which an engine reads a prompt.
	EstimateRead Estimate = iota
	// EstimateStream is the time that a stream takes after its first event.
	EstimateStream
	// EstimateService is the time for which a request holds a slot.
	EstimateService
)

// poolEstimates holds what this router has learned of a pool's upstreams from their answers.
type poolEstimates struct {
	service average // milliseconds for which a request holds a slot
	// read is the rate in tokens per millisecond at which engines read prompts: the median, since
	// single prompts seem to be read faster where other routers have sent them before, and slower
	// behind other routers' prompts.
	read median
	// between predicts the milliseconds between two events from the requests at the upstream.
	between line
	// memory is the mean of the tokens that a request adds at an engine.
	memory average
	// full counts the engines that lacked memory for the latest request.
	full int
	// onEstimate is Config.OnEstimate.
	onEstimate func(Estimate, float64)
	// slowness is the time of streams between their events as a multiple of what between predicts.
	slowness average
}

// upstreamEstimates holds what this router has learned of one upstream. The zero value has the
// pool's estimates.
type upstreamEstimates struct {
	service average
	// slowness is the time of streams between their events as a multiple of that of the pool's
	// streams that ended about then, at the same loads, step its logarithm in steps of paceSteps, and
	// rankingFactor the slowness of that step in parts of rankingUnit; 0 at step 0.
	slowness average
	step     int

	rankingFactor uint64
	// time is the Load.Time that the upstream usually reports.
	time average
}

// poolEstimates returns the estimates of a pool, which it adds if it is new.
func (b *Balancer) poolEstimates(pool fleet.PoolID) *poolEstimates {
	found := b.estimates[pool]
	if found == nil {
		found = &poolEstimates{onEstimate: b.cfg.OnEstimate}
		b.estimates[pool] = found
	}
	return found
}

// serviceTime returns the usual time for which a request holds a slot; 0 if unknown.
func (e *poolEstimates) serviceTime() time.Duration {
	ms, ok := e.service.known()
	if !ok {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// report reports how far a time is off, as a multiple of the expected one.
func (e *poolEstimates) report(kind Estimate, multiple float64) {
	e.onEstimate(kind, 100*math.Abs(multiple-1))
}

// prefillRate returns the prompt tokens that an engine reads per millisecond; 0 if unknown.
func (e *poolEstimates) prefillRate() float64 {
	if e.read.count < medianTrust {
		return 0
	}
	return e.read.value
}

// costs returns the prefill rate and the request cost by which upstreams are compared.
func (e *poolEstimates) costs() (prefill, request float64) {
	slope, _ := e.between.slope()
	return learned(e.prefillRate(), prefillRate), learned(slope, requestCost)
}

// learned returns a learned cost if it is known, i.e. above 0, and clearly differs from its prior,
// and the prior otherwise.
func learned(value, prior float64) float64 {
	if value <= 0 || max(value/prior, prior/value) < learnedTolerance {
		return prior
	}
	return min(max(value, prior/learnedRange), prior*learnedRange)
}

// recordService records how long a request that was served has held a slot. At an upstream with c
// slots and n requests before this one, n >= c, it has waited until n-c+1 of them were done: of its
// time, c in n+1 parts were service.
func (e *poolEstimates) recordService(p *Pick, now time.Duration) {
	held := milliseconds(now-p.began) * p.servicePart()
	if usual, ok := e.service.known(); ok {
		e.report(EstimateService, held/usual)
	}
	e.service.add(held)
	p.state.learned.service.add(held)
}

// servicePart estimates which part of the request's time at the upstream it has held a slot.
func (p *Pick) servicePart() float64 {
	if p.slots == 0 || p.Load < int(p.slots) {
		return 1
	}
	return float64(p.slots) / float64(p.Load+1)
}

// recordFirst records the time from the request to its first event, at an engine at which hardly
// anything waits. An answer shows only with its second event, or its end, that the first one was no
// rejection.
func (e *poolEstimates) recordFirst(p *Pick) {
	if p.firstAt > p.began && p.toRead >= minPromptToRead && 2*p.Load <= int(p.slots) {
		e.read.add(float64(p.toRead) / milliseconds(p.firstAt-p.began))
	}
	p.firstAt = 0
}

// recordBetween records the time between two events of a stream.
func (e *poolEstimates) recordBetween(p *Pick, now time.Duration) {
	s, between := p.state, milliseconds(now-p.eventAt)
	load := float64(s.load(now))
	if expected, ok := e.between.at(load); ok && between > 0 {
		p.streamed += between
		p.expected += expected
	}
	e.between.add(load, between)
}

// recordStream records the pace of a stream that has ended.
func (e *poolEstimates) recordStream(p *Pick) {
	if p.expected < minStreamTime {
		return
	}
	slowness, u := p.streamed/p.expected, &p.state.learned
	e.slowness.add(slowness)
	pool, ok := e.slowness.known()
	if !ok {
		return
	}
	e.report(EstimateStream, slowness/pool/u.usualSlowness())
	u.slowness.add(slowness / pool)
	steps := paceSteps * math.Log2(u.slowness.value)
	if u.slowness.count >= minPaceSamples && math.Abs(steps-float64(u.step)) > paceHysteresis+paceDoubt/math.Sqrt(float64(u.slowness.count)) {
		u.step = int(min(max(math.Round(steps), -maxPaceStep), maxPaceStep))
		u.rankingFactor = uint64(rankingUnit * math.Exp2(float64(u.step)/paceSteps))
	}
}

// usualSlowness returns by which factor work at the upstream usually takes longer than in the pool.
func (u *upstreamEstimates) usualSlowness() float64 {
	if u.step == 0 {
		return 1
	}
	return math.Exp2(float64(u.step) / paceSteps)
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// PoolEstimates tells what this router has learned of a pool.
type PoolEstimates struct {
	Pool fleet.PoolID
	// ServiceTime and PrefillRate are those of Capacity.
	ServiceTime time.Duration
	PrefillRate float64
	// RequestDelay is the time by which each request at an engine delays each event of the others;
	// 0 if unknown.
	RequestDelay time.Duration
	// Slow and Fast count the upstreams that are known to be slower or faster than the pool's
	// streams in the mean, and Slowest is the time that work takes at the slowest of them as a
	// multiple of the mean.
	Slow, Fast int
	// Full counts the engines that lacked memory for the latest request.
	Full    int
	Slowest float64
}

// Estimates returns what this router has learned of each pool from which it has got answers.
func (b *Balancer) Estimates() []PoolEstimates {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []PoolEstimates
	for pool, e := range b.estimates {
		slope, _ := e.between.slope()
		p := PoolEstimates{
			Pool: pool, ServiceTime: e.serviceTime(), PrefillRate: e.prefillRate(),
			RequestDelay: time.Duration(slope * float64(time.Millisecond)), Slowest: 1, Full: e.full,
		}
		for _, s := range b.pools[pool] {
			switch {
			case s.learned.step > 0:
				p.Slow++
				p.Slowest = max(p.Slowest, s.learned.usualSlowness())
			case s.learned.step < 0:
				p.Fast++
			}
		}
		out = append(out, p)
	}
	return out
}
