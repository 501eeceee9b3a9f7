package plan

import (
	"errors"
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// plans lists the plans to test. The load is in arrivals per second, about twice what the
// plan admits.
var plans = map[string]struct {
	plan lists.Plan
	load float64
}{
	"small":       {lists.Plan{RequestsPerSecond: 2, Burst: 4, Concurrency: 6, TokensPerMinute: 60_000}, 4},
	"rate":        {lists.Plan{RequestsPerSecond: 100, Burst: 100}, 200},
	"concurrency": {lists.Plan{Concurrency: 100}, 70},
	"tokens":      {lists.Plan{TokensPerMinute: 800_000}, 100},
	"all":         {lists.Plan{RequestsPerSecond: 100, Burst: 100, Concurrency: 280, TokensPerMinute: 1_400_000}, 200},
}

// runFaults overloads one plan while messages are lost, duplicated and delayed, routers
// freeze, are disconnected or restart, and the home moves.
func runFaults(seed uint64, name string, off options) *schedule {
	s := newSchedule(seed, 8, plans[name].plan, off)
	s.rate = plans[name].load
	s.loss, s.dup = 0.05, 0.05
	for i := range 20 {
		s.after(time.Duration(5+6*i)*time.Second, s.injectFault)
	}
	s.run(140 * time.Second)
	return s
}

// injectFault injects one random fault.
func (s *schedule) injectFault() {
	i := s.rng.IntN(len(s.routers))
	r := s.routers[i]
	span := time.Duration((0.5 + 4*s.rng.Float64()) * float64(time.Second))
	switch s.rng.IntN(5) {
	case 0:
		r.frozenUntil = s.now + span
	case 1:
		r.disconnected = true
		s.after(span, func() { r.disconnected = false })
	case 2:
		if i != s.home {
			s.restartRouter(i)
		}
	case 3:
		s.moveHome(i, true)
	case 4:
		s.moveHome(i, false)
	}
}

var seeds = flag.Uint64("seeds", 6, "number of seeds to run for each plan")

func TestPlanLimitsHoldForEverySeed(t *testing.T) {
	for name := range plans {
		t.Run(name, func(t *testing.T) {
			started, rejected := 0, 0
			for seed := range *seeds {
				s := runFaults(seed, name, options{})
				if len(s.violations) > 0 {
					t.Errorf("seed %d: %d limits exceeded, first: %s", seed, len(s.violations), s.violations[0])
				}
				started, rejected = started+s.started, rejected+s.rejected
			}
			t.Logf("started %d, rejected %d", started, rejected)
			if started == 0 || rejected == 0 {
				t.Errorf("load never reached the plan's limits: started %d, rejected %d", started, rejected)
			}
		})
	}
}

func TestPlanLimitsFailWithoutEachMechanism(t *testing.T) {
	cases := []struct {
		name      string
		plan      string
		off       options
		violation string
	}{
		{"expired rate counts as unspent", "rate", options{expireAsUnspent: true}, "rate"},
		{"a new home grants slots at once", "concurrency", options{noClaimWait: true}, "concurrency"},
		{"a new home grants tokens at once", "tokens", options{noClaimWait: true}, "tokens"},
		{"slots are free once a smaller allotment is sent", "concurrency", options{noSlotHold: true}, "concurrency"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			found := false
			for seed := uint64(0); seed < 30 && !found; seed++ {
				for _, b := range runFaults(seed, tc.plan, tc.off).violations {
					found = found || strings.Contains(b, tc.violation)
				}
			}
			is.True(found)
		})
	}
}

func TestRepeatedRequestCountsOnce(t *testing.T) {
	for _, noReplay := range []bool{false, true} {
		is := is.New(t)
		h := NewHome("h1")
		h.off.noReplay = noReplay
		h.SetPlans(0, lists.Plans{
			Plans:      []lists.Plan{{Name: "p", RequestsPerSecond: 10, TokensPerMinute: 1000}},
			Workspaces: []lists.Workspace{{ID: workspace, Plan: "p"}},
		})
		h.ClaimNewWorkspace(0, workspace)
		h.records[workspace].tokens.recordUse(0, 900)
		r := BorrowRequest{
			Workspace: workspace, Instance: "r", Boot: 1, Sequence: 1, Want: Amount{2, 100},
			Home: h.records[workspace].tenure, Refunds: []Refund{{0, 50}},
		}
		first, second := h.Borrow(time.Second, r), h.Borrow(2*time.Second, r)
		once := first.Amount == second.Amount && h.records[workspace].tokens.sum == 850
		is.Equal(once, !noReplay)
		r.Sequence = 0
		is.Equal(h.Borrow(2*time.Second, r).Refusal == RejectionStale, true)
	}
}

func TestLateMessageOfFormerBootIsRejected(t *testing.T) {
	is := is.New(t)
	h := NewHome("h1")
	h.SetPlans(0, lists.Plans{
		Plans:      []lists.Plan{{Name: "p", Concurrency: 2}},
		Workspaces: []lists.Workspace{{ID: workspace, Plan: "p"}},
	})
	h.ClaimNewWorkspace(0, workspace)
	ask := func(instance fleet.InstanceID, boot, sequence uint64, inFlight int) BorrowReply {
		return h.Borrow(time.Second, BorrowRequest{
			Workspace: workspace, Instance: instance, Boot: boot, Sequence: sequence,
			Want: Amount{1, 0}, Slots: inFlight + 1, InFlight: inFlight, Held: inFlight,
		})
	}
	ask("r1", 1, 7, 0)
	ask("r1", 2, 1, 0)
	is.Equal(ask("r1", 2, 2, 1).Slots, 2)
	is.Equal(ask("r1", 1, 8, 0).Refusal, RejectionStale)
	is.Equal(ask("r2", 3, 1, 0).Slots, 0) // r1 holds both slots
}

func TestIdleBorrowersAreEvictedOnceTheyHoldNothing(t *testing.T) {
	is := is.New(t)
	h := NewHome("h1")
	h.SetPlans(0, lists.Plans{
		Plans:      []lists.Plan{{Name: "p", Concurrency: 9}},
		Workspaces: []lists.Workspace{{ID: workspace, Plan: "p"}},
	})
	h.ClaimNewWorkspace(0, workspace)
	ask := func(now time.Duration, instance fleet.InstanceID, slots int) int {
		h.Borrow(now, BorrowRequest{Workspace: workspace, Instance: instance, Boot: 1, Sequence: uint64(now), Slots: slots})
		return len(h.records[workspace].borrowers)
	}
	is.Equal(ask(1, "idle", 0), 1)
	is.Equal(ask(1, "busy", 1), 2)
	is.Equal(ask(evictAfter, "third", 0), 3)
	is.Equal(ask(evictAfter+1, "third", 0), 2)
	is.True(h.records[workspace].borrowers["busy"] != nil)
}

func TestPermissions(t *testing.T) {
	p := NewPermissions(lists.Config{
		Plans: lists.Plans{Workspaces: []lists.Workspace{{ID: "choir", Plan: "gold"}, {ID: "court", Plan: "none"}}},
		Allowances: lists.Allowances{
			Pools:    []lists.Pool{{Name: "llm", MaxConcurrency: 40}},
			Models:   []lists.Model{{Name: "m", Pool: "llm", Adapters: []string{"a", "b"}}, {Name: "x", Pool: "llm"}},
			Services: []lists.Service{{Name: "counter", Pool: "svc"}},
			Plans:    []lists.Allowance{{Plan: "gold", Models: []fleet.ModelName{"m"}, Adapters: []string{"a"}, Services: []string{"counter"}, Capacity: 0.25}},
		},
	})
	cases := []struct {
		name      string
		workspace fleet.WorkspaceID
		model     fleet.ModelName
		adapter   string
		allowed   bool
	}{
		{"a model of the plan", "choir", "m", "", true},
		{"an adapter of the plan", "choir", "m", "a", true},
		{"an adapter of the model alone", "choir", "m", "b", false},
		{"a model outside the plan", "choir", "x", "", false},
		{"a model that isn't listed", "choir", "y", "", false},
		{"a plan without an allowance", "court", "m", "", false},
		{"an unknown workspace", "ward", "m", "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			pool, err := p.Model(tc.workspace, tc.model, tc.adapter)
			is.Equal(err == nil, tc.allowed)
			is.Equal(pool == "llm", tc.allowed)
			is.Equal(errorx.IsOfType(err, ErrNotAllowed), !tc.allowed)
		})
	}
	is := is.New(t)
	_, err := p.Service("choir", "counter")
	is.NoErr(err)
	_, err = p.Service("choir", "ledger")
	is.True(errorx.IsOfType(err, ErrNotAllowed) && !errors.Is(err, nil))
	is.Equal(p.Share("choir", "llm"), 10)
	is.Equal(p.Share("court", "llm"), 0)
}
