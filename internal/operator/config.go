package operator

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"sync/atomic"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Bounds of a Config.
const (
	// maxOperations is how many operation records are kept to answer retries. A
	// retry of an older operation is treated as a new command.
	maxOperations = 4096
	// maxDeltas and maxDeltaBytes bound the deltas kept for routers that lag.
	maxDeltas     = 512
	maxDeltaBytes = 1 << 20
	// maxFirstDeltas bounds the deltas, in bytes, that a router without any
	// configuration receives in one reply. Beyond it the router receives a full
	// copy, which is read page by page.
	maxFirstDeltas = 16 << 10
)

// ErrSnapshot is returned by Restore for bytes that are not a valid snapshot.
var ErrSnapshot = fleet.Errors.NewType("operator_snapshot")

// Config is the replicated configuration state machine. It is deterministic:
// the same commands in the same order give the same state. Apply and Restore
// must be called from one goroutine; Committed is safe for concurrent use.
//
// It does not validate the lists: the validation rules may differ between
// releases, and members of different releases must not diverge.
type Config struct {
	committed  atomic.Pointer[Committed]
	operations []operationRecord
	byID       map[string]int // index into operations, plus dropped
	dropped    int            // number of records removed from operations
}

// NewConfig returns the empty configuration, version 0.
func NewConfig() *Config {
	c := &Config{byID: make(map[string]int)}
	c.committed.Store(&Committed{})
	return c
}

// Committed returns the configuration in force, which is immutable.
func (c *Config) Committed() *Committed { return c.committed.Load() }

// Apply executes an encoded Command and returns the encoded Answer. The log
// index is unused.
func (c *Config) Apply(_ uint64, command []byte) []byte {
	var cmd Command
	if rest, err := cmd.UnmarshalMsg(command); err != nil || len(rest) > 0 {
		return c.answer(CodeMalformed, "the command cannot be read").encode()
	}
	switch cmd.Kind {
	case KindClaim, KindFinish:
		return c.applyOwnerCommand(cmd).encode()
	case KindRoutes:
		return c.applyRoutes(cmd).encode()
	default:
		return c.applyOperatorCommand(cmd).encode()
	}
}

func (c *Config) answer(code Code, message string) Answer {
	return Answer{Code: code, Version: c.Committed().State.Version, Message: message}
}

// applyOperatorCommand executes an operator's command once per operation ID.
func (c *Config) applyOperatorCommand(cmd Command) Answer {
	if cmd.Operation == "" {
		return c.answer(CodeMalformed, "the command has no operation ID")
	}
	digest := cmd.fingerprint()
	if i, known := c.byID[cmd.Operation]; known {
		first := c.operations[i-c.dropped]
		if !bytes.Equal(first.Digest, digest[:]) {
			return c.answer(CodeOperationReused, "the operation ID belongs to another command")
		}
		return first.Answer
	}
	a := c.execute(cmd)
	c.recordOperation(operationRecord{ID: cmd.Operation, Digest: digest[:], Answer: a})
	return a
}

// fingerprint returns a digest of what the operator sent. It doesn't depend on
// whether the log entry carries the lists or a delta.
func (c Command) fingerprint() [sha256.Size]byte {
	if len(c.Body) > 0 {
		c.Lists, c.Change = nil, nil
	}
	b, _ := c.MarshalMsg(nil)
	return sha256.Sum256(b)
}

func (c *Config) recordOperation(r operationRecord) {
	if len(c.operations) >= maxOperations {
		delete(c.byID, c.operations[0].ID)
		c.operations = c.operations[1:]
		c.dropped++
	}
	c.byID[r.ID] = c.dropped + len(c.operations)
	c.operations = append(c.operations, r)
}

// execute changes the state if the expected version is in force.
func (c *Config) execute(cmd Command) Answer {
	before := c.Committed()
	if !cmd.AnyVersion && cmd.Expect != before.State.Version {
		return c.answer(CodeConflict, "another version is in force")
	}
	state := before.State // a shallow copy: referenced data is replaced, never modified
	delta, code := applyCommand(&state, cmd)
	if code != CodeAccepted {
		return c.answer(code, rejectionMessage(code))
	}
	if delta.rollout() != nil {
		state.Rollouts = rolloutsOf(state.Orders)
	}
	state.Version++
	delta.Version = state.Version
	c.committed.Store(before.withDelta(state, delta))
	return c.answer(CodeAccepted, "")
}

// rejectionMessage returns the message of a rejected command. It becomes part of
// the replicated operation record.
func rejectionMessage(code Code) string {
	if code == CodeBusy {
		return "the upstream has an unfinished order"
	}
	return "the command lacks what its kind needs"
}

// applyOwnerCommand executes a claim or a finish. Both are idempotent without an
// operation record.
func (c *Config) applyOwnerCommand(cmd Command) Answer {
	before := c.Committed()
	state := before.State
	var fencing fleet.FencingNumber
	code := CodeMalformed
	switch {
	case cmd.Kind == KindClaim && cmd.Claim != nil:
		fencing, code = state.claimOrder(*cmd.Claim)
	case cmd.Kind == KindFinish && cmd.Finish != nil:
		fencing, code = cmd.Finish.Fencing, state.finishOrder(*cmd.Finish)
	}
	if code == CodeAccepted {
		c.committed.Store(&Committed{State: state, deltas: before.deltas, deltaBytes: before.deltaBytes})
	}
	a := c.answer(code, "")
	a.Fencing = fencing
	return a
}

// applyRoutes brings a routing table into force. A table whose version is not
// above the one in force is accepted and changes nothing, so that a retry gets
// the same answer. A patch against a table that is not the one in force is a
// conflict; its sender computes a new patch.
func (c *Config) applyRoutes(cmd Command) Answer {
	patch := cmd.Routes
	if patch == nil || patch.Version == 0 {
		return c.answer(CodeMalformed, "the command has no routing table")
	}
	before := c.Committed()
	current := before.State.Routes
	if current != nil && patch.Version <= current.Version() {
		return c.answer(CodeAccepted, "")
	}
	if !patch.AppliesTo(current) {
		return c.answer(CodeConflict, "another routing table is in force")
	}
	doc, err := patch.Apply(current)
	if err != nil {
		return c.answer(CodeMalformed, err.Error())
	}
	state := before.State
	state.Version++
	state.Routes = doc
	c.committed.Store(before.withDelta(state, Delta{Version: state.Version, Routes: patch}))
	return c.answer(CodeAccepted, "")
}

// Snapshot returns the encoded state, including the operation records.
func (c *Config) Snapshot() ([]byte, error) {
	committed := c.Committed()
	s := snapshot{State: committed.State, Deltas: committed.deltas, Operations: c.operations}
	return s.MarshalMsg(nil)
}

// Restore replaces the state by a snapshot. On an error, which is of type
// ErrSnapshot, the state is unchanged.
func (c *Config) Restore(encoded []byte) error {
	var s snapshot
	rest, err := s.UnmarshalMsg(encoded)
	if err != nil {
		return ErrSnapshot.Wrap(err, "decode the configuration snapshot")
	}
	if len(rest) > 0 {
		return ErrSnapshot.New("configuration snapshot has %d trailing bytes", len(rest))
	}
	s.State.Rollouts = rolloutsOf(s.State.Orders) // a member of the previous release leaves them out
	restored := &Committed{State: s.State, deltas: s.Deltas}
	for i := range s.Deltas {
		restored.deltaBytes += deltaSize(&s.Deltas[i])
	}
	c.committed.Store(restored)
	c.operations, c.dropped = nil, 0
	clear(c.byID)
	for _, r := range s.Operations {
		c.recordOperation(r)
	}
	return nil
}

// Committed is the immutable configuration after one applied command.
type Committed struct {
	State      State
	deltas     []Delta
	deltaBytes int
}

// withDelta returns a Committed that holds state and one more delta. It copies the
// slice of deltas because readers may hold the old one.
func (c *Committed) withDelta(state State, delta Delta) *Committed {
	deltas := append(slices.Clip(c.deltas), delta)
	size := c.deltaBytes + deltaSize(&delta)
	for len(deltas) > maxDeltas || size > maxDeltaBytes && len(deltas) > 0 {
		size -= deltaSize(&deltas[0])
		deltas = deltas[1:]
	}
	return &Committed{State: state, deltas: deltas, deltaBytes: size}
}

// deltaSize returns the encoded size of a delta in bytes.
func deltaSize(d *Delta) int {
	b, _ := d.MarshalMsg(nil)
	return len(b)
}

// Fetch returns the update from the given version to the one in force: the
// missing deltas if they are kept, otherwise a full copy. A router without any
// configuration also gets a full copy if the deltas exceed maxFirstDeltas.
func (c *Committed) Fetch(after fleet.ConfigVersion) Update {
	if after >= c.State.Version {
		return Update{}
	}
	missing := c.State.Version - after
	manyChanges := after == 0 && c.deltaBytes > maxFirstDeltas
	if missing > fleet.ConfigVersion(len(c.deltas)) || manyChanges {
		full := c.State
		return Update{Full: &full}
	}
	return Update{Deltas: c.deltas[len(c.deltas)-int(missing):]}
}
