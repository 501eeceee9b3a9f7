package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

// callHistory records the history of several operators' calls.
type callHistory struct {
	mu      sync.Mutex
	history []porcupine.Operation
	checked int // number of operations that longestCall has covered
}

// longestCall returns the duration of the longest call with a known outcome since the
// last call of longestCall.
func (o *callHistory) longestCall() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var longest int64
	for _, op := range o.history[o.checked:] {
		if !op.Output.(applyOutput).unknown {
			longest = max(longest, op.Return-op.Call)
		}
	}
	o.checked = len(o.history)
	return time.Duration(longest)
}

type applyInput struct {
	read   bool
	expect fleet.ConfigVersion
	plan   string
}

type applyOutput struct {
	unknown  bool
	accepted bool
	version  fleet.ConfigVersion // in force after the call
	plan     string
}

// modelState is the state of the linearizability model: the configuration in force.
type modelState struct {
	version fleet.ConfigVersion
	plan    string
}

// configurationModel models a versioned register: a change is accepted if it expects the
// version in force.
var configurationModel = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(modelState), input.(applyInput), output.(applyOutput)
		switch {
		case in.read:
			return out.version == s.version && out.plan == s.plan, s
		case in.expect != s.version:
			return out.unknown || !out.accepted && out.version == s.version, s
		default:
			next := modelState{s.version + 1, in.plan}
			return out.unknown || out.accepted && out.version == next.version, next
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// recordCall runs one call and adds it to the history. A call of unknown outcome may
// take effect at any later time, so its return time is the far future.
func (o *callHistory) recordCall(client int, in applyInput, call func() applyOutput) applyOutput {
	start := time.Now().UnixNano()
	out := call()
	end := time.Now().UnixNano()
	if out.unknown {
		end = 1 << 62
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{ClientId: client, Input: in, Call: start, Output: out, Return: end})
	return out
}

const (
	// callsAfterFault is the number of calls that each operator makes after a fault.
	callsAfterFault = 6
	// callPause is the time between an operator's calls.
	callPause = 10 * time.Millisecond
)

// runOperator runs one operator, which reads and applies configurations until done is
// closed, and then makes callsAfterFault more calls.
func (f *processFleet) runOperator(o *callHistory, id int, done <-chan struct{}) {
	client := f.client()
	var seen fleet.ConfigVersion
	for i, left := 0, callsAfterFault; left > 0; i++ {
		select {
		case <-done:
			left--
		default:
		}
		in := applyInput{read: i%3 == 2, expect: seen, plan: fmt.Sprintf("plan-%d-%d-%d", id, i, time.Now().UnixNano())}
		out := o.recordCall(id, in, func() applyOutput {
			if in.read {
				return readConfig(client)
			}
			return applyConfig(client, in)
		})
		if !out.unknown {
			seen = out.version
		}
		time.Sleep(callPause)
	}
}

func readConfig(client *operator.Client) applyOutput {
	for {
		config, version, err := client.Config(context.Background())
		if err != nil {
			continue
		}
		out := applyOutput{version: version}
		if len(config.Plans.Plans) > 0 {
			out.plan = config.Plans.Plans[0].Name
		}
		return out
	}
}

func applyConfig(client *operator.Client, in applyInput) applyOutput {
	config := lists.Config{Plans: lists.Plans{Plans: []lists.Plan{{Name: in.plan}}}}
	version, err := client.Apply(context.Background(), operator.Expect{Version: in.expect}, in.plan, config)
	if err == nil {
		return applyOutput{accepted: true, version: version}
	}
	inForce, known := operator.VersionInForce(err)
	return applyOutput{unknown: !errorx.IsOfType(err, operator.ErrRejected) || !known, version: inForce}
}
