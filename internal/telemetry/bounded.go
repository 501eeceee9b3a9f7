package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// linesPerKind is how many lines of one kind are written in a second: enough to
	// see every failure of a bad minute at one process.
	linesPerKind = 100
	// queueLines and queueBytes bound what waits for a reader that stalls.
	queueLines = 2048
	queueBytes = 512 << 10
	// reportInterval spaces the lines that tell how many were left out.
	reportInterval = time.Second
	// maxKinds bounds the kinds that are counted; those beyond share one budget.
	maxKinds = 256
)

// BoundedWriter passes log lines on to a writer without ever blocking who logs.
// Each kind of line, told by its message, has a limit a second; what is left out is
// counted and told in a line of its own. Lines in JSON have a kind; others share
// one.
type BoundedWriter struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex
	closed bool
	queued int // bytes in lines
	kinds  map[string]*kindBudget
	second int64
}

type kindBudget struct {
	written int // in the current second
	left    int // out, not yet told
}

// NewBoundedWriter returns a writer in front of out. Close it to write out what
// waits.
func NewBoundedWriter(out io.Writer) *BoundedWriter { return newBoundedWriter(out, time.Now) }

func newBoundedWriter(out io.Writer, now func() time.Time) *BoundedWriter {
	b := &BoundedWriter{
		out: out, now: now, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		kinds: make(map[string]*kindBudget),
	}
	go b.run()
	return b
}

// Write takes one line. It never fails and never waits for the writer behind.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return len(line), nil
	}
	b.tell()
	budget := b.budget(kindOf(line))
	if budget.written >= linesPerKind || !b.enqueue(bytes.Clone(line)) {
		budget.left++
		return len(line), nil
	}
	budget.written++
	return len(line), nil
}

// tell starts a new second and tells what the ones before have left out.
func (b *BoundedWriter) tell() {
	second := b.now().UnixNano() / int64(reportInterval)
	if second == b.second {
		return
	}
	b.second = second
	for kind, budget := range b.kinds {
		budget.written = 0
		if budget.left == 0 {
			continue
		}
		line := fmt.Sprintf("{\"@level\":\"warn\",\"@message\":\"log lines left out\",\"kind\":%q,\"count\":%d}\n", kind, budget.left)
		if b.enqueue([]byte(line)) {
			budget.left = 0
		}
	}
}

func (b *BoundedWriter) budget(kind string) *kindBudget {
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

// enqueue hands a line to the writing goroutine, or tells that too much waits.
func (b *BoundedWriter) enqueue(line []byte) bool {
	if b.queued+len(line) > queueBytes {
		return false
	}
	select {
	case b.lines <- line:
		b.queued += len(line)
		return true
	default:
		return false
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	for line := range b.lines {
		b.mu.Lock()
		b.queued -= len(line)
		b.mu.Unlock()
		// There is nowhere to report that the log itself can't be written.
		_, _ = b.out.Write(line)
	}
}

// closeTimeout bounds writing out what waits at the end of the process.
const closeTimeout = 200 * time.Millisecond

// Close writes out what waits, as far as the reader takes it soon.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.second = -1 // tell what the last second has left out as well
	b.tell()
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

// messageField begins a JSON line's message.
var messageField = []byte(`"@message":"`)

// kindOf returns a line's message, which tells its kind.
func kindOf(line []byte) string {
	_, rest, found := bytes.Cut(line, messageField)
	if !found {
		return ""
	}
	message, _, _ := bytes.Cut(rest, []byte{'"'})
	return string(message)
}
