package plan

import (
	"math"
	"slices"
	"time"
)

// coversRequest reports whether the held credits and slots allow one more request of the
// given number of tokens.
func (a *account) coversRequest(now time.Duration, tokens int64, off borrowerOptions) bool {
	if !a.limitsKnown {
		return false
	}
	live := now < a.slotsUntil || off.noExpiry
	held := a.heldAmount()
	return live &&
		(a.unlimited&UnlimitedSlots != 0 || a.inFlight < a.slots) &&
		(a.unlimited&UnlimitedRequests != 0 || held.Requests >= 1) &&
		(a.unlimited&UnlimitedTokens != 0 || held.Tokens >= tokens)
}

// chargeRequest charges one request to the oldest grants. Call it only if coversRequest
// reports true.
func (a *account) chargeRequest(now time.Duration, tokens int64) {
	a.inFlight++
	a.history.recordUse(now, tokens)
	need := Amount{1, tokens}
	for i := range a.grants {
		g := &a.grants[i]
		part := Amount{min(need.Requests, g.unspent.Requests), min(need.Tokens, g.unspent.Tokens)}
		g.unspent.Requests -= part.Requests
		g.unspent.Tokens -= part.Tokens
		g.spent.Requests += part.Requests
		g.spent.Tokens += part.Tokens
		need.Requests -= part.Requests
		need.Tokens -= part.Tokens
	}
}

// borrowsAhead reports whether the expected demand is high enough to borrow for it in
// advance: at least one request within lookAhead.
func (a *account) borrowsAhead() bool { return a.demand.requests*lookAhead.Seconds() >= 1 }

// heldAmount returns the unspent amount of all grants that aren't closed.
func (a *account) heldAmount() Amount {
	var sum Amount
	for _, g := range a.grants {
		if g.closed {
			continue
		}
		sum.Requests += g.unspent.Requests
		sum.Tokens += g.unspent.Tokens
	}
	return sum
}

// dropExpired deletes expired grants.
func (a *account) dropExpired(now time.Duration, off borrowerOptions) {
	if off.noExpiry {
		return
	}
	a.grants = slices.DeleteFunc(a.grants, func(g heldGrant) bool { return now >= g.expires })
}

// wantedAmount returns the amount to borrow: for the waiting requests and for the demand
// expected within lookAhead, less the amount held. If less than one request is expected,
// it is the amount for the waiting requests alone, so that each request borrows its own
// credits.
func (a *account) wantedAmount() Amount {
	need, held := a.waiting, a.heldAmount()
	if a.borrowsAhead() {
		need.Requests += int64(math.Ceil(a.demand.requests * lookAhead.Seconds()))
		need.Tokens += int64(math.Ceil(a.demand.tokens * lookAhead.Seconds()))
	}
	return Amount{max(need.Requests-held.Requests, 0), max(need.Tokens-held.Tokens, 0)}
}

// wantedSlots returns the number of slots to ask for: those in use, and one for each
// waiting request and each request expected within lookAhead.
func (a *account) wantedSlots() int {
	slots := a.inFlight + int(a.waiting.Requests)
	if a.borrowsAhead() {
		slots += int(math.Ceil(a.demand.requests * lookAhead.Seconds()))
	}
	return slots
}

// closeGrants marks the grants to return to the home: those that are spent, those with
// CreditLifetime that expire within half of it, and all of them if the account holds a
// surplus.
func (a *account) closeGrants(now time.Duration) {
	surplus := a.hasSurplus()
	for i := range a.grants {
		g := &a.grants[i]
		g.closed = surplus || g.unspent == (Amount{}) || g.expires-now < CreditLifetime/2 && !g.brief
	}
}

// hasSurplus reports whether the account expects almost no demand, or holds more than
// surplusFactor times the expected need.
func (a *account) hasSurplus() bool {
	held := a.heldAmount()
	ahead := a.demand.requests*lookAhead.Seconds() + float64(a.waiting.Requests)
	tokens := a.demand.tokens*lookAhead.Seconds() + float64(a.waiting.Tokens)
	return ahead < 0.5 ||
		float64(held.Requests) > surplusFactor*(ahead+1) ||
		float64(held.Tokens) > surplusFactor*(tokens+1)
}

// requestDue reports whether a BorrowRequest should be sent to the home now: because the
// home needs the history, requests wait, credits are low, or use or idle slots have not
// been reported for long enough.
func (a *account) requestDue(now time.Duration) bool {
	since := now - a.sentAt
	switch {
	case a.historyNeeded || a.waiting.Requests > 0 && now >= a.retryAt:
		return true
	case a.borrowsAhead():
		held := a.heldAmount()
		low := float64(held.Requests) < a.demand.requests*lookAhead.Seconds()/2
		return since >= exchangeInterval || low && now >= a.retryAt && since >= exchangeInterval/5
	case a.scarce:
		return a.inFlight == 0 && (a.reportPending || a.hasIdleSlots()) || since >= exchangeInterval && (a.reportPending || len(a.grants) > 0)
	default:
		return since >= reportDelay && (a.reportPending || a.hasIdleSlots()) || since >= exchangeInterval && a.heldAmount() != (Amount{})
	}
}

// hasIdleSlots reports whether the account holds slots that are neither in use nor needed
// by a waiting request.
func (a *account) hasIdleSlots() bool {
	return a.waiting.Requests == 0 && a.slots > a.inFlight
}

// idle reports whether the account can be deleted: it holds nothing, has nothing to
// report and was last used more than idleAge ago.
func (a *account) idle(now time.Duration) bool {
	return a.inFlight == 0 && !a.reportPending && !a.pending && len(a.grants) == 0 && now-a.usedAt > idleAge
}

// add counts demand of the current interval.
func (d *demand) add(now time.Duration, n Amount) {
	if d.since == 0 {
		d.since = now
	}
	d.rollInterval(now)
	d.count.Requests += n.Requests
	d.count.Tokens += n.Tokens
}

// rollInterval ends the interval if half an exchangeInterval has passed, and updates the
// moving means.
func (d *demand) rollInterval(now time.Duration) {
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

// addRefund adds a refund, combined with others of the same step of the home's quota.
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

// updateHomeClock updates the estimate of the home's clock from a reply. The reply was in
// flight for some time, so the home's clock is ahead by at least the difference.
func (a *account) updateHomeClock(now time.Duration, r BorrowReply) {
	ahead := r.Clock - now
	if a.home != r.Home {
		a.home, a.homeAhead, a.refunds = r.Home, ahead, nil
	}
	a.homeAhead = max(a.homeAhead, ahead)
}

// trimSlots releases the slots beyond those wanted and returns the number left. It
// releases them before the BorrowRequest that reports it is sent, so that the home may
// grant them to another borrower at once.
func (a *account) trimSlots(now time.Duration, want int) int {
	if now >= a.slotsUntil {
		a.slots = 0
	}
	a.slots = min(a.slots, max(a.inFlight, want))
	return a.slots
}

// addWaiting adds to the number of requests, and their tokens, that wait for credits.
func (a *account) addWaiting(requests, tokens int64) {
	a.waiting.Requests = max(a.waiting.Requests+requests, 0)
	a.waiting.Tokens = max(a.waiting.Tokens+tokens, 0)
}
