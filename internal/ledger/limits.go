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

// Limits bound the size of the ledger and the age of its records. They are part of the
// replicated state, because the states of members with different limits would diverge.
// A zero field means its default.
type Limits struct {
	// MaxAge is how long a record is kept after its last change.
	MaxAge time.Duration `msg:"max_age"`
	// MaxRecords is the maximum number of records; further begins are rejected.
	// Records are not removed early to make room, because their keys could then run
	// again.
	MaxRecords int `msg:"max_records"`
	// MaxAnswer is the maximum size of one stored answer, in bytes. A larger answer
	// is not stored; the record only shows that the attempt ran.
	MaxAnswer int `msg:"max_answer"`
	// MaxAnswerTotal is the maximum size of all stored answers, in bytes. Above it
	// the oldest answers are evicted; their records stay.
	MaxAnswerTotal int `msg:"max_answer_total"`
	// UnknownHold is how long an attempt must have been unknown before the service's
	// statement that it never ran is accepted. It must exceed the time for which
	// bytes of a stopped process can be in flight to the service.
	UnknownHold time.Duration `msg:"unknown_hold"`
	// EndedAge is how long the tombstone of an abandoned attempt, or of one settled
	// as never run, is kept. It must exceed the time for which a command can be in
	// flight between its sender and the log. The tombstone of a process that lost
	// its session is kept for MaxAge.
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
