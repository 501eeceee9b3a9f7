package routes

import (
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// ErrInvalid means that a table has a violation and must not come into force.
var ErrInvalid = fleet.Errors.NewType("routes_invalid")

// routeKey is the host and the path prefix that select a route.
type routeKey struct{ host, prefix string }

// Check returns an ErrInvalid that describes the first violation of the table, or
// nil.
func (t *Table) Check() error {
	if t.Version == 0 {
		return ErrInvalid.New("the table's version is 0, it must be greater than 0")
	}
	pools := make(map[fleet.PoolID]bool, len(t.Pools))
	for _, p := range t.Pools {
		if p.Name == "" || pools[p.Name] {
			return ErrInvalid.New("pool %q: the name is empty or a duplicate", p.Name)
		}
		pools[p.Name] = true
	}
	names := make(map[routeKey]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(pools); err != nil {
			return err
		}
		key := routeKey{r.Host, r.Prefix}
		if other, taken := names[key]; taken {
			return ErrInvalid.New("route %q: host %q and prefix %q already belong to route %q", r.Name, r.Host, r.Prefix, other)
		}
		names[key] = r.Name
	}
	return checkKeys(t.Workspaces)
}

// check returns an ErrInvalid that describes the first violation of the route, or nil;
// pools holds the names of the table's pools.
func (r *Route) check(pools map[fleet.PoolID]bool) error {
	switch {
	case r.Host == "":
		return ErrInvalid.New("route %q: the host is missing", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return ErrInvalid.New("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return ErrInvalid.New("route %q: timeout %v must be greater than 0", r.Name, r.Timeout)
	}
	for _, s := range r.Split {
		if s.Weight < 0 {
			return ErrInvalid.New("route %q: pool %q has the negative weight %d", r.Name, s.Pool, s.Weight)
		}
		if !pools[s.Pool] {
			return ErrInvalid.New("route %q: pool %q is unknown", r.Name, s.Pool)
		}
	}
	if r.totalWeight() == 0 {
		return ErrInvalid.New("route %q: the weights of its pools add up to 0", r.Name)
	}
	return nil
}

// checkKeys returns an ErrInvalid if two workspaces have the same key.
func checkKeys(workspaces []Workspace) error {
	owner := make(map[string]fleet.WorkspaceID)
	for _, w := range workspaces {
		for _, key := range w.Keys {
			if other, taken := owner[key]; taken && other != w.ID {
				return ErrInvalid.New("workspaces %q and %q share a key", other, w.ID)
			}
			owner[key] = w.ID
		}
	}
	return nil
}
