package plan

import (
	"slices"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// ErrNotAllowed means that a plan doesn't include the requested model, adapter or
// service.
var ErrNotAllowed = fleet.Errors.NewType("not_allowed")

// Permissions holds what each workspace may use. It is immutable and safe for
// concurrent use.
type Permissions struct {
	workspaces map[fleet.WorkspaceID]*allowance
	models     map[fleet.ModelName]lists.Model
	services   map[string]lists.Service
	pools      map[fleet.PoolID]lists.Pool
}

// allowance holds what one plan includes.
type allowance struct {
	models   map[fleet.ModelName]bool
	adapters map[string]bool
	services map[string]bool
	capacity float64 // fraction of each upstream's slots; 0 means no limit
}

// NewPermissions builds Permissions from the plans and the allowances.
func NewPermissions(c lists.Config) *Permissions {
	p := &Permissions{
		workspaces: map[fleet.WorkspaceID]*allowance{},
		models:     map[fleet.ModelName]lists.Model{},
		services:   map[string]lists.Service{},
		pools:      map[fleet.PoolID]lists.Pool{},
	}
	for _, m := range c.Allowances.Models {
		p.models[m.Name] = m
	}
	for _, s := range c.Allowances.Services {
		p.services[s.Name] = s
	}
	for _, pool := range c.Allowances.Pools {
		p.pools[pool.Name] = pool
	}
	byPlan := map[string]*allowance{}
	for _, a := range c.Allowances.Plans {
		byPlan[a.Plan] = newAllowance(a)
	}
	for _, w := range c.Plans.Workspaces {
		if a := byPlan[w.Plan]; a != nil {
			p.workspaces[w.ID] = a
		}
	}
	return p
}

func newAllowance(a lists.Allowance) *allowance {
	return &allowance{setOf(a.Models), setOf(a.Adapters), setOf(a.Services), a.Capacity}
}

// setOf returns the set of the items.
func setOf[T comparable](items []T) map[T]bool {
	s := map[T]bool{}
	for _, item := range items {
		s[item] = true
	}
	return s
}

// Model returns the pool that serves the model, with an adapter or "" for none,
// if the workspace's plan includes both. The error is an ErrNotAllowed.
func (p *Permissions) Model(w fleet.WorkspaceID, model fleet.ModelName, adapter string) (fleet.PoolID, error) {
	a, m := p.workspaces[w], p.models[model]
	switch {
	case a == nil || !a.models[model] || m.Name == "":
		return "", ErrNotAllowed.New("plan of workspace %q does not include model %q", w, model)
	case adapter != "" && (!a.adapters[adapter] || !slices.Contains(m.Adapters, adapter)):
		return "", ErrNotAllowed.New("plan of workspace %q does not include adapter %q of model %q", w, adapter, model)
	}
	return m.Pool, nil
}

// Service returns the service if the workspace's plan includes it. The error is
// an ErrNotAllowed.
func (p *Permissions) Service(w fleet.WorkspaceID, name string) (lists.Service, error) {
	a := p.workspaces[w]
	s, ok := p.services[name]
	if a == nil || !ok || !a.services[name] {
		return lists.Service{}, ErrNotAllowed.New("plan of workspace %q does not include service %q", w, name)
	}
	return s, nil
}

// Share returns how many slots of each upstream in the pool the workspace may hold, or 0
// for no limit. Each upstream's owner enforces the limit by itself, so that the workspace's
// share of the whole pool is bounded without any messages.
func (p *Permissions) Share(w fleet.WorkspaceID, pool fleet.PoolID) int {
	a := p.workspaces[w]
	if a == nil || a.capacity == 0 {
		return 0
	}
	slots := p.pools[pool].MaxConcurrency
	if slots == 0 {
		slots = lists.DefaultMaxConcurrency
	}
	return max(int(a.capacity*float64(slots)), 1)
}
