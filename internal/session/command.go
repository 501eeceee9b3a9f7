package session

//go:generate go tool msgp -tests=false -io=false -unexported -file command.go

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// OpKind says what an Op does to the membership.
type OpKind uint8

// Kinds of an Op.
const (
	// OpJoin adds a member, or updates one of the same ID and boot. It is
	// refused while another boot of the ID is a member.
	OpJoin OpKind = iota + 1
	// OpLeave removes a member that gave its lease back.
	OpLeave
	// OpExpire removes a member whose lease has run out.
	OpExpire
)

// Op is one change of the membership. OpLeave and OpExpire use only the
// member's ID and Boot, and do nothing when that boot is not a member.
type Op struct {
	Kind   OpKind       `msg:"k"`
	Member fleet.Member `msg:"m"`
}

// Command is the Roster's entry in the control log. Its ops take effect
// together, under one epoch.
type Command struct {
	Ops []Op `msg:"ops"`
}

// Result is what Roster.Apply returns, encoded.
type Result struct {
	Epoch fleet.Epoch `msg:"e"`
	// Refused counts the joins that were refused.
	Refused int `msg:"r"`
	// Malformed is set when the command could not be decoded; nothing changed.
	Malformed bool `msg:"b"`
}

// Change tells how the membership of an epoch differs from the one before it.
// Those in Left are removed first, then those in Joined are added.
type Change struct {
	Epoch  fleet.Epoch        `msg:"e"`
	Joined []fleet.Member     `msg:"j,omitempty"`
	Left   []fleet.InstanceID `msg:"l,omitempty"`
}

// rosterState is the Roster's snapshot.
type rosterState struct {
	Membership fleet.Membership `msg:"membership"`
	Changes    []Change         `msg:"changes"`
}
