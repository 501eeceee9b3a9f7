package consensus

import "time"

const (
	// snapshotChunkBytes is the maximum amount of snapshot data in one message.
	snapshotChunkBytes = 256 << 10
	// snapshotResendInterval is the time after which an unacknowledged snapshot is sent
	// again.
	snapshotResendInterval = 3 * time.Second
)

// snapshotAssembly collects the chunks of one snapshot from one sender. Chunks may arrive in
// any order and more than once. It holds no more memory than has been received, whatever size the
// chunks claim.
type snapshotAssembly struct {
	index    uint64
	from     StoreID
	size     uint64
	missing  uint64
	received map[uint64][]byte // by offset
}

// addChunk stores a chunk and reports whether the snapshot is complete. A chunk of another
// snapshot discards the chunks collected so far. A malformed one is dropped.
func (a *snapshotAssembly) addChunk(from StoreID, chunk *SnapshotChunk) bool {
	if chunk.Offset > chunk.Size || uint64(len(chunk.Data)) > chunk.Size-chunk.Offset {
		return false
	}
	if a.received == nil || a.index != chunk.Index || a.from != from || a.size != chunk.Size {
		*a = snapshotAssembly{index: chunk.Index, from: from, size: chunk.Size, missing: chunk.Size, received: map[uint64][]byte{}}
	}
	if _, ok := a.received[chunk.Offset]; ok || uint64(len(chunk.Data)) > a.missing {
		return false
	}
	a.received[chunk.Offset] = chunk.Data
	a.missing -= uint64(len(chunk.Data))
	return a.missing == 0
}

// data returns a complete snapshot.
func (a *snapshotAssembly) data() []byte {
	data := make([]byte, a.size)
	for offset, chunk := range a.received {
		copy(data[offset:], chunk)
	}
	return data
}

// splitSnapshot splits a snapshot into copies of m with up to size bytes each. An empty
// snapshot is one chunk.
func splitSnapshot(m Message, snap Snapshot, size int) []Message {
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

// sendSnapshot queues a message that replica.send replaces by the chunks of the newest
// snapshot on disk.
func (c *Core) sendSnapshot(now time.Duration, to Member, p *progress) {
	if p.snapshotSent != 0 && now-p.snapshotSent < snapshotResendInterval {
		return
	}
	p.snapshotSent = max(now, 1)
	c.sendEarly(to, Message{Type: MessageSnapshot})
}

// handleSnapshot collects the chunks of a snapshot beyond the committed log and
// installs it once it is complete.
func (c *Core) handleSnapshot(m Message) {
	if c.role == RoleLeader || m.Chunk == nil {
		return
	}
	if m.Chunk.Index <= c.log.commit {
		c.assembly = snapshotAssembly{}
		c.reply(m, Message{Type: MessageAppendResponse, Index: c.log.commit})
		return
	}
	if !c.assembly.addChunk(m.FromStore, m.Chunk) {
		return
	}
	chunk := m.Chunk
	c.installSnapshot(Snapshot{Index: chunk.Index, Term: chunk.Term, Members: chunk.Members, Data: c.assembly.data()})
	c.assembly = snapshotAssembly{}
	c.reply(m, Message{Type: MessageAppendResponse, Index: chunk.Index})
}

// installSnapshot replaces the log up to the snapshot. Later entries are kept if the log
// matches the snapshot.
func (c *Core) installSnapshot(s Snapshot) {
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
