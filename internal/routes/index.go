package routes

import (
	"cmp"
	"slices"
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Index holds one table in maps, so that each query is a lookup. It is immutable.
type Index struct {
	table      *Table
	byHost     map[string][]*Route // longest prefix first
	pools      map[fleet.PoolID]*Pool
	workspaces map[string]*Workspace // by key
}

// NewIndex returns the index of a table, which must have passed Check.
func NewIndex(t *Table) *Index {
	x := &Index{
		table:      t,
		byHost:     make(map[string][]*Route),
		pools:      make(map[fleet.PoolID]*Pool, len(t.Pools)),
		workspaces: make(map[string]*Workspace),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
	}
	for _, list := range x.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Pools {
		x.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Workspaces {
		for _, key := range t.Workspaces[i].Keys {
			if key != "" { // a request without a key has none of theirs
				x.workspaces[key] = &t.Workspaces[i]
			}
		}
	}
	return x
}

// Version returns the table's version.
func (x *Index) Version() uint64 { return x.table.Version }

// Limits returns the limits on callers' requests and connections.
func (x *Index) Limits() CallerLimits { return x.table.Limits }

// Route returns the host's route with the longest prefix that path begins with, or
// nil if there is none.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns a pool by its name, or nil.
func (x *Index) Pool(name fleet.PoolID) *Pool { return x.pools[name] }

// RequiresKeys reports whether routes that are not public require an API key.
func (x *Index) RequiresKeys() bool { return x.table.Workspaces != nil }

// Workspace returns the workspace that has the API key, or nil.
func (x *Index) Workspace(key string) *Workspace { return x.workspaces[key] }

// Pick selects one of the route's pools by weight; draw is a random number in
// [0, 1).
func (r *Route) Pick(draw float64) fleet.PoolID {
	left := draw * r.totalWeight()
	for _, s := range r.Split {
		if left -= float64(s.Weight); left < 0 {
			return s.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool // not reached if draw < 1 and the weights are valid
}

// totalWeight returns the sum of the weights of the route's pools, which may exceed an
// integer.
func (r *Route) totalWeight() float64 {
	total := 0.0
	for _, s := range r.Split {
		total += float64(s.Weight)
	}
	return total
}
