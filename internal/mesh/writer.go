package mesh

import (
	"net"
	"runtime"
	"sync"
	"time"
)

// writeTimeout bounds a write to a peer that does not read. The connection is closed
// after it.
const writeTimeout = 10 * time.Second

// deadlineRenewInterval is the minimum time between two updates of the write deadline. A
// blocked write may be detected this much later than writeTimeout.
const deadlineRenewInterval = time.Second

// frameWriter batches the frames of all streams of a connection into as few writes as
// possible. The streams' windows limit the size of its buffer.
type frameWriter struct {
	conn        net.Conn
	deadlineSet time.Time // last update of the write deadline

	mu     sync.Mutex
	buf    []byte
	closed bool
	wake   chan struct{} // capacity 1
}

func newFrameWriter(conn net.Conn) *frameWriter {
	return &frameWriter{conn: conn, wake: make(chan struct{}, 1)}
}

// write queues one frame for run. It returns false if the writer is closed.
func (w *frameWriter) write(kind frameKind, stream uint32, body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	if len(w.buf) == 0 {
		signal(w.wake) // run writes the whole buffer, later frames included
	}
	w.buf = appendFrame(w.buf, kind, stream, body)
	return true
}

// take returns the queued frames and whether the writer is closed, and queues the next ones in
// the given buffer.
func (w *frameWriter) take(spare []byte) (out []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out = w.buf
	w.buf = spare[:0]
	return out, w.closed
}

// run writes queued frames until the writer is closed or a write fails.
func (w *frameWriter) run() error {
	var spare []byte
	for range w.wake {
		runtime.Gosched() // lets other runnable streams add their frames first
		out, closed := w.take(spare)
		if len(out) > 0 {
			w.renewDeadline(time.Now())
			if _, err := w.conn.Write(out); err != nil {
				return err
			}
		}
		spare = reusableBuffer(out)
		if closed {
			return nil
		}
	}
	return nil
}

// renewDeadline moves the write deadline to at least writeTimeout from now. It does so
// once per deadlineRenewInterval rather than with every write.
func (w *frameWriter) renewDeadline(now time.Time) {
	if now.Sub(w.deadlineSet) < deadlineRenewInterval {
		return
	}
	w.deadlineSet = now
	_ = w.conn.SetWriteDeadline(now.Add(writeTimeout + deadlineRenewInterval))
}

// maxSpareBytes limits the buffer that an idle connection keeps.
const maxSpareBytes = 8 << 10

// reusableBuffer returns buf for reuse, or nil if it exceeds maxSpareBytes.
func reusableBuffer(buf []byte) []byte {
	if cap(buf) > maxSpareBytes {
		return nil
	}
	return buf
}

func (w *frameWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	signal(w.wake)
}
