package routes

import (
	"fmt"
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
	if _, message := r.violation(pools); message != "" {
		return ErrInvalid.New("route %q: %s", r.Name, message)
	}
	return nil
}

// violation returns the field and the description of the route's first violation; both are empty if
// there is none.
func (r *Route) violation(pools map[fleet.PoolID]bool) (field, message string) {
	switch {
	case r.Host == "":
		return FieldHost, "the host is missing"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return FieldPrefix, fmt.Sprintf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return FieldTimeout, fmt.Sprintf("timeout %v must be greater than 0", r.Timeout)
	}
	for _, s := range r.Split {
		if s.Weight < 0 {
			return FieldSplit, fmt.Sprintf("pool %q has the negative weight %d", s.Pool, s.Weight)
		}
		if !pools[s.Pool] {
			return FieldSplit, fmt.Sprintf("pool %q is unknown", s.Pool)
		}
	}
	if r.totalWeight() == 0 {
		return FieldSplit, "the weights of its pools add up to 0"
	}
	return "", ""
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
