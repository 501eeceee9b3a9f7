package gateway

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/balance"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

func TestPendingUpdateMakesStaleListFresh(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	source := mesh.NewServer(mesh.Config{Instance: "source"})
	source.HandleBackground(MethodList, func(ctx context.Context, s *mesh.Stream, _ []byte) error {
		message, err := (&ListUpdate{Pending: true}).MarshalMsg(nil)
		if err != nil {
			return err
		}
		return s.Send(ctx, message)
	})
	go func() { _ = source.Serve(listener) }()
	t.Cleanup(func() { _ = source.Shutdown(context.Background()) })
	pool := mesh.NewPool(mesh.Config{Instance: "self"})
	t.Cleanup(pool.Close)
	l := newUpstreamList(upstreamListConfig{
		log: hclog.NewNullLogger(), clock: func() time.Duration { return time.Hour }, self: fleet.Member{ID: "self"}, pool: pool,
		loads: new(testRouter), onChange: func(time.Duration, *snapshot) {},
	})
	l.adopt(newSnapshot(time.Hour-time.Minute, []balance.ListedUpstream{{Upstream: testUpstream("a")}}))
	err = l.peek(t.Context(), listener.Addr().String())
	current, _ := l.newest()
	is.Equal(current.asOf, time.Hour-time.Minute)
	is.True(errors.Is(err, errListGap))
}
