package operator

import (
	"slices"
)

// applyCommand applies an operator's command to the state and returns the
// resulting delta. The caller sets the delta's version.
func applyCommand(s *State, cmd Command) (Delta, Code) {
	switch {
	case cmd.Kind == KindLists && cmd.Change != nil:
		s.Lists = applyDelta(s.Lists, cmd.Change)
		return *cmd.Change, CodeAccepted
	case cmd.Kind == KindLists && cmd.Lists != nil:
		sortWorkspaces(cmd.Lists)
		delta := diff(&s.Lists, cmd.Lists)
		s.Lists = *cmd.Lists
		return delta, CodeAccepted
	case cmd.Kind == KindOrder && cmd.Order != nil && cmd.Order.Upstream != "":
		order, code := s.addOrder(*cmd.Order, cmd.Operation)
		return Delta{Order: &order}, code
	}
	names := s.outOfService(cmd.Kind)
	if names == nil || cmd.Name == "" {
		return Delta{}, CodeMalformed
	}
	*names = withName(*names, cmd.Name, cmd.Out)
	return Delta{Switch: &Switch{Kind: cmd.Kind, Name: cmd.Name, Out: cmd.Out}}, CodeAccepted
}

// outOfService returns a pointer to the list of zones, instances or upstreams out of
// service that commands of this kind change, or nil for other kinds.
func (s *State) outOfService(kind Kind) *[]string {
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

// withName returns a copy of a sorted list that contains the name if present is set,
// and lacks it otherwise. An empty list is nil, as after decoding, so that the
// snapshots of all members are equal.
func withName(names []string, name string, present bool) []string {
	i, found := slices.BinarySearch(names, name)
	switch {
	case present && !found:
		return slices.Insert(slices.Clone(names), i, name)
	case !present && found && len(names) == 1:
		return nil
	case !present && found:
		return slices.Delete(slices.Clone(names), i, i+1)
	default:
		return names
	}
}
