package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Change is a difference between two tables. Field is empty for an entry that was added or removed;
// From or To is empty then.
type Change struct {
	Object   Object
	Field    string
	From, To string
}

// property is a field of an entry as text.
type property struct{ field, value string }

// entry is an entry of a table by its properties. Entries with the same key are the same one.
type entry struct {
	key        string
	object     Object
	summary    string
	properties []property
	keys       []string // of a workspace; they are counted, and never appear in a change
}

// Diff returns what changes when the table to follows the table from: routes, pools and workspaces, each
// sorted, and limits. A route is the same if its host and prefix are.
func Diff(from, to *Table) []Change {
	var out []Change
	for _, list := range []func(*Table) []entry{routeEntries, poolEntries, workspaceEntries, limitEntries} {
		out = append(out, diffEntries(list(from), list(to))...)
	}
	return out
}

func diffEntries(from, to []entry) (out []Change) {
	before, after := make(map[string]entry, len(from)), make(map[string]entry, len(to))
	var keys []string
	for _, e := range from {
		before[e.key] = e
		keys = append(keys, e.key)
	}
	for _, e := range to {
		after[e.key] = e
		keys = append(keys, e.key)
	}
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		old, was := before[key]
		e, is := after[key]
		switch {
		case !was:
			out = append(out, Change{Object: e.object, To: e.summary})
		case !is:
			out = append(out, Change{Object: old.object, From: old.summary})
		default:
			out = append(out, diffProperties(old, e)...)
		}
	}
	return out
}

func diffProperties(old, e entry) (out []Change) {
	for i, p := range e.properties {
		if was := old.properties[i].value; was != p.value {
			out = append(out, Change{Object: e.object, Field: p.field, From: was, To: p.value})
		}
	}
	removed, added := countMissing(old.keys, e.keys), countMissing(e.keys, old.keys)
	if removed+added > 0 {
		out = append(out, Change{Object: e.object, Field: FieldKeys, From: fmt.Sprintf("%d keys", len(old.keys)), To: fmt.Sprintf("%d keys (%d added, %d removed)", len(e.keys), added, removed)})
	}
	return out
}

// countMissing returns how many of the keys are not among others.
func countMissing(keys, others []string) (n int) {
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}

var kindNames = map[Kind]string{KindOnce: "once", KindIdempotent: "idempotent", KindStream: "stream"}

func routeEntries(t *Table) (out []entry) {
	for _, r := range t.Routes {
		out = append(out, entry{
			key: r.Host + " " + r.Prefix, object: Object{ObjectRoute, r.Name}, summary: r.Host + r.Prefix + " to " + splitText(r.Split),
			properties: []property{
				{FieldName, r.Name}, {FieldKind, kindNames[r.Kind]}, {FieldTimeout, r.Timeout.String()}, {FieldTarget, r.Target.String()},
				{FieldGapTarget, r.GapTarget.String()}, {FieldPriority, fmt.Sprint(r.Priority)}, {FieldSplit, splitText(r.Split)},
				{FieldMaxAttempts, fmt.Sprint(r.MaxAttempts)}, {FieldPublic, fmt.Sprint(r.Public)}, {FieldAffinity, fmt.Sprint(r.Affinity)},
				{FieldResumable, fmt.Sprint(r.Resumable)},
			},
		})
	}
	return out
}

// splitText returns the shares by pool, such as "a:1 b:3".
func splitText(split []Share) string {
	sorted := slices.SortedFunc(slices.Values(split), func(a, b Share) int { return cmp.Compare(a.Pool, b.Pool) })
	shares := make([]string, len(sorted))
	for i, s := range sorted {
		shares[i] = fmt.Sprintf("%s:%d", s.Pool, s.Weight)
	}
	return strings.Join(shares, " ")
}

func poolEntries(t *Table) (out []entry) {
	for _, p := range t.Pools {
		engine := "none"
		if e := p.Engine; e != nil {
			engine = fmt.Sprintf("slots %d, cache tokens %d, transfers %t", e.Slots, e.CacheTokens, e.Transfers)
		}
		out = append(out, entry{
			key: string(p.Name), object: Object{ObjectPool, string(p.Name)}, summary: "engine: " + engine,
			properties: []property{
				{FieldHealthPath, p.HealthPath}, {FieldMaxConnections, fmt.Sprint(p.MaxConnections)}, {FieldColdStart, p.ColdStart.String()},
				{FieldColdRate, fmt.Sprint(p.ColdRate)}, {FieldEngine, engine},
			},
		})
	}
	return out
}

// workspaceEntries returns the workspaces. Whether keys are needed at all counts as a property of the
// table.
func workspaceEntries(t *Table) []entry {
	out := []entry{{object: Object{Kind: ObjectTable}, properties: []property{{FieldKeys, map[bool]string{true: "needed", false: "not needed"}[t.Workspaces != nil]}}}}
	for _, w := range t.Workspaces {
		priority := "of the route"
		if w.Priority != nil {
			priority = fmt.Sprint(*w.Priority)
		}
		out = append(out, entry{
			key: "workspace " + string(w.ID), object: Object{ObjectWorkspace, string(w.ID)}, summary: fmt.Sprintf("%d keys", len(w.Keys)),
			properties: []property{{FieldPriority, priority}}, keys: w.Keys,
		})
	}
	return out
}

func limitEntries(t *Table) []entry {
	bytes := func(n int64) string { return fmt.Sprintf("%d bytes", n) }
	c := t.Limits
	return []entry{{object: Object{Kind: ObjectLimits}, properties: []property{
		{FieldHeaderBytes, bytes(int64(c.MaxHeaderBytes))}, {FieldBodyBytes, bytes(c.MaxBodyBytes)},
		{FieldHeaderTimeout, c.HeaderTimeout.Round(time.Millisecond).String()}, {FieldIdleTimeout, c.IdleTimeout.Round(time.Millisecond).String()},
	}}}
}
