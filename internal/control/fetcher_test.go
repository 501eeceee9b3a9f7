package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

// fakeCaller is a caller that answers from a Config, without a network.
type fakeCaller struct {
	config *operator.Config
	copies *copyCache
	before func() error // runs before each call; its error fails the call
	bytes  int          // total size of the replies
}

func (c *fakeCaller) Call(_ context.Context, _ string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	if err := c.before(); err != nil {
		return err
	}
	answer, err := c.copies.reply(c.config.Committed(), request.(*FetchRequest))
	if err != nil {
		return err
	}
	b, err := answer.MarshalMsg(nil)
	if err != nil {
		return err
	}
	c.bytes += len(b)
	_, err = reply.UnmarshalMsg(b)
	return err
}

// CallAny answers like Call, because any member serves a version that it has
// applied.
func (c *fakeCaller) CallAny(ctx context.Context, method string, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	return c.Call(ctx, method, request, reply)
}

// replaceLists puts lists in force that differ by more than a delta may hold, so
// that a full copy is needed.
func (c *fakeCaller) replaceLists(n int, plan string) {
	config := &lists.Config{Plans: lists.Plans{Plans: []lists.Plan{{Name: plan}}}}
	for i := range n {
		config.Plans.Workspaces = append(config.Plans.Workspaces, lists.Workspace{
			ID: fleet.WorkspaceID(fmt.Sprintf("workspace-%05d", i)), Plan: plan, KeyDigests: []string{fmt.Sprintf("%064x", i)},
		})
	}
	c.applyCommand(operator.Command{Kind: operator.KindLists, Operation: plan, AnyVersion: true, Lists: config})
}

func (c *fakeCaller) applyCommand(cmd operator.Command) {
	encoded, err := cmd.Encode()
	if err != nil {
		panic(err)
	}
	c.config.Apply(0, encoded)
}

// A Fetcher must resume a copy after a failed call, without reading pages again.
func TestFetcherResumesACopy(t *testing.T) {
	is := is.New(t)
	calls := 0
	s := &fakeCaller{config: operator.NewConfig(), copies: &copyCache{}}
	s.replaceLists(18_000, "first")
	s.before = func() error {
		calls++
		if calls%3 == 0 {
			return errors.New("timeout")
		}
		return nil
	}
	f, view := &Fetcher{client: s}, operator.NewView()
	for attempts := 0; view.Version() == 0; attempts++ {
		_, err := f.Fetch(context.Background(), view, 0)
		is.True(err != nil || view.Version() == 1)
		is.True(attempts < 100)
	}
	state := s.config.Committed().State
	encoded, err := state.MarshalMsg(nil)
	is.NoErr(err)
	is.True(s.bytes < len(encoded)*11/10) // no page was read twice
}

// The configuration changes, the leader changes and calls fail while a copy is
// read. The view must still reach the newest version and never go back.
func TestFetcherUnderChanges(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := &fakeCaller{config: operator.NewConfig(), copies: &copyCache{}}
		s.replaceLists(9_000, "first")
		changes, calls := 12, 0
		s.before = func() error {
			calls++
			switch {
			case changes > 0 && rng.IntN(8) == 0:
				changes--
				s.replaceLists(9_000, fmt.Sprint("plan-", changes))
			case changes > 0 && rng.IntN(8) == 0:
				changes--
				s.applyCommand(operator.Command{Kind: operator.KindZone, Operation: fmt.Sprint("zone-", changes), AnyVersion: true, Name: "medeu", Out: true})
			case changes > 0 && rng.IntN(8) == 0:
				s.copies = &copyCache{} // another member leads
			case rng.IntN(6) == 0:
				return errors.New("timeout")
			}
			return nil
		}
		f, view := &Fetcher{client: s}, operator.NewView()
		var last fleet.ConfigVersion
		for view.Version() < s.config.Committed().State.Version || changes > 0 {
			_, _ = f.Fetch(context.Background(), view, s.config.Committed().State.Version)
			if view.Version() < last {
				t.Fatalf("seed %d: the view's version decreased from %d to %d", seed, last, view.Version())
			}
			last = view.Version()
		}
		want := s.config.Committed().State
		plan := want.Lists.Plans.Plans[0].Name
		if w := view.Index().Workspace("workspace-08999"); w == nil || w.Plan != plan {
			t.Fatalf("seed %d: workspace-08999 is %+v, want it on plan %s", seed, w, plan)
		}
		is.New(t).Equal(view.Index().ZoneOut("medeu"), len(want.ZonesOut) == 1)
	}
}
