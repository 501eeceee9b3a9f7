package owner

import (
	"context"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// maxBatchBytes bounds the events of one message, so that flow control stays
// finer than a stream's window.
const maxBatchBytes = 16 << 10

// batch combines the events that one read from the engine returned into one message: a
// sequence of encoded Events in order.
type batch struct {
	interval time.Duration // between reads; 0 means no delay
	timer    *time.Timer

	buf    []byte
	offset uint64 // of the last token event in buf, 0 without one
	tokens int    // token events in buf
	done   bool   // the engine's explicit end follows buf
}

func newBatch(interval time.Duration) *batch { return &batch{interval: interval} }

// fill replaces the batch's contents by event and those that were read with it.
func (b *batch) fill(chat upstream.ChatStream, event answer.Event) error {
	b.buf, b.offset, b.tokens = b.buf[:0], 0, 0
	for {
		if event.Done {
			b.done = true
			return nil
		}
		if err := b.add(event); err != nil {
			return err
		}
		if len(b.buf) >= maxBatchBytes {
			return nil
		}
		next, ok := chat.Buffered()
		if !ok {
			return nil
		}
		event = next
	}
}

// add appends an event to the batch.
func (b *batch) add(event answer.Event) error {
	out := Event{Offset: event.Offset, Data: event.Data}
	var err error
	if b.buf, err = out.MarshalMsg(b.buf); err != nil {
		return err
	}
	if event.Offset > 0 {
		b.offset = event.Offset
		b.tokens++
	}
	return nil
}

// wait waits for the interval before the next read, so that it returns more than one
// event. It is called after a batch was sent, so that the first one is not delayed.
func (b *batch) wait(ctx context.Context) {
	if b.interval <= 0 || len(b.buf) >= maxBatchBytes {
		return
	}
	if b.timer == nil {
		b.timer = time.NewTimer(b.interval)
	} else {
		b.timer.Reset(b.interval)
	}
	select {
	case <-ctx.Done():
	case <-b.timer.C:
	}
}

func (b *batch) stop() {
	if b.timer != nil {
		b.timer.Stop()
	}
}
