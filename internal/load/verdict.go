package load

// Verdict is what became of one request.
type Verdict string

// The verdicts. Lost, Crossed, Doubled and FalseRefusal break a promise.
const (
	// VerdictWhole is a whole answer to the request itself.
	VerdictWhole Verdict = "whole"
	// VerdictRefused is a refusal that says the request did not run.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown is an error that says the request may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictFailed is an explicit error without an outcome, or none was reached.
	VerdictFailed Verdict = "failed"
	// VerdictLost is an answer that ended early without an error.
	VerdictLost Verdict = "lost"
	// VerdictCrossed is an answer to another request, or with wrong, repeated or
	// reordered text.
	VerdictCrossed Verdict = "crossed"
	// VerdictDoubled is a key that ran more than once.
	VerdictDoubled Verdict = "doubled"
	// VerdictFalseRefusal is a key that ran although every answer denied it.
	VerdictFalseRefusal Verdict = "false-refusal"
)

// broken are the verdicts that break a promise.
var broken = []Verdict{VerdictLost, VerdictCrossed, VerdictDoubled, VerdictFalseRefusal}

// verdicts lists all verdicts in the order of the report.
var verdicts = append([]Verdict{VerdictWhole, VerdictRefused, VerdictUnknown, VerdictFailed}, broken...)

// headerOutcome carries the outcome of a refusal.
const headerOutcome = "Wigeonflow-Outcome"

// refusal returns the verdict of an HTTP status above 399 with an outcome header.
func refusal(outcome string) Verdict {
	switch outcome {
	case "not-run":
		return VerdictRefused
	case "unknown":
		return VerdictUnknown
	}
	return VerdictFailed
}
