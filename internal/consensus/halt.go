package consensus

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// storageRetryInterval is the time between two attempts to open a data directory that had no
	// space left.
	storageRetryInterval = 500 * time.Millisecond
	// testWriteBytes is the size of the test write before the data directory is opened again. It
	// is larger than an ordinary record, so that the member doesn't halt at once again.
	testWriteBytes = 64 << 10
	testWriteFile  = "space" + tempSuffix
)

// isNoSpace reports whether err means that the disk, or the quota on it, has no space left, or that
// a file couldn't be opened for lack of descriptors. These are the only storage failures after which a
// member goes on in place: what it wrote before can be read, and is checked and written anew. Any
// other one may be of a disk that loses data.
func isNoSpace(err error) bool {
	for err != nil {
		for _, scarce := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EMFILE, syscall.ENFILE} {
			if errors.Is(err, scarce) {
				return true
			}
		}
		wrapped := errorx.Cast(err)
		if wrapped == nil {
			return false
		}
		err = wrapped.Cause()
	}
	return false
}

// Halt ends this Core's part in the group for good, because its store can't be written: what it
// holds in memory may not be durable. It gives up its leadership and sends no more messages, and
// only records which leader it hears. It returns a message that makes another voter start an
// election, or nil unless this member led.
func (c *Core) Halt() (transfer *Message) {
	if c.role == RoleLeader {
		transfer = c.transferMessage()
		c.leader = ""
	}
	c.halted, c.heardTerm = true, c.hard.Term
	c.role, c.leadership, c.votes = RoleFollower, leadership{}, nil
	c.early, c.messages, c.incoming, c.assembly = nil, nil, nil, snapshotAssembly{}
	return transfer
}

// transferMessage returns the message of a leadership transfer, or nil if no voter can be asked or
// the term of a new leader isn't synced yet.
func (c *Core) transferMessage() *Message {
	target := c.membership().Find(c.transferTarget())
	if target == nil || c.hardChanged {
		return nil
	}
	m := c.withSender(Message{Type: MessageTimeoutNow, To: target.ID, ToStore: target.Store})
	return &m
}

// observeLeader records the sender of a leader's message while the Core is halted.
func (c *Core) observeLeader(now time.Duration, m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		if m.ToStore == c.opts.Store && m.Term >= c.heardTerm {
			c.heardTerm, c.leader, c.lastLeaderContact = m.Term, m.From, now
		}
	}
}

// forgetSilentLeader forgets the leader that a halted Core hasn't heard for an election timeout.
func (c *Core) forgetSilentLeader(now time.Duration) {
	if now-c.lastLeaderContact >= c.opts.ElectionTimeout {
		c.leader = ""
	}
}

// halt suspends the replica's part in the group until resume has opened the data directory again.
// The lease is withdrawn before another member is asked to start an election, and open calls
// are answered at once.
func (r *replica) halt(now time.Duration, cause error) {
	transfer := r.core.Halt()
	r.storageFailure = cause
	r.core.retryAt = now + storageRetryInterval
	r.store.discardUnsynced()
	r.rewriteLog = r.store.suspect
	r.beforeSend()
	if transfer != nil {
		r.transport.Send(transfer.To, *transfer)
	}
	r.failProposals(cause, func(pendingProposal) bool { return true })
	r.failReads(r.core.notLeaderError())
	r.wasLeader = false
}

// resume opens the data directory again if that is due, and reports whether the replica takes part
// in the group again.
func (r *replica) resume(now time.Duration) (resumed bool, err error) {
	if now < r.core.retryAt {
		return false, nil
	}
	r.core.retryAt = now + storageRetryInterval
	err = r.reopen(now)
	if isNoSpace(err) {
		r.storageFailure = err
		return false, nil
	}
	if err == nil {
		r.storageFailure = nil
	}
	return err == nil, err
}

// reopen opens the data directory once a test write succeeds. It writes the snapshot and the log anew
// after a failed sync, but not after a failed write, so that a member with a long log needs little space.
func (r *replica) reopen(now time.Duration) error {
	if err := testWrite(r.disk); err != nil {
		return err
	}
	s, st, err := reopenStore(r.disk, r.group, r.opts.ID, r.opts.Rand, r.rewriteLog)
	if err != nil {
		r.rewriteLog = true // a sync may have failed
		return err
	}
	if former := r.store.id; former != 0 && former != s.id {
		s.closeLog()
		return &ForeignStoreError{Field: "store ID", Want: fmt.Sprint(former), Found: fmt.Sprint(s.id)}
	}
	return r.continueFrom(now, s, st)
}

// testWrite writes, syncs and removes a file, after it has removed the temporary files that failed
// writes left behind: they would take up the room that they need.
func testWrite(disk Disk) error {
	names, err := disk.List()
	if err != nil {
		return storageError(err, "list", "data directory")
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := disk.Remove(name); err != nil {
				return storageError(err, "remove", name)
			}
		}
	}
	f, err := disk.Create(testWriteFile)
	if err != nil {
		return storageError(err, "create", testWriteFile)
	}
	defer f.Close()
	if err := writeSynced(f, make([]byte, testWriteBytes)); err != nil {
		return storageError(err, "write", testWriteFile)
	}
	return storageError(disk.Remove(testWriteFile), "remove", testWriteFile)
}
