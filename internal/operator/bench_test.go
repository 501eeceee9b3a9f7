package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

var workspaceCounts = []int{10, 1000, 4500, 18000}

// largeLists returns lists of n workspaces on nine plans, with nine models.
func largeLists(n int) *lists.Config {
	config := &lists.Config{}
	for i := range 9 {
		plan, model := fmt.Sprintf("plan-%d", i), fleet.ModelName(fmt.Sprintf("model-%d", i))
		pool := fleet.PoolID(fmt.Sprintf("pool-%d", i))
		config.Plans.Plans = append(config.Plans.Plans, lists.Plan{Name: plan, RequestsPerSecond: 5, Concurrency: 8, TokensPerMinute: 1e6})
		config.Allowances.Pools = append(config.Allowances.Pools, lists.Pool{Name: pool, Kind: lists.KindEngine, MaxConcurrency: 64})
		config.Allowances.Models = append(config.Allowances.Models, lists.Model{Name: model, Pool: pool, Adapters: []string{"formal", "plain"}})
		config.Allowances.Plans = append(config.Allowances.Plans, lists.Allowance{Plan: plan, Models: []fleet.ModelName{model}, Capacity: 0.5})
	}
	for i := range n {
		digest := sha256.Sum256([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		config.Plans.Workspaces = append(config.Plans.Workspaces, lists.Workspace{
			ID: fleet.WorkspaceID(fmt.Sprintf("workspace-%05d", i)), Plan: fmt.Sprintf("plan-%d", i%9),
			KeyDigests: []string{hex.EncodeToString(digest[:])}, HomeRegion: "almaty",
		})
	}
	return config
}

// largeConfig returns a Config at version 1 with n workspaces.
func largeConfig(n int) *Config {
	c := NewConfig()
	mustApply(c, Command{Kind: KindLists, Operation: "first", Lists: largeLists(n)})
	return c
}

// moveWorkspace returns the command, also encoded, by which an operator moves
// workspace i to another plan.
func moveWorkspace(c *Config, n, i int) (Command, []byte) {
	config := c.Committed().State.Lists
	config.Plans.Workspaces = append([]lists.Workspace(nil), config.Plans.Workspaces...)
	w := &config.Plans.Workspaces[i%n]
	w.Plan = fmt.Sprintf("plan-%d", (i+1+len(w.Plan))%9)
	if w.Plan == c.Committed().State.Lists.Plans.Workspaces[i%n].Plan {
		w.Plan = "plan-0"
	}
	cmd := Command{Kind: KindLists, Operation: fmt.Sprint("edit-", i), Expect: c.Committed().State.Version}
	if err := fillListsCommand(&cmd, &c.Committed().State, config); err != nil {
		panic(err)
	}
	encoded, _ := cmd.Encode()
	return cmd, encoded
}

// TestEncodedSizes prints the size of a change in the log and on the wire to a
// router, and checks that a day's changes take at most a tenth of the budget of
// control traffic.
func TestEncodedSizes(t *testing.T) {
	const (
		budget        = 2048 // bytes per second for each router
		changesPerDay = 240
		startsPerDay  = 1 // full copies: each router restarts about once a day
		secondsPerDay = 24 * 60 * 60
	)
	for _, n := range workspaceCounts {
		c := largeConfig(n)
		full := c.Committed().Fetch(0)
		cmd, encoded := moveWorkspace(c, n, 1)
		mustApply(c, cmd)
		delta := c.Committed().Fetch(1)
		copyBytes, deltaBytes := updateSize(full), updateSize(delta)
		if len(delta.Deltas) != 1 {
			t.Fatal("the update after one change does not hold one delta")
		}
		perDay := changesPerDay*deltaBytes + startsPerDay*copyBytes
		t.Logf("%5d workspaces: log entry %d B, delta %d B, full copy %d B; %d B per day, %.1f B/s for each router",
			n, len(encoded), deltaBytes, copyBytes, perDay, float64(perDay)/secondsPerDay)
		if perDay/secondsPerDay > budget/10 {
			t.Errorf("%d workspaces: control traffic of %d B per day exceeds a tenth of the budget of %d B/s", n, perDay, budget)
		}
	}
}

func updateSize(u Update) int {
	b, _ := u.MarshalMsg(nil)
	return len(b)
}

// TestMemory prints the heap size of a control member's Config and of a router's
// View.
func TestMemory(t *testing.T) {
	for _, n := range workspaceCounts {
		base := heapSize()
		c := largeConfig(n)
		config := heapSize() - base
		full, _ := (&Update{Full: &c.Committed().State}).MarshalMsg(nil)
		base = heapSize()
		var u Update
		if _, err := u.UnmarshalMsg(full); err != nil {
			t.Fatal(err)
		}
		v := NewView()
		if _, err := v.Apply(&u); err != nil {
			t.Fatal(err)
		}
		u = Update{}
		view := heapSize() - base
		t.Logf("%5d workspaces: Config %.1f MB, View %.1f MB", n, float64(config)/1e6, float64(view)/1e6)
		runtime.KeepAlive(c)
		runtime.KeepAlive(v)
	}
}

// heapSize returns the number of bytes of live heap objects.
func heapSize() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkApply measures applying a change of one workspace at a control member.
func BenchmarkApply(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			c := largeConfig(n)
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				_, encoded := moveWorkspace(c, n, i)
				b.StartTimer()
				c.Apply(0, encoded)
			}
		})
	}
}

// BenchmarkHandle measures the handler's work for one change: encoding, digest
// and delta of the complete lists.
func BenchmarkHandle(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			c := largeConfig(n)
			for b.Loop() {
				moveWorkspace(c, n, 1)
			}
		})
	}
}

// BenchmarkView measures applying one delta at a router.
func BenchmarkView(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			c := largeConfig(n)
			u := c.Committed().Fetch(0)
			v := NewView()
			if _, err := v.Apply(&u); err != nil {
				b.Fatal(err)
			}
			cmd, _ := moveWorkspace(c, n, 1)
			mustApply(c, cmd)
			d := c.Committed().Fetch(1).Deltas[0]
			for b.Loop() {
				d.Version = v.Version() + 1
				if _, err := v.Apply(&Update{Deltas: []Delta{d}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLookup measures a router's lookup of a key's workspace and of whether
// its plan may use a model.
func BenchmarkLookup(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			config := largeLists(n)
			x := newIndex(&State{Lists: *config})
			digest := sha256.Sum256([]byte{1, 0, 0})
			for b.Loop() {
				w := x.WorkspaceByKey(digest)
				if !x.AllowsModel(w.Plan, "model-1") {
					b.Fatal("the plan may not use model-1")
				}
			}
		})
	}
}
