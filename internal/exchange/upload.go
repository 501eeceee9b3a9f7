package exchange

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// uploadGrace bounds the wait for the writer's result at the end of an answer without a length. The
// peer has closed its side then: a writer that still waits longer has not written the request.
const uploadGrace = 100 * time.Millisecond

// upload is the writing of one request to its connection.
type upload struct {
	sent atomic.Int64  // bytes that may have been passed to the network
	done chan struct{} // closed at the end
	err  error         // set before done is closed
}

// startUpload writes the request, beside the caller if it is longer than maxInlineWrite.
func (r *Response) startUpload(head, body []byte) *upload {
	u := &upload{done: make(chan struct{})}
	if len(head)+len(body) <= maxInlineWrite {
		u.err = u.write(r.conn, append(head, body...))
		close(u.done)
		return u
	}
	go func() {
		defer close(u.done)
		u.err = r.pool.Guard.Confine("upstream: write a request", func() error {
			if err := u.write(r.conn, head); err != nil {
				return err
			}
			return u.write(r.conn, body)
		})
		if errorx.IsOfType(u.err, fleet.ErrPanic) { // the upstream would wait for the rest
			u.sent.Add(1) // it isn't known what was written
			r.conn.close()
		}
	}()
	return u
}

func (u *upload) write(w io.Writer, b []byte) error {
	n, err := w.Write(b)
	u.sent.Add(int64(n))
	return err
}

// ended reports whether the upload has ended, and its error.
func (u *upload) ended() (bool, error) {
	select {
	case <-u.done:
		return true, u.err
	default:
		return false, nil
	}
}

// checkWritten returns an io.ErrUnexpectedEOF, decorated, unless the request was written completely. On Linux a reset is reported
// once, to the writer or to the reader: after the writer has got it, the reader sees the end of the
// connection as if the peer had closed it.
func (u *upload) checkWritten(grace time.Duration) error {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-u.done:
	case <-timer.C:
		return errorx.Decorate(io.ErrUnexpectedEOF, "the connection ended before the request was written")
	}
	if u.err != nil {
		return errorx.Decorate(io.ErrUnexpectedEOF, "the request was not written completely: %v", u.err)
	}
	return nil
}
