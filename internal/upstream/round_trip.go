package upstream

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// maxInformational bounds the informational answers before an answer. Upstreams send one or two.
	maxInformational = 8
	// uploadGrace bounds the wait for the writer's result at the end of an answer without a length. The
	// peer has closed its side then: a writer that still waits longer has not written the request.
	uploadGrace = 100 * time.Millisecond
)

// roundTrip sends a request. An answer whose status is outside 100 to 599, or 101, which no request asks
// for, is an ErrBadAnswer.
func roundTrip(transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	written := &upload{done: make(chan struct{})}
	informational := 0 // counted by one goroutine at a time
	trace := &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.end(info.Err) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			if informational++; informational > maxInformational {
				return ErrBadAnswer.New("more than %d informational answers", maxInformational)
			}
			return nil
		},
	}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > 599 {
		_ = resp.Body.Close()
		return nil, ErrBadAnswer.New("the answer's status is %03d", resp.StatusCode)
	}
	if !delimited(resp, req.Method) {
		resp.Body = &unframedBody{resp.Body, written}
	}
	return resp, nil
}

// upload is the latest result of writing a request, which the transport may do once more on another
// connection. It is safe for concurrent use.
type upload struct {
	once sync.Once
	done chan struct{} // closed at the first result
	mu   sync.Mutex
	err  error
}

func (u *upload) end(err error) {
	u.mu.Lock()
	u.err = err
	u.mu.Unlock()
	u.once.Do(func() { close(u.done) })
}

// check returns an io.ErrUnexpectedEOF, decorated, unless the request was written completely.
func (u *upload) check(grace time.Duration) error {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-u.done:
	case <-timer.C:
		return errorx.Decorate(io.ErrUnexpectedEOF, "the connection ended before the request was written")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return errorx.Decorate(io.ErrUnexpectedEOF, "the request was not written completely: %v", u.err)
	}
	return nil
}

// unframedBody is a body whose end only the end of the connection tells. On Linux a reset is reported
// once, to the writer or to the reader: after the writer has got it, the reader sees the end of the
// connection as if the peer had closed it.
type unframedBody struct {
	io.ReadCloser
	written *upload
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if failed := b.written.check(uploadGrace); failed != nil {
			err = failed
		}
	}
	return n, err
}
