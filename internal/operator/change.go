package operator

import (
	"slices"
)

// change applies an operator's command to the state and returns the delta,
// still without its version.
func change(s *State, cmd Command) (Delta, Code) {
	switch {
	case cmd.Kind == KindLists && cmd.Change != nil:
		s.Lists = patch(s.Lists, cmd.Change)
		return *cmd.Change, CodeAccepted
	case cmd.Kind == KindLists && cmd.Lists != nil:
		sortWorkspaces(cmd.Lists)
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
