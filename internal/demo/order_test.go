package demo

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/standin"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// An order must reach the engine through the engine's owner and be reported as
// finished only when the engine's state matches it. This holds for engines that check
// fencing numbers and for engines that ignore them.
func TestOrdersAreExecuted(t *testing.T) {
	cases := []struct {
		name   string
		checks bool
	}{
		{"the engine checks fencing numbers", true},
		{"the engine ignores them", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			f, err := Start(ctx, Options{Dir: t.TempDir(), Engine: standin.EngineConfig{IgnoreFence: !tc.checks, Models: []string{Model}}})
			is.NoErr(err)
			defer func() { is.NoErr(f.Stop(ctx)) }()
			is.NoErr(f.Ready(ctx))
			config := f.Lists()
			config.Allowances.Pools[0].ChecksFencing = tc.checks
			version, err := f.Operators().Apply(ctx, operator.Expect{Version: 1}, "fencing", config)
			is.NoErr(err)

			_, err = f.Operators().SubmitOrder(ctx, operator.Expect{Version: version}, "load", operator.OrderSpec{
				Upstream: "engine-1", Action: operator.ActionLoad, Model: Model, Adapter: "silk", Release: "2",
			})
			is.NoErr(err)
			loaded := f.awaitOrder(t, "load")
			is.Equal(loaded.State, operator.OrderSucceeded)
			engine := upstream.NewEngine(f.Upstreams[0].Listed.Addr, upstream.NewHTTPClient())
			state, err := engine.State(ctx)
			is.NoErr(err)
			is.True(slices.Contains(state.Models, Model+":silk@2"))

			_, err = f.Operators().SubmitOrder(ctx, operator.Expect{Any: true}, "role", operator.OrderSpec{
				Upstream: "engine-1", Action: operator.ActionRole, Role: "decode",
			})
			is.NoErr(err)
			changed := f.awaitOrder(t, "role")
			is.Equal(changed.State, operator.OrderSucceeded)
			is.True(changed.Fencing > loaded.Fencing)
			state, err = engine.State(ctx)
			is.NoErr(err)
			is.Equal(state.Role, "decode")
		})
	}
}

// awaitOrder waits until the order of an operation has finished and returns it. The wait
// is bounded by the test's timeout only.
func (f *Fleet) awaitOrder(t *testing.T, operation string) operator.Order {
	for {
		status, err := f.Operators().Status(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range status.Orders {
			if o.Operation == operation && o.Finished() {
				return o
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}
