package ledger

import "bytes"

// enter puts a record that is in no queue under a status.
func (s *State) enter(r *record, to status) {
	r.status = to
	r.since = s.now
	if to != statusBegun {
		r.owner, r.tenure = session{}, 0
	}
	s.queues[to].push(r)
}

func (s *State) move(r *record, to status) {
	s.queues[r.status].remove(r)
	s.enter(r, to)
}

// store makes a record that is in no queue finished.
func (s *State) store(r *record, encoded []byte) {
	s.enter(r, statusFinished)
	if len(encoded) == 0 || len(encoded) > s.limits.MaxAnswer {
		return
	}
	r.answer = bytes.Clone(encoded)
	s.bytes += len(r.answer)
	if s.answered == nil {
		s.answered = r
	}
	s.shrink()
}

// shrink drops the oldest answers until the rest is within bounds.
//
// Invariant: no finished record before s.answered holds an answer.
func (s *State) shrink() {
	for s.answered != nil && s.bytes > s.limits.MaxAnswerTotal {
		s.dropAnswer(s.answered)
		s.answered = s.answered.next
	}
}

func (s *State) dropAnswer(r *record) {
	s.bytes -= len(r.answer)
	r.answer = nil
}

func (s *State) remove(r *record) {
	if s.answered == r {
		s.answered = r.next
	}
	s.dropAnswer(r)
	s.queues[r.status].remove(r)
	delete(s.records, r.key)
}

// expire applies the age limits at the state's time. A begun record that is too
// old becomes unknown first, since its attempt may still be running.
func (s *State) expire() {
	s.endedAttempts.expire(s.now)
	s.endedTenures.expire(s.now)
	for r := s.queues[statusFinished].front; s.isOld(r); r = s.queues[statusFinished].front {
		s.remove(r)
	}
	for r := s.queues[statusUnknown].front; s.isOld(r); r = s.queues[statusUnknown].front {
		s.remove(r)
	}
	for r := s.queues[statusBegun].front; s.isOld(r); r = s.queues[statusBegun].front {
		s.move(r, statusUnknown)
	}
}

func (s *State) isOld(r *record) bool {
	return r != nil && r.since+s.limits.MaxAge <= s.now
}

// Stats tells how full the ledger is.
type Stats struct {
	Begun    int
	Unknown  int
	Finished int
	// AnswerBytes is the size of the stored answers.
	AnswerBytes int
	Limits      Limits
}

// Stats returns how full the ledger is.
func (s *State) Stats() Stats {
	return Stats{
		Begun:       s.queues[statusBegun].size,
		Unknown:     s.queues[statusUnknown].size,
		Finished:    s.queues[statusFinished].size,
		AnswerBytes: s.bytes,
		Limits:      s.limits,
	}
}
