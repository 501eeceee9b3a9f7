package ledger

import "time"

//go:generate go tool msgp -tests=false -io=false -file limits.go

// Defaults of the limits.
const (
	DefaultMaxAge         = 24 * time.Hour
	DefaultMaxRecords     = 1 << 16
	DefaultMaxAnswer      = 64 << 10
	DefaultMaxAnswerTotal = 8 << 20
	DefaultUnknownHold    = 30 * time.Second
	DefaultEndedAge       = 10 * time.Minute
)

// Limits bound the ledger. They are part of the replicated state, since members
// with different limits would drift apart. A zero field means its default.
type Limits struct {
	// MaxAge is how long a record is kept after its last change.
	MaxAge time.Duration `msg:"max_age"`
	// MaxRecords is the most records; a further begin is refused. No record is
	// dropped before its age to make room, since its key could then run again.
	MaxRecords int `msg:"max_records"`
	// MaxAnswer is the most bytes of one stored answer. A larger one is not
	// stored; the record says that the attempt ran.
	MaxAnswer int `msg:"max_answer"`
	// MaxAnswerTotal is the most bytes of all stored answers. Beyond it the
	// oldest answers are dropped; their records stay.
	MaxAnswerTotal int `msg:"max_answer_total"`
	// UnknownHold is how long an attempt must have been unknown before the
	// service's word that it never ran is taken. It must exceed the time that
	// bytes can spend between a process that is gone and the service.
	UnknownHold time.Duration `msg:"unknown_hold"`
	// EndedAge is how long an attempt that was given up, and a process that is
	// gone, are remembered. It must exceed the time that a command can spend
	// between its sender and the log.
	EndedAge time.Duration `msg:"ended_age"`
}

// withDefaults replaces zero fields.
func (l Limits) withDefaults() Limits {
	l.MaxAge = orDefault(l.MaxAge, DefaultMaxAge)
	l.MaxRecords = orDefault(l.MaxRecords, DefaultMaxRecords)
	l.MaxAnswer = orDefault(l.MaxAnswer, DefaultMaxAnswer)
	l.MaxAnswerTotal = orDefault(l.MaxAnswerTotal, DefaultMaxAnswerTotal)
	l.UnknownHold = orDefault(l.UnknownHold, DefaultUnknownHold)
	l.EndedAge = orDefault(l.EndedAge, DefaultEndedAge)
	return l
}

func orDefault[T int | time.Duration](value, def T) T {
	if value <= 0 {
		return def
	}
	return value
}
