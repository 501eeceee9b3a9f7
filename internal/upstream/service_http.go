package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// HTTPService is a Service over HTTP.
type HTTPService struct {
	base   client
	dialer net.Dialer

	pooled bool // set by tests to send every call over pooled connections
}

// NewService returns the service at addr, an IP:port. The client serves
// repeatable calls and lookups only; see NewHTTPClient.
func NewService(addr string, httpClient *http.Client) *HTTPService {
	return &HTTPService{
		base:   newClient(addr, httpClient),
		dialer: net.Dialer{Timeout: dialTimeout},
	}
}

var _ Service = (*HTTPService)(nil)

// Do implements Service.
func (s *HTTPService) Do(ctx context.Context, req CallRequest) (CallAnswer, answer.Facts, error) {
	call := &call{service: s, req: req}
	got, err := call.run(ctx)
	if err != nil {
		return CallAnswer{}, call.facts, call.attemptError(err)
	}
	return got, call.facts, nil
}

// Lookup implements Service.
func (s *HTTPService) Lookup(ctx context.Context, path, key string) (LookupAnswer, error) {
	var found LookupAnswer
	err := s.base.getJSON(ctx, "service.lookup", path+"?key="+url.QueryEscape(key), &found)
	if err != nil {
		return LookupAnswer{}, err
	}
	switch found.State {
	case LookupRan, LookupRunning, LookupNever:
		return found, nil
	default:
		cause := ErrBadAnswer.New("unknown lookup state %q", found.State)
		return LookupAnswer{}, fleet.At(cause, "service.lookup", s.base.addr)
	}
}

// call is one attempt at a call of a service.
type call struct {
	service *HTTPService
	req     CallRequest
	facts   answer.Facts
	end     answer.End // of the attempt so far
}

// attemptError returns the error of the attempt, which has failed for the given cause.
func (c *call) attemptError(cause error) error {
	return &AttemptError{End: c.end, Facts: c.facts, Cause: fleet.At(cause, "service.call", c.service.base.addr)}
}

// run sends the request and reads the answer.
func (c *call) run(ctx context.Context) (CallAnswer, error) {
	out, err := c.newRequest(ctx)
	if err != nil {
		c.end = answer.EndBadRequest
		return CallAnswer{}, err
	}
	if c.req.Repeatable || c.service.pooled {
		return c.runPooled(out)
	}
	return c.runOnce(out)
}

// newRequest builds the request. It drops hop-by-hop headers (RFC 9110, section 7.6.1)
// and the workspace's key. It also drops Expect, since the body was already received
// from the caller.
func (c *call) newRequest(ctx context.Context) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, c.req.Method, c.service.base.url(c.req.Target), bytes.NewReader(c.req.Body))
	if err != nil {
		return nil, err
	}
	out.GetBody = nil
	out.Header = endToEnd(c.req.Header)
	out.Header.Del("Authorization")
	out.Header.Del("Expect")
	out.Header.Set(answer.HeaderRequestID, string(c.req.Attempt))
	if c.req.IdempotencyKey != "" {
		out.Header.Set(answer.HeaderIdempotencyKey, c.req.IdempotencyKey)
	}
	return out, nil
}

// runPooled sends a repeatable call over a pooled connection.
func (c *call) runPooled(out *http.Request) (CallAnswer, error) {
	if err := c.beforeWrite(); err != nil {
		c.end = answer.EndRejected
		return CallAnswer{}, err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out = out.WithContext(httptrace.WithClientTrace(out.Context(), trace))
	resp, err := roundTrip(c.service.base.transport, out)
	c.facts.MayHaveBeenSent = connected.Load()
	return c.readAnswer(resp, err)
}

// runOnce sends a call that is not repeatable. It opens one connection and uses a
// transport that can't open another, so that the transport can't resend the request,
// even if its headers mark it as idempotent.
func (c *call) runOnce(out *http.Request) (CallAnswer, error) {
	conn, err := c.service.dialer.DialContext(out.Context(), "tcp", c.service.base.addr)
	if err != nil {
		c.end = answer.EndNotConnected
		return CallAnswer{}, err
	}
	defer conn.Close()
	gate := &gatedConn{Conn: conn, beforeWrite: c.beforeWrite}
	transport := &http.Transport{
		DialContext:            gate.dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	resp, err := roundTrip(transport, out)
	c.facts.MayHaveBeenSent = !gate.seal()
	return c.readAnswer(resp, err)
}

func (c *call) beforeWrite() error {
	if c.req.BeforeWrite == nil {
		return nil
	}
	return c.req.BeforeWrite()
}

// readAnswer reads the answer to its end, and sets the attempt's end and facts. err is the
// error of the round trip.
func (c *call) readAnswer(resp *http.Response, err error) (CallAnswer, error) {
	if err != nil {
		c.end = endWithoutAnswer(c.facts)
		return CallAnswer{}, err
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(answer.HeaderRequestID); got != string(c.req.Attempt) {
		c.end = answer.EndMisdelivered
		return CallAnswer{}, ErrMisdelivered.New("misdelivered answer: it names attempt %q instead of %q", got, c.req.Attempt)
	}
	c.end = answer.EndCut
	c.facts.Accepted = true
	if !delimited(resp, c.req.Method) {
		return CallAnswer{}, ErrIncomplete.New("the answer has neither a Content-Length nor chunked encoding")
	}
	body, err := readBounded(resp.Body, c.maxAnswer())
	if err != nil {
		return CallAnswer{}, err
	}
	c.facts.Complete = true
	c.facts.Declined = declined(resp.StatusCode)
	c.end = answer.EndComplete
	return CallAnswer{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}, nil
}

func (c *call) maxAnswer() int64 {
	if c.req.MaxAnswer <= 0 {
		return DefaultMaxAnswer
	}
	return c.req.MaxAnswer
}

// endWithoutAnswer returns the end of an attempt that got no answer.
func endWithoutAnswer(facts answer.Facts) answer.End {
	if facts.MayHaveBeenSent {
		return answer.EndCut
	}
	return answer.EndNotConnected
}

// delimited reports whether a truncated answer can be detected, which is impossible if
// only the end of the connection marks its end.
func delimited(resp *http.Response, method string) bool {
	if method == http.MethodHead || resp.ContentLength >= 0 {
		return true
	}
	for _, coding := range resp.TransferEncoding {
		if coding == "chunked" {
			return true
		}
	}
	return false
}

// hopByHop holds the header fields that apply to one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// HopByHop reports whether a header field, by its canonical name, applies to one
// connection only.
func HopByHop(name string) bool { return hopByHop[name] }

// endToEnd returns a copy of h without the hop-by-hop headers, including those that
// Connection lists.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for name := range hopByHop {
		out.Del(name)
	}
	return out
}
