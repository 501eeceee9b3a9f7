package answer

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Kind tells which retries a request allows.
type Kind uint8

const (
	// KindChat is a chat completion: it may start again elsewhere until a byte of
	// its answer went to the caller, and its stream can be resumed.
	KindChat Kind = iota
	// KindRepeatable is a service call that may be repeated.
	KindRepeatable
	// KindKeyed is a service call that may not be repeated and carries an
	// Idempotency-Key, so that the ledger guards its attempts.
	KindKeyed
	// KindUnkeyed is a service call that may not be repeated and has no key: it
	// gets one attempt.
	KindUnkeyed
)

// End tells how an attempt ended, as seen from the entry router.
type End uint8

const (
	// EndWhole means the whole answer was received.
	EndWhole End = iota
	// EndRefused means the owner refused the request before it opened work.
	EndRefused
	// EndNotConnected means that the owner or the upstream could not be reached.
	EndNotConnected
	// EndDeclined means the upstream answered that it is cold or full.
	EndDeclined
	// EndResumeDeclined means the engine can't continue the attempt.
	EndResumeDeclined
	// EndCut means the answer broke off, stalled past its limit or had a gap.
	EndCut
	// EndCrossed means the answer belongs to another attempt.
	EndCrossed
	// EndOwnerLost means the mesh connection to the owner broke off.
	EndOwnerLost
	// EndBadRequest means the upstream refused the request itself; another
	// upstream would do the same.
	EndBadRequest
	// EndCallerLeft means the caller closed its connection.
	EndCallerLeft
	// EndDeadline means the request's time is up.
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
	// ActionDone ends the request: its whole answer has been received.
	ActionDone Action = iota
	// ActionNextCandidate tries the next upstream under a new AttemptID.
	ActionNextCandidate
	// ActionResume continues the same attempt at the same engine, after
	// Decision.Offset, through the engine's present owner.
	ActionResume
	// ActionRestart cancels the attempt and starts the request again on another
	// upstream under a new AttemptID.
	ActionRestart
	// ActionLookup asks the service what became of the request under its key.
	ActionLookup
	// ActionFail answers the caller with an error status.
	ActionFail
	// ActionFailStream ends the caller's stream with an error event.
	ActionFailStream
	// ActionCancel cancels the attempt and answers nobody.
	ActionCancel
)

// Decision is an Action with what it needs.
type Decision struct {
	Action Action
	// Offset is the last token event that the caller's answer holds, for
	// ActionResume.
	Offset uint64
	// Outcome is that of the whole request so far.
	Outcome fleet.Outcome
	// Status is the HTTP status for ActionFail.
	Status int
	// CancelAttempt asks to cancel the ended attempt at its engine, since it may
	// still be running there.
	CancelAttempt bool
}

// Defaults of a Budget's fields.
const (
	DefaultCandidates = 3
	DefaultResumes    = 3
	DefaultRestarts   = 2
)

// Budget bounds what is spent on one request. A zero field means its default;
// a negative one means none.
type Budget struct {
	// Candidates is how many upstreams may be tried.
	Candidates int
	// Resumes is how often a stream may be resumed.
	Resumes int
	// Restarts is how often work that may have begun is started again.
	Restarts int
	// Deadline is when the request's time is up; 0 means never.
	Deadline time.Duration
	// Lookup tells that the service can be asked what became of a key.
	Lookup bool
}

// Progress is the state of one request at its entry router.
type Progress struct {
	kind     Kind
	budget   Budget
	outcome  fleet.Outcome
	tried    int
	resumes  int
	restarts int
	looked   bool
}

// NewProgress returns the state of a request of which no attempt was made.
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

// Outcome returns the outcome of all ended attempts together.
func (p *Progress) Outcome() fleet.Outcome { return p.outcome }

// Relay is what the caller has received of its answer.
type Relay struct {
	// Started is set once a byte of an answer's body went to the caller.
	Started bool
	// Offset is the last token event held for or sent to the caller.
	Offset uint64
}

// Next takes the end of an attempt at now and decides what to do. Every call
// spends at least one unit of the budget or ends the request, so that no
// request is tried for ever.
func (p *Progress) Next(now time.Duration, end End, facts Facts, relay Relay) Decision {
	p.outcome = Merge(p.outcome, facts.Outcome())
	switch {
	case end == EndWhole && facts.Whole && !facts.Declined:
		return Decision{Action: ActionDone, Outcome: p.outcome}
	case end == EndCallerLeft:
		return p.cancel(facts)
	case end == EndDeadline || p.expired(now):
		return p.fail(end, facts, relay)
	}
	switch p.kind {
	case KindChat:
		return p.nextChat(end, facts, relay)
	case KindRepeatable:
		return p.nextRepeatable(end, facts, relay)
	case KindKeyed:
		return p.nextKeyed(end, facts, relay)
	default:
		return p.nextUnkeyed(end, facts, relay)
	}
}

func (p *Progress) expired(now time.Duration) bool {
	return p.budget.Deadline > 0 && now >= p.budget.Deadline
}

// nextChat resumes a broken stream where the engine holds it, and starts again
// only while the caller has seen nothing.
func (p *Progress) nextChat(end End, facts Facts, relay Relay) Decision {
	if end == EndBadRequest {
		return p.fail(end, facts, relay)
	}
	if p.resumable(end, facts, relay) {
		p.resumes++
		return Decision{Action: ActionResume, Offset: relay.Offset, Outcome: p.outcome}
	}
	if relay.Started {
		return p.fail(end, facts, relay)
	}
	if facts.MayHaveLeft && !facts.Declined {
		return p.restart(end, facts, relay)
	}
	return p.nextCandidate(end, facts, relay)
}

// resumable tells whether the engine may still hold the attempt. After a lost
// owner the attempt's facts are those the entry has: a token event or answer
// headers prove that the engine took it. Once the caller has seen a byte,
// resuming is the only way on, so that a failed resume is tried again; a
// decline by the engine is final.
func (p *Progress) resumable(end End, facts Facts, relay Relay) bool {
	if p.resumes >= p.budget.Resumes {
		return false
	}
	taken := facts.Accepted || relay.Offset > 0
	switch end {
	case EndCut, EndOwnerLost, EndCrossed:
		return taken
	case EndRefused, EndNotConnected, EndDeclined:
		return relay.Started
	default:
		return false
	}
}

func (p *Progress) nextRepeatable(end End, facts Facts, relay Relay) Decision {
	if end == EndBadRequest || relay.Started {
		return p.fail(end, facts, relay)
	}
	if facts.MayHaveLeft && !facts.Declined {
		return p.restart(end, facts, relay)
	}
	return p.nextCandidate(end, facts, relay)
}

// nextKeyed tries another upstream only if no attempt can have run. The caller
// of Next must have freed the key in the ledger before the next attempt.
func (p *Progress) nextKeyed(end End, facts Facts, relay Relay) Decision {
	if p.outcome == fleet.OutcomeNotRun {
		return p.nextCandidate(end, facts, relay)
	}
	if p.outcome == fleet.OutcomeUnknown && p.budget.Lookup && !p.looked {
		p.looked = true
		return Decision{Action: ActionLookup, Outcome: p.outcome}
	}
	return p.fail(end, facts, relay)
}

// nextUnkeyed makes no second attempt. An owner's refusal is none: no work was
// opened.
func (p *Progress) nextUnkeyed(end End, facts Facts, relay Relay) Decision {
	if end == EndRefused && p.outcome == fleet.OutcomeNotRun {
		return p.nextCandidate(end, facts, relay)
	}
	return p.fail(end, facts, relay)
}

func (p *Progress) nextCandidate(end End, facts Facts, relay Relay) Decision {
	p.tried++
	if p.tried >= p.budget.Candidates {
		return p.fail(end, facts, relay)
	}
	return Decision{Action: ActionNextCandidate, Outcome: p.outcome}
}

func (p *Progress) restart(end End, facts Facts, relay Relay) Decision {
	if p.restarts >= p.budget.Restarts {
		return p.fail(end, facts, relay)
	}
	p.restarts++
	return Decision{Action: ActionRestart, Outcome: p.outcome, CancelAttempt: p.cancellable(facts)}
}

func (p *Progress) cancel(facts Facts) Decision {
	return Decision{Action: ActionCancel, Outcome: p.outcome, CancelAttempt: p.cancellable(facts)}
}

func (p *Progress) fail(end End, facts Facts, relay Relay) Decision {
	d := Decision{Action: ActionFail, Outcome: p.outcome, CancelAttempt: p.cancellable(facts)}
	if relay.Started {
		d.Action = ActionFailStream
		return d
	}
	d.Status = p.status(end)
	return d
}

// cancellable tells whether an engine may still be generating for the attempt.
func (p *Progress) cancellable(facts Facts) bool {
	return p.kind == KindChat && facts.MayHaveLeft && !facts.Whole && !facts.Declined
}
