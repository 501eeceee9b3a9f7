package ledger

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Process names one start of an instance that runs attempts.
type Process struct {
	Owner fleet.InstanceID
	Boot  fleet.BootID
}

// Holding is a process with begun records.
type Holding struct {
	Process
	// Tenure is the last one of which there is a begun record; it goes into an
	// OpLapse, so that a later tenure is not ended with it.
	Tenure uint64
}

// Lapse returns the command that ends the process' tenures up to h.Tenure.
func (h Holding) Lapse() Command {
	return Command{Op: OpLapse, Owner: h.Owner, Boot: h.Boot, Tenure: h.Tenure}
}

// Holdings returns the processes that hold begun records, each once, the oldest
// first. The control leader compares them with the members: those of a process
// that has no session any more have to lapse.
func (s *State) Holdings() []Holding {
	var out []Holding
	at := make(map[session]int)
	for r := s.queues[statusBegun].front; r != nil; r = r.next {
		i, seen := at[r.owner]
		if !seen {
			i = len(out)
			at[r.owner] = i
			out = append(out, Holding{Process: Process{r.owner.owner, r.owner.boot}})
		}
		out[i].Tenure = max(out[i].Tenure, r.tenure)
	}
	return out
}
