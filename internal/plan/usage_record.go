package plan

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// applyReports updates the usage record with what the borrower reports.
func (b *workspaceUsage) applyReports(now time.Duration, borrower *borrowerState, r BorrowRequest, off options) {
	for _, report := range r.Reports {
		at := slices.IndexFunc(borrower.grants, func(g grantState) bool { return g.id == report.Grant })
		if at >= 0 && b.applyGrantReport(now, &borrower.grants[at], report) {
			borrower.grants = slices.Delete(borrower.grants, at, at+1)
		}
	}
	if r.Home == b.tenure {
		for _, refund := range r.Refunds {
			b.tokens.refund(now, refund.At, refund.Tokens)
		}
	}
	if r.Overrun > borrower.overrun {
		b.tokens.recordUse(now, r.Overrun-borrower.overrun)
		borrower.overrun = r.Overrun
	}
	// A late copy of a history that was meant for an earlier home is ignored: it says
	// nothing about the slots in use now.
	if b.unreported[r.Instance] && r.History != nil && (r.Home == b.tenure || off.noTenure) {
		b.replacePresumed(now, r.History)
		b.recordReported(now, r.Instance)
	}
	borrower.inFlight, borrower.slots = r.InFlight, max(r.InFlight, r.Held)
}

// replacePresumed replaces presumed tokens by the token use that a borrower reports in
// its history.
func (b *workspaceUsage) replacePresumed(now time.Duration, history []int64) {
	for age, n := range history {
		n = min(max(n, 0), b.presumed)
		b.presumed -= n
		b.tokens.moveUse(now, b.presumedAt, age, n)
	}
}

// recordReported records that an instance has reported or was lost. Once all have
// reported and none was lost, the use of the last minute is known, and the rest of
// the presumed tokens is removed.
func (b *workspaceUsage) recordReported(now time.Duration, instance fleet.InstanceID) {
	delete(b.unreported, instance)
	if len(b.unreported) == 0 && !b.lostUnreported {
		b.tokens.subtract(now, b.presumedAt, b.presumed)
		b.presumed = 0
	}
}

// applyGrantReport moves the newly spent amount of a grant from outstanding to used. It
// reports whether nothing of the grant is outstanding any longer.
func (b *workspaceUsage) applyGrantReport(now time.Duration, g *grantState, r GrantReport) bool {
	requests := min(max(r.Spent.Requests-g.spent.Requests, 0), g.unspent.Requests)
	tokens := min(max(r.Spent.Tokens-g.spent.Tokens, 0), g.unspent.Tokens)
	b.spendGrant(now, g, Amount{requests, tokens})
	if r.Closed {
		b.rate.settleCredits(now, g.unspent.Requests, g.unspent.Requests)
		b.tokens.outstanding -= g.unspent.Tokens
		g.unspent = Amount{}
	}
	return g.unspent == Amount{}
}

// spendGrant moves the amount from the grant's unspent to its spent part, and from
// outstanding to used in rate and tokens.
func (b *workspaceUsage) spendGrant(now time.Duration, g *grantState, a Amount) {
	g.unspent.Requests -= a.Requests
	g.unspent.Tokens -= a.Tokens
	g.spent.Requests += a.Requests
	g.spent.Tokens += a.Tokens
	b.rate.settleCredits(now, a.Requests, 0)
	b.tokens.outstanding -= a.Tokens
	b.tokens.recordUse(now, a.Tokens)
}

// expireGrants deletes expired grants and counts their unspent amount as spent, because
// the borrower may have spent it just before it expired.
func (b *workspaceUsage) expireGrants(now time.Duration, off options) {
	for _, id := range b.order {
		borrower := b.borrowers[id]
		borrower.grants = slices.DeleteFunc(borrower.grants, func(g grantState) bool {
			if now < g.expires {
				return false
			}
			if off.expireAsUnspent {
				b.applyGrantReport(now, &g, GrantReport{Grant: g.id, Closed: true})
			}
			b.spendGrant(now, &g, g.unspent)
			return true
		})
	}
}

// grant returns the credits to grant, for a whole number of requests: all that are wanted
// if enough are available, or else this borrower's proportional share of what all
// borrowers have wanted recently, rounded up. Rate, tokens or slots that don't suffice
// for a request would be idle at the borrower.
func (b *workspaceUsage) grant(now time.Duration, borrower *borrowerState, want Amount) Amount {
	units := max(want.Requests, 1)
	each := (want.Tokens + units - 1) / units
	if want == (Amount{}) {
		return want
	}
	n := proportionalShare(units, b.totalWanted(now), b.grantableRequests(now, each))
	if b.plan.Concurrency > 0 {
		n = min(n, int64(max(borrower.allotted-borrower.inFlight+borrower.inFlight/slotTurnoverDivisor, 0)))
	}
	var got Amount
	if b.plan.RequestsPerSecond > 0 {
		got.Requests = b.rate.takeTokens(now, min(n, want.Requests))
	}
	if b.plan.TokensPerMinute > 0 {
		got.Tokens = n * each
		b.tokens.outstanding += got.Tokens
	}
	return got
}

// grantableRequests returns how many requests of the given number of tokens the rate and
// quota allow to grant to all borrowers together.
func (b *workspaceUsage) grantableRequests(now time.Duration, each int64) int64 {
	n := int64(math.MaxInt32)
	if b.plan.RequestsPerSecond > 0 {
		b.rate.refill(now)
		n = min(n, int64(b.rate.level))
	}
	if b.plan.TokensPerMinute > 0 && each > 0 {
		n = min(n, b.tokens.free(now)/each)
	}
	return max(n, 0)
}

// proportionalShare returns the share of free for a borrower that wants this part of
// all, rounded up.
func proportionalShare(want, all, free int64) int64 {
	if want <= 0 || free <= 0 {
		return 0
	}
	if all <= free {
		return want
	}
	return min(want, (free*want+all-1)/all)
}

// totalWanted returns the number of requests that all borrowers have wanted within
// wantMemory.
func (b *workspaceUsage) totalWanted(now time.Duration) int64 {
	all := int64(0)
	for _, borrower := range b.borrowers {
		if now-borrower.wantAt < wantMemory && borrower.want != (Amount{}) {
			all += max(borrower.want.Requests, 1)
		}
	}
	return all
}

// allotSlots sets how many requests the borrower may have in flight. Until the borrower
// is known to have received a smaller allotment, the larger one counts.
func (b *workspaceUsage) allotSlots(borrower *borrowerState, r BorrowRequest, off options) int {
	if b.plan.Concurrency == 0 {
		return 0
	}
	others := 0
	for _, o := range b.borrowers {
		if o != borrower {
			others += o.slots
		}
	}
	if off.noSlotHold {
		others = b.allottedToOthers(borrower)
	}
	free := max(b.plan.Concurrency-others, 0)
	if len(b.unreported) > 0 {
		free = min(free, borrower.inFlight)
	}
	borrower.allotted = b.slotShare(borrower, r.Slots, free)
	borrower.slots = max(borrower.slots, borrower.allotted)
	return borrower.allotted
}

// slotShare returns the slots of one borrower: as many as it wants, but beyond those in
// use at most half of the free ones, rounded up.
func (b *workspaceUsage) slotShare(borrower *borrowerState, want, free int) int {
	most := borrower.inFlight + (max(free-borrower.inFlight, 0)+slotShareDivisor-1)/slotShareDivisor
	return min(max(want, 0), most, max(free, 0))
}

// allottedToOthers returns the sum of the slots allotted to all borrowers but this one.
func (b *workspaceUsage) allottedToOthers(borrower *borrowerState) int {
	n := 0
	for _, o := range b.borrowers {
		if o != borrower {
			n += o.allotted
		}
	}
	return n
}

// retryAfter estimates how long until the wanted amount is available, at least 100 ms.
func (b *workspaceUsage) retryAfter(now time.Duration, want Amount) time.Duration {
	wait := 100 * time.Millisecond
	if b.plan.RequestsPerSecond > 0 && b.rate.level < 1 {
		wait = max(wait, time.Duration((1-b.rate.level)/b.rate.rate*float64(time.Second)))
	}
	if b.plan.TokensPerMinute > 0 && b.tokens.free(now) < want.Tokens {
		wait = max(wait, b.tokens.timeUntilFree(now, want.Tokens))
	}
	return wait
}

// adoptBorrower adds the state of a borrower from a former home.
func (b *workspaceUsage) adoptBorrower(now time.Duration, handed BorrowerRecord) {
	borrower := b.borrower(BorrowRequest{Instance: handed.Instance, Boot: handed.Boot})
	borrower.sequence, borrower.slots, borrower.allotted, borrower.overrun = handed.Sequence, handed.Slots, handed.Slots, handed.Overrun
	for _, g := range handed.Grants {
		borrower.grants = append(borrower.grants, grantState{id: g.Grant, unspent: g.Rest, spent: g.Spent, expires: now + g.Remain})
		b.rate.outstanding += float64(g.Rest.Requests)
		b.tokens.outstanding += g.Rest.Tokens
	}
}

// export returns the usage record for the next home.
func (b *workspaceUsage) export(now time.Duration, id fleet.WorkspaceID) UsageRecord {
	b.rate.refill(now)
	out := UsageRecord{Workspace: id, Level: b.rate.level, Used: b.tokens.useByAge(now)}
	for _, instance := range b.order {
		borrower := b.borrowers[instance]
		handed := BorrowerRecord{Instance: instance, Boot: borrower.boot, Sequence: borrower.sequence, Slots: borrower.slots, Overrun: borrower.overrun}
		for _, g := range borrower.grants {
			handed.Grants = append(handed.Grants, GrantRecord{g.id, g.unspent, g.spent, g.expires - now})
		}
		out.Borrowers = append(out.Borrowers, handed)
	}
	return out
}

// scarce reports whether less than 1/scarceDivisor of one of the limits is left to grant.
func (b *workspaceUsage) scarce(now time.Duration) bool {
	slots := 0
	for _, borrower := range b.borrowers {
		slots += borrower.slots
	}
	return b.plan.RequestsPerSecond > 0 && b.rate.level < b.rate.capacity/scarceDivisor ||
		b.plan.TokensPerMinute > 0 && b.tokens.free(now) < b.plan.TokensPerMinute/scarceDivisor ||
		b.plan.Concurrency > 0 && b.plan.Concurrency-slots < b.plan.Concurrency/scarceDivisor+scarceSlots
}

// evictIdle deletes borrowers that hold nothing and have sent nothing for evictAfter. A
// message of theirs that is still in flight can do no harm: it could only make the home
// count more as held by them than they hold.
func (b *workspaceUsage) evictIdle(now time.Duration) {
	b.order = slices.DeleteFunc(b.order, func(id fleet.InstanceID) bool {
		borrower := b.borrowers[id]
		if len(borrower.grants) > 0 || borrower.slots > 0 || now-borrower.wantAt < evictAfter {
			return false
		}
		delete(b.borrowers, id)
		return true
	})
}
