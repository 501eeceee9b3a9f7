package ledger

import "time"

// Clock provides the time that a control leader sets in commands. It continues from
// the time of the state that the leader adopted, so that across leaders it never goes
// back and never runs faster than real time. Time without a leader is not counted, so
// records are kept longer than their limit, never shorter.
type Clock struct {
	base time.Duration // time of the state when the leader was elected
	from time.Duration // local monotonic time of the election
}

// Now returns the time of the state, which is the latest time of an applied command.
func (s *State) Now() time.Duration { return s.now }

// NewClock returns the clock of a leader that is elected at the local monotonic time
// now and has applied all committed commands.
func NewClock(s *State, now time.Duration) Clock { return Clock{base: s.now, from: now} }

// Now returns the time for a command that is proposed at the local monotonic
// time now.
func (c Clock) Now(now time.Duration) time.Duration { return c.base + max(now-c.from, 0) }
