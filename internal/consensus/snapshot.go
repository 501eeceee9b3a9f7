package consensus

import "time"

const (
	// snapshotChunkBytes is the most data that one message of a snapshot carries.
	snapshotChunkBytes = 256 << 10
	// snapshotInterval is the time before a snapshot that got no acknowledgement
	// is sent once more.
	snapshotInterval = 3 * time.Second
)

// assembly collects the chunks of one snapshot from one sender. Chunks may come
// in any order and more than once.
type assembly struct {
	index   uint64
	from    StoreID
	data    []byte
	missing int
	have    map[uint64]bool // by offset
}

// add takes a chunk in and reports whether the snapshot is whole. A chunk of
// another snapshot starts over.
func (a *assembly) add(from StoreID, chunk *SnapshotChunk) bool {
	if a.have == nil || a.index != chunk.Index || a.from != from || len(a.data) != int(chunk.Size) {
		*a = assembly{index: chunk.Index, from: from, have: map[uint64]bool{}}
		a.data = make([]byte, chunk.Size)
		a.missing = int(chunk.Size)
	}
	if end := chunk.Offset + uint64(len(chunk.Data)); end > chunk.Size || a.have[chunk.Offset] {
		return false
	}
	a.have[chunk.Offset] = true
	a.missing -= copy(a.data[chunk.Offset:], chunk.Data)
	return a.missing == 0
}

// chunks cuts a snapshot into messages like m. An empty one is one chunk, too.
func chunks(m Message, snap Snapshot, size int) []Message {
	var messages []Message
	for offset := 0; offset == 0 || offset < len(snap.Data); offset += size {
		end := min(offset+size, len(snap.Data))
		m.Chunk = &SnapshotChunk{
			Index: snap.Index, Term: snap.Term, Members: snap.Members,
			Size: uint64(len(snap.Data)), Offset: uint64(offset), Data: snap.Data[offset:end],
		}
		messages = append(messages, m)
	}
	return messages
}

// sendSnapshot asks the owner to send the newest snapshot on disk.
func (c *Core) sendSnapshot(now time.Duration, to Member, p *progress) {
	if p.snapshotSent != 0 && now-p.snapshotSent < snapshotInterval {
		return
	}
	p.snapshotSent = max(now, 1)
	c.sendEarly(to, Message{Type: MessageSnapshot})
}

// handleSnapshot takes a chunk of a snapshot that goes beyond the committed log.
func (c *Core) handleSnapshot(m Message) {
	if c.role == RoleLeader || m.Chunk == nil {
		return
	}
	if m.Chunk.Index <= c.log.commit {
		c.assembly = assembly{}
		c.reply(m, Message{Type: MessageAppendResponse, Index: c.log.commit})
		return
	}
	if !c.assembly.add(m.FromStore, m.Chunk) {
		return
	}
	chunk := m.Chunk
	c.install(Snapshot{Index: chunk.Index, Term: chunk.Term, Members: chunk.Members, Data: c.assembly.data})
	c.assembly = assembly{}
	c.reply(m, Message{Type: MessageAppendResponse, Index: chunk.Index})
}

// install replaces the log up to the snapshot. What follows stays when the log
// agrees with the snapshot.
func (c *Core) install(s Snapshot) {
	keeps := c.log.matches(s.Index, s.Term)
	c.log.restore(s.Index, s.Term)
	members := []membersAt{{s.Index, s.Members}}
	for _, m := range c.members {
		if keeps && m.index > s.Index {
			members = append(members, m)
		}
	}
	c.members = members
	c.incoming = &s
	c.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
}
