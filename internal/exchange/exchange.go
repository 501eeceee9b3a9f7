package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
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
	// maxInformational bounds the informational answers before an answer. Upstreams send one or two.
	maxInformational = 8
	// discardTime bounds the wait for the rest of an answer that isn't needed: it usually arrives with
	// the head, and the request waits to be sent elsewhere. maxDiscard bounds the rest in bytes.
	discardTime = 5 * time.Millisecond
	maxDiscard  = 16 << 10
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
	upload   *upload       // of the request
	idleTime time.Duration // idle time for which the connection may be reused; 0 for none
	ended    bool          // the body was read to its end
	failed   bool          // reading the body has failed
}

// Do sends a request and returns its answer once the header was read. The error is an
// *Error. If ctx ends before the response is closed, the connection is closed.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	for {
		c, err := p.get(ctx, addr, req)
		if err != nil {
			return nil, &Error{Phase: PhaseConnect, Addr: addr, Cause: err}
		}
		r := &Response{conn: c, pool: p, stop: context.AfterFunc(ctx, c.close)}
		if err := ctx.Err(); err != nil {
			r.abandon()
			return nil, &Error{Phase: PhaseConnect, Addr: addr, Cause: err}
		}
		req.Trail.add(c)
		if err = r.exchange(req); err == nil {
			p.recordAnswer(c)
			return r, nil
		}
		if again, failure := p.recordFailure(ctx, r, err); !again {
			return nil, failure
		}
	}
}

// recordFailure ends an exchange without an answer and returns its error. again is set if nothing was
// written to a connection that had been idle: the request may use another one.
func (p *Pool) recordFailure(ctx context.Context, r *Response, err error) (again bool, failure *Error) {
	r.abandon()
	c, phase := r.conn, PhaseAnswer
	if r.upload.sent.Load() == 0 {
		phase = PhaseConnect
	}
	switch {
	case ctx.Err() != nil:
		err = ctx.Err()
	case c.reused:
		again = phase == PhaseConnect
	case phase == PhaseConnect:
		p.recordReset(c.peer)
		err = resetError(err)
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		p.recordReset(c.peer)
	}
	return again, &Error{Phase: phase, Addr: c.addr, Reused: c.reused, Cause: err}
}

// exchange writes the request and reads answers until one matches it.
func (r *Response) exchange(req *Request) error {
	r.upload = r.startUpload(req.encodeHead(make([]byte, 0, headCapacity)), req.Body)
	if ended, err := r.upload.ended(); ended && err != nil {
		return err
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

// preferWriterError returns the upload's error if it has failed, which explains why there is no
// answer, and err otherwise.
func (r *Response) preferWriterError(err error) error {
	if _, writeErr := r.upload.ended(); writeErr != nil {
		return writeErr
	}
	return err
}

// readHeader reads the header of the next final answer.
func (r *Response) readHeader(method string) (*http.Response, error) {
	r.conn.head.begin()
	defer r.conn.head.end()
	for informational := 0; ; informational++ {
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
		switch {
		case !validStatus(resp.StatusCode):
			return nil, ErrInvalidStatus.New("the answer's status is %03d", resp.StatusCode)
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		case informational >= maxInformational:
			return nil, ErrHeadTooLong.New("more than %d informational answers", maxInformational)
		}
	}
}

// validStatus reports whether a status is that of an answer, informational ones included. No request
// asks for another protocol.
func validStatus(status int) bool {
	return status >= 100 && status <= 599 && status != http.StatusSwitchingProtocols
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
	if errors.Is(err, io.EOF) && !r.Delimited {
		if notWritten := r.upload.checkWritten(uploadGrace); notWritten != nil {
			err = notWritten
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		r.ended = true
	case err != nil:
		r.failed = true
	}
	return n, err
}

// Discard reads the rest of a short answer that isn't needed, if it has arrived or does so at once, so
// that Close can keep the connection.
func (r *Response) Discard() {
	if r.ended || r.failed || r.idleTime <= 0 || r.conn.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r, maxDiscard+1) // sets ended or failed
	if r.conn.SetReadDeadline(time.Time{}) != nil {
		r.failed = true
	}
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
	ended, err := r.upload.ended()
	return ended && err == nil
}

// abandon closes the connection of an exchange without an answer, and waits for the end of the upload,
// which the close brings about.
func (r *Response) abandon() {
	r.stop()
	r.conn.close()
	if r.upload != nil {
		<-r.upload.done
	}
}
