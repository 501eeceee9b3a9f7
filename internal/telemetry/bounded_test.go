package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lockedBuffer is an output that never blocks.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// testClock is a clock that only the test advances.
type testClock struct{ at time.Time }

func (c *testClock) now() time.Time { return c.at }

func jsonLine(message string, i int) string {
	return fmt.Sprintf("{\"@level\":\"info\",\"@message\":%q,\"request\":\"r-%d\"}\n", message, i)
}

// Many lines of one kind do not displace lines of another kind, and dropped lines are
// counted.
func TestEachKindHasItsLimit(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	c := &testClock{at: time.Unix(100, 0)}
	w := newBoundedWriter(&out, c.now)
	for i := range 10 * maxLinesPerKind {
		_, err := io.WriteString(w, jsonLine("request served", i))
		is.NoErr(err)
		if i%20 == 0 {
			_, err = io.WriteString(w, jsonLine("request failed", i))
			is.NoErr(err)
		}
	}
	c.at = c.at.Add(2 * reportInterval)
	_, err := io.WriteString(w, jsonLine("stopping", 0))
	is.NoErr(err)
	w.Close()
	text := out.String()
	is.Equal(strings.Count(text, `"request served"`), maxLinesPerKind+1) // one more in the report of dropped lines
	is.Equal(strings.Count(text, `"request failed"`), maxLinesPerKind/2)
	is.True(strings.Contains(text, fmt.Sprintf(`"kind":"request served","count":%d`, 9*maxLinesPerKind)))
	is.True(strings.HasSuffix(text, jsonLine("stopping", 0)))
}

// stalledWriter is an output that blocks until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A stalled output leads to dropped lines. It neither blocks callers nor grows the queue
// beyond its limits.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	is := is.New(t)
	output := stalledWriter{make(chan struct{})}
	c := &testClock{at: time.Unix(100, 0)}
	w := newBoundedWriter(output, c.now)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for second := range 200 {
			c.at = time.Unix(int64(100+second), 0)
			for i := range maxLinesPerKind {
				_, _ = io.WriteString(w, jsonLine("request failed", i))
			}
		}
	}()
	<-written // would block forever if Write did
	w.mu.Lock()
	queuedBytes, waiting, dropped := w.queuedBytes, len(w.lines), w.kinds["request failed"].dropped
	w.mu.Unlock()
	is.True(queuedBytes <= maxQueuedBytes)
	is.True(waiting <= maxQueuedLines)
	is.True(dropped > 0) // counted, to be reported once the output accepts lines
	close(output.release)
	w.Close()
}

func TestKindOf(t *testing.T) {
	cases := map[string]string{
		jsonLine("request failed", 1): "request failed",
		"plain text\n":                "",
		`{"@message":"cut`:            "cut",
	}
	for text, kind := range cases {
		t.Run(text, func(t *testing.T) { is.New(t).Equal(kindOf([]byte(text)), kind) })
	}
}
