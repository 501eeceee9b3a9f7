package plan

//go:generate go tool msgp -tests=false -io=false -file messages.go

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//msgp:tuple Amount GrantReport Refund

// Amount is a quantity of what a plan limits besides concurrency.
type Amount struct {
	Requests int64 `msg:"r"`
	Tokens   int64 `msg:"t"`
}

// GrantReport tells how much of one grant the borrower has spent, all told.
// Repeated and reordered reports do no harm, for the home keeps the maximum.
type GrantReport struct {
	Grant uint64 `msg:"g"`
	Spent Amount `msg:"s"`
	// Closed gives the unspent rest back; the borrower spends no more of it.
	Closed bool `msg:"c"`
}

// BorrowRequest asks the plan home for credits and reports on earlier ones.
type BorrowRequest struct {
	Workspace fleet.WorkspaceID `msg:"w"`
	Instance  fleet.InstanceID  `msg:"i"`
	// Boot is the hash of the instance's boot id.
	Boot uint64 `msg:"b"`
	// Sequence numbers the requests of one boot for one workspace. A request
	// that had no answer is sent again under its number.
	Sequence uint64 `msg:"q"`
	// InFlight is the number of slots in use.
	InFlight int `msg:"f,omitempty"`
	// Want is what the borrower expects to need.
	Want Amount `msg:"a"`
	// Slots is the number of slots it wants in all, those in use included. Held is
	// how many it uses at most until it has the reply.
	Slots   int           `msg:"k,omitempty"`
	Held    int           `msg:"j,omitempty"`
	Reports []GrantReport `msg:"p,omitempty"`
	// Brief asks for credits that lapse soon: the callers they are for wait.
	Brief bool `msg:"v,omitempty"`
	// Refunds is what recent answers used less than was reserved for them. They
	// count once, with this sequence.
	Refunds []Refund `msg:"d,omitempty"`
	// Home names the tenure to whose clock the refunds refer and for which the
	// history is.
	Home uint64 `msg:"m,omitempty"`
	// Overrun is what answers used more than was reserved, all told.
	Overrun int64 `msg:"o,omitempty"`
	// History is the borrower's own token use of the last minute, newest step
	// first. It answers a reply with NeedHistory.
	History []int64 `msg:"h,omitempty"`
}

// Refund takes back tokens that were reserved too high.
type Refund struct {
	// At is when they were reserved, by the home's clock and no later than true.
	At     time.Duration `msg:"a"`
	Tokens int64         `msg:"t"`
}

// BorrowReply lends credits until Lifetime from the sending of the request.
type BorrowReply struct {
	Workspace fleet.WorkspaceID `msg:"w"`
	Sequence  uint64            `msg:"q"`
	// Grant numbers the grant: the request's sequence.
	Grant  uint64 `msg:"g"`
	Amount Amount `msg:"a"`
	// Slots is how many requests the borrower may have in flight.
	Slots    int           `msg:"k,omitempty"`
	Lifetime time.Duration `msg:"l"`
	// Home names the home's tenure of the workspace, and Clock is its time at
	// sending.
	Home  uint64        `msg:"m"`
	Clock time.Duration `msg:"o"`
	// Unlimited tells what of the plan has no limit.
	Unlimited Unlimited `msg:"u,omitempty"`
	// Scarce asks for prompt reports, for little of the plan is left to lend.
	Scarce bool `msg:"y,omitempty"`
	// RetryAfter is set when something wanted could not be lent.
	RetryAfter time.Duration `msg:"x,omitempty"`
	// NeedHistory asks for the History, for this home has taken over without books.
	NeedHistory bool    `msg:"h,omitempty"`
	Refusal     Refusal `msg:"e,omitempty"`
}

// Unlimited is a bit set of what a plan doesn't limit.
type Unlimited uint8

// The bits of Unlimited.
const (
	UnlimitedRequests Unlimited = 1 << iota
	UnlimitedTokens
	UnlimitedSlots
)

// Refusal tells why a home lent nothing at all.
type Refusal uint8

// The refusals of a home.
const (
	// RefusalNone means the home answered with what it could lend.
	RefusalNone Refusal = iota
	// RefusalNotHome means another instance is the workspace's home.
	RefusalNotHome
	// RefusalUnknown means the workspace is in no plan.
	RefusalUnknown
	// RefusalStale means the request is older than one already answered.
	RefusalStale
)

// Books is what a former home hands over to the next one.
type Books struct {
	Workspace fleet.WorkspaceID `msg:"w"`
	// Level is the number of requests that the rate allows at once at present.
	Level float64 `msg:"v"`
	// Used holds the tokens of the last minute by age, newest first, in steps of
	// quotaStep.
	Used      []int64        `msg:"u"`
	Borrowers []BorrowerBook `msg:"b"`
}

// BorrowerBook is what a home knows about one borrower of a workspace.
type BorrowerBook struct {
	Instance fleet.InstanceID `msg:"i"`
	Boot     uint64           `msg:"b"`
	Sequence uint64           `msg:"q"`
	Slots    int              `msg:"k"`
	Overrun  int64            `msg:"o"`
	Grants   []GrantBook      `msg:"g"`
}

// GrantBook is an outstanding grant.
type GrantBook struct {
	Grant  uint64        `msg:"g"`
	Rest   Amount        `msg:"r"`
	Spent  Amount        `msg:"s"`
	Remain time.Duration `msg:"l"` // time until it lapses
}
