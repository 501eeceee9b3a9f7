package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Bounds of calls to upstreams and the platform.
const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// idlePerHost is the maximum number of idle connections to one upstream.
	idlePerHost = 64
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds an answer's header.
	maxHeaderBytes = 64 << 10
	// maxJSONBytes bounds a JSON report.
	maxJSONBytes = 8 << 20
	// maxErrorBodyBytes bounds the body of an error answer.
	maxErrorBodyBytes = 64 << 10
	// maxDrainBytes bounds the bytes that are discarded at the end of an answer in order to
	// reuse its connection.
	maxDrainBytes = 64 << 10
	// maxRetryAfter bounds the delay that an upstream asks for.
	maxRetryAfter = 24 * time.Hour
)

// NewHTTPClient returns a client with keep-alive connections for engines, the
// platform and repeatable calls. It uses no proxy and asks for no compression.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// client sends HTTP requests to one address.
type client struct {
	addr      string
	transport http.RoundTripper
}

func newClient(addr string, httpClient *http.Client) client {
	c := client{addr: addr, transport: http.DefaultTransport}
	if httpClient != nil && httpClient.Transport != nil {
		c.transport = httpClient.Transport
	}
	return c
}

func (c client) url(path string) string { return "http://" + c.addr + path }

// do sends one request. It uses the transport directly, so that no redirect is
// followed.
func (c client) do(ctx context.Context, step, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url(path), body)
	if err != nil {
		return nil, fleet.At(err, step, c.addr)
	}
	resp, err := roundTrip(c.transport, req)
	return resp, fleet.At(err, step, c.addr)
}

func (c client) postJSON(ctx context.Context, step, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fleet.At(err, step, c.addr)
	}
	return c.do(ctx, step, http.MethodPost, path, bytes.NewReader(data))
}

// get sends a GET request with the given header.
func (c client) get(ctx context.Context, step, path string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), nil)
	if err != nil {
		return nil, fleet.At(err, step, c.addr)
	}
	req.Header = header
	resp, err := roundTrip(c.transport, req)
	return resp, fleet.At(err, step, c.addr)
}

func (c client) getJSON(ctx context.Context, step, path string, into any) error {
	resp, err := c.do(ctx, step, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return c.statusError(step, resp)
	}
	return c.readJSON(step, resp.Body, into)
}

// readJSON reads one JSON value that ends within maxJSONBytes.
func (c client) readJSON(step string, body io.Reader, into any) error {
	data, err := readBounded(body, maxJSONBytes)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return fleet.At(ErrBadAnswer.Wrap(err, "read JSON"), step, c.addr)
	}
	return nil
}

// statusError returns the error of an answer with an unexpected status.
func (c client) statusError(step string, resp *http.Response) error {
	return fleet.At(ErrUnexpectedStatus.New("status %d", resp.StatusCode), step, c.addr)
}

// readBounded reads body to its end. The error is of type ErrTooLarge if the body is
// longer than limit bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge.New("answer exceeds %d bytes", limit)
	}
	return data, nil
}

// drain discards up to maxDrainBytes of body and closes it, so that its connection can be
// reused.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

// declined reports whether a status means that the upstream did not run the request.
func declined(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// retryAfter returns the delay in a Retry-After header, or 0 if it holds no seconds.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseInt(h.Get("Retry-After"), 10, 64) // the nearest integer if it is beyond it
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return time.Duration(min(max(seconds, 0), int64(maxRetryAfter/time.Second))) * time.Second
}
