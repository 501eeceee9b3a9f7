package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/placement"
)

// describeRoute lists the targets of a route: a letter for the upstream, lower case if it may
// serve the chat only if it has its cache, ! for firm and ? for queueing. It calls step
// at each target.
func describeRoute(r *route, step func(at int, r *route)) string {
	var out []string
	for i := 0; ; i++ {
		s := r.current()
		text := strings.ToUpper(string(s.Upstream))
		if s.Basis == placement.Former {
			text = strings.ToLower(text)
		}
		if s.firm {
			text += "!"
		}
		if s.queue {
			text += "?"
		}
		out = append(out, text)
		if step != nil {
			step(i, r)
		}
		if !r.advance() {
			return strings.Join(out, " ")
		}
	}
}

func TestRouteOrdersOwners(t *testing.T) {
	ranked := func(names ...string) (out []placement.Candidate) {
		for _, n := range names {
			basis := placement.Ranked
			if strings.ToLower(n) == n {
				basis = placement.Former
			}
			out = append(out, placement.Candidate{Upstream: fleet.UpstreamID(strings.ToLower(n)), Basis: basis})
		}
		return out
	}
	once := func(f func(*route)) func(int, *route) {
		return func(at int, r *route) {
			if at == 0 {
				f(r)
			}
		}
	}
	cases := []struct {
		name       string
		candidates []placement.Candidate
		step       func(int, *route)
		want       string
	}{
		{"every candidate, firm ones, then the queue", ranked("A", "B", "C"), nil, "A B C A! B! C! A!?"},
		{"a former candidate is asked once and never queues", ranked("x", "A", "B"), nil, "x A B A! B! A!?"},
		{"the upstream with the cache is next, then the redirecting one", ranked("A", "B"),
			once(func(r *route) { r.redirect("z", true) }), "A Z A B A! B! A!?"},
		{"an upstream with the cache that is not eligible is skipped", ranked("A", "B"),
			once(func(r *route) { r.redirect("z", false) }), "A A B A! B! A!?"},
		{"others are asked for the cache first", ranked("A", "B", "C"),
			once(func(r *route) { r.askOthers() }), "A b c A B C A! B! C! A!?"},
		{"the order changes once", ranked("A", "B"),
			func(_ int, r *route) { r.redirect("z", true) }, "A Z A B A! B! A!?"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newRoute(tc.candidates)
			got := describeRoute(r, tc.step)
			is.Equal(got, tc.want)
			is.True(len(strings.Fields(got)) <= maxTargets)
		})
	}
}
