package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// checker looks at a world after each event and keeps the first violation.
type checker struct {
	now       func() time.Duration
	failedAt  time.Duration
	err       error
	leaders   map[uint64]string         // by term
	entries   map[[2]uint64]entryDigest // by index and term
	committed map[uint64]commitment     // by index
	applied   map[uint64]uint64         // digest of the state, by index
	places    map[string]uint64         // index of each applied command
	acked     map[string]bool           // commands that were answered
	refused   map[string]bool           // commands that were certainly not committed
	ackIndex  uint64                    // the last index that was answered
	leased    int                       // instants with a lease, to show that there are any
}

type entryDigest struct {
	data     uint64
	prevTerm uint64
}

// commitment is an entry that some member knows to be committed.
type commitment struct {
	entry entryDigest
	term  uint64 // of the entry
	by    uint64 // term of the leader that committed it
}

func newChecker() *checker {
	return &checker{
		leaders: map[uint64]string{}, entries: map[[2]uint64]entryDigest{}, applied: map[uint64]uint64{}, committed: map[uint64]commitment{},
		places: map[string]uint64{}, acked: map[string]bool{}, refused: map[string]bool{},
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
		c.failedAt = c.now()
	}
}

// leases: no two members hold a lease at the same instant of true time. A frozen
// member holds what it would find on its clock when it wakes up.
func (c *checker) leases(w *world) {
	var holder *simMember
	for _, m := range w.members {
		if m.replica == nil {
			continue
		}
		until, ok := m.replica.core.LeaseUntil()
		if !ok || m.local() >= until {
			continue
		}
		c.leased++
		if holder != nil {
			c.fail("lease overlap at %v: %s and %s", w.now, holder.id, m.id)
		}
		holder = m
	}
}

// member checks one member after each of its events.
func (c *checker) member(m *simMember) {
	core := m.replica.core
	if core.role == RoleLeader && (m.role != RoleLeader || m.term != core.hard.Term) {
		c.elected(m)
	}
	m.role, m.term = core.role, core.hard.Term
	c.logMatching(m)
}

// elected checks election safety and leader completeness.
func (c *checker) elected(m *simMember) {
	core := m.replica.core
	name := fmt.Sprintf("%s/%x", m.id, m.replica.store.id)
	if other, ok := c.leaders[core.hard.Term]; ok && other != name {
		c.fail("election safety: %s and %s lead term %d", other, name, core.hard.Term)
	}
	c.leaders[core.hard.Term] = name
	for index := core.log.base + 1; c.committed[index].term != 0; index++ {
		done := c.committed[index]
		if done.by < core.hard.Term && !core.log.matches(index, done.term) {
			c.fail("leader completeness: %s leads term %d without entry %d of term %d", m.id, core.hard.Term, index, done.term)
		}
	}
}

// logMatching compares the entries that may have changed since the last event with
// those of the same index and term on other members, and the committed ones with
// what others hold to be committed.
func (c *checker) logMatching(m *simMember) {
	l := &m.replica.core.log
	for _, e := range l.slice(m.checked+1, l.last()) {
		d := digest(l, e)
		key := [2]uint64{e.Index, e.Term}
		if other, ok := c.entries[key]; ok && other != d {
			c.fail("log matching: entry %d of term %d differs on %s", e.Index, e.Term, m.id)
		}
		c.entries[key] = d
		if e.Index > l.commit {
			continue
		}
		done, known := c.committed[e.Index]
		if known && (done.entry != d || done.term != e.Term) {
			c.fail("committed entry %d of term %d is of term %d on %s", e.Index, done.term, e.Term, m.id)
		}
		if !known {
			c.committed[e.Index] = commitment{d, e.Term, m.replica.core.hard.Term}
		}
	}
	m.checked = l.commit
}

func digest(l *entryLog, e Entry) entryDigest {
	prev, _ := l.term(e.Index - 1)
	h := fnv.New64a()
	h.Write(e.Data)
	return entryDigest{h.Sum64(), prev}
}

// answered notes how a proposal ended.
func (c *checker) answered(command string, result []byte, err error) {
	var notLeader *NotLeaderError
	var notProposed *NotProposedError
	switch {
	case err == nil:
		c.acked[command] = true
		c.ackIndex = max(c.ackIndex, binary.BigEndian.Uint64(result))
	case errors.As(err, &notLeader), errors.As(err, &notProposed):
		c.refused[command] = true
	}
}

// finish checks what must hold once all is healed.
func (c *checker) finish(w *world) {
	lead := w.leader()
	if lead == nil {
		c.fail("no leader at the end")
		return
	}
	core := lead.replica.core
	if core.log.applied < c.ackIndex {
		c.fail("entry %d was answered; %s has applied %d only", c.ackIndex, lead.id, core.log.applied)
	}
	for _, m := range w.members {
		if m.replica == nil || m.replica.core.log.applied < c.ackIndex {
			c.fail("%s didn't catch up", m.id)
			return
		}
	}
	for command := range c.acked {
		if c.places[command] == 0 {
			c.fail("answered command %s was lost", command)
		}
	}
	for command := range c.refused {
		if c.places[command] != 0 {
			c.fail("command %s was refused and applied at %d", command, c.places[command])
		}
	}
}

// chain is a state machine whose state is a digest of all that it applied.
type chain struct {
	check *checker
	id    MemberID
	sum   uint64
}

func (s *chain) Apply(index uint64, command []byte) []byte {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, s.sum))
	h.Write(binary.BigEndian.AppendUint64(nil, index))
	h.Write(command)
	s.sum = h.Sum64()
	s.check.note(s.id, index, string(command), s.sum)
	return binary.BigEndian.AppendUint64(nil, index)
}

// note checks state-machine safety: every member is in the same state after the
// same index, and no command is applied at two places.
func (c *checker) note(id MemberID, index uint64, command string, sum uint64) {
	if other, ok := c.applied[index]; ok && other != sum {
		c.fail("state-machine safety: %s is in another state after entry %d", id, index)
	}
	if place := c.places[command]; place != 0 && place != index {
		c.fail("command %s applied at %d and %d", command, place, index)
	}
	c.places[command], c.applied[index] = index, sum
}

func (s *chain) Snapshot() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, s.sum), nil }

func (s *chain) Restore(b []byte) error {
	s.sum = binary.BigEndian.Uint64(b)
	return nil
}
