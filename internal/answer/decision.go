package answer

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Kind is the class of a request, by the retries that it allows.
type Kind uint8

const (
	// KindChat is a chat completion: it may be restarted at another upstream until a
	// byte of its answer was sent to the caller, and its stream can be resumed.
	KindChat Kind = iota
	// KindRepeatable is a service call that may be repeated.
	KindRepeatable
	// KindKeyed is a service call that may not be repeated and carries an
	// Idempotency-Key, so that the ledger prevents repeated execution.
	KindKeyed
	// KindUnkeyed is a service call that may not be repeated and has no key: it
	// gets one attempt.
	KindUnkeyed
)

// End is how an attempt ended, as seen by the entry router.
type End uint8

const (
	// EndComplete means the complete answer was received.
	EndComplete End = iota
	// EndRejected means the owner rejected the request, for instance because its lease
	// has ended. Facts.MayHaveBeenSent shows whether a byte was sent before that.
	EndRejected
	// EndNotConnected means that the owner or the upstream could not be reached.
	EndNotConnected
	// EndDeclined means the upstream answered that it is cold or full.
	EndDeclined
	// EndResumeDeclined means the engine answered that it can't continue the attempt.
	EndResumeDeclined
	// EndCut means the answer broke off, sent no byte for longer than its limit, or had a
	// gap.
	EndCut
	// EndMisdelivered means the answer was misdelivered: it belongs to another attempt.
	EndMisdelivered
	// EndOwnerLost means the mesh connection to the owner broke off.
	EndOwnerLost
	// EndBadRequest means the upstream rejected the request as invalid; another
	// upstream would do the same.
	EndBadRequest
	// EndCallerLeft means the caller closed its connection.
	EndCallerLeft
	// EndDeadline means the request's deadline has passed.
	EndDeadline
	ends
)

var endNames = [ends]string{
	"whole", "refused", "not-connected", "declined", "resume-declined", "cut", "crossed", "owner-lost",
	"bad-request", "caller-left", "deadline",
}

// String returns the end's name for metrics and logs.
func (e End) String() string {
	if e >= ends {
		return "invalid"
	}
	return endNames[e]
}

// Action is what the entry router does next.
type Action uint8

const (
	// ActionDone ends the request: its complete answer has been received.
	ActionDone Action = iota
	// ActionNextCandidate tries the next upstream under a new AttemptID.
	ActionNextCandidate
	// ActionResume continues the same attempt at the same engine, after
	// Decision.Offset, through the engine's current owner.
	ActionResume
	// ActionRestart cancels the attempt and restarts the request at another upstream
	// under a new AttemptID.
	ActionRestart
	// ActionLookup asks the service for the result of the request by its key.
	ActionLookup
	// ActionFail answers the caller with an error status.
	ActionFail
	// ActionFailStream ends the caller's stream with an error event.
	ActionFailStream
	// ActionCancel cancels the attempt and sends no answer, as the caller has left.
	ActionCancel
)

// Decision is an Action with its parameters.
type Decision struct {
	Action Action
	// Offset is the number of the last token event in the caller's answer, for
	// ActionResume.
	Offset uint64
	// Outcome is the outcome of the request over all attempts so far.
	Outcome fleet.Outcome
	// Status is the HTTP status for ActionFail.
	Status int
	// CancelAttempt asks to cancel the ended attempt at its engine, where it may still
	// be running.
	CancelAttempt bool
}

// Defaults of the fields of a Budget.
const (
	DefaultCandidates = 3
	DefaultResumes    = 3
	DefaultRestarts   = 2
)

// Budget limits the attempts of one request. For Candidates, Resumes and Restarts
// zero means the default and a negative value means none.
type Budget struct {
	// Candidates is the largest number of upstreams that may be tried.
	Candidates int
	// Resumes is the largest number of times that a stream may be resumed.
	Resumes int
	// Restarts is the largest number of times that a request is restarted which may
	// have begun to run.
	Restarts int
	// Deadline is the time after which the request fails; 0 means never.
	Deadline time.Duration
	// Lookup means that the service supports a lookup of results by key.
	Lookup bool
}

// Progress is the state of one request at its entry router.
type Progress struct {
	kind       Kind
	budget     Budget
	outcome    fleet.Outcome // of all ended attempts
	candidates int           // upstreams tried
	resumes    int
	restarts   int
	lookedUp   bool // the result was looked up
}

// NewProgress returns the state of a request before its first attempt.
func NewProgress(kind Kind, budget Budget) *Progress {
	budget.Candidates = orDefault(budget.Candidates, DefaultCandidates)
	budget.Resumes = orDefault(budget.Resumes, DefaultResumes)
	budget.Restarts = orDefault(budget.Restarts, DefaultRestarts)
	return &Progress{kind: kind, budget: budget}
}

func orDefault(value, def int) int {
	if value == 0 {
		return def
	}
	return max(value, 0)
}

// Outcome returns the combined outcome of all ended attempts.
func (p *Progress) Outcome() fleet.Outcome { return p.outcome }

// RelayState is how much of the answer was received for the caller and sent to it.
type RelayState struct {
	// Started is set once a byte of an answer's body was sent to the caller.
	Started bool
	// Offset is the number of the last token event that was received for the caller,
	// whether it was sent or is still held for an unstreamed answer.
	Offset uint64
}

// Next decides what to do after an attempt has ended at now. Every call uses at least
// one unit of the budget or ends the request, so that no request is retried without
// end.
func (p *Progress) Next(now time.Duration, end End, facts Facts, relay RelayState) Decision {
	p.outcome = Merge(p.outcome, facts.Outcome())
	switch {
	case end == EndComplete && facts.Complete && !facts.Declined:
		return Decision{Action: ActionDone, Outcome: p.outcome}
	case end == EndCallerLeft:
		return p.cancelDecision(facts)
	case end == EndDeadline || p.deadlinePassed(now):
		return p.failDecision(end, facts, relay)
	}
	switch p.kind {
	case KindChat:
		return p.nextChat(end, facts, relay)
	case KindRepeatable:
		return p.nextRepeatable(end, facts, relay)
	case KindKeyed:
		return p.decideKeyed(end, facts, relay)
	default:
		return p.decideUnkeyed(end, facts, relay)
	}
}

func (p *Progress) deadlinePassed(now time.Duration) bool {
	return p.budget.Deadline > 0 && now >= p.budget.Deadline
}

// nextChat resumes a broken stream if the engine may still hold it, and restarts the
// request only while nothing was sent to the caller.
func (p *Progress) nextChat(end End, facts Facts, relay RelayState) Decision {
	if end == EndBadRequest {
		return p.failDecision(end, facts, relay)
	}
	if p.resumable(end, facts, relay) {
		p.resumes++
		return Decision{Action: ActionResume, Offset: relay.Offset, Outcome: p.outcome}
	}
	if relay.Started {
		return p.failDecision(end, facts, relay)
	}
	if facts.MayHaveBeenSent && !facts.Declined {
		return p.restartOrFail(end, facts, relay)
	}
	return p.nextCandidateOrFail(end, facts, relay)
}

// resumable reports whether the engine may still hold the attempt. After the loss of
// an owner only the facts at the entry router are known: a token event or answer
// headers prove that the engine accepted the attempt. Once a byte was sent to the
// caller, only resuming can complete the answer, so a failed resume is retried.
// EndResumeDeclined is final.
func (p *Progress) resumable(end End, facts Facts, relay RelayState) bool {
	if p.resumes >= p.budget.Resumes {
		return false
	}
	accepted := facts.Accepted || relay.Offset > 0
	switch end {
	case EndCut, EndOwnerLost, EndMisdelivered:
		return accepted
	case EndRejected, EndNotConnected, EndDeclined:
		return relay.Started
	default:
		return false
	}
}

// nextRepeatable retries the request at another upstream while nothing was sent to the
// caller.
func (p *Progress) nextRepeatable(end End, facts Facts, relay RelayState) Decision {
	if end == EndBadRequest || relay.Started {
		return p.failDecision(end, facts, relay)
	}
	if facts.MayHaveBeenSent && !facts.Declined {
		return p.restartOrFail(end, facts, relay)
	}
	return p.nextCandidateOrFail(end, facts, relay)
}

// decideKeyed tries another upstream only if no attempt can have run, and otherwise asks the
// service once for the result, if the service supports that. Before the next attempt the
// caller of Next must release the key in the ledger.
func (p *Progress) decideKeyed(end End, facts Facts, relay RelayState) Decision {
	if p.outcome == fleet.OutcomeNotRun {
		return p.nextCandidateOrFail(end, facts, relay)
	}
	if p.outcome == fleet.OutcomeUnknown && p.budget.Lookup && !p.lookedUp {
		p.lookedUp = true
		return Decision{Action: ActionLookup, Outcome: p.outcome}
	}
	return p.failDecision(end, facts, relay)
}

// decideUnkeyed makes no second attempt at an upstream. A rejection by an owner doesn't count
// as one, as nothing was sent to the upstream: another candidate may follow it.
func (p *Progress) decideUnkeyed(end End, facts Facts, relay RelayState) Decision {
	if end == EndRejected && p.outcome == fleet.OutcomeNotRun {
		return p.nextCandidateOrFail(end, facts, relay)
	}
	return p.failDecision(end, facts, relay)
}

// nextCandidateOrFail tries the next upstream, or fails the request once
// Budget.Candidates were tried.
func (p *Progress) nextCandidateOrFail(end End, facts Facts, relay RelayState) Decision {
	p.candidates++
	if p.candidates >= p.budget.Candidates {
		return p.failDecision(end, facts, relay)
	}
	return Decision{Action: ActionNextCandidate, Outcome: p.outcome}
}

// restartOrFail restarts the request, or fails it once Budget.Restarts are used.
func (p *Progress) restartOrFail(end End, facts Facts, relay RelayState) Decision {
	if p.restarts >= p.budget.Restarts {
		return p.failDecision(end, facts, relay)
	}
	p.restarts++
	return Decision{Action: ActionRestart, Outcome: p.outcome, CancelAttempt: p.cancellable(facts)}
}

// cancelDecision returns the decision for a caller that has left.
func (p *Progress) cancelDecision(facts Facts) Decision {
	return Decision{Action: ActionCancel, Outcome: p.outcome, CancelAttempt: p.cancellable(facts)}
}

// failDecision returns the decision to fail the request: with a status, or with an error
// event if a byte of the answer was sent.
func (p *Progress) failDecision(end End, facts Facts, relay RelayState) Decision {
	d := Decision{Action: ActionFail, Outcome: p.outcome, CancelAttempt: p.cancellable(facts)}
	if relay.Started {
		d.Action = ActionFailStream
		return d
	}
	d.Status = p.failStatus(end)
	return d
}

// cancellable reports whether an engine may still be generating for the attempt.
func (p *Progress) cancellable(facts Facts) bool {
	return p.kind == KindChat && facts.MayHaveBeenSent && !facts.Complete && !facts.Declined
}
