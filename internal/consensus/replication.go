package consensus

import "time"

// handleAppend performs the consistency check of thesis §3.5: it appends the entries
// only if the log matches the entry before them.
func (c *Core) handleAppend(m Message) {
	if c.role == RoleLeader {
		return
	}
	prev, prevTerm, entries := m.Index, m.LogTerm, m.Entries
	if prev < c.log.base { // compacted here, hence committed and identical
		skip := min(c.log.base-prev, uint64(len(entries)))
		if skip < c.log.base-prev {
			c.reply(m, Message{Type: MessageAppendResponse, Index: c.log.commit})
			return
		}
		prev, prevTerm, entries = c.log.base, c.log.baseTerm, entries[skip:]
	}
	if !c.log.matches(prev, prevTerm) {
		c.reply(m, Message{Type: MessageAppendResponse, Reject: true, Index: m.Index, Hint: c.log.matchHint(prev, prevTerm)})
		return
	}
	c.appendEntries(entries)
	last := prev + uint64(len(entries))
	c.commitTo(min(m.Commit, last))
	c.reply(m, Message{Type: MessageAppendResponse, Index: last})
}

// appendEntries appends the new entries and truncates the log at the first conflict.
func (c *Core) appendEntries(entries []Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.commit {
			c.fail(ErrInvariant.New("received entry %d of term %d conflicts with the log, which is committed up to entry %d", e.Index, e.Term, c.log.commit))
			return
		}
		if e.Index <= c.log.last() {
			c.log.truncate(e.Index)
			c.revertMembership(e.Index)
		}
		for _, added := range entries[i:] {
			c.log.append(added)
			c.applyMembership(added)
		}
		return
	}
}

func (c *Core) commitTo(index uint64) {
	c.log.commit = max(c.log.commit, min(index, c.log.last()))
}

func (c *Core) handleHeartbeat(m Message) {
	if c.role == RoleLeader {
		return
	}
	c.commitTo(m.Commit)
	c.reply(m, Message{Type: MessageHeartbeatResponse, Round: m.Round})
}

// sendEntries sends a member the entries after those already in flight, or a snapshot
// if they have been compacted.
func (c *Core) sendEntries(now time.Duration, to Member) {
	p := c.leadership.progress[to.ID]
	for p.next <= c.log.last() && p.next <= p.match+maxInflight {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok {
			c.sendSnapshot(now, to, p)
			return
		}
		entries := c.log.batch(p.next, maxAppendBytes)
		p.probe = p.next - 1
		c.sendEarly(to, Message{
			Type: MessageAppend, Index: p.next - 1, LogTerm: prevTerm,
			Commit: c.log.commit, Entries: entries,
		})
		p.next += uint64(len(entries))
		if p.probing {
			return // one message at a time until the member has confirmed a position
		}
	}
}

func (c *Core) broadcastEntries(now time.Duration) {
	for _, m := range c.membership().Members {
		p := c.leadership.progress[m.ID]
		if m.ID != c.opts.ID && !p.probing {
			c.sendEntries(now, m)
		}
	}
}

func (c *Core) handleAppendResponse(now time.Duration, m Message) {
	p := c.leadership.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.lastActive, p.responded = now, true
	if m.Reject {
		if !p.backtrack(m) {
			return
		}
	} else {
		p.probing, p.stalled = false, false
		p.snapshotSent = 0
		if m.Index > p.match && p.match < c.log.commit {
			c.leadership.commitUnsent = true // the last heartbeat told it only what it had
		}
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		c.advanceCommit()
	}
	c.sendEntries(now, *c.membership().Find(m.From))
	c.continueTransfer(now)
}

// backtrack moves next back towards the last entry on which the logs match (thesis
// §3.5), and reports whether m is a current rejection. A member that rejects an entry
// that it acknowledged has lost synced entries: nothing is resent, so it must be
// replaced.
func (p *progress) backtrack(m Message) bool {
	stale := m.Index >= p.next || (p.probing && m.Index != p.probe)
	if stale || m.Index <= p.match {
		return false
	}
	p.probing = true
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	return true
}

// advanceCommit commits the entries that a majority has synced. By the rule of thesis
// §3.6.2, only an entry of the current term is committed by counting; the entries
// before it are committed with it.
func (c *Core) advanceCommit() {
	index := c.quorumValue(c.log.stable, func(p *progress) uint64 { return p.match })
	if index <= c.log.commit {
		return
	}
	if term, _ := c.log.term(index); term != c.hard.Term {
		return
	}
	c.log.commit, c.leadership.commitUnsent = index, true
}
