package answer

import "bytes"

// Verdict tells what an Assembler did with an event.
type Verdict uint8

const (
	// VerdictRelay means the event is the next one: its bytes go to the caller.
	VerdictRelay Verdict = iota
	// VerdictEnd means the stream is whole: its end goes to the caller.
	VerdictEnd
	// VerdictDuplicate means the event was relayed before and is dropped.
	VerdictDuplicate
	// VerdictCrossed means the event belongs to another attempt and is dropped.
	VerdictCrossed
	// VerdictLate means the event came after the end and is dropped.
	VerdictLate
	// VerdictGap means events before this one are missing. It is dropped, and the
	// stream must be resumed after Assembler.Offset.
	VerdictGap
	// VerdictUnmatched means the event breaks the engine protocol: its data names
	// no attempt, or it is a token event without a number. It is dropped, and the
	// attempt can't be trusted further.
	VerdictUnmatched
	verdicts
)

// String returns the verdict's name for metrics and logs.
func (v Verdict) String() string {
	names := [verdicts]string{"relay", "end", "duplicate", "crossed", "late", "gap", "unmatched"}
	if v >= verdicts {
		return "invalid"
	}
	return names[v]
}

// Counts counts the events of a stream by verdict.
type Counts [verdicts]uint64

// Dropped returns how many events were not relayed.
func (c Counts) Dropped() uint64 {
	var n uint64
	for v := VerdictDuplicate; v < verdicts; v++ {
		n += c[v]
	}
	return n
}

// Assembler puts the events of an attempt and its resumptions together to one
// answer in which every token event occurs once and in order. The entry router
// keeps one per stream. It holds a few words of state and no event.
//
// Invariant: the events relayed so far are exactly 1 to Offset() of the current
// attempt, then at most one usage chunk, then at most one end. It holds since
// only the event numbered Offset()+1 is relayed, and an attempt is replaced only
// before its first event is relayed.
type Assembler struct {
	attempt AttemptID
	marker  []byte // the attempt's identity as it stands in every chunk
	offset  uint64
	relayed bool
	tail    bool // the usage chunk was relayed
	done    bool
	counts  Counts

	acceptAny bool // test builds without the duplicate and gap checks
}

// NewAssembler returns an Assembler for the answer of attempt.
func NewAssembler(attempt AttemptID) *Assembler {
	a := &Assembler{}
	a.setAttempt(attempt)
	return a
}

func (a *Assembler) setAttempt(attempt AttemptID) {
	a.attempt = attempt
	a.marker = append(a.marker[:0], `"id":"chatcmpl-`...)
	a.marker = append(a.marker, attempt...)
	a.marker = append(a.marker, '"')
}

// Attempt returns the attempt whose events are accepted.
func (a *Assembler) Attempt() AttemptID { return a.attempt }

// Offset returns the number of the last token event accepted; a resumption
// continues after it.
func (a *Assembler) Offset() uint64 { return a.offset }

// Whole tells whether the end was received.
func (a *Assembler) Whole() bool { return a.done }

// Counts returns the events seen so far by verdict.
func (a *Assembler) Counts() Counts { return a.counts }

// Restart makes attempt the one whose events are accepted. It returns false and
// changes nothing if an event of the former attempt was already relayed: events
// of two attempts never mix.
func (a *Assembler) Restart(attempt AttemptID) bool {
	if a.relayed || a.done {
		return false
	}
	a.setAttempt(attempt)
	return true
}

// Discard forgets what was accepted, for a caller that was sent none of it, so
// that a Restart is possible.
func (a *Assembler) Discard() {
	a.offset, a.relayed, a.tail, a.done = 0, false, false, false
}

// Accept takes the next event that arrived for attempt and tells what to do
// with it. Only VerdictRelay and VerdictEnd bring something for the caller.
func (a *Assembler) Accept(attempt AttemptID, ev Event) Verdict {
	usage := isUsage(ev)
	v := a.judge(attempt, ev, usage)
	a.counts[v]++
	switch v {
	case VerdictRelay:
		a.relayed = true
		if usage {
			a.tail = true
		} else {
			a.offset = ev.Offset
		}
	case VerdictEnd:
		a.done = true
	}
	return v
}

func (a *Assembler) judge(attempt AttemptID, ev Event, usage bool) Verdict {
	if attempt != a.attempt {
		return VerdictCrossed
	}
	if a.done {
		return VerdictLate
	}
	if ev.Done {
		return a.judgeEnd()
	}
	if v := a.matches(ev.Data); v != VerdictRelay {
		return v
	}
	return a.judgeOrder(ev, usage)
}

// judgeEnd accepts an end only behind the usage chunk, which the router always
// asks for: an end without it means that events are missing.
func (a *Assembler) judgeEnd() Verdict {
	if !a.tail && !a.acceptAny {
		return VerdictGap
	}
	return VerdictEnd
}

// judgeOrder judges a chunk that is the attempt's own. The usage chunk may come
// with the next number or none.
func (a *Assembler) judgeOrder(ev Event, usage bool) Verdict {
	switch {
	case a.acceptAny:
		return VerdictRelay
	case a.tail:
		return VerdictDuplicate
	case usage:
		return a.judgeUsage(ev)
	case ev.Offset == 0:
		return VerdictUnmatched
	case ev.Offset == a.offset+1:
		return VerdictRelay
	case ev.Offset <= a.offset:
		return VerdictDuplicate
	default:
		return VerdictGap
	}
}

// judgeUsage finds token events that are missing right before the usage chunk:
// the last token's number is never below the count of tokens.
func (a *Assembler) judgeUsage(ev Event) Verdict {
	usage, ok := chunkUsage(ev.Data)
	switch {
	case !ok:
		return VerdictUnmatched
	case usage.CompletionTokens > a.offset || ev.Offset > a.offset+1:
		return VerdictGap
	default:
		return VerdictRelay
	}
}

// matches tells whether a chunk is the attempt's own. The marker can't occur in
// another attempt's chunk by way of its text, since quotes inside a JSON string
// are escaped.
func (a *Assembler) matches(data []byte) Verdict {
	if len(data) > 0 && bytes.HasPrefix(data[1:], a.marker) || bytes.Contains(data, a.marker) {
		return VerdictRelay
	}
	id, ok := chunkID(data)
	switch {
	case !ok:
		return VerdictUnmatched
	case id != "chatcmpl-"+string(a.attempt):
		return VerdictCrossed
	default:
		return VerdictRelay
	}
}
