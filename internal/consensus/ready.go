package consensus

// Ready is what the owner of a Core must do, in the order of the fields: send
// Early, sync the next three, send Messages, apply Committed.
type Ready struct {
	Early     []Message
	HardState *HardState // nil when unchanged
	Snapshot  *Snapshot  // to be saved and restored; nil when none arrived
	// Entries are to be synced; the first one replaces whatever the log holds
	// from its index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// Err is set when the log broke one of its own rules; the member must stop.
	Err error
}

// HasReady reports whether Ready has anything to do.
func (c *Core) HasReady() bool {
	return c.hardChanged || c.incoming != nil || c.log.stable < c.log.last() ||
		len(c.early)+len(c.messages) > 0 || c.log.applied < c.applicable() || c.failure != nil
}

// applicable is the last index that may be applied: committed, and on this disk.
func (c *Core) applicable() uint64 { return min(c.log.commit, c.log.stable) }

// Ready returns what is to be done now. No other method but Advance may be called
// until it is.
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
		// The term of a new leader's first messages isn't synced yet.
		rd.Messages = append(c.early, rd.Messages...)
	} else {
		rd.Early = c.early
	}
	c.early, c.messages = nil, nil
	return rd
}

// Advance tells that rd is done: synced, sent and applied.
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

// Compacted tells that a snapshot up to and including snap.Index is on disk; the
// log up to keep is dropped from memory.
func (c *Core) Compacted(snap Snapshot, keep uint64) {
	snap.Data = nil
	c.snapshot = snap
	c.log.compact(min(keep, snap.Index))
	for len(c.members) > 1 && c.members[1].index <= snap.Index {
		c.members = c.members[1:]
	}
}

// membersUpTo returns the membership that the log up to index had put in force.
func (c *Core) membersUpTo(index uint64) MemberSet {
	set := MemberSet{}
	for _, m := range c.members {
		if m.index <= index {
			set = m.set
		}
	}
	return set
}

// state returns what the data folder must hold beside the snapshot.
func (c *Core) state() State {
	return State{Hard: c.hard, Base: c.log.base, BaseTerm: c.log.baseTerm, Entries: c.log.entries}
}
