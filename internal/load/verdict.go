package load

// Verdict classifies the outcome of one request.
type Verdict string

// The verdicts. Lost, Misdelivered, Duplicated and FalseRejection violate a
// guarantee of the fleet.
const (
	// VerdictComplete is a complete and correct answer.
	VerdictComplete Verdict = "whole"
	// VerdictRejected is an error response that says that the request did not run.
	VerdictRejected Verdict = "refused"
	// VerdictUnknown is an error response that says that the request may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictFailed is an explicit error without an outcome, as a response or in a
	// stream, or no response at all.
	VerdictFailed Verdict = "failed"
	// VerdictLost is an answer that ended early without an error or, from a service,
	// is not JSON; or a booking that was answered but never ran.
	VerdictLost Verdict = "lost"
	// VerdictMisdelivered is an answer to another request, or one with wrong,
	// repeated or reordered text.
	VerdictMisdelivered Verdict = "crossed"
	// VerdictDuplicated is an idempotency key that ran more than once.
	VerdictDuplicated Verdict = "doubled"
	// VerdictFalseRejection is a key that ran although every response said that it
	// did not run.
	VerdictFalseRejection Verdict = "false-refusal"
)

// violationVerdicts are the verdicts that violate a guarantee.
var violationVerdicts = []Verdict{VerdictLost, VerdictMisdelivered, VerdictDuplicated, VerdictFalseRejection}

// verdicts lists all verdicts in the order of the report.
var verdicts = append([]Verdict{VerdictComplete, VerdictRejected, VerdictUnknown, VerdictFailed}, violationVerdicts...)

// headerOutcome is the header that says whether a request has run.
const headerOutcome = "Wigeonflow-Outcome"

// errorVerdict returns the verdict of a response with an HTTP status above 399 and
// this value of the outcome header.
func errorVerdict(outcome string) Verdict {
	switch outcome {
	case "not-run":
		return VerdictRejected
	case "unknown":
		return VerdictUnknown
	}
	return VerdictFailed
}
