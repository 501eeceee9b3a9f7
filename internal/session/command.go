package session

//go:generate go tool msgp -tests=false -io=false -unexported -file command.go

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// OpKind is the kind of a membership Op.
type OpKind uint8

// Kinds of an Op.
const (
	// OpJoin adds a member, or updates one with the same ID and boot. It is
	// rejected while another boot of the ID is a member.
	OpJoin OpKind = iota + 1
	// OpLeave removes a member that released its lease.
	OpLeave
	// OpExpire removes a member whose lease has expired.
	OpExpire
)

// Op is one membership operation. OpLeave and OpExpire use only the member's ID and
// Boot, and have no effect if that boot is not a member.
type Op struct {
	Kind   OpKind       `msg:"k"`
	Member fleet.Member `msg:"m"`
}

// Command is the Roster's entry in the control log. Its ops are applied together
// and raise the epoch by one at most.
type Command struct {
	Ops []Op `msg:"ops"`
}

// Result is what Roster.Apply returns, encoded.
type Result struct {
	Epoch fleet.Epoch `msg:"e"`
	// Refused is the number of rejected joins.
	Refused int `msg:"r"`
	// Malformed is set if the command could not be decoded; nothing changed.
	Malformed bool `msg:"b"`
}

// Change is the difference between the membership of an epoch and the previous one.
// Members in Left are removed first, then those in Joined are added.
type Change struct {
	Epoch  fleet.Epoch        `msg:"e"`
	Joined []fleet.Member     `msg:"j,omitempty"`
	Left   []fleet.InstanceID `msg:"l,omitempty"`
}

// rosterState is the encoded state of a Roster.
type rosterState struct {
	Membership fleet.Membership `msg:"membership"`
	Changes    []Change         `msg:"changes"`
}
