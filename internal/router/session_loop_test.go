package router

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/settings"
)

// A session renewal acknowledges a configuration version only after upstreams and plans
// were reconciled with it, because the control leader relies on the acknowledgement.
func TestRenewalAcknowledgesTheVersionInForce(t *testing.T) {
	is := is.New(t)
	pool := mesh.NewPool(mesh.Config{Instance: "router-1"})
	defer pool.Close()
	r := New(Config{
		Settings: settings.Settings{Instance: "router-1", Zone: "medeu", Platform: settings.Platform{URL: "http://127.0.0.1:1"}}.WithDefaults(),
		Clock:    fleet.MonotonicClock(), Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
	}, mesh.NewServer(mesh.Config{Instance: "router-1"}), pool)
	_, err := r.view.Apply(&operator.Update{Full: &operator.State{Version: 7}})
	is.NoErr(err)
	is.Equal(r.keeper.Request().KnownVersion, fleet.ConfigVersion(0)) // fetched, not in force
	r.reconcile(context.Background())
	is.Equal(r.keeper.Request().KnownVersion, fleet.ConfigVersion(7))
}
