package session

import (
	"cmp"
	"slices"
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// ErrSnapshot is returned by Restore if the bytes are not a valid snapshot.
var ErrSnapshot = fleet.Errors.NewType("session_snapshot")

// Roster is the replicated membership. It is deterministic: the same commands in the
// same order produce the same state. It is not safe for concurrent use, but the
// memberships and changes that it returns are never modified afterwards.
type Roster struct {
	state   rosterState
	history int
}

// NewRoster returns an empty membership at epoch 0.
func NewRoster(settings Settings) *Roster {
	return &Roster{history: settings.withDefaults().History}
}

// Apply executes an encoded Command and returns the encoded Result.
func (r *Roster) Apply(_ uint64, command []byte) []byte {
	var cmd Command
	if rest, err := cmd.UnmarshalMsg(command); err != nil || len(rest) > 0 {
		return encodeResult(Result{Epoch: r.state.Membership.Epoch, Malformed: true})
	}
	rejected := r.execute(cmd)
	return encodeResult(Result{Epoch: r.state.Membership.Epoch, Refused: rejected})
}

// encodeResult encodes a Result. It ignores the error: msgp fails only on types that
// a Result does not contain.
func encodeResult(res Result) []byte {
	b, _ := res.MarshalMsg(nil)
	return b
}

// execute applies the ops of a command and returns the number of rejected joins.
func (r *Roster) execute(cmd Command) (rejected int) {
	before := r.state.Membership
	members := slices.Clone(before.Members)
	for _, op := range cmd.Ops {
		var ok bool
		if members, ok = applyOp(members, op); !ok {
			rejected++
		}
	}
	change := diffMembers(before.Members, members)
	if len(change.Joined) == 0 && len(change.Left) == 0 {
		return rejected
	}
	change.Epoch = before.Epoch + 1
	r.state.Membership = fleet.Membership{Epoch: change.Epoch, Members: members}
	r.recordChange(change)
	return rejected
}

// recordChange appends to the bounded history. It copies the history, because slices
// that were returned to callers must not change.
func (r *Roster) recordChange(change Change) {
	keep := r.state.Changes
	if len(keep) >= r.history {
		keep = keep[len(keep)-r.history+1:]
	}
	r.state.Changes = append(slices.Clone(keep), change)
}

// applyOp returns the members after op, ordered by ID, and false if a join was
// rejected.
func applyOp(members []fleet.Member, op Op) ([]fleet.Member, bool) {
	i, found := findMember(members, op.Member.ID)
	sameBoot := found && members[i].Boot == op.Member.Boot
	switch {
	case op.Kind == OpJoin && found && !sameBoot:
		return members, false
	case op.Kind == OpJoin && found:
		members[i] = op.Member
		return members, true
	case op.Kind == OpJoin:
		return slices.Insert(members, i, op.Member), true
	case sameBoot:
		return slices.Delete(members, i, i+1), true
	default:
		return members, true
	}
}

// findMember returns the index of a member in a list ordered by ID, or its insertion
// index and false.
func findMember(members []fleet.Member, id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(m fleet.Member, id fleet.InstanceID) int {
		return strings.Compare(string(m.ID), string(id))
	})
}

// diffMembers compares two lists ordered by ID. A member whose record changed is in
// both Left and Joined.
func diffMembers(before, after []fleet.Member) Change {
	var c Change
	for _, m := range before {
		if i, ok := findMember(after, m.ID); !ok || after[i] != m {
			c.Left = append(c.Left, m.ID)
		}
	}
	for _, m := range after {
		if i, ok := findMember(before, m.ID); !ok || before[i] != m {
			c.Joined = append(c.Joined, m)
		}
	}
	return c
}

// applyChange returns the membership after a change, without modifying m.
func applyChange(m fleet.Membership, c Change) fleet.Membership {
	members := make([]fleet.Member, 0, len(m.Members)+len(c.Joined))
	for _, member := range m.Members {
		if !slices.Contains(c.Left, member.ID) {
			members = append(members, member)
		}
	}
	members = append(members, c.Joined...)
	slices.SortFunc(members, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	return fleet.Membership{Epoch: c.Epoch, Members: members}
}

// Membership returns the current membership.
func (r *Roster) Membership() fleet.Membership { return r.state.Membership }

// Changes returns the changes from the membership of the given epoch to the current
// one, and false if the history does not reach back that far.
func (r *Roster) Changes(since fleet.Epoch) ([]Change, bool) {
	return changesSince(r.state.Changes, since, r.state.Membership.Epoch)
}

// changesSince returns the last of changes, which lead from the epoch since to current,
// and false if some are missing.
func changesSince(changes []Change, since, current fleet.Epoch) ([]Change, bool) {
	if since >= current {
		return nil, true
	}
	missing := int(min(current-since, fleet.Epoch(len(changes)+1)))
	if missing > len(changes) {
		return nil, false
	}
	return changes[len(changes)-missing:], true
}

// Snapshot returns the encoded state.
func (r *Roster) Snapshot() ([]byte, error) {
	return r.state.MarshalMsg(nil)
}

// Restore replaces the state by a snapshot. If it returns an error, which is of type
// ErrSnapshot, the state is unchanged.
func (r *Roster) Restore(snapshot []byte) error {
	var state rosterState
	rest, err := state.UnmarshalMsg(snapshot)
	if err != nil {
		return ErrSnapshot.Wrap(err, "decode the membership snapshot")
	}
	if len(rest) > 0 {
		return ErrSnapshot.New("the membership snapshot is followed by %d unexpected bytes", len(rest))
	}
	r.state = state
	return nil
}
