package owner

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// bufferedStream is a stream whose events are all buffered.
type bufferedStream struct {
	upstream.ChatStream
	left []answer.Event
}

func (s *bufferedStream) Buffered() (answer.Event, bool) {
	if len(s.left) == 0 {
		return answer.Event{}, false
	}
	next := s.left[0]
	s.left = s.left[1:]
	return next, true
}

func token(offset uint64, data string) answer.Event {
	return answer.Event{Offset: offset, Data: []byte(data)}
}

func TestBatchHoldsEventsOfOneRead(t *testing.T) {
	long := strings.Repeat("x", maxBatchBytes)
	cases := []struct {
		name    string
		events  []answer.Event
		offsets []uint64 // of the first batch's events
		done    bool
		left    int // events for the next batch
	}{
		{"one token goes alone", []answer.Event{token(7, "a")}, []uint64{7}, false, 0},
		{"tokens keep their order", []answer.Event{token(1, "a"), token(2, "b"), token(3, "c")}, []uint64{1, 2, 3}, false, 0},
		{"the usage follows the tokens", []answer.Event{token(4, "a"), token(0, "usage"), {Done: true}}, []uint64{4, 0}, true, 0},
		{"an end alone has no events", []answer.Event{{Done: true}}, nil, true, 0},
		{"a full batch leaves the rest", []answer.Event{token(1, long), token(2, "b")}, []uint64{1}, false, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b, stream := newBatch(0), &bufferedStream{left: tc.events[1:]}
			is.NoErr(b.fill(stream, tc.events[0]))
			is.Equal(b.done, tc.done)
			is.Equal(len(stream.left), tc.left)
			rest, last, tokens := b.buf, uint64(0), 0
			for i, want := range tc.offsets {
				var event Event
				var err error
				rest, err = event.UnmarshalMsg(rest)
				is.NoErr(err)
				is.Equal(event.Offset, want)
				is.Equal(string(event.Data), string(tc.events[i].Data))
				if want > 0 {
					last, tokens = want, tokens+1
				}
			}
			is.Equal(len(rest), 0) // nothing beside the events
			is.Equal(b.offset, last)
			is.Equal(b.tokens, tokens)
		})
	}
}

func TestFillReplacesBatch(t *testing.T) {
	is := is.New(t)
	b := newBatch(0)
	is.NoErr(b.fill(&bufferedStream{}, token(1, "first")))
	size := len(b.buf)
	is.NoErr(b.fill(&bufferedStream{}, token(2, "later")))
	is.Equal(len(b.buf), size)
	is.Equal(b.offset, uint64(2))
	is.Equal(b.tokens, 1)
}

func TestWaitEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	b := newBatch(time.Hour)
	defer b.stop()
	b.wait(ctx) // returns only because ctx has ended
}
