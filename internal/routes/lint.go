package routes

import (
	"fmt"
	"slices"
	"strings"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Fields that findings and changes name. Each document format has names of its own for them.
const (
	FieldVersion        = "version"
	FieldName           = "name"
	FieldHost           = "host"
	FieldPrefix         = "prefix"
	FieldKind           = "kind"
	FieldTimeout        = "timeout"
	FieldTarget         = "target"
	FieldGapTarget      = "gap target"
	FieldPriority       = "priority"
	FieldSplit          = "split"
	FieldMaxAttempts    = "max attempts"
	FieldPublic         = "public"
	FieldAffinity       = "affinity"
	FieldResumable      = "resumable"
	FieldHealthPath     = "health path"
	FieldMaxConnections = "max connections"
	FieldColdStart      = "cold start"
	FieldColdRate       = "cold rate"
	FieldEngine         = "engine"
	FieldKeys           = "keys"
	FieldHeaderBytes    = "max header bytes"
	FieldBodyBytes      = "max body bytes"
	FieldHeaderTimeout  = "header timeout"
	FieldIdleTimeout    = "idle timeout"
)

// ObjectKind is a kind of entries of a table.
type ObjectKind string

// Kinds of entries.
const (
	ObjectTable     ObjectKind = "table"
	ObjectRoute     ObjectKind = "route"
	ObjectPool      ObjectKind = "pool"
	ObjectWorkspace ObjectKind = "workspace"
	ObjectLimits    ObjectKind = "limits"
)

// Object names an entry of a table. Name is empty for the table and its limits.
type Object struct {
	Kind ObjectKind
	Name string
}

// Finding is what Lint has found at one field. With Error set the table can't come into force;
// otherwise it can, but probably doesn't do what is meant.
type Finding struct {
	Error   bool
	Object  Object
	Field   string
	Message string
}

// linter collects findings of a table.
type linter struct {
	table *Table
	found []Finding
}

// Lint returns every error of the table, entries that can never match, and limits that contradict each
// other. A table without errors passes Check.
func (t *Table) Lint() []Finding {
	l := &linter{table: t}
	if t.Version == 0 {
		l.fail(Object{Kind: ObjectTable}, FieldVersion, "the table's version is 0, it must be greater than 0")
	}
	pools := l.lintPools()
	l.lintRoutes(pools)
	l.lintUnusedPools()
	l.lintWorkspaces()
	l.lintLimits()
	return l.found
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(found []Finding) bool {
	return slices.ContainsFunc(found, func(f Finding) bool { return f.Error })
}

func (l *linter) fail(o Object, field, format string, args ...any) {
	l.found = append(l.found, Finding{Error: true, Object: o, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (l *linter) warnIf(bad bool, o Object, field, format string, args ...any) {
	if bad {
		l.found = append(l.found, Finding{Object: o, Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

// lintPools checks each pool by itself and returns the names of all.
func (l *linter) lintPools() map[fleet.PoolID]bool {
	pools := make(map[fleet.PoolID]bool, len(l.table.Pools))
	for _, p := range l.table.Pools {
		o := Object{ObjectPool, string(p.Name)}
		if p.Name == "" || pools[p.Name] {
			l.fail(o, FieldName, "the name is empty or a duplicate")
		}
		pools[p.Name] = true
		l.warnIf(p.ColdRate > 0 && p.ColdStart <= 0, o, FieldColdRate, "a rate of %v requests per second while cold has no effect without a cold start", p.ColdRate)
	}
	return pools
}

func (l *linter) lintRoutes(pools map[fleet.PoolID]bool) {
	names := make(map[routeKey]string, len(l.table.Routes))
	for i := range l.table.Routes {
		r := &l.table.Routes[i]
		o := Object{ObjectRoute, r.Name}
		if field, message := r.violation(pools); message != "" {
			l.fail(o, field, "%s", message)
		}
		key := routeKey{r.Host, r.Prefix}
		if other, taken := names[key]; taken {
			l.fail(o, FieldPrefix, "never matches: host %q and prefix %q already belong to route %q", r.Host, r.Prefix, other)
		} else {
			names[key] = r.Name
		}
		l.lintRoute(o, r)
	}
}

// lintRoute warns of what can't take effect in one route.
func (l *linter) lintRoute(o Object, r *Route) {
	l.warnIf(strings.ContainsAny(r.Prefix, "?#"), o, FieldPrefix, "never matches: a path contains neither ? nor #")
	for _, s := range r.Split {
		l.warnIf(s.Weight == 0, o, FieldSplit, "pool %q has the weight 0 and gets no requests", s.Pool)
	}
	l.warnIf(r.Timeout > 0 && r.Target > r.Timeout, o, FieldTarget, "the target of %v is above the timeout of %v", r.Target, r.Timeout)
	l.warnIf(r.Timeout > 0 && r.GapTarget > r.Timeout, o, FieldGapTarget, "the longest pause of %v is above the timeout of %v", r.GapTarget, r.Timeout)
	l.warnIf(r.MaxAttempts > 1 && !r.Repeatable(), o, FieldMaxAttempts, "%d attempts have no effect: its requests may not be repeated", r.MaxAttempts)
	l.warnIf(r.Resumable && r.Kind != KindStream, o, FieldResumable, "has no effect: its answers are not streams")
	l.warnIf(r.GapTarget > 0 && r.Kind != KindStream, o, FieldGapTarget, "has no effect: its answers are not streams")
}

// lintUnusedPools warns of pools that no route sends requests to.
func (l *linter) lintUnusedPools() {
	used := make(map[fleet.PoolID]bool)
	for _, r := range l.table.Routes {
		for _, s := range r.Split {
			used[s.Pool] = used[s.Pool] || s.Weight > 0
		}
	}
	for _, p := range l.table.Pools {
		l.warnIf(!used[p.Name], Object{ObjectPool, string(p.Name)}, FieldName, "no route sends requests to it")
	}
}

// lintWorkspaces checks the keys. They appear in no message.
func (l *linter) lintWorkspaces() {
	if l.table.Workspaces == nil {
		return // no route needs a key
	}
	needKey := 0
	for _, r := range l.table.Routes {
		if !r.Public {
			needKey++
		}
	}
	owner, names := make(map[string]fleet.WorkspaceID), make(map[fleet.WorkspaceID]bool)
	for _, w := range l.table.Workspaces {
		o := Object{ObjectWorkspace, string(w.ID)}
		l.warnIf(names[w.ID], o, FieldName, "the name is a duplicate")
		names[w.ID] = true
		usable := 0
		for _, key := range w.Keys {
			if other, taken := owner[key]; taken && other != w.ID {
				l.fail(o, FieldKeys, "it shares a key with workspace %q", other)
			}
			owner[key] = w.ID
			l.warnIf(key == "", o, FieldKeys, "an empty key never matches")
			if key != "" {
				usable++
			}
		}
		l.warnIf(usable == 0 && needKey > 0 && needKey == len(l.table.Routes), o, FieldKeys, "without a key it can't call any route, since all of them need one")
	}
	l.warnIf(needKey > 0 && len(l.table.Workspaces) == 0, Object{Kind: ObjectTable}, FieldKeys, "%d routes need a key, and no workspace has one", needKey)
}

func (l *linter) lintLimits() {
	c, o := l.table.Limits, Object{Kind: ObjectLimits}
	l.warnIf(c.MaxBodyBytes > 0 && int64(c.MaxHeaderBytes) > c.MaxBodyBytes, o, FieldHeaderBytes, "%d bytes are above the limit of a body of %d", c.MaxHeaderBytes, c.MaxBodyBytes)
	l.warnIf(c.IdleTimeout > 0 && c.IdleTimeout < c.HeaderTimeout, o, FieldIdleTimeout, "%v is below the header timeout of %v", c.IdleTimeout, c.HeaderTimeout)
}
