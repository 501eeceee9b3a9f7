package ledger

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Process names one start of an instance that runs attempts.
type Process struct {
	Owner fleet.InstanceID
	Boot  fleet.BootID
}

// Processes returns the processes that hold begun records, each once. The
// control leader makes the attempts of those unknown that have lost their
// session.
func (s *State) Processes() []Process {
	var out []Process
	seen := make(map[session]bool)
	for r := s.queues[statusBegun].front; r != nil; r = r.next {
		if !seen[r.owner] {
			seen[r.owner] = true
			out = append(out, Process{Owner: r.owner.owner, Boot: r.owner.boot})
		}
	}
	return out
}
