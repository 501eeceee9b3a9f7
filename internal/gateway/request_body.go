package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// defaultMaxBody bounds a request's body in bytes if the routing table sets no limit.
	defaultMaxBody = 16 << 20
	// minBodyBuffer is the first size in bytes of the buffer for a body of unknown length.
	minBodyBuffer = 4 << 10
	// drainTime bounds the reading of a body whose request is already answered.
	drainTime = 2 * time.Second
	// stopDrainShare divides drainTime for a request that the planned stop has ended: the process ends
	// soon.
	stopDrainShare = 20
)

// readBody reads the complete body, so that the request can be sent more than once. A body that the
// router can't hold is rejected, before it is read if its length is known.
func (f *forwarder) readBody() *rejection {
	limit := f.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if f.r.ContentLength > limit {
		return f.bodyTooLong(limit)
	}
	f.bodyHeld = f.server.bodies.open(f.workspaceID())
	body := http.MaxBytesReader(f.w, f.r.Body, limit)
	err := f.w.readBody(func() (err error) {
		if f.r.ContentLength >= 0 {
			f.body, err = f.bodyHeld.readLength(body, f.r.ContentLength)
		} else {
			f.body, err = f.bodyHeld.readAll(body, limit)
		}
		return err
	})
	if err != nil {
		f.bodyHeld.release()
		return f.rejectBody(err, limit)
	}
	return nil
}

// rejectBody returns the rejection of a request whose body was not read completely.
func (f *forwarder) rejectBody(err error, limit int64) *rejection {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return f.rejectByTable(http.StatusRequestEntityTooLarge, "the body is too long")
	case errorx.IsOfType(err, errBodyBudget):
		rejected := unavailable(err.Error())
		rejected.drain = limit
		return rejected
	default:
		return f.bodyMissing(err)
	}
}

// bodyTooLong returns the rejection of a request whose body is longer than the limit.
func (f *forwarder) bodyTooLong(limit int64) *rejection {
	rejected := f.rejectByTable(http.StatusRequestEntityTooLarge, "the body is too long")
	rejected.drain = limit
	return rejected
}

// bodyMissing returns the rejection of a request whose body can't be read, or that the planned stop
// has ended before.
func (f *forwarder) bodyMissing(err error) *rejection {
	if errors.Is(err, errPlannedStop) {
		rejected := f.rejectStopped()
		rejected.drain = defaultMaxBody
		return rejected
	}
	return &rejection{status: http.StatusBadRequest, reason: "the body did not arrive: " + err.Error()}
}

// readLength reads a body of the given length.
func (h *bodyHolding) readLength(body io.Reader, length int64) ([]byte, error) {
	if err := h.grow(length); err != nil {
		return nil, err
	}
	buffer := make([]byte, length)
	if _, err := io.ReadFull(body, buffer); err != nil {
		return nil, err
	}
	return buffer, nil
}

// readAll reads a body of unknown length that has at most limit bytes. The holding counts the
// buffer's capacity.
func (h *bodyHolding) readAll(body io.Reader, limit int64) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := max(2*int64(cap(buffer)), minBodyBuffer)
			if size >= limit {
				size = limit + 1 // the reader finds the end with room for one byte more
			}
			if err := h.grow(size); err != nil {
				return nil, err
			}
			former := cap(buffer)
			buffer = append(make([]byte, 0, size), buffer...)
			h.shrink(int64(former))
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// drainBody reads and drops up to limit bytes of the body of a request that was answered before it
// was read: a caller that is still sending would lose the answer if the connection were reset. A
// caller that waits to be told to go on sends nothing.
func (f *forwarder) drainBody(limit int64) {
	if f.r.Header.Get("Expect") != "" {
		return
	}
	wait := f.server.drainTime
	if f.isStopped() {
		wait /= stopDrainShare
	}
	c := http.NewResponseController(f.w)
	if c.Flush() != nil || c.SetReadDeadline(time.Now().Add(wait)) != nil {
		return // the caller is gone
	}
	_, _ = io.CopyN(io.Discard, f.r.Body, limit) // net/http closes a connection whose body is not read completely
	_ = c.SetReadDeadline(time.Time{})
}
