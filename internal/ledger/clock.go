package ledger

import "time"

// Clock gives a control leader the time to stamp commands with. It goes on from
// the time of the state that the leader took over, so that over all leaders it
// never goes back and never runs ahead of real time. What passes without a
// leader is not counted: records are kept for longer, never for less.
type Clock struct {
	base time.Duration
	from time.Duration
}

// Now returns the state's time: that of the last command applied.
func (s *State) Now() time.Duration { return s.now }

// NewClock returns the clock of a leader that takes office at the local
// monotonic time now and has applied all that is committed.
func NewClock(s *State, now time.Duration) Clock { return Clock{base: s.now, from: now} }

// Now returns the time for a command that is proposed at the local monotonic
// time now.
func (c Clock) Now(now time.Duration) time.Duration { return c.base + max(now-c.from, 0) }
