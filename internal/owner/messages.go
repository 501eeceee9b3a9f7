package owner

import "github.com/wigeonflow/wigeonflow/internal/fleet"

//go:generate go tool msgp -tests=false -io=false -file messages.go

// Methods that an owner serves on the mesh.
const (
	// MethodChat runs a chat at an engine: a ChatRequest opens the stream, a
	// Verdict and then messages of one or more Events answer it.
	MethodChat = "owner.chat"
	// MethodCall runs a request at a plain service: a CallRequest opens the
	// stream, a Verdict and then one CallReply answer it.
	MethodCall = "owner.call"
)

// Header holds the fields that an owner needs to admit a request of either kind.
type Header struct {
	Request   fleet.RequestID   `msg:"r"`
	Attempt   string            `msg:"a"`
	Workspace fleet.WorkspaceID `msg:"w"`
	Upstream  fleet.UpstreamID  `msg:"u"`
	Priority  fleet.Priority    `msg:"p"`
	// BudgetMillis is the time left until the caller's deadline.
	BudgetMillis uint32 `msg:"b"`
	// MayQueue allows the owner to hold the request until it has capacity.
	MayQueue bool `msg:"q"`
	// Trace is the W3C traceparent of the sender's span; empty without one.
	Trace string `msg:"t"`
}

// ChatRequest asks an owner to run a chat at one engine.
type ChatRequest struct {
	Header Header `msg:"h"`
	// Chat is the hash under which the chat is placed.
	Chat uint64 `msg:"c"`
	// Basis is the placement.Basis of the candidate.
	Basis uint8 `msg:"b"`
	// Firm requests may use the headroom that is kept for chats with more cached tokens.
	Firm bool `msg:"f"`
	// Redirected is set once an owner has redirected the chat.
	Redirected bool `msg:"x"`
	// CacheKey is the prompt_cache_key in the request to the engine.
	CacheKey string `msg:"k"`
	// Resume continues an attempt that the engine has accepted, after the offset
	// ResumeAfter, the last one that the entry has received.
	Resume      bool   `msg:"z"`
	ResumeAfter uint64 `msg:"o"`
	// Share bounds the number of the engine's slots that the workspace may hold; 0
	// means no bound.
	Share int    `msg:"s"`
	Body  []byte `msg:"d"`
}

// Verdict is an owner's decision on a request, sent before any of the request is sent
// to the upstream.
type Verdict struct {
	Admitted bool `msg:"a"`
	// Reason is the cause if the request was not admitted.
	Reason           Rejection `msg:"r"`
	RetryAfterMillis uint32    `msg:"m"`
	// Epoch is the membership epoch under which the owner has decided.
	Epoch fleet.Epoch `msg:"e"`
	// Elsewhere is the upstream that has the chat cached, if the owner knows that it is
	// another one than requested.
	Elsewhere fleet.UpstreamID `msg:"x"`
}

// Rejection is the reason for which an owner did not admit a request.
type Rejection uint8

const (
	// RejectionNone is the zero value of an admitted request.
	RejectionNone Rejection = iota
	// RejectionNotOwner means that another instance owns the upstream, or that
	// the handover to this one is not settled.
	RejectionNotOwner
	// RejectionNoLease means that the owner's session lease has run out.
	RejectionNoLease
	// RejectionFull means that the upstream has no slot for the request: it is at its load
	// bound or cold-start window, its queue is full, its breaker is open, or the workspace
	// holds its share of the slots.
	RejectionFull
	// RejectionOutOfService means that the upstream, its zone or the owner accepts no new requests.
	RejectionOutOfService
	// RejectionUnknownUpstream means that the owner does not know the upstream.
	RejectionUnknownUpstream
	// RejectionDeadline means that the request cannot be served before its deadline.
	RejectionDeadline
	// RejectionNotCached means that the upstream does not have the chat cached, so that
	// the ranked upstream can serve it at the same cost.
	RejectionNotCached
	// RejectionAskOthers means that the owner does not know yet where the chat is
	// cached, while the owners of the other candidates may know.
	RejectionAskOthers
)

var rejectionNames = [...]string{"none", "not-owner", "no-lease", "full", "out", "unknown-upstream", "deadline", "not-resident", "ask-others"}

// String returns the rejection's name in logs and metrics.
func (r Rejection) String() string {
	if int(r) < len(rejectionNames) {
		return rejectionNames[r]
	}
	return "unknown"
}

//msgp:tuple Event

// Event is one part of an engine's answer, or the end of the attempt.
type Event struct {
	// Offset counts the token events from 1; 0 for usage and the end.
	Offset uint64
	// Data is the JSON of one chunk; empty at the end.
	Data []byte
	// Closing ends the attempt; nil before.
	Closing *AttemptResult
}

// AttemptResult is the result of an attempt, with the facts that are certain about it. If a
// stream ends without one, its owner is lost.
type AttemptResult struct {
	End         uint8 `msg:"e"` // an answer.End
	MayHaveLeft bool  `msg:"l"`
	Whole       bool  `msg:"w"`
	Declined    bool  `msg:"d"`
	Accepted    bool  `msg:"a"`
	// Status is the HTTP status with which the upstream rejected the request.
	Status int `msg:"s"`
	// RetryAfterMillis is the retry delay that the upstream asks for.
	RetryAfterMillis uint32 `msg:"r"`
	// Message describes the failure, with operation and peer.
	Message string `msg:"m"`
}

// CallRequest asks an owner to run one request at a plain service.
type CallRequest struct {
	Header  Header        `msg:"h"`
	Service string        `msg:"s"`
	Method  string        `msg:"m"`
	Path    string        `msg:"p"`
	Fields  []HeaderField `msg:"f"`
	Body    []byte        `msg:"d"`
	// Repeatable requests may run more than once.
	Repeatable bool `msg:"e"`
	// IdempotencyKey is the caller's key; empty without one.
	IdempotencyKey string `msg:"k"`
	// LookupPath is the service's path for looking up the outcome of a key; empty
	// without one.
	LookupPath string `msg:"l"`
}

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// CallReply is the result of a CallRequest.
type CallReply struct {
	Outcome fleet.Outcome `msg:"o"`
	// Status is the HTTP status for the caller; 0 without an answer.
	Status int           `msg:"s"`
	Fields []HeaderField `msg:"f"`
	Body   []byte        `msg:"d"`
	// Replayed marks a stored answer of an earlier request.
	Replayed bool `msg:"y"`
	// Conflict is the reason for which a keyed request was rejected; none otherwise.
	Conflict Conflict `msg:"c"`
	// Holder is the attempt under which the ledger has recorded the key.
	Holder string `msg:"h"`
	// Unavailable means that the ledger could not be reached or is full.
	Unavailable bool `msg:"u"`
	// End is an answer.End; the next four fields are the answer.Facts.
	End              uint8  `msg:"e"`
	MayHaveLeft      bool   `msg:"l"`
	Whole            bool   `msg:"w"`
	Declined         bool   `msg:"n"`
	Accepted         bool   `msg:"a"`
	RetryAfterMillis uint32 `msg:"r"`
	// Step and Message describe a failure.
	Step    string `msg:"t"`
	Message string `msg:"m"`
}

// Conflict is the reason for rejecting a keyed request.
type Conflict uint8

const (
	// ConflictNone is the zero value.
	ConflictNone Conflict = iota
	// ConflictInProgress means that the first request under the key still runs.
	ConflictInProgress
	// ConflictBody means that the key belongs to another request.
	ConflictBody
	// ConflictUnknown means that an earlier request under the key may have run.
	ConflictUnknown
	// ConflictAnswerGone means that the request ran and its answer is no longer stored.
	ConflictAnswerGone
)
