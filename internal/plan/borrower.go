package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// lookAhead is the time for whose expected demand a borrower holds credits.
	lookAhead = 500 * time.Millisecond
	// exchangeInterval is the longest time between exchanges with the home while a
	// borrower borrows ahead of demand or holds credits, and, if a limit is scarce, also
	// while it only has use to report.
	exchangeInterval = 500 * time.Millisecond
	// reportDelay is how long reports are collected while no limit is scarce.
	reportDelay = 2 * time.Second
	// resendAfter is how long a request for credits waits for its reply before it is
	// abandoned and a new one is made.
	resendAfter = time.Second
	// demandWeight is the weight of the newest interval in the moving mean of the
	// demand.
	demandWeight = 0.2
	// refundAge is the longest time between a reservation and its refund.
	refundAge = 30 * time.Second
	// surplusFactor is the multiple of the expected need above which a borrower returns
	// its grants.
	surplusFactor = 4
	// idleAge is how long an account without credits, slots or use is kept.
	idleAge = 2 * time.Minute
)

// StartKind is the kind of a StartResult.
type StartKind uint8

const (
	// Wait means that credits must be borrowed: call NextRequest, and call Retry after
	// HandleReply, until the request has started or is abandoned with Abandon.
	Wait StartKind = iota
	// Started means the request may run under the returned Ticket.
	Started
	// Exhausted means that the plan's limits are exhausted; the request was not run.
	Exhausted
)

// StartResult is the result of Start or Retry for one request.
type StartResult struct {
	Kind StartKind
	// RetryAfter estimates how long until credits are available again, for Exhausted and
	// Wait; 0 means unknown.
	RetryAfter time.Duration
	Ticket     Ticket
}

// Ticket is the right to run one request. Settle ends it.
type Ticket struct {
	Workspace fleet.WorkspaceID
	Reserved  int64 // tokens
	At        time.Duration
}

// Borrower holds and spends the credits of all workspaces at one router. It is not
// safe for concurrent use.
type Borrower struct {
	instance fleet.InstanceID
	boot     uint64
	accounts map[fleet.WorkspaceID]*account
	off      borrowerOptions
}

// borrowerOptions disable single mechanisms, for tests.
type borrowerOptions struct {
	noExpiry bool
}

// account holds one workspace's credits and slots at a router.
type account struct {
	id        fleet.WorkspaceID
	grants    []heldGrant
	unlimited Unlimited
	slots     int
	// slotsUntil is the time until which requests may start on the slots.
	slotsUntil    time.Duration
	inFlight      int
	sequence      uint64        // of the last BorrowRequest
	pending       bool          // its reply is awaited
	sentAt        time.Duration // when it was sent
	retryAt       time.Duration // until then a request that isn't covered is rejected
	limitsKnown   bool          // a reply with limits has been received
	rejection     Rejection     // by the last reply
	refunds       []Refund      // times are by home's clock
	home          uint64
	homeAhead     time.Duration // home's clock minus this one's, a lower bound
	overrun       int64
	history       quota
	historyNeeded bool          // the home needs the history
	reportPending bool          // there is use or a release to report
	scarce        bool          // the home asked for prompt reports
	waiting       Amount        // of the requests that wait for credits
	demand        demand        // expected
	usedAt        time.Duration // of the last Start
}

// heldGrant is one grant, as held by the borrower.
type heldGrant struct {
	id      uint64
	unspent Amount
	spent   Amount
	expires time.Duration
	closed  bool // to be returned with the next BorrowRequest
	brief   bool // has BriefLifetime
}

// demand is the expected demand per second, as a moving mean over intervals.
type demand struct {
	requests, tokens float64 // per second
	count            Amount  // in the current interval
	since            time.Duration
}

// NewBorrower returns the Borrower of one boot of an instance.
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

// Start charges one request, one slot and the estimated tokens to the held credits.
// The estimate must be an upper bound of the request's tokens.
func (b *Borrower) Start(now time.Duration, id fleet.WorkspaceID, tokens int64) StartResult {
	a := b.account(id)
	a.usedAt = now
	a.demand.add(now, Amount{1, tokens})
	a.dropExpired(now, b.off)
	if a.coversRequest(now, tokens, b.off) {
		a.chargeRequest(now, tokens)
		return StartResult{Kind: Started, Ticket: Ticket{id, tokens, now}}
	}
	if now < a.retryAt {
		return StartResult{Kind: Exhausted, RetryAfter: a.retryAt - now}
	}
	a.addWaiting(1, tokens)
	return StartResult{Kind: Wait}
}

// Retry charges a request for which Start returned Wait, if the held credits now allow it.
// Otherwise it returns Wait again.
func (b *Borrower) Retry(now time.Duration, id fleet.WorkspaceID, tokens int64) StartResult {
	a := b.account(id)
	a.dropExpired(now, b.off)
	if !a.coversRequest(now, tokens, b.off) {
		return StartResult{Kind: Wait, RetryAfter: max(a.retryAt-now, 0)}
	}
	a.addWaiting(-1, -tokens)
	a.chargeRequest(now, tokens)
	return StartResult{Kind: Started, Ticket: Ticket{id, tokens, now}}
}

// Abandon removes a waiting request that won't be retried.
func (b *Borrower) Abandon(id fleet.WorkspaceID, tokens int64) {
	b.account(id).addWaiting(-1, -tokens)
}

// Settle ends a request that used the given number of tokens.
func (b *Borrower) Settle(now time.Duration, t Ticket, tokens int64) {
	a := b.account(t.Workspace)
	a.inFlight--
	a.reportPending = true
	switch {
	case tokens > t.Reserved:
		a.overrun += tokens - t.Reserved
		a.history.recordUse(now, tokens-t.Reserved)
	case a.home != 0 && now-t.At < refundAge:
		a.addRefund(t.At+a.homeAhead, t.Reserved-tokens)
	}
}

// NextRequest returns the request for credits to send to the workspace's home. It returns
// false while one is pending that was sent less than resendAfter ago.
func (b *Borrower) NextRequest(now time.Duration, id fleet.WorkspaceID) (BorrowRequest, bool) {
	a := b.account(id)
	if a.pending && now-a.sentAt < resendAfter {
		return BorrowRequest{}, false
	}
	return b.buildRequest(now, a), true
}

// DueRequests appends the requests that should be sent now for other reasons than a waiting
// caller: credits are low, use is unreported, or grants or slots can be returned. It
// also deletes idle accounts. Call it at least every 100 ms.
func (b *Borrower) DueRequests(now time.Duration, dst []BorrowRequest) []BorrowRequest {
	start := len(dst)
	for id, a := range b.accounts {
		a.demand.rollInterval(now)
		a.dropExpired(now, b.off)
		if a.idle(now) {
			delete(b.accounts, id)
			continue
		}
		if a.pending && now-a.sentAt < resendAfter {
			continue
		}
		if a.requestDue(now) {
			dst = append(dst, b.buildRequest(now, a))
		}
	}
	slices.SortFunc(dst[start:], func(x, y BorrowRequest) int {
		return strings.Compare(string(x.Workspace), string(y.Workspace))
	})
	return dst
}

// HandleReply applies the home's reply. It ignores a reply to a request that has failed or
// that a newer one has replaced.
func (b *Borrower) HandleReply(now time.Duration, r BorrowReply) {
	a := b.account(r.Workspace)
	if !a.pending || r.Sequence != a.sequence {
		return
	}
	a.pending, a.rejection = false, r.Refusal
	a.retryAt = 0
	if r.RetryAfter > 0 {
		a.retryAt = now + r.RetryAfter
	}
	if r.Refusal != RejectionNone {
		a.reportPending = true
		return
	}
	a.updateHomeClock(now, r)
	a.limitsKnown, a.unlimited, a.historyNeeded, a.scarce = true, r.Unlimited, r.NeedHistory, r.Scarce
	a.slots, a.slotsUntil = r.Slots, a.sentAt+r.Lifetime
	if r.Amount != (Amount{}) {
		a.grants = append(a.grants, heldGrant{id: r.Grant, unspent: r.Amount, expires: a.sentAt + r.Lifetime, brief: r.Lifetime < CreditLifetime})
	}
}

// HandleFailure records that the pending request for credits will get no reply, for instance
// because the home is down. The next call of NextRequest returns a new one.
func (b *Borrower) HandleFailure(now time.Duration, id fleet.WorkspaceID) {
	a := b.account(id)
	a.pending = false
	a.reportPending = true
}

// InFlight returns the number of the workspace's requests that run here.
func (b *Borrower) InFlight(id fleet.WorkspaceID) int {
	if a := b.accounts[id]; a != nil {
		return a.inFlight
	}
	return 0
}

// buildRequest returns the next request for credits, which also reports use and
// returns surplus credits.
func (b *Borrower) buildRequest(now time.Duration, a *account) BorrowRequest {
	a.closeGrants(now)
	want := a.wantedAmount()
	r := BorrowRequest{
		Workspace: a.id, Instance: b.instance, Boot: b.boot,
		InFlight: a.inFlight, Want: want, Slots: a.wantedSlots(),
		Refunds: a.refunds, Overrun: a.overrun,
	}
	r.Brief = !a.borrowsAhead()
	if len(r.Refunds) > 0 || a.historyNeeded {
		r.Home = a.home
	}
	r.Held = a.trimSlots(now, r.Slots)
	for _, g := range a.grants {
		r.Reports = append(r.Reports, GrantReport{g.id, g.spent, g.closed})
	}
	a.grants = slices.DeleteFunc(a.grants, func(g heldGrant) bool { return g.closed })
	if a.historyNeeded {
		r.History = a.history.useByAge(now)
	}
	a.sequence++
	r.Sequence = a.sequence
	a.pending, a.sentAt, a.refunds, a.reportPending = true, now, nil, false
	return r
}
