package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// inlineWrite is the most bytes that are written before the answer is read. An
	// upstream may answer before it has read a longer request.
	inlineWrite = 4 << 10
	// maxStray bounds the answers of earlier exchanges that are passed over, and
	// maxStrayBody each one's body in bytes.
	maxStray     = 3
	maxStrayBody = 1 << 20
)

// Response is an answer whose body is being read. Close it when done.
type Response struct {
	Status int
	Header http.Header
	// Delimited tells whether the end of the body can be told from a cut. One that
	// ends with its connection can't.
	Delimited bool

	body    io.ReadCloser
	conn    *conn
	pool    *Pool
	stop    func() bool // ends the watch of the context
	written chan error  // the writer's result; nil once it is known to be done
	keep    time.Duration
	ended   bool // the body was read to its end
	failed  bool
}

// Do sends a request and returns its answer with the header read. The error is an
// *Error. Once ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c, err := p.take(ctx, addr)
	if err != nil {
		return nil, &Error{Phase: PhaseConnect, Addr: addr, Cause: err}
	}
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

func (r *Response) exchange(req *Request) error {
	encoded := req.encode(make([]byte, 0, len(req.Body)+1024))
	if len(encoded) <= inlineWrite {
		if _, err := r.conn.Write(encoded); err != nil {
			return err
		}
	} else {
		written := make(chan error, 1)
		r.written = written
		go func() {
			_, err := r.conn.Write(encoded)
			written <- err
		}()
	}
	for range maxStray {
		resp, err := r.readHeader(req.Method)
		if err != nil {
			return r.writeError(err)
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			r.accept(resp, req.Method)
			return nil
		}
		if !delimited(resp, req.Method) {
			return ErrUnmatched.New("an answer without a length belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStrayBody); !errors.Is(err, io.EOF) {
			return ErrUnmatched.New("an answer of another request doesn't end: %v", err)
		}
	}
	return ErrUnmatched.New("%d answers belong to other requests", maxStray)
}

// writeError prefers the error of the writer, which explains why no answer came.
func (r *Response) writeError(err error) error {
	if r.written == nil {
		return err
	}
	select {
	case failed := <-r.written:
		if r.written = nil; failed != nil {
			return failed
		}
	default:
	}
	return err
}

// readHeader reads the header of the next final answer.
func (r *Response) readHeader(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r.conn.in, &http.Request{Method: method})
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (r *Response) accept(resp *http.Response, method string) {
	r.Status, r.Header, r.body = resp.StatusCode, resp.Header, resp.Body
	r.Delimited = delimited(resp, method)
	if r.Delimited && !resp.Close {
		r.keep = idleTime(resp.Header)
	}
}

func delimited(resp *http.Response, method string) bool {
	switch {
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return true
	case resp.ContentLength >= 0:
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// idleTime returns how long a connection may be kept, by the Keep-Alive field
// (RFC 2068, section 19.7.1.1).
func idleTime(h http.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// Read reads the body. At its end it returns io.EOF; any other error means that
// the body is not whole.
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

// Close ends the exchange. The connection is kept if the body was read to its end
// and the request was written whole; otherwise it is closed, which has the
// upstream drop the request.
func (r *Response) Close() {
	if !r.stop() || !r.ended || r.failed || r.keep <= 0 || !r.writtenWhole() || r.conn.in.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.pool.put(r.conn, r.keep)
}

func (r *Response) writtenWhole() bool {
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

func (r *Response) abandon() {
	r.stop()
	r.conn.close()
}
