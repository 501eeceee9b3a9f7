package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// lookAhead is the span whose expected need a borrower holds in credits.
	lookAhead = 500 * time.Millisecond
	// exchangeInterval is the longest time between exchanges while credits or
	// slots are held or use is unreported.
	exchangeInterval = 500 * time.Millisecond
	// reportDelay is how long a report waits for others while nothing is scarce.
	reportDelay = 2 * time.Second
	// resendAfter is how long a request for credits waits for its reply before
	// it is given up and a new one is made.
	resendAfter = time.Second
	// demandWeight is the weight of the newest interval in the expected demand.
	demandWeight = 0.2
	// refundAge is the most that may pass between a reservation and its refund.
	refundAge = 30 * time.Second
	// surplusFactor is how many times the look-ahead's need is too much to hold.
	surplusFactor = 4
	// idleAge is how long an account without credits, slots or use is kept.
	idleAge = 2 * time.Minute
)

// Step is the sort of an Answer.
type Step uint8

const (
	// Wait means credits must be fetched: call Ask, and Retry after Take, until
	// the request has started or is given up with Abandon.
	Wait Step = iota
	// Started means the request may run under the returned Ticket.
	Started
	// Over means the plan has no room; the request was not run.
	Over
)

// Answer is what Start says about one request.
type Answer struct {
	Step Step
	// RetryAfter estimates when the plan has room again, for Over and Wait; 0
	// means not known.
	RetryAfter time.Duration
	Ticket     Ticket
}

// Ticket is the right to run one request. Settle takes it back.
type Ticket struct {
	Workspace fleet.WorkspaceID
	Reserved  int64 // tokens
	At        time.Duration
}

// Borrower spends credits at one router, for all workspaces. It is not safe for
// concurrent use.
type Borrower struct {
	instance fleet.InstanceID
	boot     uint64
	accounts map[fleet.WorkspaceID]*account
	off      borrowerOptions
}

// borrowerOptions switch single mechanisms off, for tests.
type borrowerOptions struct {
	noLapse bool
}

// account is what a router holds for one workspace.
type account struct {
	id        fleet.WorkspaceID
	grants    []heldGrant
	unlimited Unlimited
	slots     int
	// slotsUntil is the end of the right to start on the slots.
	slotsUntil time.Duration
	inFlight   int
	sequence   uint64
	pending    bool
	sentAt     time.Duration
	retryAt    time.Duration
	known      bool // a reply has come within the credit lifetime
	refusal    Refusal
	refunds    []Refund // by the clock of home
	home       uint64
	homeAhead  time.Duration // home's clock less this one's, no more than true
	overrun    int64
	history    quota
	needed     bool // the home wants the history
	changed    bool // something to give back
	scarce     bool // the home wants prompt reports
	waiting    Amount
	demand     demand
	usedAt     time.Duration
}

// heldGrant is one grant at the borrower.
type heldGrant struct {
	id      uint64
	rest    Amount
	spent   Amount
	expires time.Duration
	closed  bool
	brief   bool
}

// demand is the expected need a second, from a moving mean over intervals.
type demand struct {
	requests, tokens float64 // a second
	count            Amount  // in this interval
	since            time.Duration
}

// NewBorrower returns the borrower of one boot of an instance.
func NewBorrower(instance fleet.InstanceID, boot fleet.BootID) *Borrower {
	return &Borrower{instance: instance, boot: xxhash.Sum64String(string(boot)), accounts: map[fleet.WorkspaceID]*account{}}
}

func (b *Borrower) account(id fleet.WorkspaceID) *account {
	a := b.accounts[id]
	if a == nil {
		a = &account{id: id}
		b.accounts[id] = a
	}
	return a
}

// Start takes one request, one slot and the estimated tokens out of the held
// credits. The estimate must bound the tokens of the request from above.
func (b *Borrower) Start(now time.Duration, id fleet.WorkspaceID, tokens int64) Answer {
	a := b.account(id)
	a.usedAt = now
	a.demand.add(now, Amount{1, tokens})
	a.drop(now, b.off)
	if a.covers(now, tokens, b.off) {
		a.spend(now, tokens)
		return Answer{Step: Started, Ticket: Ticket{id, tokens, now}}
	}
	if now < a.retryAt {
		return Answer{Step: Over, RetryAfter: a.retryAt - now}
	}
	a.wait(1, tokens)
	return Answer{Step: Wait}
}

// Retry is Start for a request that waits.
func (b *Borrower) Retry(now time.Duration, id fleet.WorkspaceID, tokens int64) Answer {
	a := b.account(id)
	a.drop(now, b.off)
	if !a.covers(now, tokens, b.off) {
		return Answer{Step: Wait, RetryAfter: max(a.retryAt-now, 0)}
	}
	a.wait(-1, -tokens)
	a.spend(now, tokens)
	return Answer{Step: Started, Ticket: Ticket{id, tokens, now}}
}

// Abandon ends the waiting of a request that won't be retried.
func (b *Borrower) Abandon(id fleet.WorkspaceID, tokens int64) {
	b.account(id).wait(-1, -tokens)
}

// Settle ends a request that used the given number of tokens.
func (b *Borrower) Settle(now time.Duration, t Ticket, tokens int64) {
	a := b.account(t.Workspace)
	a.inFlight--
	a.changed = true
	switch {
	case tokens > t.Reserved:
		a.overrun += tokens - t.Reserved
		a.history.use(now, tokens-t.Reserved)
	case a.home != 0 && now-t.At < refundAge:
		a.addRefund(t.At+a.homeAhead, t.Reserved-tokens)
	}
}

// Ask returns the request for credits to send to the workspace's home, unless
// one is on its way.
func (b *Borrower) Ask(now time.Duration, id fleet.WorkspaceID) (BorrowRequest, bool) {
	a := b.account(id)
	if a.pending && now-a.sentAt < resendAfter {
		return BorrowRequest{}, false
	}
	return b.build(now, a), true
}

// Due appends the requests that should be sent now without a caller waiting:
// credits run low, use is unreported or something can be given back. Call it at
// least every 100 ms.
func (b *Borrower) Due(now time.Duration, dst []BorrowRequest) []BorrowRequest {
	start := len(dst)
	for id, a := range b.accounts {
		a.demand.roll(now)
		a.drop(now, b.off)
		if a.idle(now) {
			delete(b.accounts, id)
			continue
		}
		if a.pending && now-a.sentAt < resendAfter {
			continue
		}
		if a.due(now) {
			dst = append(dst, b.build(now, a))
		}
	}
	slices.SortFunc(dst[start:], func(x, y BorrowRequest) int {
		return strings.Compare(string(x.Workspace), string(y.Workspace))
	})
	return dst
}

// Take takes the home's reply. A reply to a request that was given up counts for
// nothing.
func (b *Borrower) Take(now time.Duration, r BorrowReply) {
	a := b.account(r.Workspace)
	if !a.pending || r.Sequence != a.sequence {
		return
	}
	a.pending, a.refusal = false, r.Refusal
	a.retryAt = 0
	if r.RetryAfter > 0 {
		a.retryAt = now + r.RetryAfter
	}
	if r.Refusal != RefusalNone {
		a.changed = true
		return
	}
	a.setHome(now, r)
	a.known, a.unlimited, a.needed, a.scarce = true, r.Unlimited, r.NeedHistory, r.Scarce
	a.slots, a.slotsUntil = r.Slots, a.sentAt+r.Lifetime
	if r.Amount != (Amount{}) {
		a.grants = append(a.grants, heldGrant{id: r.Grant, rest: r.Amount, expires: a.sentAt + r.Lifetime, brief: r.Lifetime < CreditLifetime})
	}
}

// Failed tells the borrower that the request for credits can't be answered, as
// when its home is down. The next Ask makes a new one.
func (b *Borrower) Failed(now time.Duration, id fleet.WorkspaceID) {
	a := b.account(id)
	a.pending = false
	a.changed = true
}

// InFlight returns the number of the workspace's requests that run here.
func (b *Borrower) InFlight(id fleet.WorkspaceID) int {
	if a := b.accounts[id]; a != nil {
		return a.inFlight
	}
	return 0
}

// build makes the next request for credits.
func (b *Borrower) build(now time.Duration, a *account) BorrowRequest {
	a.release(now)
	want := a.want()
	r := BorrowRequest{
		Workspace: a.id, Instance: b.instance, Boot: b.boot,
		InFlight: a.inFlight, Want: want, Slots: a.wantSlots(),
		Refunds: a.refunds, Overrun: a.overrun,
	}
	r.Brief = !a.looksAhead()
	if len(r.Refunds) > 0 || a.needed {
		r.Home = a.home
	}
	r.Held = a.keepSlots(now, r.Slots)
	for _, g := range a.grants {
		r.Reports = append(r.Reports, GrantReport{g.id, g.spent, g.closed})
	}
	a.grants = slices.DeleteFunc(a.grants, func(g heldGrant) bool { return g.closed })
	if a.needed {
		r.History = a.history.ages(now)
	}
	a.sequence++
	r.Sequence = a.sequence
	a.pending, a.sentAt, a.refunds, a.changed = true, now, nil, false
	return r
}
