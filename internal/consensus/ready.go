package consensus

// Ready is the output of a Core. The caller processes it in the order of the fields:
// send Early, sync HardState, Snapshot and Entries, send Messages, apply Committed.
type Ready struct {
	Early     []Message  // may be sent before the sync
	HardState *HardState // nil when unchanged
	Snapshot  *Snapshot  // received, to be saved and restored; nil if none
	// Entries must be synced; they replace the log from the first one's index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// Err is set if an invariant of the log was violated; the member must stop.
	Err error
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.hardChanged || c.incoming != nil || c.log.stable < c.log.last() ||
		len(c.early)+len(c.messages) > 0 || c.log.applied < c.applicable() || c.failure != nil
}

// applicable returns the last index that may be applied: committed and synced.
func (c *Core) applicable() uint64 { return min(c.log.commit, c.log.stable) }

// Ready returns the pending work. Until it is processed, no method other than
// Advance may be called.
func (c *Core) Ready() Ready {
	rd := Ready{
		Snapshot:  c.incoming,
		Entries:   c.log.slice(c.log.stable+1, c.log.last()),
		Messages:  c.messages,
		Committed: c.log.slice(c.log.applied+1, c.applicable()),
		Err:       c.failure,
	}
	if c.hardChanged {
		hs := c.hard
		rd.HardState = &hs
		// A new leader's term isn't synced yet, so its messages must wait for the sync.
		rd.Messages = append(c.early, rd.Messages...)
	} else {
		rd.Early = c.early
	}
	c.early, c.messages = nil, nil
	return rd
}

// Advance records that rd has been processed: synced, sent and applied.
func (c *Core) Advance(rd Ready) {
	if rd.HardState != nil {
		c.hardChanged = false
	}
	if rd.Snapshot != nil {
		c.incoming = nil
	}
	if n := len(rd.Entries); n > 0 {
		c.log.stable = rd.Entries[n-1].Index
	}
	if n := len(rd.Committed); n > 0 {
		c.log.applied = rd.Committed[n-1].Index
	}
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// RecordSnapshot records the newest snapshot, which covers the log up to and including
// snap.Index, and drops the entries up to and including dropUpTo from memory.
func (c *Core) RecordSnapshot(snap Snapshot, dropUpTo uint64) {
	snap.Data = nil
	c.snapshot = snap
	c.log.compact(min(dropUpTo, snap.Index))
	for len(c.members) > 1 && c.members[1].index <= snap.Index {
		c.members = c.members[1:]
	}
}

// membersUpTo returns the membership that the log up to index puts in force.
func (c *Core) membersUpTo(index uint64) MemberSet {
	set := MemberSet{}
	for _, m := range c.members {
		if m.index <= index {
			set = m.set
		}
	}
	return set
}

// state returns the persistent state other than the snapshot.
func (c *Core) state() State {
	return State{Hard: c.hard, Base: c.log.base, BaseTerm: c.log.baseTerm, Entries: c.log.entries}
}
