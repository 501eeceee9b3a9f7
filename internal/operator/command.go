package operator

//go:generate go tool msgp -tests=false -io=false -unexported -file command.go

import (
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// Kind is the kind of a Command.
type Kind uint8

// Kinds of a Command. KindClaim and KindFinish come from the owner of an
// upstream and do not make a new configuration version.
const (
	KindLists Kind = iota + 1
	KindZone
	KindInstance
	KindUpstream
	KindOrder
	KindClaim
	KindFinish
	// KindRoutes brings a routing table into force. It makes a new configuration
	// version only if the table's version is the highest so far.
	KindRoutes
)

// Command is an entry of the control log.
type Command struct {
	Kind Kind `msg:"k"`
	// Operation identifies an operator's command across retries. The same ID
	// with any other field changed is rejected.
	Operation string `msg:"o,omitempty"`
	// Expect is the version that must be in force: the one that the operator saw.
	Expect fleet.ConfigVersion `msg:"e,omitempty"`
	// AnyVersion accepts whichever version is in force: it is not compared with Expect.
	AnyVersion bool `msg:"any,omitempty"`

	// A KindLists command carries either the complete Lists or the Change from
	// version Expect. Body is the digest of the lists as the operator sent them: it
	// identifies a retry even if the first attempt carried the other form.
	Lists  *lists.Config `msg:"l,omitempty"`
	Change *Delta        `msg:"d,omitempty"`
	Body   []byte        `msg:"b,omitempty"`
	// Name and Out are used by KindZone, KindInstance and KindUpstream.
	Name   string     `msg:"n,omitempty"`
	Out    bool       `msg:"out,omitempty"`
	Order  *OrderSpec `msg:"or,omitempty"`
	Claim  *Claim     `msg:"c,omitempty"`
	Finish *Finish    `msg:"f,omitempty"`
	// Routes is used by KindRoutes.
	Routes *routes.Patch `msg:"t,omitempty"`
}

// Encode returns the command's entry for the control log.
func (c *Command) Encode() ([]byte, error) { return c.MarshalMsg(nil) }

// Code is the outcome of a Command.
type Code uint8

// Codes of an Answer.
const (
	// CodeAccepted means the command took effect.
	CodeAccepted Code = iota + 1
	// CodeConflict means another version than the expected one is in force.
	CodeConflict
	// CodeOperationReused means the operation ID belongs to another command.
	CodeOperationReused
	// CodeMalformed means the command could not be decoded or lacks a field.
	CodeMalformed
	// CodeBusy means the upstream has an unfinished order.
	CodeBusy
	// CodeStale means a claim does not name the newest fencing number of the
	// upstream, or a finish does not name that of the order's last claim.
	CodeStale
	// CodeNoOrder means the upstream has no unfinished order of the claim's
	// operation, or no order to finish.
	CodeNoOrder
)

// Answer is the outcome of a Command; Config.Apply returns it encoded.
type Answer struct {
	Code Code `msg:"c"`
	// Version is the version in force after the command. For an accepted
	// operator's command it is the version that the command made.
	Version fleet.ConfigVersion `msg:"v"`
	// Fencing is the newest fencing number of the upstream in the answer to a claim,
	// and the finish's own number in the answer to a finish.
	Fencing fleet.FencingNumber `msg:"f,omitempty"`
	Message string              `msg:"m,omitempty"`
}

// DecodeAnswer decodes an Answer that Config.Apply returned.
func DecodeAnswer(b []byte) (Answer, error) {
	var a Answer
	_, err := a.UnmarshalMsg(b)
	return a, err
}

// encode ignores the error: msgp fails only on types that an Answer does not
// hold.
func (a Answer) encode() []byte {
	b, _ := a.MarshalMsg(nil)
	return b
}
