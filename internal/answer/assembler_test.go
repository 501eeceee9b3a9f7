package answer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func tokenEvent(attempt AttemptID, n uint64) Event {
	return Event{Offset: n, Data: fmt.Appendf(nil, `{"id":"chatcmpl-%s","choices":[{"delta":{"content":"w%d "}}]}`, attempt, n)}
}

func usageEvent(attempt AttemptID, tokens, offset uint64) Event {
	data := fmt.Appendf(nil, `{"id":"chatcmpl-%s","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":%d}}`, attempt, tokens)
	return Event{Offset: offset, Data: data}
}

func TestAssemblerClassifiesEvents(t *testing.T) {
	type step struct {
		attempt AttemptID
		event   Event
		want    Verdict
	}
	tok := func(n uint64) Event { return tokenEvent("a", n) }
	for _, c := range []struct {
		name     string
		steps    []step
		complete bool
	}{
		{"complete stream", []step{{"a", tok(1), VerdictRelay}, {"a", tok(2), VerdictRelay}, {"a", usageEvent("a", 2, 0), VerdictRelay}, {"a", Event{Done: true}, VerdictEnd}}, true},
		{"numbered usage", []step{{"a", tok(1), VerdictRelay}, {"a", usageEvent("a", 1, 2), VerdictRelay}, {"a", Event{Done: true}, VerdictEnd}}, true},
		{"duplicated token", []step{{"a", tok(1), VerdictRelay}, {"a", tok(1), VerdictDuplicate}, {"a", tok(2), VerdictRelay}}, false},
		{"lost token", []step{{"a", tok(1), VerdictRelay}, {"a", tok(3), VerdictGap}, {"a", tok(2), VerdictRelay}, {"a", tok(3), VerdictRelay}}, false},
		{"lost last token", []step{{"a", tok(1), VerdictRelay}, {"a", usageEvent("a", 2, 0), VerdictGap}, {"a", Event{Done: true}, VerdictGap}}, false},
		{"end without usage", []step{{"a", tok(1), VerdictRelay}, {"a", Event{Done: true}, VerdictGap}}, false},
		{"event of another attempt", []step{{"b", tok(1), VerdictMisdelivered}, {"a", tok(1), VerdictRelay}}, false},
		{"data of another attempt", []step{{"a", tokenEvent("b", 1), VerdictMisdelivered}}, false},
		{"data without an attempt ID", []step{{"a", Event{Offset: 1, Data: []byte(`{}`)}, VerdictUnmatched}}, false},
		{"token without a number", []step{{"a", Event{Data: tok(1).Data}, VerdictUnmatched}}, false},
		{"unusual spacing", []step{{"a", Event{Offset: 1, Data: []byte(`{ "id" : "chatcmpl-a" }`)}, VerdictRelay}}, false},
		{"attempt ID inside a text", []step{{"a", Event{Offset: 1, Data: []byte(`{"id":"chatcmpl-b","c":"\"id\":\"chatcmpl-a\""}`)}, VerdictMisdelivered}}, false},
		{"usage twice after a resumption", []step{{"a", tok(1), VerdictRelay}, {"a", usageEvent("a", 1, 0), VerdictRelay}, {"a", usageEvent("a", 1, 0), VerdictDuplicate}, {"a", Event{Done: true}, VerdictEnd}}, true},
		{"event after the end", []step{{"a", usageEvent("a", 0, 0), VerdictRelay}, {"a", Event{Done: true}, VerdictEnd}, {"a", tok(1), VerdictLate}, {"a", Event{Done: true}, VerdictLate}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := NewAssembler("a")
			for _, s := range c.steps {
				is.Equal(a.Accept(s.attempt, s.event), s.want)
			}
			is.Equal(a.Complete(), c.complete)
		})
	}
}

func TestAssemblerRestartsOnlyBeforeTheFirstEvent(t *testing.T) {
	is := is.New(t)
	a := NewAssembler("a")
	is.True(a.Restart("b"))
	is.Equal(a.Accept("a", tokenEvent("a", 1)), VerdictMisdelivered)
	is.Equal(a.Accept("b", tokenEvent("b", 1)), VerdictRelay)
	is.True(!a.Restart("c"))
	a.Discard()
	is.True(a.Restart("c"))
	is.Equal(a.Accept("c", tokenEvent("c", 1)), VerdictRelay)
}

// assembleFaultyStream passes an answer of tokenCount tokens to an assembler over connections
// that are cut and lose, duplicate and misdeliver events. It returns the offsets relayed.
func assembleFaultyStream(t *rapid.T, a *Assembler, tokenCount uint64) []uint64 {
	var relayed []uint64
	for round := 0; !a.Complete(); round++ {
		faulty := round < 20
		next := a.Offset() + 1
		if faulty && a.Offset() > 0 {
			next -= rapid.Uint64Range(0, a.Offset()).Draw(t, "resent")
		}
		for ; next <= tokenCount+2; next++ {
			ev := tokenEvent("a", next)
			if next == tokenCount+1 {
				ev = usageEvent("a", tokenCount, 0)
			} else if next == tokenCount+2 {
				ev = Event{Done: true}
			}
			fault := "none"
			if faulty {
				fault = rapid.SampledFrom([]string{"none", "none", "none", "cut", "lost", "doubled", "crossed"}).Draw(t, "fault")
			}
			if fault == "cut" {
				break
			}
			if fault == "lost" {
				continue
			}
			if fault == "crossed" {
				relayed = acceptEvent(relayed, a, "b", tokenEvent("b", next))
			}
			relayed = acceptEvent(relayed, a, "a", ev)
			if fault == "doubled" {
				relayed = acceptEvent(relayed, a, "a", ev)
			}
		}
	}
	return relayed
}

func acceptEvent(relayed []uint64, a *Assembler, attempt AttemptID, ev Event) []uint64 {
	if a.Accept(attempt, ev) == VerdictRelay && !isUsage(ev) {
		return append(relayed, ev.Offset)
	}
	return relayed
}

func inOrder(offsets []uint64, n uint64) bool {
	for i, offset := range offsets {
		if offset != uint64(i)+1 {
			return false
		}
	}
	return uint64(len(offsets)) == n
}

func TestAssemblerRelaysEveryTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint64Range(0, 12).Draw(t, "tokens")
		if got := assembleFaultyStream(t, NewAssembler("a"), n); !inOrder(got, n) {
			t.Fatalf("relayed offsets %v, want 1 to %d in order", got, n)
		}
	})
}

// Without the duplicate and gap checks the same faults must corrupt some answers;
// otherwise TestAssemblerRelaysEveryTokenOnce would show nothing.
func TestAssemblerChecksAreNeeded(t *testing.T) {
	is := is.New(t)
	broken := 0
	for seed := range 50 {
		gen := rapid.Custom(func(t *rapid.T) bool {
			a := NewAssembler("a")
			a.acceptAny = true
			return inOrder(assembleFaultyStream(t, a, 8), 8)
		})
		if !gen.Example(seed) {
			broken++
		}
	}
	is.True(broken > 0) // tokens are lost or duplicated
}

func BenchmarkTokenEvent(b *testing.B) {
	var stream []byte
	const tokens = 4096
	for n := uint64(1); n <= tokens; n++ {
		data := fmt.Appendf(nil, `{"id":"chatcmpl-0190a1b2-7c3d","object":"chat.completion.chunk","created":1764800000,"model":"m","choices":[{"index":0,"delta":{"content":" word%d"},"finish_reason":null}]}`, n)
		stream = AppendEvent(stream, Event{Offset: n, Data: data})
	}
	out := make([]byte, 0, 1024)
	var p Parser
	b.ReportAllocs()
	for done := 0; done < b.N; {
		p = Parser{buf: p.buf}
		a := NewAssembler("0190a1b2-7c3d")
		rest := stream
		for done < b.N {
			ev, ok, err := p.Next()
			if err != nil {
				b.Fatal(err)
			}
			if !ok {
				if len(rest) == 0 {
					break
				}
				space, _ := p.Space()
				n := copy(space, rest)
				p.Advance(n)
				rest = rest[n:]
				continue
			}
			if a.Accept("0190a1b2-7c3d", ev) != VerdictRelay {
				b.Fatal("assembler did not relay the event")
			}
			out = AppendData(out[:0], ev.Data)
			done++
		}
	}
}
