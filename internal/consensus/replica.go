package consensus

import (
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// StateMachine applies the commands of the log. Apply must be deterministic; it is
// called once for every committed command, in log order, from one goroutine.
type StateMachine interface {
	// Apply executes a command and returns the result for its proposer.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot returned.
	Restore(snapshot []byte) error
}

// Transport sends a message to a member. It never blocks and may drop messages.
type Transport interface {
	Send(to MemberID, m Message)
}

// DefaultSnapshotThreshold is the number of entries applied between two snapshots.
const DefaultSnapshotThreshold = 4096

// replica connects a Core to a store, a state machine and a transport. It isn't safe
// for concurrent use.
type replica struct {
	disk              Disk
	group             string
	opts              Options
	core              *Core
	store             *store
	storageFailure    error         // why the core is halted; nil while it isn't
	snapshotRetryAt   time.Duration // no snapshot is written before, after one had no space
	rewriteLog        bool          // write the log anew when the data directory is opened again
	machine           StateMachine
	applied           uint64 // last index that the state machine has applied or restored
	transport         Transport
	snapshotThreshold uint64                     // entries applied between two snapshots
	snapshotLogBytes  int                        // of entries in memory at which a snapshot is taken
	chunkBytes        int                        // snapshot bytes in one message
	pending           map[uint64]pendingProposal // by index
	reads             []pendingRead
	beforeSend        func() // called before the messages of a Ready are sent
	wasLeader         bool   // at the last call of failLostProposals
	formerTerm        uint64 // term at the last call of failLostProposals
}

type pendingProposal struct {
	term uint64
	done func(result []byte, err error)
}

type pendingRead struct {
	index uint64
	round uint64 // heartbeat round that a majority must answer first; 0 if none
	term  uint64
	done  func(error)
}

// openReplica opens the data directory and restores the state machine from it. If the directory
// has no space left, the replica is halted until it has.
func openReplica(now time.Duration, disk Disk, group string, opts Options, machine StateMachine, t Transport) (*replica, error) {
	r := &replica{
		disk: disk, group: group, opts: opts, machine: machine, transport: t,
		snapshotThreshold: DefaultSnapshotThreshold, chunkBytes: snapshotChunkBytes, snapshotLogBytes: snapshotLogBytes,
		pending: map[uint64]pendingProposal{}, beforeSend: func() {},
	}
	s, st, err := openStore(disk, group, opts.ID, opts.Rand)
	switch {
	case err == nil:
		return r, r.continueFrom(now, s, st)
	case isNoSpace(err):
		r.store, r.core = &store{disk: disk, suspect: true}, NewCore(now, Options{ID: opts.ID, Rand: opts.Rand}, State{})
		r.halt(now, err)
		return r, nil
	default:
		return nil, err
	}
}

// continueFrom goes on as a follower with an opened store. The state machine keeps what it has
// applied: only synced entries are, so the store must hold them.
func (r *replica) continueFrom(now time.Duration, s *store, st State) error {
	s.noSync = r.opts.faults.skipSync
	if st.Snapshot.Index > r.applied {
		snap, err := s.readSnapshot()
		if err != nil {
			return err
		}
		if err := r.restore(snap); err != nil {
			return err
		}
	}
	opts := r.opts
	opts.Store = s.id
	core := NewCore(now, opts, st)
	if last := core.log.last(); last < r.applied {
		return &CorruptError{File: s.logName, Reason: fmt.Sprintf("entry %d was applied, but the log ends at entry %d", r.applied, last)}
	}
	core.log.commit, core.log.applied = r.applied, r.applied
	r.store, r.core = s, core
	return nil
}

// propose appends a command and calls done once with its result.
func (r *replica) propose(now time.Duration, command []byte, done func([]byte, error)) {
	index, term, err := r.core.Propose(now, command)
	r.registerProposal(index, term, err, done)
}

// proposeChange proposes a membership change and calls done once.
func (r *replica) proposeChange(now time.Duration, ch Change, done func([]byte, error)) {
	index, term, err := r.core.ProposeChange(now, ch)
	r.registerProposal(index, term, err, done)
}

// registerProposal stores done until the outcome of the entry at index is known. If err
// is set, nothing was appended, and done is called with it immediately.
func (r *replica) registerProposal(index, term uint64, err error, done func([]byte, error)) {
	if err != nil {
		done(nil, err)
		return
	}
	r.pending[index] = pendingProposal{term, done}
}

// registerRead calls done once every command that was committed before the call is applied,
// or with an error if this member isn't the leader.
func (r *replica) registerRead(now time.Duration, done func(error)) {
	index, round, err := r.core.ReadPoint(now)
	if err != nil {
		done(err)
		return
	}
	r.reads = append(r.reads, pendingRead{index, round, r.core.hard.Term, done})
}

// processReady handles every Ready of the core, compacts the log, and completes proposals
// and reads.
//
// If the data directory has no space left, it halts the replica, and later calls open the
// directory again.
func (r *replica) processReady(now time.Duration) error {
	if r.storageFailure != nil {
		if resumed, err := r.resume(now); !resumed {
			return err
		}
	}
	err := r.processOutput(now)
	if isNoSpace(err) {
		r.halt(now, err)
		return nil
	}
	return err
}

func (r *replica) processOutput(now time.Duration) error {
	r.core.Flush(now)
	for r.core.HasReady() {
		if err := r.handleReady(r.core.Ready()); err != nil {
			return err
		}
	}
	if err := r.compactIfDue(now); err != nil {
		return err
	}
	r.failLostProposals()
	r.completeReads()
	return nil
}

// handleReady processes rd in the order that Ready requires.
func (r *replica) handleReady(rd Ready) error {
	if rd.Err != nil {
		return rd.Err
	}
	r.beforeSend()
	if err := r.send(rd.Early); err != nil {
		return err
	}
	if err := r.persist(rd); err != nil {
		return err
	}
	if err := r.send(rd.Messages); err != nil {
		return err
	}
	for _, e := range rd.Committed {
		r.applyEntry(e)
	}
	r.core.Advance(rd)
	return nil
}

func (r *replica) persist(rd Ready) error {
	if rd.Snapshot == nil {
		return r.store.Save(rd.HardState, rd.Entries)
	}
	if err := r.store.SaveSnapshot(*rd.Snapshot, r.core.state()); err != nil {
		return err
	}
	return r.restore(*rd.Snapshot)
}

// restore replaces the state of the state machine by a snapshot that is on disk.
func (r *replica) restore(snap Snapshot) error {
	if err := r.machine.Restore(snap.Data); err != nil {
		return ErrStorage.Wrap(err, "restore snapshot %d", snap.Index)
	}
	r.applied = snap.Index
	return nil
}

func (r *replica) send(messages []Message) error {
	for _, m := range messages {
		if m.Type != MessageSnapshot {
			r.transport.Send(m.To, m)
			continue
		}
		snap, err := r.store.readSnapshot()
		if err != nil {
			return err
		}
		for _, chunk := range splitSnapshot(m, snap, r.chunkBytes) {
			r.transport.Send(m.To, chunk)
		}
	}
	return nil
}

// applyEntry applies a committed entry and completes the proposal at its index, if any.
func (r *replica) applyEntry(e Entry) {
	var result []byte
	if e.Kind == EntryCommand {
		result = r.machine.Apply(e.Index, e.Data)
	}
	r.applied = e.Index
	p, ok := r.pending[e.Index]
	if !ok {
		return
	}
	delete(r.pending, e.Index)
	if p.term != e.Term { // another entry has this index: the proposal never commits
		p.done(nil, r.core.notLeaderError())
		return
	}
	p.done(result, nil)
}

// compactIfDue takes a snapshot once enough entries, or enough bytes, were applied since
// the last one. The newest entries stay in the log for members that are slightly
// behind.
//
// If there is no space for it, the member goes on without one, since its log is whole, and tries
// again after storageRetryInterval.
func (r *replica) compactIfDue(now time.Duration) error {
	if now < r.snapshotRetryAt {
		return nil
	}
	applied := r.core.log.applied
	fresh := applied - r.core.snapshot.Index
	if fresh < r.snapshotThreshold && (fresh == 0 || r.core.log.bytes < r.snapshotLogBytes) {
		return nil
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		return ErrStorage.Wrap(err, "snapshot at %d", applied)
	}
	term, _ := r.core.log.term(applied)
	snap := Snapshot{Index: applied, Term: term, Members: r.core.membersUpTo(applied), Data: data}
	former := r.store.snapshot
	if err := r.store.addSnapshot(snap); err != nil {
		if isNoSpace(err) && !r.store.suspect {
			r.snapshotRetryAt = now + storageRetryInterval
			return nil
		}
		return err
	}
	r.core.RecordSnapshot(snap, r.core.log.tailStart(applied, r.snapshotThreshold/2, r.snapshotLogBytes/4))
	return r.store.startAfterSnapshot(former, r.core.state())
}

// failLostProposals fails the pending proposals of a leadership that has ended.
func (r *replica) failLostProposals() {
	leads, term := r.core.role == RoleLeader, r.core.hard.Term
	if r.wasLeader && (!leads || term != r.formerTerm) {
		cause := errorx.IllegalState.New("this member lost the leadership of term %d", r.formerTerm)
		r.failProposals(cause, func(p pendingProposal) bool { return !leads || p.term != term })
	}
	r.wasLeader, r.formerTerm = leads, term
}

// failProposals fails the chosen proposals with an *UnknownOutcomeError.
func (r *replica) failProposals(cause error, chosen func(pendingProposal) bool) {
	for index, p := range r.pending {
		if chosen(p) {
			delete(r.pending, index)
			p.done(nil, &UnknownOutcomeError{Index: index, Term: p.term, Cause: cause})
		}
	}
}

// completeReads completes the reads whose heartbeat round a majority has answered
// and whose index is applied, and fails those of a lost leadership.
func (r *replica) completeReads() {
	if len(r.reads) == 0 {
		return
	}
	leads, term := r.core.role == RoleLeader, r.core.hard.Term
	round, applied := r.core.QuorumRound(), r.core.log.applied
	open := r.reads[:0]
	for _, read := range r.reads {
		switch {
		case !leads || read.term != term:
			read.done(r.core.notLeaderError())
		case read.round <= round && read.index <= applied:
			read.done(nil)
		default:
			open = append(open, read)
		}
	}
	clear(r.reads[len(open):])
	r.reads = open
}

// stop fails pending proposals and reads with cause and closes the store.
func (r *replica) stop(cause error) error {
	r.failProposals(cause, func(pendingProposal) bool { return true })
	r.failReads(cause)
	return r.store.Close()
}

func (r *replica) failReads(cause error) {
	for _, read := range r.reads {
		read.done(cause)
	}
	r.reads = nil
}
