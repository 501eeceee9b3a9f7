package plan

import (
	"math"
	"slices"
	"time"
)

// covers tells whether the held credits allow one more request.
func (a *account) covers(now time.Duration, tokens int64, off borrowerOptions) bool {
	if !a.known {
		return false
	}
	live := now < a.slotsUntil || off.noLapse
	held := a.held()
	return live &&
		(a.unlimited&UnlimitedSlots != 0 || a.inFlight < a.slots) &&
		(a.unlimited&UnlimitedRequests != 0 || held.Requests >= 1) &&
		(a.unlimited&UnlimitedTokens != 0 || held.Tokens >= tokens)
}

// spend takes one request out of the oldest grants. covers must hold.
func (a *account) spend(now time.Duration, tokens int64) {
	a.inFlight++
	a.history.use(now, tokens)
	need := Amount{1, tokens}
	for i := range a.grants {
		g := &a.grants[i]
		part := Amount{min(need.Requests, g.rest.Requests), min(need.Tokens, g.rest.Tokens)}
		g.rest.Requests -= part.Requests
		g.rest.Tokens -= part.Tokens
		g.spent.Requests += part.Requests
		g.spent.Tokens += part.Tokens
		need.Requests -= part.Requests
		need.Tokens -= part.Tokens
	}
}

// looksAhead tells that enough requests are expected to borrow ahead of them.
func (a *account) looksAhead() bool { return a.demand.requests*lookAhead.Seconds() >= 1 }

// held sums up the rest of all grants that aren't given back.
func (a *account) held() Amount {
	var sum Amount
	for _, g := range a.grants {
		if g.closed {
			continue
		}
		sum.Requests += g.rest.Requests
		sum.Tokens += g.rest.Tokens
	}
	return sum
}

// drop forgets lapsed grants.
func (a *account) drop(now time.Duration, off borrowerOptions) {
	if off.noLapse {
		return
	}
	a.grants = slices.DeleteFunc(a.grants, func(g heldGrant) bool { return now >= g.expires })
}

// want is the need of the waiting requests and of the look-ahead, less what is
// held. An account that expects less than one request ahead borrows for the
// waiting ones alone: each request is charged on its own.
func (a *account) want() Amount {
	need, held := a.waiting, a.held()
	if a.looksAhead() {
		need.Requests += int64(math.Ceil(a.demand.requests * lookAhead.Seconds()))
		need.Tokens += int64(math.Ceil(a.demand.tokens * lookAhead.Seconds()))
	}
	return Amount{max(need.Requests-held.Requests, 0), max(need.Tokens-held.Tokens, 0)}
}

func (a *account) wantSlots() int {
	slots := a.inFlight + int(a.waiting.Requests)
	if a.looksAhead() {
		slots += int(math.Ceil(a.demand.requests * lookAhead.Seconds()))
	}
	return slots
}

// release marks the grants that are better given back: those used up, those
// that will lapse before long, and all of them once more is held than the
// look-ahead needs several times over.
func (a *account) release(now time.Duration) {
	surplus := a.surplus()
	for i := range a.grants {
		g := &a.grants[i]
		g.closed = surplus || g.rest == (Amount{}) || g.expires-now < CreditLifetime/2 && !g.brief
	}
}

func (a *account) surplus() bool {
	held := a.held()
	ahead := a.demand.requests*lookAhead.Seconds() + float64(a.waiting.Requests)
	tokens := a.demand.tokens*lookAhead.Seconds() + float64(a.waiting.Tokens)
	return ahead < 0.5 ||
		float64(held.Requests) > surplusFactor*(ahead+1) ||
		float64(held.Tokens) > surplusFactor*(tokens+1)
}

// due tells whether an exchange is worth a message now.
func (a *account) due(now time.Duration) bool {
	since := now - a.sentAt
	switch {
	case a.needed || a.waiting.Requests > 0 && now >= a.retryAt:
		return true
	case a.looksAhead():
		held := a.held()
		low := float64(held.Requests) < a.demand.requests*lookAhead.Seconds()/2
		return since >= exchangeInterval || low && now >= a.retryAt && since >= exchangeInterval/5
	case a.scarce:
		return a.inFlight == 0 && (a.changed || a.idleSlots()) || since >= exchangeInterval && (a.changed || len(a.grants) > 0)
	default:
		return since >= reportDelay && (a.changed || a.idleSlots()) || since >= exchangeInterval && a.held() != (Amount{})
	}
}

// idleSlots tells that slots are held here by the home's books and not in use.
func (a *account) idleSlots() bool {
	return a.waiting.Requests == 0 && a.slots > a.inFlight
}

func (a *account) idle(now time.Duration) bool {
	return a.inFlight == 0 && !a.changed && !a.pending && len(a.grants) == 0 && now-a.usedAt > idleAge
}

// add counts demand of the present interval.
func (d *demand) add(now time.Duration, n Amount) {
	if d.since == 0 {
		d.since = now
	}
	d.roll(now)
	d.count.Requests += n.Requests
	d.count.Tokens += n.Tokens
}

// roll closes the interval when it is over.
func (d *demand) roll(now time.Duration) {
	span := now - d.since
	if span < exchangeInterval/2 {
		return
	}
	seconds := span.Seconds()
	weight := min(demandWeight*float64(span)/float64(exchangeInterval/2), 1)
	d.requests += weight * (float64(d.count.Requests)/seconds - d.requests)
	d.tokens += weight * (float64(d.count.Tokens)/seconds - d.tokens)
	d.count, d.since = Amount{}, now
}

// addRefund notes a refund, summed up by step of the home's quota.
func (a *account) addRefund(at time.Duration, tokens int64) {
	at -= at % quotaStep
	for i := range a.refunds {
		if a.refunds[i].At == at {
			a.refunds[i].Tokens += tokens
			return
		}
	}
	a.refunds = append(a.refunds, Refund{at, tokens})
}

// setHome takes the home's clock from its reply. The reply was on its way for
// some time, so the home's clock is ahead by the difference or more.
func (a *account) setHome(now time.Duration, r BorrowReply) {
	ahead := r.Clock - now
	if a.home != r.Home {
		a.home, a.homeAhead, a.refunds = r.Home, ahead, nil
	}
	a.homeAhead = max(a.homeAhead, ahead)
}

// keepSlots gives up the slots beyond those wanted and returns how many are
// left. Giving up comes before the message, so the home may lend them at once.
func (a *account) keepSlots(now time.Duration, want int) int {
	if now >= a.slotsUntil {
		a.slots = 0
	}
	a.slots = min(a.slots, max(a.inFlight, want))
	return a.slots
}

// wait counts requests that wait for credits.
func (a *account) wait(requests, tokens int64) {
	a.waiting.Requests = max(a.waiting.Requests+requests, 0)
	a.waiting.Tokens = max(a.waiting.Tokens+tokens, 0)
}
