package plan

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

const (
	// CreditLifetime is how long a borrower may spend a grant.
	CreditLifetime = 2 * time.Second
	// BriefLifetime is that of credits for callers that wait for them. Spent or
	// not, they are off the books soon and need no report.
	BriefLifetime = 300 * time.Millisecond
	// driftMargin lengthens a lifetime at the home, so that a clock which runs
	// slower at the borrower by a part in 32 doesn't outlive it.
	driftMargin = CreditLifetime / 32
	// wantMemory is how long a borrower's last wish counts in sharing.
	wantMemory = time.Second
	// shareOf is the part of what is free that one grant may take while others
	// may want some too.
	shareOf = 2
	// endedBoots is how many former boots of a borrower are remembered.
	endedBoots = 8
	// forgetAfter is how long a home keeps the book of a borrower that holds
	// nothing and is silent.
	forgetAfter = 2 * time.Minute
	// scarcePart is the part of a limit below which what is left is scarce.
	scarcePart = 4
	// scarceSlots are the slots that any plan should have left besides.
	scarceSlots = 4
	// slotTurnover is the part of the slots in use that is expected to come free
	// and be used again while credits last.
	slotTurnover = 4
)

// options switch single mechanisms off, for tests that show what each prevents.
type options struct {
	lapseUnspent, noTakeoverWait, noSlotHold, noReplay, noTenure bool
}

// Home counts the plans of the workspaces whose plan home this instance is. It
// is not safe for concurrent use.
type Home struct {
	tenure uint64 // the last one; tenures of different boots differ
	plans  map[fleet.WorkspaceID]lists.Plan
	books  map[fleet.WorkspaceID]*book
	off    options
}

// book is what a home knows about one workspace.
type book struct {
	// tenure differs each time that an instance becomes a workspace's home.
	tenure    uint64
	plan      lists.Plan
	rate      bucket
	tokens    quota
	borrowers map[fleet.InstanceID]*borrowerBook
	order     []fleet.InstanceID // of borrowers
	// openAt is when all credits of a former home have lapsed.
	openAt time.Duration
	// silent are the instances whose slots and token use under a former home
	// aren't known yet.
	silent map[fleet.InstanceID]bool
	// presumed are the tokens that count as used at takenAt for want of books.
	presumed int64
	takenAt  time.Duration
	// lost is set when an instance was lost while it was silent.
	lost bool
}

type borrowerBook struct {
	boot uint64
	// ended are the boots before it, whose messages may still be on their way.
	ended    []uint64
	sequence uint64
	reply    BorrowReply
	slots    int // what the borrower may hold, at most, as far as is known
	allotted int // what the last reply allows
	inFlight int
	overrun  int64
	grants   []grantBook
	want     Amount
	wantAt   time.Duration
}

type grantBook struct {
	id      uint64
	rest    Amount // lent and not known to be spent
	spent   Amount // known to be spent
	expires time.Duration
}

// NewHome returns the home of one boot of an instance. It counts for no
// workspace yet.
func NewHome(boot fleet.BootID) *Home {
	return &Home{tenure: xxhash.Sum64String(string(boot)), plans: map[fleet.WorkspaceID]lists.Plan{}, books: map[fleet.WorkspaceID]*book{}}
}

// SetPlans takes the first list. Changed limits hold for loans from now on.
func (h *Home) SetPlans(now time.Duration, p lists.Plans) {
	byName := map[string]lists.Plan{}
	for _, plan := range p.Plans {
		byName[plan.Name] = plan
	}
	clear(h.plans)
	for _, w := range p.Workspaces {
		if plan, ok := byName[w.Plan]; ok {
			h.plans[w.ID] = plan
		}
	}
	for id, b := range h.books {
		b.setPlan(now, h.plans[id])
	}
}

// Take starts counting for a workspace whose former home handed over nothing.
// Nothing is lent until the longest credit lifetime has passed; slots are lent
// only when each of the peers has reported the slots it uses, or is Lost. All
// tokens of the last minute count as used, but for those that the peers report
// otherwise.
func (h *Home) Take(now time.Duration, id fleet.WorkspaceID, peers []fleet.InstanceID) {
	b := h.open(now, id)
	if h.off.noTakeoverWait {
		return
	}
	b.openAt = now + CreditLifetime + driftMargin
	b.rate.level = 0
	b.presumed, b.takenAt = b.plan.TokensPerMinute, now
	b.tokens.use(now, b.presumed)
	for _, peer := range peers {
		b.silent[peer] = true
	}
}

// TakeFirst starts counting for a workspace that has never had a home.
func (h *Home) TakeFirst(now time.Duration, id fleet.WorkspaceID) { h.open(now, id) }

// TakeOver starts counting with the books of the former home, which must have
// stopped lending.
func (h *Home) TakeOver(now time.Duration, books Books) {
	b := h.open(now, books.Workspace)
	b.rate.level = books.Level
	for age, n := range books.Used {
		b.tokens.useAt(now, age, n)
	}
	for _, handed := range books.Borrowers {
		b.adopt(now, handed)
	}
}

// Release stops counting for a workspace and returns its books. It returns false
// where there are none, or where they hold presumed use: the next home would
// presume it for another minute, and does better to ask the routers itself.
func (h *Home) Release(now time.Duration, id fleet.WorkspaceID) (Books, bool) {
	b := h.books[id]
	if b == nil {
		return Books{}, false
	}
	presuming := len(b.silent) > 0 || h.Presuming(now, id)
	delete(h.books, id)
	if presuming {
		return Books{}, false
	}
	b.lapse(now, h.off)
	return b.export(now, id), true
}

// Counts tells whether this instance counts for the workspace.
func (h *Home) Counts(id fleet.WorkspaceID) bool { return h.books[id] != nil }

// Lost tells the home that an instance has stopped for good, or that its session
// has lapsed and its work has been cancelled. Its slots come free.
func (h *Home) Lost(now time.Duration, instance fleet.InstanceID) {
	for _, b := range h.books {
		if b.silent[instance] {
			b.lost = true
			b.heard(now, instance)
		}
		if r := b.borrowers[instance]; r != nil {
			r.slots, r.allotted, r.inFlight = 0, 0, 0
		}
	}
}

// Borrow answers one request for credits.
func (h *Home) Borrow(now time.Duration, r BorrowRequest) BorrowReply {
	b := h.books[r.Workspace]
	reply := BorrowReply{
		Workspace: r.Workspace, Sequence: r.Sequence, Grant: r.Sequence,
		Lifetime: CreditLifetime, Clock: now,
	}
	if b == nil {
		reply.Refusal = RefusalNotHome
		return reply
	}
	if _, known := h.plans[r.Workspace]; !known {
		reply.Refusal = RefusalUnknown
		return reply
	}
	if r.Brief {
		reply.Lifetime = BriefLifetime
	}
	reply.Home = b.tenure
	b.lapse(now, h.off)
	b.forget(now)
	who := b.borrower(r)
	switch {
	case r.Sequence < who.sequence, who.boot != r.Boot:
		reply.Refusal = RefusalStale
		return reply
	case r.Sequence == who.sequence && r.Sequence > 0 && !h.off.noReplay:
		return who.reply
	}
	b.settle(now, who, r, h.off)
	h.lend(now, b, who, r, &reply)
	who.sequence, who.reply = r.Sequence, reply
	return reply
}

// lend fills the reply with what can be lent now.
func (h *Home) lend(now time.Duration, b *book, who *borrowerBook, r BorrowRequest, reply *BorrowReply) {
	who.want, who.wantAt = r.Want, now
	reply.Unlimited = b.unlimited()
	reply.Slots = b.allot(who, r, h.off)
	reply.NeedHistory = b.silent[r.Instance]
	if now < b.openAt {
		reply.RetryAfter, reply.Scarce = b.openAt-now, true
		return
	}
	reply.Amount = b.take(now, who, r.Want)
	expires := now + reply.Lifetime + driftMargin
	if reply.Amount != (Amount{}) {
		who.grants = append(who.grants, grantBook{id: reply.Grant, rest: reply.Amount, expires: expires})
	}
	reply.Scarce = b.scarce(now)
	if short(r.Want, reply.Amount) || reply.Slots < r.Slots {
		reply.RetryAfter = b.retryAfter(now, r.Want)
	}
}

func short(want, got Amount) bool {
	return got.Requests < want.Requests || got.Tokens < want.Tokens
}

func (h *Home) open(now time.Duration, id fleet.WorkspaceID) *book {
	b := &book{borrowers: map[fleet.InstanceID]*borrowerBook{}, silent: map[fleet.InstanceID]bool{}}
	b.rate.at = now
	b.setPlan(now, h.plans[id])
	b.rate.level = b.rate.capacity
	b.tokens.advance(now)
	h.tenure++
	b.tenure = h.tenure
	h.books[id] = b
	return b
}

// setPlan changes the limits. What is lent already stays lent until it lapses.
func (b *book) setPlan(now time.Duration, p lists.Plan) {
	b.rate.refill(now)
	b.plan = p
	b.rate.rate = p.RequestsPerSecond
	b.rate.capacity = float64(p.Burst)
	if p.Burst == 0 {
		b.rate.capacity = max(p.RequestsPerSecond, 1)
	}
	b.rate.refill(now)
	b.tokens.limit = p.TokensPerMinute
}

func (b *book) unlimited() Unlimited {
	var u Unlimited
	if b.plan.RequestsPerSecond == 0 {
		u |= UnlimitedRequests
	}
	if b.plan.TokensPerMinute == 0 {
		u |= UnlimitedTokens
	}
	if b.plan.Concurrency == 0 {
		u |= UnlimitedSlots
	}
	return u
}

// borrower returns the book of the request's sender. A new boot starts afresh,
// for the work and the credits of the former one ended with it; a boot that has
// ended doesn't come back.
func (b *book) borrower(r BorrowRequest) *borrowerBook {
	who := b.borrowers[r.Instance]
	if who == nil {
		who = &borrowerBook{boot: r.Boot, overrun: r.Overrun}
		b.borrowers[r.Instance] = who
		at, _ := slices.BinarySearch(b.order, r.Instance)
		b.order = slices.Insert(b.order, at, r.Instance)
	}
	if who.boot != r.Boot && !slices.Contains(who.ended, r.Boot) {
		who.ended = append(who.ended[max(len(who.ended)-endedBoots+1, 0):], who.boot)
		who.boot, who.sequence, who.overrun = r.Boot, 0, r.Overrun
		who.slots, who.allotted, who.inFlight = 0, 0, 0
	}
	return who
}
