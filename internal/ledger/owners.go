package ledger

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Process identifies one boot of an instance that runs attempts.
type Process struct {
	Owner fleet.InstanceID
	Boot  fleet.BootID
}

// RecordOwner is a process that has begun records.
type RecordOwner struct {
	Process
	// Tenure is the latest tenure of the begun records. The command of EndTenures ends
	// only the tenures up to it, so that a later tenure of the process continues.
	Tenure uint64
}

// EndTenures returns the command that ends the process' tenures up to o.Tenure.
func (o RecordOwner) EndTenures() Command {
	return Command{Op: OpEndTenures, Owner: o.Owner, Boot: o.Boot, Tenure: o.Tenure}
}

// RecordOwners returns the processes that have begun records, ordered by their oldest
// record. The control leader compares them with the members and proposes an OpEndTenures
// for each process without a session.
func (s *State) RecordOwners() []RecordOwner {
	var out []RecordOwner
	at := make(map[processID]int)
	for r := s.queues[statusBegun].front; r != nil; r = r.next {
		i, seen := at[r.owner]
		if !seen {
			i = len(out)
			at[r.owner] = i
			out = append(out, RecordOwner{Process: Process{r.owner.owner, r.owner.boot}})
		}
		out[i].Tenure = max(out[i].Tenure, r.tenure)
	}
	return out
}
