package routes

import (
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// ErrInvalid means that a table must not come into force.
var ErrInvalid = fleet.Errors.NewType("routes_invalid")

// place is what selects a route.
type place struct{ host, prefix string }

// Check returns an ErrInvalid that names the first fault of the table, or nil.
func (t *Table) Check() error {
	if t.Version == 0 {
		return ErrInvalid.New("version: must be above 0")
	}
	pools := make(map[fleet.PoolID]bool, len(t.Pools))
	for _, p := range t.Pools {
		if p.Name == "" || pools[p.Name] {
			return ErrInvalid.New("pool %q: the name is empty or stands twice", p.Name)
		}
		pools[p.Name] = true
	}
	places := make(map[place]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(pools); err != nil {
			return err
		}
		at := place{r.Host, r.Prefix}
		if other, taken := places[at]; taken {
			return ErrInvalid.New("route %q: host %q and prefix %q belong to route %q", r.Name, r.Host, r.Prefix, other)
		}
		places[at] = r.Name
	}
	return checkKeys(t.Workspaces)
}

func (r *Route) check(pools map[fleet.PoolID]bool) error {
	switch {
	case r.Host == "":
		return ErrInvalid.New("route %q: no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return ErrInvalid.New("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return ErrInvalid.New("route %q: the timeout must be above 0", r.Name)
	}
	total := 0
	for _, s := range r.Split {
		if s.Weight < 0 {
			return ErrInvalid.New("route %q: pool %q has a negative weight", r.Name, s.Pool)
		}
		if !pools[s.Pool] {
			return ErrInvalid.New("route %q: pool %q is unknown", r.Name, s.Pool)
		}
		total += s.Weight
	}
	if total == 0 {
		return ErrInvalid.New("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func checkKeys(workspaces []Workspace) error {
	holder := make(map[string]fleet.WorkspaceID)
	for _, w := range workspaces {
		for _, key := range w.Keys {
			if other, taken := holder[key]; taken && other != w.ID {
				return ErrInvalid.New("workspaces %q and %q share a key", other, w.ID)
			}
			holder[key] = w.ID
		}
	}
	return nil
}
