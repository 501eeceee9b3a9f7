package plan

//go:generate go tool msgp -tests=false -io=false -file messages.go

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//msgp:tuple Amount GrantReport Refund

// Amount is a quantity of the credits that a plan limits: requests and tokens.
type Amount struct {
	Requests int64 `msg:"r"`
	Tokens   int64 `msg:"t"`
}

// GrantReport reports the total that the borrower has spent of one grant. Reports may
// be duplicated and reordered, as the home keeps the maximum.
type GrantReport struct {
	Grant uint64 `msg:"g"`
	Spent Amount `msg:"s"`
	// Closed returns the unspent amount; the borrower spends no more of the grant.
	Closed bool `msg:"c"`
}

// BorrowRequest asks the plan home for credits and reports the use of earlier ones.
type BorrowRequest struct {
	Workspace fleet.WorkspaceID `msg:"w"`
	Instance  fleet.InstanceID  `msg:"i"`
	// Boot is the hash of the instance's boot ID.
	Boot uint64 `msg:"b"`
	// Sequence numbers the requests of one boot for one workspace. A request that
	// arrives twice has the same number both times; one that replaces a request without
	// a reply has a new number.
	Sequence uint64 `msg:"q"`
	// InFlight is the number of slots in use.
	InFlight int `msg:"f,omitempty"`
	// Want is the amount that the borrower expects to need.
	Want Amount `msg:"a"`
	// Slots is the total number of slots that it wants, including those in use. Held
	// is the most that it uses until it has the reply.
	Slots   int           `msg:"k,omitempty"`
	Held    int           `msg:"j,omitempty"`
	Reports []GrantReport `msg:"p,omitempty"`
	// Brief asks for credits with BriefLifetime, for callers that already wait.
	Brief bool `msg:"v,omitempty"`
	// Refunds lists the tokens that recent answers used less than was reserved for
	// them. They count once, under this sequence number.
	Refunds []Refund `msg:"d,omitempty"`
	// Home is the tenure by whose clock the refunds are dated, and for which the history
	// is meant. It is 0 if the request has neither.
	Home uint64 `msg:"m,omitempty"`
	// Overrun is the total number of tokens that answers used beyond what was
	// reserved.
	Overrun int64 `msg:"o,omitempty"`
	// History is the borrower's token use of the last minute, newest step first. It is
	// sent after a reply with NeedHistory.
	History []int64 `msg:"h,omitempty"`
}

// Refund returns tokens that were reserved but not used.
type Refund struct {
	// At is the time of the reservation by the home's clock, or a little earlier, but
	// never later.
	At     time.Duration `msg:"a"`
	Tokens int64         `msg:"t"`
}

// BorrowReply grants credits that expire Lifetime after the request was sent.
type BorrowReply struct {
	Workspace fleet.WorkspaceID `msg:"w"`
	Sequence  uint64            `msg:"q"`
	// Grant is the number of the grant, which is the request's Sequence.
	Grant  uint64 `msg:"g"`
	Amount Amount `msg:"a"`
	// Slots is how many requests the borrower may have in flight.
	Slots    int           `msg:"k,omitempty"`
	Lifetime time.Duration `msg:"l"`
	// Home is the home's tenure of the workspace, and Clock its time when it sent the
	// reply.
	Home  uint64        `msg:"m"`
	Clock time.Duration `msg:"o"`
	// Unlimited lists what the plan doesn't limit.
	Unlimited Unlimited `msg:"u,omitempty"`
	// Scarce asks for prompt reports, because little of the plan is left to grant.
	Scarce bool `msg:"y,omitempty"`
	// RetryAfter is set if not all that was wanted could be granted.
	RetryAfter time.Duration `msg:"x,omitempty"`
	// NeedHistory asks for the History, because this home got no usage record.
	NeedHistory bool      `msg:"h,omitempty"`
	Refusal     Rejection `msg:"e,omitempty"`
}

// Unlimited is a bit set of what a plan doesn't limit.
type Unlimited uint8

// The bits of Unlimited.
const (
	UnlimitedRequests Unlimited = 1 << iota
	UnlimitedTokens
	UnlimitedSlots
)

// Rejection is why a home rejected a BorrowRequest.
type Rejection uint8

// Reasons for which a home rejects a request.
const (
	// RejectionNone means that the home granted what it could.
	RejectionNone Rejection = iota
	// RejectionNotHome means that this instance isn't the workspace's plan home.
	RejectionNotHome
	// RejectionUnknownWorkspace means the workspace is in no plan.
	RejectionUnknownWorkspace
	// RejectionStale means that the request is older than the last one answered, or from
	// a former boot.
	RejectionStale
)

// UsageRecord is the usage record of a workspace that a former home hands over to the next.
type UsageRecord struct {
	Workspace fleet.WorkspaceID `msg:"w"`
	// Level is the number of requests that the rate allows to grant at once now.
	Level float64 `msg:"v"`
	// Used holds the tokens of the last minute by age, newest first, in steps of
	// quotaStep.
	Used      []int64          `msg:"u"`
	Borrowers []BorrowerRecord `msg:"b"`
}

// BorrowerRecord is the record of one borrower of a workspace.
type BorrowerRecord struct {
	Instance fleet.InstanceID `msg:"i"`
	Boot     uint64           `msg:"b"` // hash of the boot ID
	Sequence uint64           `msg:"q"` // of the last request that was applied
	Slots    int              `msg:"k"` // upper bound of those it may hold
	Overrun  int64            `msg:"o"` // see BorrowRequest
	Grants   []GrantRecord    `msg:"g"` // outstanding ones
}

// GrantRecord is the record of an outstanding grant.
type GrantRecord struct {
	Grant  uint64        `msg:"g"`
	Rest   Amount        `msg:"r"` // unspent
	Spent  Amount        `msg:"s"`
	Remain time.Duration `msg:"l"` // time until it expires
}
