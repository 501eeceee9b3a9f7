package mesh

import (
	"net"
	"runtime"
	"sync"
	"time"
)

// writeTimeout bounds one write to a peer that does not read at all; the
// connection is lost after it.
const writeTimeout = 10 * time.Second

// renewEvery is how much later than that a loss may be found.
const renewEvery = time.Second

// frameWriter gathers frames of all streams of a connection and writes them in
// as few calls as possible. Its buffer is bounded by the streams' windows.
type frameWriter struct {
	conn    net.Conn
	renewed time.Time // when run last moved the write deadline

	mu     sync.Mutex
	buf    []byte
	closed bool
	wake   chan struct{} // capacity 1
}

func newFrameWriter(conn net.Conn) *frameWriter {
	return &frameWriter{conn: conn, wake: make(chan struct{}, 1)}
}

// write queues one frame. It reports false once the writer is closed.
func (w *frameWriter) write(kind frameKind, stream uint32, body []byte) bool {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return false
	}
	first := len(w.buf) == 0
	w.buf = appendFrame(w.buf, kind, stream, body)
	w.mu.Unlock()
	if first {
		signal(w.wake) // later frames go with the first: run takes the whole buffer
	}
	return true
}

// run writes queued frames until the writer is closed or a write fails.
func (w *frameWriter) run() error {
	var spare []byte
	for range w.wake {
		runtime.Gosched() // streams that are ready to run add their frames first
		w.mu.Lock()
		out, closed := w.buf, w.closed
		w.buf = spare[:0]
		w.mu.Unlock()
		if len(out) > 0 {
			w.renewDeadline(time.Now())
			if _, err := w.conn.Write(out); err != nil {
				return err
			}
		}
		spare = keepSmall(out)
		if closed {
			return nil
		}
	}
	return nil
}

// renewDeadline moves the write deadline to at least writeTimeout from now, once
// in renewEvery rather than with every write.
func (w *frameWriter) renewDeadline(now time.Time) {
	if now.Sub(w.renewed) < renewEvery {
		return
	}
	w.renewed = now
	_ = w.conn.SetWriteDeadline(now.Add(writeTimeout + renewEvery))
}

// maxSpareBytes bounds the buffer that an idle connection keeps.
const maxSpareBytes = 8 << 10

func keepSmall(buf []byte) []byte {
	if cap(buf) > maxSpareBytes {
		return nil
	}
	return buf
}

func (w *frameWriter) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	signal(w.wake)
}
