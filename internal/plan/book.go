package plan

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// settle takes the borrower's reports into the books.
func (b *book) settle(now time.Duration, who *borrowerBook, r BorrowRequest, off options) {
	for _, report := range r.Reports {
		at := slices.IndexFunc(who.grants, func(g grantBook) bool { return g.id == report.Grant })
		if at >= 0 && b.report(now, &who.grants[at], report) {
			who.grants = slices.Delete(who.grants, at, at+1)
		}
	}
	if r.Home == b.tenure {
		for _, refund := range r.Refunds {
			b.tokens.refund(now, refund.At, refund.Tokens)
		}
	}
	if r.Overrun > who.overrun {
		b.tokens.use(now, r.Overrun-who.overrun)
		who.overrun = r.Overrun
	}
	// A late copy of a history that was meant for an earlier home tells nothing
	// about the slots in use now.
	if b.silent[r.Instance] && r.History != nil && (r.Home == b.tenure || off.noTenure) {
		b.replacePresumed(now, r.History)
		b.heard(now, r.Instance)
	}
	who.inFlight, who.slots = r.InFlight, max(r.InFlight, r.Held)
}

// replacePresumed counts a borrower's own record of its token use in place of
// the same number of presumed tokens.
func (b *book) replacePresumed(now time.Duration, history []int64) {
	for age, n := range history {
		n = min(max(n, 0), b.presumed)
		b.presumed -= n
		b.tokens.move(now, b.takenAt, age, n)
	}
}

// heard notes that an instance is silent no more. Once all have reported and
// none was lost, the use of the last minute is known.
func (b *book) heard(now time.Duration, instance fleet.InstanceID) {
	delete(b.silent, instance)
	if len(b.silent) == 0 && !b.lost {
		b.tokens.take(now, b.takenAt, b.presumed)
		b.presumed = 0
	}
}

// report moves what was newly spent from lent to used. It returns true once the
// grant is settled for good.
func (b *book) report(now time.Duration, g *grantBook, r GrantReport) bool {
	requests := min(max(r.Spent.Requests-g.spent.Requests, 0), g.rest.Requests)
	tokens := min(max(r.Spent.Tokens-g.spent.Tokens, 0), g.rest.Tokens)
	b.spend(now, g, Amount{requests, tokens})
	if r.Closed {
		b.rate.settle(now, g.rest.Requests, g.rest.Requests)
		b.tokens.outstanding -= g.rest.Tokens
		g.rest = Amount{}
	}
	return g.rest == Amount{}
}

func (b *book) spend(now time.Duration, g *grantBook, a Amount) {
	g.rest.Requests -= a.Requests
	g.rest.Tokens -= a.Tokens
	g.spent.Requests += a.Requests
	g.spent.Tokens += a.Tokens
	b.rate.settle(now, a.Requests, 0)
	b.tokens.outstanding -= a.Tokens
	b.tokens.use(now, a.Tokens)
}

// lapse counts what is left of expired grants as spent, for the borrower may
// have spent it to the last moment.
func (b *book) lapse(now time.Duration, off options) {
	for _, id := range b.order {
		who := b.borrowers[id]
		who.grants = slices.DeleteFunc(who.grants, func(g grantBook) bool {
			if now < g.expires {
				return false
			}
			if off.lapseUnspent {
				b.report(now, &g, GrantReport{Grant: g.id, Closed: true})
			}
			b.spend(now, &g, g.rest)
			return true
		})
	}
}

// take lends rate and tokens for a whole number of requests: all that are wanted
// while there is plenty, else this borrower's part of what all of them have
// wanted lately, and at least one. Rate, tokens and slots that don't make up a
// request would lie idle at the borrower.
func (b *book) take(now time.Duration, who *borrowerBook, want Amount) Amount {
	units := max(want.Requests, 1)
	each := (want.Tokens + units - 1) / units
	if want == (Amount{}) {
		return want
	}
	n := portion(units, b.wanted(now), b.lendable(now, each))
	if b.plan.Concurrency > 0 {
		n = min(n, int64(max(who.allotted-who.inFlight+who.inFlight/slotTurnover, 0)))
	}
	var got Amount
	if b.plan.RequestsPerSecond > 0 {
		got.Requests = b.rate.lend(now, min(n, want.Requests))
	}
	if b.plan.TokensPerMinute > 0 {
		got.Tokens = n * each
		b.tokens.outstanding += got.Tokens
	}
	return got
}

// lendable is how many requests of the given number of tokens rate and quota
// leave to lend, to all borrowers together.
func (b *book) lendable(now time.Duration, each int64) int64 {
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

// portion shares free out in proportion to the wishes, rounded up.
func portion(want, all, free int64) int64 {
	if want <= 0 || free <= 0 {
		return 0
	}
	if all <= free {
		return want
	}
	return min(want, (free*want+all-1)/all)
}

// wanted sums up the requests that all borrowers have lately asked for.
func (b *book) wanted(now time.Duration) int64 {
	all := int64(0)
	for _, who := range b.borrowers {
		if now-who.wantAt < wantMemory && who.want != (Amount{}) {
			all += max(who.want.Requests, 1)
		}
	}
	return all
}

// allot sets how many requests the borrower may have in flight. Until it is
// known to have seen a smaller allotment, the larger one counts.
func (b *book) allot(who *borrowerBook, r BorrowRequest, off options) int {
	if b.plan.Concurrency == 0 {
		return 0
	}
	others := 0
	for _, o := range b.borrowers {
		if o != who {
			others += o.slots
		}
	}
	if off.noSlotHold {
		others = b.allottedBut(who)
	}
	free := max(b.plan.Concurrency-others, 0)
	if len(b.silent) > 0 {
		free = min(free, who.inFlight)
	}
	who.allotted = b.slotShare(who, r.Slots, free)
	who.slots = max(who.slots, who.allotted)
	return who.allotted
}

// slotShare lets one borrower have all it wants up to half of what is free, and
// beyond what it uses at least one.
func (b *book) slotShare(who *borrowerBook, want, free int) int {
	most := who.inFlight + (max(free-who.inFlight, 0)+shareOf-1)/shareOf
	return min(max(want, 0), most, max(free, 0))
}

func (b *book) allottedBut(who *borrowerBook) int {
	n := 0
	for _, o := range b.borrowers {
		if o != who {
			n += o.allotted
		}
	}
	return n
}

// retryAfter estimates when the want can be met.
func (b *book) retryAfter(now time.Duration, want Amount) time.Duration {
	wait := 100 * time.Millisecond
	if b.plan.RequestsPerSecond > 0 && b.rate.level < 1 {
		wait = max(wait, time.Duration((1-b.rate.level)/b.rate.rate*float64(time.Second)))
	}
	if b.plan.TokensPerMinute > 0 && b.tokens.free(now) < want.Tokens {
		wait = max(wait, b.tokens.until(now, want.Tokens))
	}
	return wait
}

// adopt takes a borrower's book from a former home.
func (b *book) adopt(now time.Duration, handed BorrowerBook) {
	who := b.borrower(BorrowRequest{Instance: handed.Instance, Boot: handed.Boot})
	who.sequence, who.slots, who.allotted, who.overrun = handed.Sequence, handed.Slots, handed.Slots, handed.Overrun
	for _, g := range handed.Grants {
		who.grants = append(who.grants, grantBook{id: g.Grant, rest: g.Rest, spent: g.Spent, expires: now + g.Remain})
		b.rate.outstanding += float64(g.Rest.Requests)
		b.tokens.outstanding += g.Rest.Tokens
	}
}

// export writes the books for the next home.
func (b *book) export(now time.Duration, id fleet.WorkspaceID) Books {
	b.rate.refill(now)
	out := Books{Workspace: id, Level: b.rate.level, Used: b.tokens.ages(now)}
	for _, instance := range b.order {
		who := b.borrowers[instance]
		handed := BorrowerBook{Instance: instance, Boot: who.boot, Sequence: who.sequence, Slots: who.slots, Overrun: who.overrun}
		for _, g := range who.grants {
			handed.Grants = append(handed.Grants, GrantBook{g.id, g.rest, g.spent, g.expires - now})
		}
		out.Borrowers = append(out.Borrowers, handed)
	}
	return out
}

// scarce tells that less than a part of one of the limits is left to lend.
func (b *book) scarce(now time.Duration) bool {
	slots := 0
	for _, who := range b.borrowers {
		slots += who.slots
	}
	return b.plan.RequestsPerSecond > 0 && b.rate.level < b.rate.capacity/scarcePart ||
		b.plan.TokensPerMinute > 0 && b.tokens.free(now) < b.plan.TokensPerMinute/scarcePart ||
		b.plan.Concurrency > 0 && b.plan.Concurrency-slots < b.plan.Concurrency/scarcePart+scarceSlots
}

// forget drops the books of borrowers that hold nothing and have been silent for
// long. A message of theirs that is still on its way could only add to what
// they are taken to hold.
func (b *book) forget(now time.Duration) {
	b.order = slices.DeleteFunc(b.order, func(id fleet.InstanceID) bool {
		who := b.borrowers[id]
		if len(who.grants) > 0 || who.slots > 0 || now-who.wantAt < forgetAfter {
			return false
		}
		delete(b.borrowers, id)
		return true
	})
}
