package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// checker checks a simulation after each event and keeps the first violation.
type checker struct {
	now       func() time.Duration
	failedAt  time.Duration
	err       error
	leaders   map[uint64]string         // by term
	entries   map[[2]uint64]entryDigest // by index and term
	committed map[uint64]commitment     // by index
	applied   map[uint64]uint64         // digest of the state after each index
	appliedAt map[string]uint64         // index at which each command was applied
	acked     map[string]bool           // commands that were acknowledged
	rejected  map[string]bool           // commands that are certainly not committed
	ackIndex  uint64                    // highest acknowledged index
	leased    int                       // checks that found a lease, to show that there were any
}

type entryDigest struct {
	data     uint64
	prevTerm uint64
}

// commitment is an entry that some member has committed.
type commitment struct {
	entry         entryDigest
	term          uint64 // of the entry
	committerTerm uint64 // term of the first member that committed the entry, at that time
}

func newChecker() *checker {
	return &checker{
		leaders: map[uint64]string{}, entries: map[[2]uint64]entryDigest{}, applied: map[uint64]uint64{}, committed: map[uint64]commitment{},
		appliedAt: map[string]uint64{}, acked: map[string]bool{}, rejected: map[string]bool{},
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
		c.failedAt = c.now()
	}
}

// checkLeases checks that no two members hold a lease at the same instant of true
// time. A frozen member counts too: its lease is valid if it wakes up now.
func (c *checker) checkLeases(sim *simulation) {
	var holder *simMember
	for _, m := range sim.members {
		if m.replica == nil {
			continue
		}
		until, ok := m.replica.core.LeaseUntil()
		if !ok || m.localTime() >= until {
			continue
		}
		c.leased++
		if holder != nil {
			c.fail("lease overlap at %v: %s and %s", sim.now, holder.id, m.id)
		}
		holder = m
	}
}

// checkMember checks one member after each of its events.
func (c *checker) checkMember(m *simMember) {
	core := m.replica.core
	if core.role == RoleLeader && (m.role != RoleLeader || m.term != core.hard.Term) {
		c.checkElection(m)
	}
	m.role, m.term = core.role, core.hard.Term
	c.checkLog(m)
}

// checkElection checks election safety and leader completeness of a new leader.
func (c *checker) checkElection(m *simMember) {
	core := m.replica.core
	name := fmt.Sprintf("%s/%x", m.id, m.replica.store.id)
	if other, ok := c.leaders[core.hard.Term]; ok && other != name {
		c.fail("election safety: %s and %s lead term %d", other, name, core.hard.Term)
	}
	c.leaders[core.hard.Term] = name
	for index := core.log.base + 1; c.committed[index].term != 0; index++ {
		done := c.committed[index]
		if done.committerTerm < core.hard.Term && !core.log.matches(index, done.term) {
			c.fail("leader completeness: %s leads term %d without entry %d of term %d", m.id, core.hard.Term, index, done.term)
		}
	}
}

// checkLog compares the entries that may have changed since the last event with those
// of the same index and term on other members, and the committed ones with those that
// other members committed.
func (c *checker) checkLog(m *simMember) {
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
			c.fail("committed entry %d of term %d differs, or is of term %d, on %s", e.Index, done.term, e.Term, m.id)
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

// recordOutcome records the outcome of a proposal.
func (c *checker) recordOutcome(command string, result []byte, err error) {
	var notLeader *NotLeaderError
	var notProposed *NotProposedError
	switch {
	case err == nil:
		c.acked[command] = true
		c.ackIndex = max(c.ackIndex, binary.BigEndian.Uint64(result))
	case errors.As(err, &notLeader), errors.As(err, &notProposed):
		c.rejected[command] = true
	}
}

// checkFinal checks the state after all faults have ended.
func (c *checker) checkFinal(sim *simulation) {
	lead := sim.leader()
	if lead == nil {
		c.fail("no leader at the end of the simulation")
		return
	}
	core := lead.replica.core
	if core.log.applied < c.ackIndex {
		c.fail("entry %d was acknowledged, but leader %s has applied only up to %d", c.ackIndex, lead.id, core.log.applied)
	}
	for _, m := range sim.members {
		if m.replica == nil || m.replica.core.log.applied < c.ackIndex {
			c.fail("%s hasn't applied every acknowledged entry at the end of the simulation", m.id)
			return
		}
	}
	for command := range c.acked {
		if c.appliedAt[command] == 0 {
			c.fail("acknowledged command %s was lost", command)
		}
	}
	for command := range c.rejected {
		if c.appliedAt[command] != 0 {
			c.fail("command %s was rejected but applied at %d", command, c.appliedAt[command])
		}
	}
}

// hashChain is a state machine whose state is a digest of all applied commands.
type hashChain struct {
	check *checker
	id    MemberID
	sum   uint64
}

func (s *hashChain) Apply(index uint64, command []byte) []byte {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, s.sum))
	h.Write(binary.BigEndian.AppendUint64(nil, index))
	h.Write(command)
	s.sum = h.Sum64()
	s.check.recordApplied(s.id, index, string(command), s.sum)
	return binary.BigEndian.AppendUint64(nil, index)
}

// recordApplied checks state-machine safety: every member has the same state after
// the same index, and no command is applied at two indexes.
func (c *checker) recordApplied(id MemberID, index uint64, command string, sum uint64) {
	if other, ok := c.applied[index]; ok && other != sum {
		c.fail("state-machine safety: the state of %s after entry %d differs from other members", id, index)
	}
	if previous := c.appliedAt[command]; previous != 0 && previous != index {
		c.fail("command %s applied at %d and %d", command, previous, index)
	}
	c.appliedAt[command], c.applied[index] = index, sum
}

func (s *hashChain) Snapshot() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, s.sum), nil }

func (s *hashChain) Restore(b []byte) error {
	s.sum = binary.BigEndian.Uint64(b)
	return nil
}
