package consensus

import "time"

// handleAppend is the consistency check of thesis §3.5: entries are taken only
// when the log agrees on the entry before them.
func (c *Core) handleAppend(m Message) {
	if c.role == RoleLeader {
		return
	}
	prev, prevTerm, entries := m.Index, m.LogTerm, m.Entries
	if prev < c.log.base { // compacted here, hence committed and equal
		skip := min(c.log.base-prev, uint64(len(entries)))
		if skip < c.log.base-prev {
			c.reply(m, Message{Type: MessageAppendResponse, Index: c.log.commit})
			return
		}
		prev, prevTerm, entries = c.log.base, c.log.baseTerm, entries[skip:]
	}
	if !c.log.matches(prev, prevTerm) {
		c.reply(m, Message{Type: MessageAppendResponse, Reject: true, Index: m.Index, Hint: c.log.hint(prev, prevTerm)})
		return
	}
	c.takeEntries(entries)
	last := prev + uint64(len(entries))
	c.commitTo(min(m.Commit, last))
	c.reply(m, Message{Type: MessageAppendResponse, Index: last})
}

// takeEntries appends what is new and drops whatever conflicts with it.
func (c *Core) takeEntries(entries []Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.commit {
			c.fail(ErrInvariant.New("entry %d of term %d conflicts with a committed one", e.Index, e.Term))
			return
		}
		if e.Index <= c.log.last() {
			c.log.truncate(e.Index)
			c.forgetMembers(e.Index)
		}
		for _, added := range entries[i:] {
			c.log.append(added)
			c.noteMembers(added)
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

// sendEntries sends a member what follows the entries already on their way.
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
			return // one message until the member has agreed on a position
		}
	}
}

func (c *Core) broadcastEntries(now time.Duration) {
	for _, m := range c.current().Members {
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
	p.lastActive, p.heard = now, true
	if m.Reject {
		if !p.stepBack(m) {
			return
		}
	} else {
		p.probing, p.stalled = false, false
		p.snapshotSent = 0
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		c.advanceCommit()
	}
	c.sendEntries(now, *c.current().Find(m.From))
	c.continueTransfer(now)
}

// stepBack looks for the last entry that the member agrees on (thesis §3.5), and
// reports whether m says anything new. A member that rejects what it acknowledged
// has lost synced entries: it gets no answer, so that it must be replaced.
func (p *progress) stepBack(m Message) bool {
	stale := m.Index >= p.next || (p.probing && m.Index != p.probe)
	if stale || m.Index <= p.match {
		return false
	}
	p.probing = true
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	return true
}

// advanceCommit commits what a majority has synced, by the term rule of thesis
// §3.6.2: only an entry of the current term is counted, earlier ones follow.
func (c *Core) advanceCommit() {
	index := c.quorumValue(c.log.stable, func(p *progress) uint64 { return p.match })
	if index <= c.log.commit {
		return
	}
	if term, _ := c.log.term(index); term != c.hard.Term {
		return
	}
	c.log.commit = index
}
