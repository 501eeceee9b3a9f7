package operator

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

var schedules = flag.Uint64("schedules", 200, "number of seeded random schedules to run")

// registerState is the state of the linearizability model: one versioned register
// with a compare-and-set on its version, and a read.
type registerState struct {
	version fleet.ConfigVersion
	plan    string
}

type registerInput struct {
	read   bool
	expect fleet.ConfigVersion
	any    bool
	plan   string
}

type registerOutput struct {
	unknown bool
	code    Code
	version fleet.ConfigVersion
	plan    string
}

var register = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		if in.read {
			return out.version == s.version && out.plan == s.plan, s
		}
		next, code := s, CodeConflict
		if in.any || in.expect == s.version {
			next, code = registerState{s.version + 1, in.plan}, CodeAccepted
		}
		return out.unknown || out.code == code && out.version == next.version, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// schedule is a random run of several operators against one control log. Commands
// are committed in one order; answers get lost, commands are retried and
// duplicates arrive late; the leader changes, and the new one restores its state
// from a snapshot or from the log.
type schedule struct {
	rng     *rand.Rand
	log     [][]byte
	config  *Config
	history []porcupine.Operation
	clock   int64
	pending []func()  // requests in flight
	without mechanism // the disabled mechanism
}

// mechanism identifies a safeguard of Config that a schedule disables, to prove that
// the linearizability check detects its absence.
type mechanism int

const (
	noMechanism      mechanism = iota
	operationRecords           // if disabled, every duplicate of a command is executed
	versionCheck               // if disabled, the expected version is not compared
)

type operatorClient struct {
	id    int
	seen  fleet.ConfigVersion // version in the last answer
	calls int
}

// tick advances the clock by one and returns its new time.
func (s *schedule) tick() int64 { s.clock++; return s.clock }

func (s *schedule) run(operators, calls int) {
	for id := range operators {
		s.startCall(&operatorClient{id: id}, calls)
	}
	for len(s.pending) > 0 {
		i := s.rng.IntN(len(s.pending))
		send := s.pending[i]
		s.pending = append(s.pending[:i], s.pending[i+1:]...)
		send()
		if s.rng.IntN(10) == 0 {
			s.changeLeader()
		}
	}
}

// startCall starts an operator's next call; left is the number of calls still to make.
func (s *schedule) startCall(c *operatorClient, left int) {
	if left == 0 {
		return
	}
	c.calls++
	start := s.tick()
	if s.rng.IntN(3) == 0 {
		s.pending = append(s.pending, func() { s.readConfig(c, start, left) })
		return
	}
	in := registerInput{expect: c.seen, any: s.rng.IntN(8) == 0, plan: fmt.Sprintf("%d-%d", c.id, c.calls)}
	s.send(c, start, in, left, 1+s.rng.IntN(3))
}

func (s *schedule) readConfig(c *operatorClient, start int64, left int) {
	state := &s.config.Committed().State
	out := registerOutput{version: state.Version}
	for _, w := range state.Lists.Plans.Workspaces {
		if w.ID == "w" {
			out.plan = w.Plan
		}
	}
	c.seen = out.version
	s.finishCall(c, start, registerInput{read: true}, out, left)
}

// send puts a command in flight. If its answer is lost the operator retries it,
// possibly while the first request is still in flight.
func (s *schedule) send(c *operatorClient, start int64, in registerInput, left, attempts int) {
	lost := attempts > 1
	encoded := s.encodeCommand(in)
	s.pending = append(s.pending, func() {
		b := s.commit(encoded)
		if lost {
			return
		}
		a, _ := DecodeAnswer(b)
		c.seen = a.Version
		s.finishCall(c, start, in, registerOutput{code: a.Code, version: a.Version}, left)
	})
	if lost {
		s.pending = append(s.pending, func() { s.send(c, start, in, left, attempts-1) })
	}
}

// encodeCommand encodes a call as the HTTP handler does, against the configuration in
// force.
func (s *schedule) encodeCommand(in registerInput) []byte {
	config := testLists(workspace("w", in.plan), workspace("v", "basic"))
	cmd := Command{Kind: KindLists, Operation: in.plan, Expect: in.expect, AnyVersion: in.any, Lists: config}
	if s.without == versionCheck {
		cmd.AnyVersion = true
	} else if !in.any {
		cmd.Lists = nil
		if err := fillListsCommand(&cmd, &s.config.Committed().State, *config); err != nil {
			panic(err)
		}
	}
	encoded, _ := cmd.Encode()
	return encoded
}

func (s *schedule) commit(encoded []byte) []byte {
	s.log = append(s.log, encoded)
	if s.without == operationRecords {
		clear(s.config.byID)
	}
	return s.config.Apply(uint64(len(s.log)), encoded)
}

// finishCall records a call that has returned and starts the next one.
func (s *schedule) finishCall(c *operatorClient, start int64, in registerInput, out registerOutput, left int) {
	s.history = append(s.history, porcupine.Operation{ClientId: c.id, Input: in, Call: start, Output: out, Return: s.tick()})
	s.startCall(c, left-1)
}

// changeLeader replaces the Config by one restored from a snapshot or from the
// log.
func (s *schedule) changeLeader() {
	if s.rng.IntN(2) == 0 {
		s.config = restored(s.config)
		return
	}
	c := NewConfig()
	for i, encoded := range s.log {
		if s.without == operationRecords {
			clear(c.byID)
		}
		c.Apply(uint64(i), encoded)
	}
	s.config = c
}

// linearizable reports whether the history of a random schedule is linearizable.
func linearizable(seed uint64, without mechanism) bool {
	s := &schedule{rng: rand.New(rand.NewPCG(seed, 3)), config: NewConfig(), without: without}
	s.run(4, 6)
	sort.Slice(s.history, func(i, j int) bool { return s.history[i].Call < s.history[j].Call })
	return porcupine.CheckOperations(register, s.history)
}

func TestOperatorsCallsAreLinearizable(t *testing.T) {
	for seed := range *schedules {
		if !linearizable(seed, noMechanism) {
			t.Fatalf("seed %d: the operators' calls are not linearizable", seed)
		}
	}
}

// The linearizability check must detect each disabled mechanism. Without operation
// records a retried command runs twice, or conflicts with itself. Without the
// version check two operators that expect the same version are both accepted.
func TestNotLinearizableWithoutAMechanism(t *testing.T) {
	for name, without := range map[string]mechanism{"records of operations": operationRecords, "expected version": versionCheck} {
		t.Run(name, func(t *testing.T) {
			for seed := range *schedules {
				if !linearizable(seed, without) {
					t.Logf("seed %d", seed)
					return
				}
			}
			t.Fatal("every schedule is linearizable although the mechanism is disabled")
		})
	}
}

// Members that applied the same commands must have equal snapshots, also if some
// restored their state from a snapshot in between.
func TestSnapshotsOfMembersAreEqual(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 4))
		a, b := NewConfig(), NewConfig()
		for i := range 80 {
			cmd := randomCommand(rng, rng.IntN(60))
			x, y := mustApply(a, cmd), mustApply(b, cmd)
			if x != y {
				t.Fatalf("seed %d, command %d: answers differ: %+v, %+v", seed, i, x, y)
			}
			if rng.IntN(5) == 0 {
				b = restored(b)
			}
		}
		x, _ := a.Snapshot()
		y, _ := b.Snapshot()
		if !bytes.Equal(x, y) {
			t.Fatalf("seed %d: snapshots differ", seed)
		}
	}
}
