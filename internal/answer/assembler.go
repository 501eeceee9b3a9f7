package answer

import "bytes"

// Verdict is an Assembler's decision on an event.
type Verdict uint8

const (
	// VerdictRelay means the event is the next one: its bytes go to the caller.
	VerdictRelay Verdict = iota
	// VerdictEnd means the stream is complete: its end goes to the caller.
	VerdictEnd
	// VerdictDuplicate means the event was relayed before and is dropped.
	VerdictDuplicate
	// VerdictMisdelivered means the event was misdelivered: it belongs to another attempt
	// and is dropped.
	VerdictMisdelivered
	// VerdictLate means the event came after the end and is dropped.
	VerdictLate
	// VerdictGap means events before this one are missing. It is dropped, and the
	// stream must be resumed after Assembler.Offset.
	VerdictGap
	// VerdictUnmatched means the event violates the engine protocol: its data names
	// no attempt, or it is a token event without a number. It is dropped, and no
	// further event of the attempt should be accepted.
	VerdictUnmatched
	verdicts // number of verdicts
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

// Assembler combines the events of an attempt and its resumptions into one answer
// in which every token event occurs once and in order. The entry router keeps one
// per stream. It stores a few words of state and no events.
//
// Invariant: the events relayed so far are exactly 1 to Offset() of the current
// attempt, then at most one usage chunk, then at most one end. It holds because
// only the event numbered Offset()+1 is relayed, and an attempt is replaced only
// before its first event is relayed.
type Assembler struct {
	attempt      AttemptID // whose events are accepted
	idMember     []byte    // "id" member of the attempt's chunks, in JSON
	offset       uint64
	relayed      bool
	usageRelayed bool // the usage chunk was relayed
	ended        bool
	counts       Counts

	acceptAny bool // disables the duplicate and gap checks, for tests
}

// NewAssembler returns an Assembler for the answer of attempt.
func NewAssembler(attempt AttemptID) *Assembler {
	a := &Assembler{}
	a.setAttempt(attempt)
	return a
}

// setAttempt sets the attempt whose events are accepted.
func (a *Assembler) setAttempt(attempt AttemptID) {
	a.attempt = attempt
	a.idMember = append(a.idMember[:0], `"id":"chatcmpl-`...)
	a.idMember = append(a.idMember, attempt...)
	a.idMember = append(a.idMember, '"')
}

// Attempt returns the attempt whose events are accepted.
func (a *Assembler) Attempt() AttemptID { return a.attempt }

// Offset returns the number of the last accepted token event, after which a
// resumption continues.
func (a *Assembler) Offset() uint64 { return a.offset }

// Complete reports whether the answer is complete: its end was accepted.
func (a *Assembler) Complete() bool { return a.ended }

// Counts returns the number of events so far by verdict.
func (a *Assembler) Counts() Counts { return a.counts }

// Restart makes the Assembler accept the events of another attempt. It returns false
// and changes nothing if an event of the former attempt was already relayed, so that
// events of two attempts never mix.
func (a *Assembler) Restart(attempt AttemptID) bool {
	if a.relayed || a.ended {
		return false
	}
	a.setAttempt(attempt)
	return true
}

// Discard resets the state so that a Restart is possible. The caller must not have
// been sent any of the accepted events.
func (a *Assembler) Discard() {
	a.offset, a.relayed, a.usageRelayed, a.ended = 0, false, false, false
}

// Accept returns the verdict on the next event that arrived for attempt. Only events
// with VerdictRelay or VerdictEnd go to the caller.
func (a *Assembler) Accept(attempt AttemptID, ev Event) Verdict {
	usage := isUsage(ev)
	v := a.classify(attempt, ev, usage)
	a.counts[v]++
	switch v {
	case VerdictRelay:
		a.relayed = true
		if usage {
			a.usageRelayed = true
		} else {
			a.offset = ev.Offset
		}
	case VerdictEnd:
		a.ended = true
	}
	return v
}

// classify returns the verdict on an event without counting it.
func (a *Assembler) classify(attempt AttemptID, ev Event, usage bool) Verdict {
	if attempt != a.attempt {
		return VerdictMisdelivered
	}
	if a.ended {
		return VerdictLate
	}
	if ev.Done {
		return a.classifyEnd()
	}
	if v := a.checkAttempt(ev.Data); v != VerdictRelay {
		return v
	}
	return a.classifyChunk(ev, usage)
}

// classifyEnd accepts an end only after the usage chunk. The router always requests
// that chunk, so an end without it means that events are missing.
func (a *Assembler) classifyEnd() Verdict {
	if !a.usageRelayed && !a.acceptAny {
		return VerdictGap
	}
	return VerdictEnd
}

// classifyChunk returns the verdict on a chunk of the current attempt. The usage chunk
// may have the next number or none.
func (a *Assembler) classifyChunk(ev Event, usage bool) Verdict {
	switch {
	case a.acceptAny:
		return VerdictRelay
	case a.usageRelayed:
		return VerdictDuplicate
	case usage:
		return a.classifyUsage(ev)
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

// classifyUsage detects missing token events just before the usage chunk: the number
// of the last token event is never below the count of tokens.
func (a *Assembler) classifyUsage(ev Event) Verdict {
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

// checkAttempt returns VerdictRelay if a chunk belongs to the current attempt, and
// otherwise VerdictMisdelivered or VerdictUnmatched. idMember can't occur in the text of
// another attempt's chunk, because quotes inside a JSON string are escaped.
func (a *Assembler) checkAttempt(data []byte) Verdict {
	if len(data) > 0 && bytes.HasPrefix(data[1:], a.idMember) || bytes.Contains(data, a.idMember) {
		return VerdictRelay
	}
	id, ok := chunkID(data)
	switch {
	case !ok:
		return VerdictUnmatched
	case id != "chatcmpl-"+string(a.attempt):
		return VerdictMisdelivered
	default:
		return VerdictRelay
	}
}
