package ledger

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
)

// State is the replicated ledger. All members that apply the same commands in the same
// order have the same State and return the same results: it reads no clock and uses no
// random numbers. It is not safe for concurrent use.
//
// Invariants: a key has at most one record; the attempt of a key changes only if the
// record is removed; a record is removed only if its attempt wrote nothing (abandoned,
// or settled as never run) or if it exceeds MaxAge.
type State struct {
	now     time.Duration
	applied uint64
	limits  Limits

	records      map[Key]*record
	queues       [statuses]queue
	answerBytes  int     // size of the stored answers
	oldestAnswer *record // the oldest finished record that may have an answer

	endedAttempts tombstones[answer.AttemptID]
	// endedTenures holds the last ended tenure of each process that lost its session.
	endedTenures tombstones[processID]

	fault stateFault
}

// stateFault disables one safety mechanism in tests.
type stateFault uint8

const (
	stateFaultNone               stateFault = iota
	stateFaultBeginForAnyAttempt            // grant a begun key to any attempt
	stateFaultSnapshotDropsBegun            // omit begun records from snapshots
	stateFaultNoHold                        // settle as never run without waiting for UnknownHold
)

// NewState returns an empty ledger.
func NewState() *State {
	return &State{limits: Limits{}.withDefaults(), records: make(map[Key]*record)}
}

// Apply executes the command at index of the log and returns an encoded Result. A
// command at an index that was applied before changes nothing; index 0 means a command
// that isn't in a log. The state retains no part of command.
func (s *State) Apply(index uint64, command []byte) []byte {
	var c Command
	result := Result{Code: CodeInvalid}
	if _, err := c.UnmarshalMsg(command); err == nil && (index == 0 || index > s.applied) {
		s.applied = max(s.applied, index)
		result = s.apply(&c)
	}
	out, err := result.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return out
}

func (s *State) apply(c *Command) Result {
	s.now = max(s.now, c.Now)
	s.expire()
	switch c.Op {
	case OpBegin:
		return s.begin(c)
	case OpFinish:
		return s.finish(c)
	case OpAbandon:
		return s.abandon(c)
	case OpMarkUnknown:
		return s.markUnknown(c)
	case OpEndTenures:
		return s.endTenures(c)
	case OpSettleRan:
		return s.settleRan(c)
	case OpSettleNever:
		return s.settleNever(c)
	case OpSetLimits:
		return s.setLimits(c)
	default:
		return Result{Code: CodeInvalid}
	}
}

// begin grants the key to one attempt of one process. The same attempt may repeat its
// begin after a lost result; any other attempt receives the status of the first one.
func (s *State) begin(c *Command) Result {
	owner := processID{c.Owner, c.Boot}
	switch {
	case s.endedTenures.has(owner) && c.Tenure <= s.endedTenures.value(owner):
		return Result{Code: CodeSessionEnded}
	case s.endedAttempts.has(c.Attempt):
		return Result{Code: CodeAttemptEnded}
	}
	if r := s.records[c.Key]; r != nil {
		return s.beginExisting(r, c, owner)
	}
	if len(s.records) >= s.limits.MaxRecords {
		return Result{Code: CodeFull}
	}
	r := &record{key: c.Key, body: c.Body, attempt: c.Attempt, owner: owner, tenure: c.Tenure}
	s.records[c.Key] = r
	s.enqueue(r, statusBegun)
	return Result{Code: CodeStarted, Attempt: c.Attempt}
}

// beginExisting returns the result of a begin for a key that has the record r.
func (s *State) beginExisting(r *record, c *Command, owner processID) Result {
	if r.body != c.Body {
		return Result{Code: CodeBodyMismatch, Attempt: r.attempt}
	}
	switch r.status {
	case statusBegun:
		same := r.attempt == c.Attempt && r.owner == owner
		if same || s.fault == stateFaultBeginForAnyAttempt {
			return Result{Code: CodeStarted, Attempt: r.attempt}
		}
		return Result{Code: CodeInProgress, Attempt: r.attempt}
	case statusUnknown:
		return Result{Code: CodeUnknown, Attempt: r.attempt}
	default:
		return replayResult(r)
	}
}

// replayResult returns the result for a finished record: its answer if that is stored.
func replayResult(r *record) Result {
	if r.answer == nil {
		return Result{Code: CodeRan, Attempt: r.attempt}
	}
	return Result{Code: CodeReplay, Attempt: r.attempt, Answer: r.answer}
}

// finish stores the answer of the attempt that holds the key, also if the attempt was
// marked unknown in the meantime: its owner has the answer. A key whose record was
// removed gets a new record, so that it does not run a second time.
func (s *State) finish(c *Command) Result {
	r := s.records[c.Key]
	if r == nil {
		r = &record{key: c.Key, body: c.Body, attempt: c.Attempt}
		s.records[c.Key] = r
		s.storeFinished(r, c.Answer)
		return Result{Code: CodeDone, Attempt: c.Attempt}
	}
	if r.attempt != c.Attempt {
		return Result{Code: CodeIgnored, Attempt: r.attempt}
	}
	if r.status != statusFinished {
		s.queues[r.status].remove(r)
		s.storeFinished(r, c.Answer)
	}
	return Result{Code: CodeDone, Attempt: r.attempt}
}

// abandon ends the attempt permanently, whether or not its begin was applied: a begin
// that arrives later is rejected with CodeAttemptEnded.
func (s *State) abandon(c *Command) Result {
	r := s.records[c.Key]
	if r != nil && r.attempt == c.Attempt && r.status == statusFinished {
		return Result{Code: CodeIgnored, Attempt: r.attempt}
	}
	s.endedAttempts.add(c.Attempt, s.now+s.limits.EndedAge, 0)
	if r != nil && r.attempt == c.Attempt {
		s.remove(r)
	}
	return Result{Code: CodeDone, Attempt: c.Attempt}
}

// markUnknown marks a begun attempt as unknown. A finished attempt stays finished.
func (s *State) markUnknown(c *Command) Result {
	r := s.records[c.Key]
	if r == nil || r.attempt != c.Attempt {
		return Result{Code: CodeIgnored}
	}
	if r.status == statusBegun {
		s.setStatus(r, statusUnknown)
	}
	return Result{Code: CodeDone, Attempt: r.attempt}
}

// endTenures marks the begun records of a process as unknown, up to the command's tenure.
// It iterates over all begun records, one per attempt in flight. Records of a later
// tenure are unchanged: their process came back before the command was committed. A
// later begin of an ended tenure is rejected.
func (s *State) endTenures(c *Command) Result {
	owner := processID{c.Owner, c.Boot}
	ended := max(c.Tenure, s.endedTenures.value(owner))
	s.endedTenures.add(owner, s.now+s.limits.MaxAge, ended)
	for r := s.queues[statusBegun].front; r != nil; {
		next := r.next
		if r.owner == owner && r.tenure <= ended {
			s.setStatus(r, statusUnknown)
		}
		r = next
	}
	return Result{Code: CodeDone}
}

// settleRan stores the service's answer to an attempt whose outcome was unknown and that
// turned out to have run.
func (s *State) settleRan(c *Command) Result {
	r, result := s.unknownRecord(c)
	if r == nil {
		return result
	}
	s.queues[r.status].remove(r)
	s.storeFinished(r, c.Answer)
	return replayResult(r)
}

// settleNever frees the key once no byte of the attempt can be in flight.
func (s *State) settleNever(c *Command) Result {
	r, result := s.unknownRecord(c)
	if r == nil {
		return result
	}
	wait := r.since + s.limits.UnknownHold - s.now
	if wait > 0 && s.fault != stateFaultNoHold {
		return Result{Code: CodeTooEarly, Attempt: r.attempt, Wait: wait}
	}
	s.endedAttempts.add(r.attempt, s.now+s.limits.EndedAge, 0)
	s.remove(r)
	return Result{Code: CodeDone, Attempt: c.Attempt}
}

// unknownRecord returns the record of the command's attempt if it is unknown, and
// otherwise nil and the result of the command.
func (s *State) unknownRecord(c *Command) (*record, Result) {
	r := s.records[c.Key]
	switch {
	case r == nil || r.attempt != c.Attempt || r.status == statusBegun:
		return nil, Result{Code: CodeIgnored}
	case r.status == statusFinished:
		return nil, replayResult(r)
	default:
		return r, Result{}
	}
}

func (s *State) setLimits(c *Command) Result {
	if c.Limits == nil {
		return Result{Code: CodeInvalid}
	}
	s.limits = c.Limits.withDefaults()
	s.evictAnswers()
	return Result{Code: CodeDone}
}
