package ledger

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file command.go

// Op tells what a Command does.
type Op uint8

const (
	// OpBegin asks to record the attempt as the one that may write.
	OpBegin Op = iota + 1
	// OpFinish stores the attempt's whole answer.
	OpFinish
	// OpAbandon frees the key of an attempt of which no byte left and none will.
	OpAbandon
	// OpMarkUnknown tells that the attempt may have run and its answer is lost.
	OpMarkUnknown
	// OpLapse makes the attempts unknown that a process began up to a tenure in
	// which it lost its session. The process may come back under the same boot ID
	// in a later tenure.
	OpLapse
	// OpSettleRan stores the answer that the service keeps of an unknown attempt.
	OpSettleRan
	// OpSettleNever frees the key of an unknown attempt that the service says it
	// never ran.
	OpSettleNever
	// OpSetLimits replaces the limits.
	OpSetLimits
)

// Command is one entry of the control log.
//
//msgp:tuple Command
type Command struct {
	Op Op
	// Now is the control leader's time, see Clock. The state takes it as it comes
	// but never goes back.
	Now     time.Duration
	Key     Key
	Body    BodyDigest
	Attempt answer.AttemptID
	// Owner and Boot name the process that runs the attempt.
	Owner fleet.InstanceID
	Boot  fleet.BootID
	// Tenure is the process' own count, see Lease.
	Tenure uint64
	// Answer is an encoded Answer.
	Answer []byte
	// Limits is for OpSetLimits.
	Limits *Limits
}

// Code tells what a Command came to.
type Code uint8

const (
	// CodeInvalid means the command could not be decoded. Nothing was changed.
	CodeInvalid Code = iota
	// CodeStarted means that this attempt, and no other, may write.
	CodeStarted
	// CodeReplay brings the whole answer of the attempt that ran.
	CodeReplay
	// CodeRan means an attempt ran and its answer is no longer kept.
	CodeRan
	// CodeInProgress means another attempt holds the key.
	CodeInProgress
	// CodeUnknown means an attempt may have run. Result.Attempt names it.
	CodeUnknown
	// CodeBodyMismatch means the key was used with another body.
	CodeBodyMismatch
	// CodeFull means the ledger can't hold another record.
	CodeFull
	// CodeSessionEnded means the process lost its session since the tenure of the
	// attempt.
	CodeSessionEnded
	// CodeAttemptEnded means the attempt was given up before.
	CodeAttemptEnded
	// CodeDone means the command took effect, now or before.
	CodeDone
	// CodeIgnored means the command concerns an attempt that does not hold the
	// key.
	CodeIgnored
	// CodeTooEarly means an unknown attempt can't be settled as never run yet:
	// its bytes may still be on their way.
	CodeTooEarly
	codes
)

// String returns the code's name for metrics and logs.
func (c Code) String() string {
	names := [codes]string{
		"invalid", "started", "replay", "ran", "in-progress", "unknown", "body-mismatch", "full",
		"session-ended", "attempt-ended", "done", "ignored", "too-early",
	}
	if c >= codes {
		return "invalid"
	}
	return names[c]
}

// Result is the answer to a Command.
//
//msgp:tuple Result
type Result struct {
	Code Code
	// Attempt is the one that holds the key.
	Attempt answer.AttemptID
	// Answer is an encoded Answer, for CodeReplay.
	Answer []byte
	// Wait is how long to wait before another try, for CodeTooEarly.
	Wait time.Duration
}

// Encode returns the command's bytes for the log.
func (c Command) Encode() ([]byte, error) {
	data, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, ErrBadCommand.Wrap(err, "encode")
	}
	return data, nil
}

// DecodeResult reads what State.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if _, err := r.UnmarshalMsg(data); err != nil {
		return Result{}, ErrBadAnswer.Wrap(err, "result")
	}
	return r, nil
}

// Stamp returns the encoded command with its time set, as the control leader
// does before it proposes a command that a router sent.
func Stamp(command []byte, now time.Duration) ([]byte, error) {
	var c Command
	if _, err := c.UnmarshalMsg(command); err != nil {
		return nil, ErrBadCommand.Wrap(err, "decode")
	}
	c.Now = now
	return c.Encode()
}

// HeaderField is one field of an answer's header.
//
//msgp:tuple HeaderField
type HeaderField struct {
	Name  string
	Value string
}

// Answer is a service's whole answer.
//
//msgp:tuple Answer
type Answer struct {
	Status int
	// Header keeps the order in which the fields are written.
	Header []HeaderField
	Body   []byte
}

// Encode returns the answer's bytes for a Command.
func (a Answer) Encode() ([]byte, error) {
	data, err := a.MarshalMsg(nil)
	if err != nil {
		return nil, ErrBadAnswer.Wrap(err, "encode")
	}
	return data, nil
}

// DecodeAnswer reads a stored answer.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	if _, err := a.UnmarshalMsg(data); err != nil {
		return Answer{}, ErrBadAnswer.Wrap(err, "decode")
	}
	return a, nil
}
