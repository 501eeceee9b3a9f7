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

// lockedBuffer is a reader that keeps up.
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

// clock is a time that only the test moves.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func line(message string, i int) string {
	return fmt.Sprintf("{\"@level\":\"info\",\"@message\":%q,\"request\":\"r-%d\"}\n", message, i)
}

// Many successes leave no failure out, and what is left out is counted.
func TestEachKindHasItsLimit(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	c := &clock{at: time.Unix(100, 0)}
	w := newBoundedWriter(&out, c.now)
	for i := range 10 * linesPerKind {
		_, err := io.WriteString(w, line("request served", i))
		is.NoErr(err)
		if i%20 == 0 {
			_, err = io.WriteString(w, line("request failed", i))
			is.NoErr(err)
		}
	}
	c.at = c.at.Add(2 * reportInterval)
	_, err := io.WriteString(w, line("stopping", 0))
	is.NoErr(err)
	w.Close()
	text := out.String()
	is.Equal(strings.Count(text, `"request served"`), linesPerKind+1) // and once in the count
	is.Equal(strings.Count(text, `"request failed"`), linesPerKind/2)
	is.True(strings.Contains(text, fmt.Sprintf(`"kind":"request served","count":%d`, 9*linesPerKind)))
	is.True(strings.HasSuffix(text, line("stopping", 0)))
}

// stalled is a reader that takes nothing until it is released.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A reader that stalls costs lines, never time or memory of those who log.
func TestStalledReaderBlocksNobody(t *testing.T) {
	is := is.New(t)
	reader := stalled{make(chan struct{})}
	c := &clock{at: time.Unix(100, 0)}
	w := newBoundedWriter(reader, c.now)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for second := range 200 {
			c.at = time.Unix(int64(100+second), 0)
			for i := range linesPerKind {
				_, _ = io.WriteString(w, line("request failed", i))
			}
		}
	}()
	<-written // would wait for ever if a write did
	w.mu.Lock()
	queued, waiting, left := w.queued, len(w.lines), w.kinds["request failed"].left
	w.mu.Unlock()
	is.True(queued <= queueBytes)
	is.True(waiting <= queueLines)
	is.True(left > 0) // counted for when the reader comes back
	close(reader.release)
	w.Close()
}

func TestKindOf(t *testing.T) {
	cases := map[string]string{
		line("request failed", 1): "request failed",
		"plain text\n":            "",
		`{"@message":"cut`:        "cut",
	}
	for text, kind := range cases {
		t.Run(text, func(t *testing.T) { is.New(t).Equal(kindOf([]byte(text)), kind) })
	}
}
