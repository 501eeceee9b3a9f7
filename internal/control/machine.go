package control

import (
	"sync"

	"github.com/tinylib/msgp/msgp"
)

// part is one of the replicated state machines that share the log. Apply must be
// deterministic.
type part interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// partTag is the first byte of every command and selects the part that applies it.
type partTag uint8

// The tags are stored on disk and must not change their meaning.
const (
	tagRoster partTag = 1
	tagConfig partTag = 2
	tagLedger partTag = 3
	tagNote   partTag = 4
)

// stateMachine is the consensus state machine. It dispatches each command to its part.
type stateMachine struct {
	mu      sync.RWMutex
	parts   map[partTag]part
	order   []partTag     // of the parts in a snapshot
	applied func(partTag) // called after a part has applied a command or was restored
}

func newStateMachine(applied func(partTag)) *stateMachine {
	return &stateMachine{parts: make(map[partTag]part), applied: applied}
}

// addPart adds a part. All parts must be added before the first command is applied.
func (m *stateMachine) addPart(tag partTag, p part) {
	m.parts[tag] = p
	m.order = append(m.order, tag)
}

// withReadLock runs f under a read lock, during which no command is applied.
func (m *stateMachine) withReadLock(f func()) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f()
}

// Apply implements consensus.StateMachine. It ignores a command for an unknown
// part, which a later release may have written.
func (m *stateMachine) Apply(index uint64, command []byte) []byte {
	if len(command) == 0 {
		return nil
	}
	tag := partTag(command[0])
	m.mu.Lock()
	p := m.parts[tag]
	var result []byte
	if p != nil {
		result = p.Apply(index, command[1:])
	}
	m.mu.Unlock()
	if p != nil {
		m.applied(tag)
	}
	return result
}

// Snapshot implements consensus.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	buf := msgp.AppendMapHeader(nil, uint32(len(m.order)))
	for _, tag := range m.order {
		state, err := m.parts[tag].Snapshot()
		if err != nil {
			return nil, err
		}
		buf = msgp.AppendUint8(buf, uint8(tag))
		buf = msgp.AppendBytes(buf, state)
	}
	return buf, nil
}

// Restore implements consensus.StateMachine.
func (m *stateMachine) Restore(snapshot []byte) error {
	if err := m.restore(snapshot); err != nil {
		return err
	}
	for _, tag := range m.order {
		m.applied(tag)
	}
	return nil
}

func (m *stateMachine) restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	count, rest, err := msgp.ReadMapHeaderBytes(snapshot)
	if err != nil {
		return errSnapshot.Wrap(err, "decode the snapshot header")
	}
	for range count {
		var tag uint8
		var state []byte
		if tag, rest, err = msgp.ReadUint8Bytes(rest); err != nil {
			return errSnapshot.Wrap(err, "decode the tag of a snapshot part")
		}
		if state, rest, err = msgp.ReadBytesBytes(rest, nil); err != nil {
			return errSnapshot.Wrap(err, "decode snapshot part %d", tag)
		}
		p := m.parts[partTag(tag)]
		if p == nil {
			return errSnapshot.New("snapshot part %d is unknown to this release", tag)
		}
		if err = p.Restore(state); err != nil {
			return errSnapshot.Wrap(err, "restore snapshot part %d", tag)
		}
	}
	return nil
}

// tagged returns a command's log entry: the tag followed by the command.
func tagged(tag partTag, command []byte) []byte {
	return append([]byte{byte(tag)}, command...)
}
