package operator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

func workspace(id, plan string) lists.Workspace {
	digest := fmt.Sprintf("%064x", []byte(id))
	return lists.Workspace{ID: fleet.WorkspaceID(id), Plan: plan, KeyDigests: []string{digest[len(digest)-64:]}}
}

// testLists returns lists of the workspaces and two plans, of which only basic may use
// a model.
func testLists(workspaces ...lists.Workspace) *lists.Config {
	return &lists.Config{
		Plans: lists.Plans{Plans: []lists.Plan{{Name: "basic", Concurrency: 4}, {Name: "large"}}, Workspaces: workspaces},
		Allowances: lists.Allowances{
			Pools:  []lists.Pool{{Name: "llm", Kind: lists.KindEngine}},
			Models: []lists.Model{{Name: "tie-notes", Pool: "llm", Adapters: []string{"silk"}}},
			Plans:  []lists.Allowance{{Plan: "basic", Models: []fleet.ModelName{"tie-notes"}, Capacity: 0.5}},
		},
	}
}

// mustApply applies a command to c and returns the decoded answer.
func mustApply(c *Config, cmd Command) Answer {
	b, err := cmd.Encode()
	if err != nil {
		panic(err)
	}
	a, err := DecodeAnswer(c.Apply(0, b))
	if err != nil {
		panic(err)
	}
	return a
}

// restored returns a Config restored from c's snapshot, as on a new leader.
func restored(c *Config) *Config {
	b, err := c.Snapshot()
	if err != nil {
		panic(err)
	}
	other := NewConfig()
	if err := other.Restore(b); err != nil {
		panic(err)
	}
	return other
}

func TestConfigApply(t *testing.T) {
	put := func(op string, expect fleet.ConfigVersion, id string) Command {
		return Command{Kind: KindLists, Operation: op, Expect: expect, Lists: testLists(workspace(id, "basic"))}
	}
	zone := func(op string, expect fleet.ConfigVersion, out bool) Command {
		return Command{Kind: KindZone, Operation: op, Expect: expect, Name: "medeu", Out: out}
	}
	order := func(op string, expect fleet.ConfigVersion, supersede bool) Command {
		return Command{Kind: KindOrder, Operation: op, Expect: expect,
			Order: &OrderSpec{Upstream: "e1", Action: ActionLoad, Model: "tie-notes", Supersede: supersede}}
	}
	type step struct {
		cmd     Command
		code    Code
		version fleet.ConfigVersion
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"two operators expect the same version: one is accepted, one gets a conflict", []step{
			{put("a", 0, "x"), CodeAccepted, 1}, {put("b", 0, "y"), CodeConflict, 1}}},
		{"a retry gets the first answer", []step{
			{put("a", 0, "x"), CodeAccepted, 1}, {put("b", 1, "y"), CodeAccepted, 2}, {put("a", 0, "x"), CodeAccepted, 1}}},
		{"a retry of a rejected command is rejected, even if it would succeed now", []step{
			{put("a", 1, "x"), CodeConflict, 0}, {put("b", 0, "y"), CodeAccepted, 1}, {put("a", 1, "x"), CodeConflict, 0}}},
		{"an operation ID with another body is rejected", []step{
			{put("a", 0, "x"), CodeAccepted, 1}, {put("a", 1, "y"), CodeOperationReused, 1}, {put("a", 1, "x"), CodeOperationReused, 1}}},
		{"a zone out and in again are two versions", []step{
			{zone("a", 0, true), CodeAccepted, 1}, {zone("b", 1, false), CodeAccepted, 2}}},
		{"a delayed duplicate of a zone out does not revert the zone in", []step{
			{zone("a", 0, true), CodeAccepted, 1}, {zone("b", 1, false), CodeAccepted, 2}, {zone("a", 0, true), CodeAccepted, 1}}},
		{"any version", []step{
			{put("a", 0, "x"), CodeAccepted, 1}, {Command{Kind: KindZone, Operation: "b", AnyVersion: true, Name: "medeu", Out: true}, CodeAccepted, 2}}},
		{"no operation ID", []step{{put("", 0, "x"), CodeMalformed, 0}}},
		{"no lists", []step{{Command{Kind: KindLists, Operation: "a"}, CodeMalformed, 0}}},
		{"unknown kind", []step{{Command{Kind: 99, Operation: "a", Name: "x"}, CodeMalformed, 0}}},
		{"one order at a time for an upstream", []step{
			{order("a", 0, false), CodeAccepted, 1}, {order("b", 1, false), CodeBusy, 1}, {order("c", 1, true), CodeAccepted, 2}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			plain, viaSnapshot := NewConfig(), NewConfig()
			for _, s := range tc.steps {
				want := mustApply(plain, s.cmd)
				is.Equal(want.Code, s.code)
				is.Equal(want.Version, s.version)
				viaSnapshot = restored(viaSnapshot)
				is.Equal(mustApply(viaSnapshot, s.cmd), want) // also after a leader change
			}
			x, _ := viaSnapshot.Snapshot()
			y, _ := plain.Snapshot()
			is.Equal(x, y)
		})
	}
}

// A delayed duplicate of a command must not undo a later command.
func TestConfigLateDuplicateDoesNotRevert(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	out := Command{Kind: KindZone, Operation: "a", Name: "medeu", Out: true, AnyVersion: true}
	mustApply(c, out)
	mustApply(c, Command{Kind: KindZone, Operation: "b", Name: "medeu", AnyVersion: true})
	mustApply(c, out)
	is.Equal(len(c.Committed().State.ZonesOut), 0)
	is.Equal(c.Committed().State.Version, fleet.ConfigVersion(2))
}

// Without operation records a delayed duplicate undoes a later command: the records
// are what TestConfigLateDuplicateDoesNotRevert depends on.
func TestConfigWithoutRecordsReverts(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	out := Command{Kind: KindZone, Operation: "a", Name: "medeu", Out: true, AnyVersion: true}
	mustApply(c, out)
	mustApply(c, Command{Kind: KindZone, Operation: "b", Name: "medeu", AnyVersion: true})
	clear(c.byID)
	mustApply(c, out)
	is.Equal(c.Committed().State.ZonesOut, []string{"medeu"})
}

func TestConfigRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	for i := range maxOperations + 10 {
		mustApply(c, Command{Kind: KindZone, Operation: fmt.Sprint(i), Name: "medeu", Out: true, AnyVersion: true})
	}
	is.Equal(len(c.operations), maxOperations)
	is.Equal(len(c.byID), maxOperations)
	last := Command{Kind: KindZone, Operation: fmt.Sprint(maxOperations + 9), Name: "medeu", Out: true, AnyVersion: true}
	is.Equal(mustApply(restored(c), last).Version, fleet.ConfigVersion(maxOperations+10))
	is.True(len(c.Committed().deltas) <= maxDeltas)
}

func TestConfigRejectsInvalidEncodings(t *testing.T) {
	is := is.New(t)
	c := NewConfig()
	mustApply(c, Command{Kind: KindZone, Operation: "a", Name: "medeu", Out: true})
	a, err := DecodeAnswer(c.Apply(0, []byte("garbage")))
	is.NoErr(err)
	is.Equal(a.Code, CodeMalformed)
	is.True(c.Restore([]byte("garbage")) != nil)
	b, _ := c.Snapshot()
	is.True(c.Restore(append(b, 0)) != nil)
	is.Equal(c.Committed().State.Version, fleet.ConfigVersion(1))
}

func TestConfigFencing(t *testing.T) {
	claim := func(op, instance, boot string, after fleet.FencingNumber) Command {
		return Command{Kind: KindClaim, Claim: &Claim{Upstream: "e1", Operation: op,
			Instance: fleet.InstanceID(instance), Boot: fleet.BootID(boot), After: after}}
	}
	finish := func(fencing fleet.FencingNumber) Command {
		return Command{Kind: KindFinish, Finish: &Finish{Upstream: "e1", Fencing: fencing, Succeeded: true}}
	}
	order := Command{Kind: KindOrder, AnyVersion: true, Order: &OrderSpec{Upstream: "e1", Action: ActionLoad, Model: "m"}}
	first, second := order, order
	first.Operation, second.Operation = "o1", "o2"
	cases := []struct {
		name    string
		cmd     Command
		code    Code
		fencing fleet.FencingNumber
	}{
		{"nothing to claim", claim("o1", "a", "1", 0), CodeNoOrder, 0},
		{"order", first, CodeAccepted, 0},
		{"claim of another operation", claim("o9", "a", "1", 0), CodeNoOrder, 0},
		{"owner claims", claim("o1", "a", "1", 0), CodeAccepted, 1},
		{"the claim is retried", claim("o1", "a", "1", 0), CodeAccepted, 1},
		{"next owner does not know the newest number", claim("o1", "b", "1", 0), CodeStale, 1},
		{"next owner claims with the newest number", claim("o1", "b", "1", 1), CodeAccepted, 2},
		{"delayed duplicate of the previous owner's claim", claim("o1", "a", "1", 0), CodeStale, 2},
		{"previous owner finishes late", finish(1), CodeStale, 1},
		{"owner finishes", finish(2), CodeAccepted, 2},
		{"the finish is retried", finish(2), CodeAccepted, 2},
		{"claim of a finished order", claim("o1", "b", "1", 2), CodeNoOrder, 2},
		{"next order", second, CodeAccepted, 0},
		{"finish with the previous order's number", finish(2), CodeStale, 2},
		{"its claim knows the newest number", claim("o2", "b", "1", 2), CodeAccepted, 3},
	}
	c := NewConfig()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c = restored(c)
			a := mustApply(c, tc.cmd)
			is.Equal(a.Code, tc.code)
			is.Equal(a.Fencing, tc.fencing)
		})
	}
}

// A delta must hold only the workspaces that changed.
func TestDeltaHoldsOnlyChanges(t *testing.T) {
	is := is.New(t)
	before := testLists(workspace("a", "basic"), workspace("b", "basic"), workspace("c", "basic"))
	after := testLists(workspace("a", "basic"), workspace("b", "large"), workspace("d", "basic"))
	d := diff(before, after)
	is.Equal(len(d.Workspaces), 2)
	is.Equal(d.Removed, []fleet.WorkspaceID{"c"})
	is.True(d.Plans == nil && d.Allowances == nil)
	is.True(!strings.Contains(fmt.Sprint(d.Workspaces), "{a "))
}
