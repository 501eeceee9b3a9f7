package ledger

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

//go:generate go tool msgp -tests=false -io=false -unexported -file snapshot.go

// snapshot is the encoded form of a State. Records of the same status are in the order
// of their queue.
//
//msgp:tuple snapshot
type snapshot struct {
	Format   uint8
	Now      time.Duration
	Applied  uint64
	Limits   Limits
	Records  []savedRecord
	Attempts []savedAttempt // tombstones of ended attempts
	Sessions []savedSession // tombstones of ended tenures
}

// snapshotFormat is the version of the snapshot's layout.
const snapshotFormat = 1

//msgp:tuple savedRecord
type savedRecord struct {
	Key     Key
	Body    BodyDigest
	Attempt answer.AttemptID
	Owner   fleet.InstanceID
	Boot    fleet.BootID
	Tenure  uint64
	Answer  []byte
	Since   time.Duration
	Status  uint8
}

//msgp:tuple savedAttempt
type savedAttempt struct {
	Attempt answer.AttemptID
	Until   time.Duration
}

//msgp:tuple savedSession
type savedSession struct {
	Owner  fleet.InstanceID
	Boot   fleet.BootID
	Tenure uint64
	Until  time.Duration
}

// Snapshot returns the complete encoded state, including records of every status.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshot{Format: snapshotFormat, Now: s.now, Applied: s.applied, Limits: s.limits}
	out.Records = make([]savedRecord, 0, len(s.records))
	for i := range s.queues {
		if status(i) == statusBegun && s.fault == stateFaultSnapshotDropsBegun {
			continue
		}
		for r := s.queues[i].front; r != nil; r = r.next {
			out.Records = append(out.Records, r.toSavedRecord())
		}
	}
	for _, attempt := range s.endedAttempts.order {
		out.Attempts = append(out.Attempts, savedAttempt{attempt, s.endedAttempts.entries[attempt].until})
	}
	for _, owner := range s.endedTenures.order {
		ended := s.endedTenures.entries[owner]
		out.Sessions = append(out.Sessions, savedSession{owner.owner, owner.boot, ended.value, ended.until})
	}
	data, err := out.MarshalMsg(nil)
	if err != nil {
		return nil, ErrBadSnapshot.Wrap(err, "encode the ledger snapshot")
	}
	return data, nil
}

func (r *record) toSavedRecord() savedRecord {
	return savedRecord{
		Key: r.key, Body: r.body, Attempt: r.attempt, Owner: r.owner.owner, Boot: r.owner.boot, Tenure: r.tenure,
		Answer: r.answer, Since: r.since, Status: uint8(r.status),
	}
}

// Restore replaces the state by a snapshot. If it returns an error, which is of type
// ErrBadSnapshot, the state is unchanged.
func (s *State) Restore(data []byte) error {
	var in snapshot
	if _, err := in.UnmarshalMsg(data); err != nil {
		return ErrBadSnapshot.Wrap(err, "decode the ledger snapshot")
	}
	if in.Format != snapshotFormat {
		return ErrBadSnapshot.New("the ledger snapshot has format %d, want %d", in.Format, snapshotFormat)
	}
	out := NewState()
	out.fault = s.fault
	out.now, out.applied, out.limits = in.Now, in.Applied, in.Limits
	for i := range in.Records {
		if err := out.restoreRecord(&in.Records[i]); err != nil {
			return err
		}
	}
	for _, a := range in.Attempts {
		out.endedAttempts.add(a.Attempt, a.Until, 0)
	}
	for _, g := range in.Sessions {
		out.endedTenures.add(processID{g.Owner, g.Boot}, g.Until, g.Tenure)
	}
	*s = *out
	return nil
}

func (s *State) restoreRecord(in *savedRecord) error {
	if in.Status >= uint8(statuses) || s.records[in.Key] != nil {
		return ErrBadSnapshot.New("record of key %s in the ledger snapshot has status %d, want less than %d, or is a duplicate", in.Key, in.Status, statuses)
	}
	r := &record{
		key: in.Key, body: in.Body, attempt: in.Attempt, owner: processID{in.Owner, in.Boot}, tenure: in.Tenure,
		since: in.Since, status: status(in.Status),
	}
	s.records[in.Key] = r
	s.queues[r.status].push(r)
	if len(in.Answer) > 0 {
		r.answer = in.Answer
		s.answerBytes += len(r.answer)
	}
	if r.answer != nil && s.oldestAnswer == nil {
		s.oldestAnswer = r
	}
	return nil
}
