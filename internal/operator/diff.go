package operator

import (
	"cmp"
	"crypto/sha256"
	"reflect"
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// fillListsCommand fills in a KindLists command for lists that an operator sent;
// base is the configuration in force at the leader. If the operator expects
// base's version, the command carries only a delta. An older expected version
// cannot match, so the command carries an empty delta. A newer one may match by
// the time the command is applied, so the command carries the complete lists.
func fillListsCommand(cmd *Command, base *State, config lists.Config) error {
	sortWorkspaces(&config)
	encoded, err := config.MarshalMsg(nil)
	if err != nil {
		return err
	}
	digest := sha256.Sum256(encoded)
	cmd.Body = digest[:]
	// Decoding turns empty slices into nil, as they are in base.
	var decoded lists.Config
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

// sortWorkspaces replaces the workspaces by a copy sorted by ID, because the slice may be
// shared with a published state. The order of workspaces has no meaning.
func sortWorkspaces(config *lists.Config) {
	workspaces := slices.Clone(config.Plans.Workspaces)
	slices.SortFunc(workspaces, func(a, b lists.Workspace) int { return cmp.Compare(a.ID, b.ID) })
	config.Plans.Workspaces = workspaces
}

// diff returns the delta between two pairs of lists. It holds only the workspaces
// that changed. Plans and allowances are few, so they are included completely
// if any of them changed.
func diff(before, after *lists.Config) Delta {
	var d Delta
	unmatched := make(map[fleet.WorkspaceID]*lists.Workspace, len(before.Plans.Workspaces))
	for i := range before.Plans.Workspaces {
		w := &before.Plans.Workspaces[i]
		unmatched[w.ID] = w
	}
	for i := range after.Plans.Workspaces {
		w := &after.Plans.Workspaces[i]
		if old := unmatched[w.ID]; old == nil || !sameWorkspace(old, w) {
			d.Workspaces = append(d.Workspaces, *w)
		}
		delete(unmatched, w.ID)
	}
	for i := range before.Plans.Workspaces {
		if id := before.Plans.Workspaces[i].ID; unmatched[id] != nil {
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

// applyDelta returns the lists after a delta and leaves its argument unmodified.
// Workspaces are sorted by ID before and after.
func applyDelta(config lists.Config, d *Delta) lists.Config {
	if d.Plans != nil {
		config.Plans.Plans = d.Plans.Plans
	}
	if d.Allowances != nil {
		config.Allowances = *d.Allowances
	}
	if len(d.Workspaces) == 0 && len(d.Removed) == 0 {
		return config
	}
	replaced := toSet(d.Removed)
	for i := range d.Workspaces {
		replaced[d.Workspaces[i].ID] = true
	}
	var workspaces []lists.Workspace
	for _, w := range config.Plans.Workspaces {
		if !replaced[w.ID] {
			workspaces = append(workspaces, w)
		}
	}
	config.Plans.Workspaces = append(workspaces, d.Workspaces...)
	sortWorkspaces(&config)
	return config
}
