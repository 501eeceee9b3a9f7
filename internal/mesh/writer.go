package mesh

import (
	"net"
	"sync"
	"time"
)

// writeTimeout bounds one write to a peer that does not read at all; the
// connection is lost after it.
const writeTimeout = 10 * time.Second

// frameWriter gathers frames of all streams of a connection and writes them in
// as few calls as possible. Its buffer is bounded by the streams' windows.
type frameWriter struct {
	conn net.Conn

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
	w.buf = appendFrame(w.buf, kind, stream, body)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// run writes queued frames until the writer is closed or a write fails.
func (w *frameWriter) run() error {
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		out, closed := w.buf, w.closed
		w.buf = spare[:0]
		w.mu.Unlock()
		if len(out) > 0 {
			_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
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

// maxSpareBytes bounds the buffer that an idle connection keeps.
const maxSpareBytes = 64 << 10

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
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
