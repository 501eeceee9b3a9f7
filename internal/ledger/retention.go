package ledger

import "bytes"

// enqueue sets the status of a record that is in no queue and appends it to that
// status's queue.
func (s *State) enqueue(r *record, to status) {
	r.status = to
	r.since = s.now
	if to != statusBegun {
		r.owner, r.tenure = processID{}, 0
	}
	s.queues[to].push(r)
}

// setStatus changes the status of a record that is in a queue, and moves the record to
// the queue of the new status.
func (s *State) setStatus(r *record, to status) {
	s.queues[r.status].remove(r)
	s.enqueue(r, to)
}

// storeFinished marks a record that is in no queue as finished, and stores its answer
// if it is not larger than MaxAnswer.
func (s *State) storeFinished(r *record, encoded []byte) {
	s.enqueue(r, statusFinished)
	if len(encoded) == 0 || len(encoded) > s.limits.MaxAnswer {
		return
	}
	r.answer = bytes.Clone(encoded)
	s.answerBytes += len(r.answer)
	if s.oldestAnswer == nil {
		s.oldestAnswer = r
	}
	s.evictAnswers()
}

// evictAnswers removes the oldest answers until the total size of those left is at
// most MaxAnswerTotal.
//
// Invariant: no finished record before s.oldestAnswer has an answer.
func (s *State) evictAnswers() {
	for s.oldestAnswer != nil && s.answerBytes > s.limits.MaxAnswerTotal {
		s.dropAnswer(s.oldestAnswer)
		s.oldestAnswer = s.oldestAnswer.next
	}
}

func (s *State) dropAnswer(r *record) {
	s.answerBytes -= len(r.answer)
	r.answer = nil
}

// remove deletes a record and thereby frees its key.
func (s *State) remove(r *record) {
	if s.oldestAnswer == r {
		s.oldestAnswer = r.next
	}
	s.dropAnswer(r)
	s.queues[r.status].remove(r)
	delete(s.records, r.key)
}

// expire applies the age limits at the state's time. A begun record that exceeds
// MaxAge becomes unknown first, because its attempt may still be running.
func (s *State) expire() {
	s.endedAttempts.expire(s.now)
	s.endedTenures.expire(s.now)
	for r := s.queues[statusFinished].front; s.isExpired(r); r = s.queues[statusFinished].front {
		s.remove(r)
	}
	for r := s.queues[statusUnknown].front; s.isExpired(r); r = s.queues[statusUnknown].front {
		s.remove(r)
	}
	for r := s.queues[statusBegun].front; s.isExpired(r); r = s.queues[statusBegun].front {
		s.setStatus(r, statusUnknown)
	}
}

func (s *State) isExpired(r *record) bool {
	return r != nil && r.since+s.limits.MaxAge <= s.now
}

// Stats are the record counts and the answer size of a State.
type Stats struct {
	Begun    int
	Unknown  int
	Finished int
	// AnswerBytes is the total size of the stored answers.
	AnswerBytes int
	Limits      Limits
}

// Stats returns the current record counts and answer size, and the limits.
func (s *State) Stats() Stats {
	return Stats{
		Begun:       s.queues[statusBegun].size,
		Unknown:     s.queues[statusUnknown].size,
		Finished:    s.queues[statusFinished].size,
		AnswerBytes: s.answerBytes,
		Limits:      s.limits,
	}
}
