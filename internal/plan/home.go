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
	// BriefLifetime is the lifetime of credits for callers that already wait. The
	// grant expires soon, spent or not, and needs no report.
	BriefLifetime = 300 * time.Millisecond
	// driftMargin lengthens a lifetime at the home, so that a grant expires first at a
	// borrower whose clock runs up to 1/32 slower.
	driftMargin = CreditLifetime / 32
	// wantMemory is how long a borrower's last wanted amount counts when credits are
	// shared.
	wantMemory = time.Second
	// slotShareDivisor limits one grant of slots to 1/slotShareDivisor of the free
	// ones, since other borrowers may want some too.
	slotShareDivisor = 2
	// maxFormerBoots is how many former boots of a borrower are kept.
	maxFormerBoots = 8
	// evictAfter is how long a home keeps the record of a borrower that holds nothing
	// and sends nothing.
	evictAfter = 2 * time.Minute
	// scarceDivisor makes a limit scarce when less than 1/scarceDivisor of it is left.
	scarceDivisor = 4
	// scarceSlots is the number of slots that must be left in addition to
	// 1/scarceDivisor of them, whatever the size of the plan.
	scarceSlots = 4
	// slotTurnoverDivisor makes 1/slotTurnoverDivisor of the slots in use count as
	// available, because so many are expected to be released and used again within a
	// grant's lifetime.
	slotTurnoverDivisor = 4
)

// options disable single mechanisms, for tests that show what each prevents.
type options struct {
	expireAsUnspent, noClaimWait, noSlotHold, noReplay, noTenure bool
}

// Home grants credits and counts the use of the workspaces whose plan home this
// instance is. It is not safe for concurrent use.
type Home struct {
	tenure  uint64 // the last one assigned; tenures of different boots differ
	plans   map[fleet.WorkspaceID]lists.Plan
	records map[fleet.WorkspaceID]*workspaceUsage
	off     options
}

// workspaceUsage is a home's usage record of one workspace. The next home receives its
// content as a UsageRecord.
type workspaceUsage struct {
	// tenure identifies one period in which an instance is the workspace's home.
	tenure    uint64
	plan      lists.Plan
	rate      bucket
	tokens    quota
	borrowers map[fleet.InstanceID]*borrowerState
	order     []fleet.InstanceID // of borrowers
	// grantsFrom is when all grants of a former home have expired.
	grantsFrom time.Duration
	// unreported holds the instances that haven't reported their slots and token use under
	// a former home yet.
	unreported map[fleet.InstanceID]bool
	// presumed is the number of tokens that are assumed to be used at presumedAt, because
	// the former home handed over no usage record.
	presumed   int64
	presumedAt time.Duration
	// lostUnreported is set if an instance was lost before it reported.
	lostUnreported bool
}

// borrowerState is a home's record of one borrower.
type borrowerState struct {
	boot uint64 // hash of the boot ID
	// formerBoots holds earlier boots, whose messages may still be in flight.
	formerBoots []uint64
	sequence    uint64        // of the last request that was applied
	reply       BorrowReply   // to that request
	slots       int           // upper bound of the slots that the borrower may hold
	allotted    int           // slots that the last reply allows
	inFlight    int           // slots in use, as last reported
	overrun     int64         // total, as last reported
	grants      []grantState  // outstanding ones
	want        Amount        // of the last request
	wantAt      time.Duration // when the home received it
}

// grantState is a home's record of one grant.
type grantState struct {
	id      uint64
	unspent Amount // granted and not reported as spent
	spent   Amount // reported as spent
	expires time.Duration
}

// NewHome returns the Home of one boot of an instance. It is the plan home of no
// workspace yet.
func NewHome(boot fleet.BootID) *Home {
	return &Home{tenure: xxhash.Sum64String(string(boot)), plans: map[fleet.WorkspaceID]lists.Plan{}, records: map[fleet.WorkspaceID]*workspaceUsage{}}
}

// SetPlans sets the plans and their workspaces. Changed limits apply to later grants.
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
	for id, b := range h.records {
		b.setPlan(now, h.plans[id])
	}
}

// ClaimWithoutRecord becomes the home of a workspace whose former home handed over no
// usage record. It grants nothing until the longest lifetime of a grant has passed, and
// no free slots until each of the peers has reported the slots that it uses or is
// recorded as lost. The tokens of a whole minute count as used until the peers have
// reported their use.
func (h *Home) ClaimWithoutRecord(now time.Duration, id fleet.WorkspaceID, peers []fleet.InstanceID) {
	b := h.openRecord(now, id)
	if h.off.noClaimWait {
		return
	}
	b.grantsFrom = now + CreditLifetime + driftMargin
	b.rate.level = 0
	b.presumed, b.presumedAt = b.plan.TokensPerMinute, now
	b.tokens.recordUse(now, b.presumed)
	for _, peer := range peers {
		b.unreported[peer] = true
	}
}

// ClaimNewWorkspace becomes the home of a workspace that has never had one.
func (h *Home) ClaimNewWorkspace(now time.Duration, id fleet.WorkspaceID) { h.openRecord(now, id) }

// ClaimWithRecord becomes the home of a workspace and adopts the usage record of the former
// home, which must have stopped granting.
func (h *Home) ClaimWithRecord(now time.Duration, record UsageRecord) {
	b := h.openRecord(now, record.Workspace)
	b.rate.level = record.Level
	for age, n := range record.Used {
		b.tokens.recordPastUse(now, age, n)
	}
	for _, handed := range record.Borrowers {
		b.adoptBorrower(now, handed)
	}
}

// Release stops being the home of a workspace and returns its usage record. It returns
// false if there is none or if it contains presumed use: the next home would carry
// that for another minute, and gets a better record from the routers themselves.
func (h *Home) Release(now time.Duration, id fleet.WorkspaceID) (UsageRecord, bool) {
	b := h.records[id]
	if b == nil {
		return UsageRecord{}, false
	}
	presuming := len(b.unreported) > 0 || h.PresumesUse(now, id)
	delete(h.records, id)
	if presuming {
		return UsageRecord{}, false
	}
	b.expireGrants(now, h.off)
	return b.export(now, id), true
}

// IsHomeOf reports whether this instance is the workspace's plan home.
func (h *Home) IsHomeOf(id fleet.WorkspaceID) bool { return h.records[id] != nil }

// RecordLost records that an instance has stopped for good, or that its session has expired
// and its requests have been canceled. Its slots become free.
func (h *Home) RecordLost(now time.Duration, instance fleet.InstanceID) {
	for _, b := range h.records {
		if b.unreported[instance] {
			b.lostUnreported = true
			b.recordReported(now, instance)
		}
		if r := b.borrowers[instance]; r != nil {
			r.slots, r.allotted, r.inFlight = 0, 0, 0
		}
	}
}

// Borrow applies the reports of one request for credits and returns the reply with the
// granted credits. A repeated request gets the same reply.
func (h *Home) Borrow(now time.Duration, r BorrowRequest) BorrowReply {
	b := h.records[r.Workspace]
	reply := BorrowReply{
		Workspace: r.Workspace, Sequence: r.Sequence, Grant: r.Sequence,
		Lifetime: CreditLifetime, Clock: now,
	}
	if b == nil {
		reply.Refusal = RejectionNotHome
		return reply
	}
	if _, known := h.plans[r.Workspace]; !known {
		reply.Refusal = RejectionUnknownWorkspace
		return reply
	}
	if r.Brief {
		reply.Lifetime = BriefLifetime
	}
	reply.Home = b.tenure
	b.expireGrants(now, h.off)
	b.evictIdle(now)
	borrower := b.borrower(r)
	switch {
	case r.Sequence < borrower.sequence, borrower.boot != r.Boot:
		reply.Refusal = RejectionStale
		return reply
	case r.Sequence == borrower.sequence && r.Sequence > 0 && !h.off.noReplay:
		return borrower.reply
	}
	b.applyReports(now, borrower, r, h.off)
	h.fillReply(now, b, borrower, r, &reply)
	borrower.sequence, borrower.reply = r.Sequence, reply
	return reply
}

// fillReply sets the credits and slots that can be granted now.
func (h *Home) fillReply(now time.Duration, b *workspaceUsage, borrower *borrowerState, r BorrowRequest, reply *BorrowReply) {
	borrower.want, borrower.wantAt = r.Want, now
	reply.Unlimited = b.unlimited()
	reply.Slots = b.allotSlots(borrower, r, h.off)
	reply.NeedHistory = b.unreported[r.Instance]
	if now < b.grantsFrom {
		reply.RetryAfter, reply.Scarce = b.grantsFrom-now, true
		return
	}
	reply.Amount = b.grant(now, borrower, r.Want)
	expires := now + reply.Lifetime + driftMargin
	if reply.Amount != (Amount{}) {
		borrower.grants = append(borrower.grants, grantState{id: reply.Grant, unspent: reply.Amount, expires: expires})
	}
	reply.Scarce = b.scarce(now)
	if isShort(r.Want, reply.Amount) || reply.Slots < r.Slots {
		reply.RetryAfter = b.retryAfter(now, r.Want)
	}
}

// isShort reports whether fewer requests or tokens were granted than wanted.
func isShort(want, got Amount) bool {
	return got.Requests < want.Requests || got.Tokens < want.Tokens
}

// openRecord creates the usage record of a workspace with a new tenure.
func (h *Home) openRecord(now time.Duration, id fleet.WorkspaceID) *workspaceUsage {
	b := &workspaceUsage{borrowers: map[fleet.InstanceID]*borrowerState{}, unreported: map[fleet.InstanceID]bool{}}
	b.rate.updated = now
	b.setPlan(now, h.plans[id])
	b.rate.level = b.rate.capacity
	b.tokens.advance(now)
	h.tenure++
	b.tenure = h.tenure
	h.records[id] = b
	return b
}

// setPlan changes the limits. Outstanding grants stay valid until they expire.
func (b *workspaceUsage) setPlan(now time.Duration, p lists.Plan) {
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

// unlimited returns what the plan doesn't limit.
func (b *workspaceUsage) unlimited() Unlimited {
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

// borrower returns the record of the request's sender, which it adds if it is new. A new
// boot of the sender resets its slots, sequence and overrun, because the requests of the
// former boot ended with it; its grants stay until they expire. A late message of a former
// boot changes nothing.
func (b *workspaceUsage) borrower(r BorrowRequest) *borrowerState {
	borrower := b.borrowers[r.Instance]
	if borrower == nil {
		borrower = &borrowerState{boot: r.Boot, overrun: r.Overrun}
		b.borrowers[r.Instance] = borrower
		at, _ := slices.BinarySearch(b.order, r.Instance)
		b.order = slices.Insert(b.order, at, r.Instance)
	}
	if borrower.boot != r.Boot && !slices.Contains(borrower.formerBoots, r.Boot) {
		borrower.formerBoots = append(borrower.formerBoots[max(len(borrower.formerBoots)-maxFormerBoots+1, 0):], borrower.boot)
		borrower.boot, borrower.sequence, borrower.overrun = r.Boot, 0, r.Overrun
		borrower.slots, borrower.allotted, borrower.inFlight = 0, 0, 0
	}
	return borrower
}
