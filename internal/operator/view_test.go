package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

func TestIndexLookups(t *testing.T) {
	is := is.New(t)
	digest := sha256.Sum256([]byte("key"))
	c := NewConfig()
	config := testLists(lists.Workspace{ID: "silk", Plan: "basic", KeyDigests: []string{hex.EncodeToString(digest[:])}})
	mustApply(c, Command{Kind: KindLists, Operation: "a", Lists: config})
	mustApply(c, Command{Kind: KindZone, Operation: "b", AnyVersion: true, Name: "medeu", Out: true})
	v := NewView()
	u := c.Committed().Fetch(0)
	changed, err := v.Apply(&u)
	is.NoErr(err)
	is.True(changed)
	x := v.Index()
	is.Equal(x.WorkspaceByKey(digest).ID, fleet.WorkspaceID("silk"))
	is.True(x.WorkspaceByKey(sha256.Sum256([]byte("other"))) == nil)
	is.True(x.AllowsModel("basic", "tie-notes"))
	is.True(!x.AllowsModel("large", "tie-notes"))
	is.True(!x.AllowsAdapter("basic", "silk"))
	is.Equal(x.Capacity("basic"), 0.5)
	is.Equal(x.Models("basic"), []fleet.ModelName{"tie-notes"})
	is.True(x.ZoneOut("medeu") && !x.ZoneOut("alatau"))
	is.Equal(x.Pool("llm").Kind, lists.KindEngine)
}

func TestViewApply(t *testing.T) {
	c := NewConfig()
	for i := range 5 {
		mustApply(c, Command{Kind: KindZone, Operation: fmt.Sprint(i), AnyVersion: true, Name: fmt.Sprint("z", i), Out: true})
	}
	deltas := c.deltasAfter(0)
	full := c.Committed().State
	cases := []struct {
		name    string
		start   int // version in force before
		update  Update
		version fleet.ConfigVersion
		gap     bool
	}{
		{"deltas in order", 0, Update{Deltas: deltas}, 5, false},
		{"deltas that overlap", 3, Update{Deltas: deltas}, 5, false},
		{"deltas that were all applied before", 5, Update{Deltas: deltas[:2]}, 5, false},
		{"an update with a gap is rejected completely", 1, Update{Deltas: deltas[2:]}, 1, true},
		{"a full copy", 2, Update{Full: &full}, 5, false},
		{"an older full copy from a leader that lags", 5, Update{Full: &State{Version: 3}}, 5, false},
		{"empty update", 2, Update{}, 2, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			v := NewView()
			_, err := v.Apply(&Update{Deltas: deltas[:tc.start]})
			is.NoErr(err)
			_, err = v.Apply(&tc.update)
			is.Equal(errorx.IsOfType(err, ErrGap), tc.gap)
			is.Equal(v.Version(), tc.version)
			for i := range 5 {
				is.Equal(v.Index().ZoneOut(fleet.AvailabilityZone(fmt.Sprint("z", i))), i < int(tc.version))
			}
		})
	}
}

func (c *Config) deltasAfter(v fleet.ConfigVersion) []Delta { return c.Committed().Fetch(v).Deltas }

// A view that applies deltas, with updates lost, duplicated and late, must equal one
// made from a full copy, and its version must never decrease.
func TestViewByDeltasEqualsFullCopy(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		c, v := NewConfig(), NewView()
		var late []Update
		for i := range 60 {
			mustApply(c, randomCommand(rng, i))
			if rng.IntN(4) == 0 {
				c = restored(c)
			}
			u := encodedUpdate(t, c.Committed().Fetch(v.Version()))
			late = append(late, u)
			u = late[rng.IntN(len(late))]
			before := v.Version()
			_, _ = v.Apply(&u) // after ErrGap the view is unchanged
			if v.Version() < before {
				t.Fatalf("seed %d: the view's version decreased from %d to %d", seed, before, v.Version())
			}
		}
		u := c.Committed().Fetch(v.Version())
		if _, err := v.Apply(&u); err != nil {
			t.Fatal(err)
		}
		full := c.Committed().State
		want := newIndex(&full)
		for id, o := range want.orders { // a claim makes no new version
			got := v.Index().orders[id]
			if got.Operation != o.Operation {
				t.Fatalf("seed %d: the view has order %v, want %v", seed, got, o)
			}
		}
		got := *v.Index()
		got.orders = want.orders
		if !reflect.DeepEqual(&got, want) {
			t.Fatalf("seed %d: the view differs from one made from a full copy", seed)
		}
	}
}

func encodedUpdate(t *testing.T, u Update) Update {
	b, err := u.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	var out Update
	if _, err := out.UnmarshalMsg(b); err != nil {
		t.Fatal(err)
	}
	return out
}

func randomCommand(rng *rand.Rand, i int) Command {
	cmd := Command{Operation: fmt.Sprint(i), AnyVersion: true, Name: fmt.Sprint(rng.IntN(3)), Out: rng.IntN(2) == 0}
	switch rng.IntN(5) {
	case 0:
		cmd.Kind = KindZone
	case 1:
		cmd.Kind = KindUpstream
	case 2:
		cmd.Kind = KindInstance
	case 3:
		cmd.Kind = KindOrder
		cmd.Order = &OrderSpec{Upstream: fleet.UpstreamID(cmd.Name), Action: ActionLoad, Model: "m", Supersede: true}
	default:
		cmd.Kind, cmd.Lists = KindLists, randomLists(rng)
	}
	return cmd
}

// The delta between two pairs of lists, applied to the first, must give the second.
func TestApplyDeltaOfDiff(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 6))
	for range 500 {
		before, after := randomLists(rng), randomLists(rng)
		sortWorkspaces(before)
		sortWorkspaces(after)
		d := diff(before, after)
		if got := applyDelta(*before, &d); !reflect.DeepEqual(got, *after) {
			t.Fatalf("got %+v\nwant %+v", got, *after)
		}
	}
}

// randomLists returns lists with a random set of workspaces and random keys, so
// that keys also move between workspaces.
func randomLists(rng *rand.Rand) *lists.Config {
	config := testLists()
	keys := rng.Perm(6)
	for i := range 6 {
		if rng.IntN(3) > 0 {
			w := workspace(fmt.Sprint("w", i), "basic")
			w.KeyDigests = []string{fmt.Sprintf("%064d", keys[i])}
			config.Plans.Workspaces = append(config.Plans.Workspaces, w)
		}
	}
	if rng.IntN(3) == 0 {
		config.Allowances.Models[0].Adapters = slices.Repeat([]string{"wool"}, 1)
	}
	return config
}
