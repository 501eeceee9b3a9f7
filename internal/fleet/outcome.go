package fleet

// Outcome tells a caller what became of its request at the upstream.
type Outcome uint8

const (
	// OutcomeNotRun means no byte of the request can have reached an upstream.
	OutcomeNotRun Outcome = iota
	// OutcomeRan means the upstream answered and the answer is whole.
	OutcomeRan
	// OutcomeUnknown means the request may have run.
	OutcomeUnknown
)

// String returns the name that the Wigeonflow-Outcome header carries.
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

// Priority orders requests that wait for capacity. Higher goes first.
type Priority uint8

const (
	// PriorityBatch is for work that can wait, such as long plans.
	PriorityBatch Priority = 0
	// PriorityInteractive is for questions that a person waits for.
	PriorityInteractive Priority = 1
)
