package member

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

// startLeader serves a control leader at configuration version 3 and returns its address.
func startLeader(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := mesh.NewServer(mesh.Config{Instance: "member"})
	server.Handle(control.MethodRenew, mesh.Unary(func(_ context.Context, _ string, r *session.RenewRequest) (*session.RenewReply, error) {
		return &session.RenewReply{Seq: r.Seq, Status: session.StatusJoining, Version: 3, Relays: []fleet.Member{{ID: "relay"}}}, nil
	}))
	server.Handle(control.MethodFetch, mesh.Unary(func(context.Context, string, *control.FetchRequest) (*control.FetchReply, error) {
		return &control.FetchReply{Update: *emptyDeltas(1, 3)}, nil
	}))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return l.Addr().String()
}

// The leader named 17 relays in each of its replies to hundreds of joining routers.
func TestRouterAsksForRelaysAgainAndAgain(t *testing.T) {
	is := is.New(t)
	pool := mesh.NewPool(mesh.Config{Instance: "router"})
	defer pool.Close()
	var now atomic.Int64
	now.Store(int64(time.Minute))
	k := NewKeeper(Config{
		Self: fleet.Member{ID: "router", Boot: "b"}, Clock: func() time.Duration { return time.Duration(now.Load()) },
		Control: control.NewClient(pool, []string{startLeader(t)}), Logger: hclog.NewNullLogger(),
		Session: session.Settings{Lease: 3 * time.Second, RenewInterval: time.Second}, Owner: func(fleet.Membership, string) fleet.InstanceID { return "" },
		InForce: func() fleet.ConfigVersion { return 3 }, OnConfig: func() {},
	})
	is.True(!k.Request().KnowsRelays)
	k.renew(t.Context())
	is.Equal(len(k.Relays()), 1)
	is.True(k.Request().KnowsRelays)
	now.Add(int64(relaysAge))
	is.True(!k.Request().KnowsRelays) // they may have gone meanwhile
}

// A table that was fetched but can't be decoded leaves an older one in force.
func TestFetchedVersionThatIsNotInForceIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	pool := mesh.NewPool(mesh.Config{Instance: "router"})
	defer pool.Close()
	var inForce atomic.Uint64
	k := NewKeeper(Config{
		Self: fleet.Member{ID: "router", Boot: "b"}, Clock: fleet.MonotonicClock(), Control: control.NewClient(pool, []string{startLeader(t)}),
		Session: session.Settings{Lease: 3 * time.Second, RenewInterval: time.Second}, Logger: hclog.NewNullLogger(), Owner: func(fleet.Membership, string) fleet.InstanceID { return "" },
		InForce: func() fleet.ConfigVersion { return fleet.ConfigVersion(inForce.Load()) }, OnConfig: func() {},
	})
	k.renew(t.Context())
	is.Equal(k.View().Version(), fleet.ConfigVersion(3))
	is.True(k.ConfirmedAt() < 0)
	is.Equal(k.Announced(), fleet.ConfigVersion(3))
	inForce.Store(3)
	k.renew(t.Context())
	is.True(k.ConfirmedAt() >= 0)
}
