package ledger

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -file command.go

// Op is the operation of a Command.
type Op uint8

const (
	// OpBegin records the attempt as the one that may write to the service.
	OpBegin Op = iota + 1
	// OpFinish stores the attempt's complete answer.
	OpFinish
	// OpAbandon frees the key of an attempt of which no byte was or will be sent.
	OpAbandon
	// OpMarkUnknown records that the attempt may have run and its answer is lost.
	OpMarkUnknown
	// OpEndTenures marks as unknown the attempts that a process began in Tenure or
	// earlier, after it lost its session. The process may come back under the same
	// boot ID in a later tenure.
	OpEndTenures
	// OpSettleRan stores the answer that the service returned for an unknown attempt.
	OpSettleRan
	// OpSettleNever frees the key of an unknown attempt that, according to the
	// service, never ran.
	OpSettleNever
	// OpSetLimits replaces the limits.
	OpSetLimits
)

// Command is one entry of the control log.
//
//msgp:tuple Command
type Command struct {
	Op Op
	// Now is the control leader's time, see Clock. The state's time advances to it
	// and never goes back.
	Now     time.Duration
	Key     Key
	Body    BodyDigest
	Attempt answer.AttemptID
	// Owner and Boot identify the process that runs the attempt.
	Owner fleet.InstanceID
	Boot  fleet.BootID
	// Tenure is the process's tenure, see Lease.
	Tenure uint64
	// Answer is an encoded Answer.
	Answer []byte
	// Limits is for OpSetLimits.
	Limits *Limits
}

// Code is the outcome of a Command.
type Code uint8

const (
	// CodeInvalid means the command could not be decoded. Nothing was changed.
	CodeInvalid Code = iota
	// CodeStarted means that only this attempt may write.
	CodeStarted
	// CodeReplay carries the complete answer of the attempt that ran.
	CodeReplay
	// CodeRan means an attempt ran and its answer is no longer kept.
	CodeRan
	// CodeInProgress means another attempt holds the key.
	CodeInProgress
	// CodeUnknown means the attempt in Result.Attempt may have run.
	CodeUnknown
	// CodeBodyMismatch means the key was used with another body.
	CodeBodyMismatch
	// CodeFull means the ledger has reached its maximum number of records.
	CodeFull
	// CodeSessionEnded means the process has lost its session since the attempt's
	// tenure.
	CodeSessionEnded
	// CodeAttemptEnded means the attempt was abandoned, or settled as never run,
	// before.
	CodeAttemptEnded
	// CodeDone means the command was applied, now or earlier.
	CodeDone
	// CodeIgnored means the command concerns an attempt that does not hold the
	// key.
	CodeIgnored
	// CodeTooEarly means an unknown attempt can't be settled as never run yet: its
	// bytes may still be in flight to the service.
	CodeTooEarly
	codes // number of codes
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

// Result is the result of a Command.
//
//msgp:tuple Result
type Result struct {
	Code Code
	// Attempt is the attempt that holds the key.
	Attempt answer.AttemptID
	// Answer is an encoded Answer, for CodeReplay.
	Answer []byte
	// Wait is the time to wait before the next attempt to settle, for CodeTooEarly.
	Wait time.Duration
}

// Encode returns the command as an entry of the control log.
func (c Command) Encode() ([]byte, error) {
	data, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, ErrBadCommand.Wrap(err, "encode the ledger command")
	}
	return data, nil
}

// DecodeResult decodes a result of State.Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if _, err := r.UnmarshalMsg(data); err != nil {
		return Result{}, ErrBadAnswer.Wrap(err, "decode the result of a ledger command")
	}
	return r, nil
}

// SetCommandTime sets the time of an encoded command. The control leader calls it before it
// proposes a command from a router.
func SetCommandTime(command []byte, now time.Duration) ([]byte, error) {
	var c Command
	if _, err := c.UnmarshalMsg(command); err != nil {
		return nil, ErrBadCommand.Wrap(err, "decode the ledger command")
	}
	c.Now = now
	return c.Encode()
}

// HeaderField is one header field of an Answer.
//
//msgp:tuple HeaderField
type HeaderField struct {
	Name  string
	Value string
}

// Answer is a service's complete answer.
//
//msgp:tuple Answer
type Answer struct {
	Status int
	// Header holds the fields in the order in which they are written.
	Header []HeaderField
	Body   []byte
}

// Encode returns the answer as it is stored in a Command.
func (a Answer) Encode() ([]byte, error) {
	data, err := a.MarshalMsg(nil)
	if err != nil {
		return nil, ErrBadAnswer.Wrap(err, "encode the answer")
	}
	return data, nil
}

// DecodeAnswer decodes a stored answer.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	if _, err := a.UnmarshalMsg(data); err != nil {
		return Answer{}, ErrBadAnswer.Wrap(err, "decode the stored answer")
	}
	return a, nil
}
