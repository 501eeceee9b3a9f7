package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

const (
	// maxInlineWrite is the largest request in bytes that is written completely before the
	// answer is read. A longer one is written concurrently, since an upstream may answer
	// before it has read the complete request.
	maxInlineWrite = 4 << 10
	// headCapacity is the size in bytes of the buffer that a request's head is encoded into first.
	headCapacity = 1 << 10
	// maxMisdelivered bounds the answers that are read to find the one that matches. Those of
	// earlier exchanges are skipped; maxMisdeliveredBody bounds the body of each in bytes.
	maxMisdelivered     = 3
	maxMisdeliveredBody = 1 << 20
	// maxErrorText bounds the text in bytes of an error that quotes what an upstream has sent.
	maxErrorText = 256
)

// Response is an answer with its body to read. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	// Delimited reports whether a truncated body can be detected, which is impossible if
	// only the end of the connection marks the end of the body.
	Delimited bool

	body     io.ReadCloser
	conn     *conn
	pool     *Pool
	stop     func() bool   // stops the closing of conn at the end of the context
	written  chan error    // the concurrent writer's result; nil if there is none or it was received
	idleTime time.Duration // idle time for which the connection may be reused; 0 for none
	ended    bool          // the body was read to its end
	failed   bool          // reading the body has failed
}

// Do sends a request and returns its answer once the header was read. The error is an
// *Error. If ctx ends before the response is closed, the connection is closed.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c, err := p.get(ctx, addr, req)
	if err != nil {
		return nil, &Error{Phase: PhaseConnect, Addr: addr, Cause: err}
	}
	req.Trail.add(c)
	r := &Response{conn: c, pool: p, stop: context.AfterFunc(ctx, c.close)}
	if err := ctx.Err(); err != nil {
		r.abandon()
		return nil, &Error{Phase: PhaseConnect, Addr: addr, Cause: err}
	}
	err = r.exchange(req)
	if err == nil {
		return r, nil
	}
	r.abandon()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &Error{Phase: PhaseAnswer, Addr: addr, Reused: c.reused, Cause: err}
}

// exchange writes the request and reads answers until one matches it.
func (r *Response) exchange(req *Request) error {
	head := req.encodeHead(make([]byte, 0, headCapacity))
	if len(head)+len(req.Body) <= maxInlineWrite {
		if _, err := r.conn.Write(append(head, req.Body...)); err != nil {
			return err
		}
	} else {
		written := make(chan error, 1)
		r.written = written
		go func() { written <- r.writeBoth(head, req.Body) }()
	}
	for range maxMisdelivered {
		resp, err := r.readHeader(req.Method)
		if err != nil {
			return r.preferWriterError(err)
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			r.setAnswer(resp, req.Method)
			return nil
		}
		if !delimited(resp, req.Method) {
			return ErrUnmatched.New("received an answer that belongs to another request and cannot be skipped, because the answer has no length")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxMisdeliveredBody); !errors.Is(err, io.EOF) {
			return ErrUnmatched.New("received an answer to another request that cannot be skipped within %d bytes: %v", maxMisdeliveredBody, err)
		}
	}
	return ErrUnmatched.New("received %d answers to other requests and none to this one", maxMisdelivered)
}

// writeBoth writes the head and the body of a request. It closes the connection if that panics:
// the upstream would wait for the rest.
func (r *Response) writeBoth(head, body []byte) error {
	err := r.pool.Guard.Confine("upstream: write a request", func() error { return r.conn.writeBoth(head, body) })
	if errorx.IsOfType(err, fleet.ErrPanic) {
		r.conn.close()
	}
	return err
}

// preferWriterError returns the concurrent writer's error if it has failed, which explains
// why there is no answer, and err otherwise.
func (r *Response) preferWriterError(err error) error {
	if r.written == nil {
		return err
	}
	select {
	case writeErr := <-r.written:
		if r.written = nil; writeErr != nil {
			return writeErr
		}
	default:
	}
	return err
}

// readHeader reads the header of the next final answer.
func (r *Response) readHeader(method string) (*http.Response, error) {
	r.conn.head.begin()
	defer r.conn.head.end()
	for {
		resp, err := http.ReadResponse(r.conn.in, &http.Request{Method: method})
		if err != nil {
			switch {
			case r.conn.head.exceeded(): // the parser may have failed on the part of a line before it
				err = errHeadTooLong()
			case errors.Is(err, io.EOF):
				err = io.ErrUnexpectedEOF
			case len(err.Error()) > maxErrorText: // it quotes the line that is no answer
				err = errors.New(err.Error()[:maxErrorText] + "...")
			}
			return nil, err
		}
		if n := countFields(resp.Header); n > maxHeadFields {
			return nil, ErrHeadTooLong.New("the answer's head has %d fields, at most %d", n, maxHeadFields)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// countFields returns the number of field lines of a header.
func countFields(h http.Header) (n int) {
	for _, values := range h {
		n += len(values)
	}
	return n
}

// setAnswer sets the fields of the answer that matches the request.
func (r *Response) setAnswer(resp *http.Response, method string) {
	r.Status, r.Header, r.body = resp.StatusCode, resp.Header, resp.Body
	r.Delimited = delimited(resp, method)
	if r.Delimited && !resp.Close {
		r.idleTime = keepAliveTimeout(resp.Header)
	}
}

// delimited reports whether a truncated body of the answer can be detected.
func delimited(resp *http.Response, method string) bool {
	switch {
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return true
	case resp.ContentLength >= 0:
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// keepAliveTimeout returns the time for which an idle connection may be reused, by the
// Keep-Alive field (RFC 2068, section 19.7.1.1).
func keepAliveTimeout(h http.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseInt(value, 10, 64) // the nearest integer if value is beyond it
		if err == nil || errors.Is(err, strconv.ErrRange) {
			const most = int64(maxIdleTimeout / time.Second)
			return time.Duration(min(max(seconds, -most), most))*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// Read reads the body. At its end it returns io.EOF; any other error means that the
// body is incomplete.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		r.ended = true
	case err != nil:
		r.failed = true
	}
	return n, err
}

// Close ends the exchange. The connection is returned to the pool if the body was read
// to its end and the request was completely written. Otherwise it is closed, which
// makes the upstream cancel the request.
func (r *Response) Close() {
	if !r.stop() || !r.ended || r.failed || r.idleTime <= 0 || !r.requestWritten() || r.conn.in.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.pool.put(r.conn, r.idleTime)
}

// requestWritten reports whether the request was completely written.
func (r *Response) requestWritten() bool {
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		r.written = nil
		return err == nil
	default:
		return false
	}
}

// abandon closes the connection of an exchange without an answer.
func (r *Response) abandon() {
	r.stop()
	r.conn.close()
}
