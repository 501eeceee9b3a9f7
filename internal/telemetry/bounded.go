package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxLinesPerKind is the maximum number of lines of one kind in a second: enough to log
	// every failure of one process during an outage.
	maxLinesPerKind = 100
	// maxQueuedLines and maxQueuedBytes limit the lines that are queued while the reader of the
	// output is stalled.
	maxQueuedLines = 2048
	maxQueuedBytes = 512 << 10
	// reportInterval is the time between two reports of the number of dropped lines.
	reportInterval = time.Second
	// maxKinds limits the number of kinds with a budget of their own; further kinds share one.
	maxKinds = 256
)

// BoundedWriter forwards log lines to a writer without ever blocking the caller. The
// kind of a JSON line is its message; all other lines share one kind. The number of lines
// of one kind is limited per second. Dropped lines are counted and reported in a line of
// their own. It is safe for concurrent use.
type BoundedWriter struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu          sync.Mutex
	closed      bool
	queuedBytes int // bytes queued in lines
	kinds       map[string]*kindBudget
	second      int64 // the current reportInterval, counted since the Unix epoch
}

// kindBudget counts the lines of one kind.
type kindBudget struct {
	written int // lines queued in the current second
	dropped int // lines dropped and not yet reported
}

// NewBoundedWriter returns a writer that forwards lines to out. Close flushes it.
func NewBoundedWriter(out io.Writer) *BoundedWriter { return newBoundedWriter(out, time.Now) }

func newBoundedWriter(out io.Writer, now func() time.Time) *BoundedWriter {
	b := &BoundedWriter{
		out: out, now: now, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		kinds: make(map[string]*kindBudget),
	}
	go b.run()
	return b
}

// Write queues or drops one line. It never fails and never waits for the underlying
// writer.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return len(line), nil
	}
	b.reportDropped()
	budget := b.budgetOf(kindOf(line))
	if budget.written >= maxLinesPerKind || !b.enqueue(bytes.Clone(line)) {
		budget.dropped++
		return len(line), nil
	}
	budget.written++
	return len(line), nil
}

// reportDropped resets the budgets if a new second has started and queues a report of the
// lines dropped before. The caller holds mu.
func (b *BoundedWriter) reportDropped() {
	second := b.now().UnixNano() / int64(reportInterval)
	if second == b.second {
		return
	}
	b.second = second
	for kind, budget := range b.kinds {
		budget.written = 0
		if budget.dropped == 0 {
			continue
		}
		line := fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"kind\":%q,\"count\":%d}\n", kind, budget.dropped)
		if b.enqueue([]byte(line)) {
			budget.dropped = 0
		}
	}
}

// budgetOf returns the budget of a kind. Beyond maxKinds, new kinds share that of lines
// without a kind. The caller holds mu.
func (b *BoundedWriter) budgetOf(kind string) *kindBudget {
	found := b.kinds[kind]
	if found == nil {
		if len(b.kinds) >= maxKinds {
			kind = ""
		}
		if found = b.kinds[kind]; found == nil {
			found = new(kindBudget)
			b.kinds[kind] = found
		}
	}
	return found
}

// enqueue queues a line for run. It returns false if the queue is full. The caller holds mu.
func (b *BoundedWriter) enqueue(line []byte) bool {
	if b.queuedBytes+len(line) > maxQueuedBytes {
		return false
	}
	select {
	case b.lines <- line:
		b.queuedBytes += len(line)
		return true
	default:
		return false
	}
}

// run writes queued lines to out until Close is called.
func (b *BoundedWriter) run() {
	defer close(b.done)
	for line := range b.lines {
		b.mu.Lock()
		b.queuedBytes -= len(line)
		b.mu.Unlock()
		// A failure to write the log can't be logged.
		_, _ = b.out.Write(line)
	}
}

// closeTimeout bounds the time that Close takes to flush.
const closeTimeout = 200 * time.Millisecond

// Close flushes queued lines, for at most closeTimeout. Later lines are discarded.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.second = -1 // also reports the lines dropped in the current second
	b.reportDropped()
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// messageField precedes the message in a JSON line.
var messageField = []byte(`"@message":"`)

// kindOf returns a line's kind: the message of a JSON line, or "".
func kindOf(line []byte) string {
	_, rest, found := bytes.Cut(line, messageField)
	if !found {
		return ""
	}
	message, _, _ := bytes.Cut(rest, []byte{'"'})
	return string(message)
}
