package operator

import (
	"reflect"
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// change applies an operator's command to the state and returns the delta,
// still without its version.
func change(s *State, cmd Command) (Delta, Code) {
	switch {
	case cmd.Kind == KindLists && cmd.Lists != nil:
		delta := diff(&s.Lists, cmd.Lists)
		s.Lists = *cmd.Lists
		return delta, CodeAccepted
	case cmd.Kind == KindOrder && cmd.Order != nil && cmd.Order.Upstream != "":
		order, code := s.place(*cmd.Order, cmd.Operation)
		return Delta{Order: &order}, code
	}
	names := s.out(cmd.Kind)
	if names == nil || cmd.Name == "" {
		return Delta{}, CodeMalformed
	}
	*names = withName(*names, cmd.Name, cmd.Out)
	return Delta{Switch: &Switch{Kind: cmd.Kind, Name: cmd.Name, Out: cmd.Out}}, CodeAccepted
}

// out returns the list of what is out of service that a kind changes, or nil.
func (s *State) out(kind Kind) *[]string {
	switch kind {
	case KindZone:
		return &s.ZonesOut
	case KindInstance:
		return &s.InstancesOut
	case KindUpstream:
		return &s.UpstreamsOut
	default:
		return nil
	}
}

// withName returns a copy of an ordered list with or without the name. An empty
// list is nil, as after decoding, so that replicas' snapshots are equal.
func withName(names []string, name string, in bool) []string {
	i, found := slices.BinarySearch(names, name)
	switch {
	case in && !found:
		return slices.Insert(slices.Clone(names), i, name)
	case !in && found && len(names) == 1:
		return nil
	case !in && found:
		return slices.Delete(slices.Clone(names), i, i+1)
	default:
		return names
	}
}

// diff returns what changed between two pairs of lists. Its size follows the
// size of the change where workspaces are concerned; plans and allowances,
// which are few, are sent whole when they changed.
func diff(before, after *lists.Both) Delta {
	var d Delta
	former := make(map[string]*lists.Workspace, len(before.Plans.Workspaces))
	for i := range before.Plans.Workspaces {
		w := &before.Plans.Workspaces[i]
		former[string(w.ID)] = w
	}
	for i := range after.Plans.Workspaces {
		w := &after.Plans.Workspaces[i]
		if old := former[string(w.ID)]; old == nil || !sameWorkspace(old, w) {
			d.Workspaces = append(d.Workspaces, *w)
		}
		delete(former, string(w.ID))
	}
	for i := range before.Plans.Workspaces {
		if id := before.Plans.Workspaces[i].ID; former[string(id)] != nil {
			d.Removed = append(d.Removed, id)
		}
	}
	if !slices.Equal(before.Plans.Plans, after.Plans.Plans) {
		d.Plans = &planList{Plans: after.Plans.Plans}
	}
	// Both were decoded, which makes every empty list nil on every replica.
	if !reflect.DeepEqual(before.Allowances, after.Allowances) {
		allowances := after.Allowances
		d.Allowances = &allowances
	}
	return d
}

func sameWorkspace(a, b *lists.Workspace) bool {
	return a.ID == b.ID && a.Plan == b.Plan && a.HomeRegion == b.HomeRegion && slices.Equal(a.KeyDigests, b.KeyDigests)
}
