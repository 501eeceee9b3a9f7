package control

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

// Each router held a connection to each member of the group.
func TestFetchesConnectToAllMembers(t *testing.T) {
	is := is.New(t)
	const members = 9
	behind := ""
	var addrs, called []string
	for range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		addr := l.Addr().String()
		addrs = append(addrs, addr)
		server := mesh.NewServer(mesh.Config{Instance: "member"})
		server.Handle(MethodOperators, mesh.Unary(func(context.Context, string, *OperatorsRequest) (*OperatorsReply, error) {
			if addr == behind {
				return nil, &mesh.RemoteError{Code: "behind"}
			}
			return &OperatorsReply{Addr: addr}, nil
		}))
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	}
	pool := mesh.NewPool(mesh.Config{Instance: "router"})
	t.Cleanup(pool.Close)
	call := func(c *Client) error {
		var reply OperatorsReply
		err := c.CallAny(t.Context(), MethodOperators, &OperatorsRequest{}, &reply)
		if err == nil && !slices.Contains(called, reply.Addr) {
			called = append(called, reply.Addr)
		}
		return err
	}
	c := NewClient(pool, addrs)
	for range 40 {
		is.NoErr(call(c))
	}
	is.Equal(len(called), 1)
	behind = called[0]
	is.True(call(c) != nil)
	for range 5 {
		is.NoErr(call(c)) // another member
	}
	is.Equal(len(called), 2)
	called = nil
	for range 20 * members {
		is.NoErr(call(NewClient(pool, slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == behind }))))
	}
	is.Equal(len(called), members-1) // the routers spread over the members
}

// A member that does not answer must cost one timeout, not one for each call for
// which it is chosen.
func TestSilentMemberIsSkipped(t *testing.T) {
	is := is.New(t)
	listen := func(h mesh.Handler) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := mesh.NewServer(mesh.Config{Instance: "member"})
		server.HandleBackground(MethodOperators, h)
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if err := server.Shutdown(ctx); err != nil {
				t.Log("mesh not shut down:", err)
			}
		})
		return l.Addr().String()
	}
	silent := listen(func(ctx context.Context, _ *mesh.Stream, _ []byte) error {
		<-ctx.Done()
		return ctx.Err()
	})
	answering := listen(mesh.Unary(func(context.Context, string, *OperatorsRequest) (*OperatorsReply, error) {
		return &OperatorsReply{Addr: "here"}, nil
	}))
	pool := mesh.NewPool(mesh.Config{Instance: "router"})
	defer pool.Close()
	c := NewClient(pool, []string{silent, answering})
	is.True(!c.AnsweredWithin(time.Hour))
	failed := 0
	for range 40 {
		var reply OperatorsReply
		if err := c.CallAny(context.Background(), MethodOperators, &OperatorsRequest{}, &reply); err != nil {
			failed++
		} else {
			is.Equal(reply.Addr, "here")
		}
	}
	is.True(failed <= 1)
	is.True(c.AnsweredWithin(time.Hour))
	is.True(!c.AnsweredWithin(0))
	// If no member has answered recently, one is still chosen.
	c.silent = map[string]time.Time{silent: time.Now(), answering: time.Now()}
	is.True(c.any() != "")
}
