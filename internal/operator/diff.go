package operator

import (
	"cmp"
	"crypto/sha256"
	"reflect"
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// listsCommand fills in a KindLists command for lists that an operator sent,
// with base the configuration in force at the leader. Where the operator
// expects that version the log carries only what changes. An older expectation
// cannot be met, so that nothing is carried; one that base does not reach is
// left to the control log with the lists whole.
func listsCommand(cmd *Command, base *State, both lists.Both) error {
	sortWorkspaces(&both)
	encoded, err := both.MarshalMsg(nil)
	if err != nil {
		return err
	}
	digest := sha256.Sum256(encoded)
	cmd.Body = digest[:]
	// Decoded, empty lists are nil as they are in base.
	var decoded lists.Both
	if _, err := decoded.UnmarshalMsg(encoded); err != nil {
		return err
	}
	switch {
	case cmd.Expect > base.Version:
		cmd.Lists = &decoded
	case cmd.Expect == base.Version:
		delta := diff(&base.Lists, &decoded)
		cmd.Change = &delta
	default:
		cmd.Change = &Delta{}
	}
	return nil
}

// sortWorkspaces orders workspaces by ID; their order has no meaning.
func sortWorkspaces(both *lists.Both) {
	workspaces := slices.Clone(both.Plans.Workspaces)
	slices.SortFunc(workspaces, func(a, b lists.Workspace) int { return cmp.Compare(a.ID, b.ID) })
	both.Plans.Workspaces = workspaces
}

// diff returns what changed between two pairs of lists. Its size follows the
// size of the change where workspaces are concerned; plans and allowances,
// which are few, are sent whole when they changed.
func diff(before, after *lists.Both) Delta {
	var d Delta
	former := make(map[fleet.WorkspaceID]*lists.Workspace, len(before.Plans.Workspaces))
	for i := range before.Plans.Workspaces {
		w := &before.Plans.Workspaces[i]
		former[w.ID] = w
	}
	for i := range after.Plans.Workspaces {
		w := &after.Plans.Workspaces[i]
		if old := former[w.ID]; old == nil || !sameWorkspace(old, w) {
			d.Workspaces = append(d.Workspaces, *w)
		}
		delete(former, w.ID)
	}
	for i := range before.Plans.Workspaces {
		if id := before.Plans.Workspaces[i].ID; former[id] != nil {
			d.Removed = append(d.Removed, id)
		}
	}
	if !slices.Equal(before.Plans.Plans, after.Plans.Plans) {
		d.Plans = &planList{Plans: after.Plans.Plans}
	}
	if !reflect.DeepEqual(before.Allowances, after.Allowances) {
		allowances := after.Allowances
		d.Allowances = &allowances
	}
	return d
}

func sameWorkspace(a, b *lists.Workspace) bool {
	return a.ID == b.ID && a.Plan == b.Plan && a.HomeRegion == b.HomeRegion && slices.Equal(a.KeyDigests, b.KeyDigests)
}

// patch returns the lists after a change; those before it are not touched.
// Workspaces are ordered by ID before and after.
func patch(both lists.Both, d *Delta) lists.Both {
	if d.Plans != nil {
		both.Plans.Plans = d.Plans.Plans
	}
	if d.Allowances != nil {
		both.Allowances = *d.Allowances
	}
	if len(d.Workspaces) == 0 && len(d.Removed) == 0 {
		return both
	}
	gone := set(d.Removed)
	for i := range d.Workspaces {
		gone[d.Workspaces[i].ID] = true
	}
	var workspaces []lists.Workspace
	for _, w := range both.Plans.Workspaces {
		if !gone[w.ID] {
			workspaces = append(workspaces, w)
		}
	}
	both.Plans.Workspaces = append(workspaces, d.Workspaces...)
	sortWorkspaces(&both)
	return both
}
