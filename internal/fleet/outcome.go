package fleet

// Outcome states whether a request ran at an upstream. It is reported to the caller.
type Outcome uint8

const (
	// OutcomeNotRun means that no byte of the request can have reached an upstream.
	OutcomeNotRun Outcome = iota
	// OutcomeRan means that the upstream answered and the answer is complete.
	OutcomeRan
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the outcome's value in the Wigeonflow-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Priority orders requests that wait for capacity; higher values go first.
type Priority uint8

const (
	// PriorityBatch is for requests that can wait, such as long planning requests.
	PriorityBatch Priority = 0
	// PriorityInteractive is for requests whose answer a person is waiting for.
	PriorityInteractive Priority = 1
)
