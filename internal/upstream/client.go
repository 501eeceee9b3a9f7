package upstream

import (
	"bytes"
	"context"
	"encoding/json"
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
	// idlePerHost is how many idle connections are kept per upstream.
	idlePerHost = 64
	// idleTimeout closes idle connections.
	idleTimeout = 90 * time.Second
	// maxHeader bounds an answer's header in bytes.
	maxHeader = 64 << 10
	// maxJSON bounds a JSON report in bytes.
	maxJSON = 8 << 20
	// maxErrorBody bounds what is read of an error answer, in bytes.
	maxErrorBody = 64 << 10
	// maxDrain bounds what is read of an answer's rest to reuse its connection, in
	// bytes.
	maxDrain = 64 << 10
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
		MaxResponseHeaderBytes: maxHeader,
	}}
}

// client calls one address.
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

// do sends one request. It goes to the transport itself, so that no redirect is
// followed.
func (c client) do(ctx context.Context, step, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url(path), body)
	if err != nil {
		return nil, fleet.At(err, step, c.addr)
	}
	resp, err := c.transport.RoundTrip(req)
	return resp, fleet.At(err, step, c.addr)
}

func (c client) postJSON(ctx context.Context, step, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fleet.At(err, step, c.addr)
	}
	return c.do(ctx, step, http.MethodPost, path, bytes.NewReader(data))
}

// get sends a GET with header fields.
func (c client) get(ctx context.Context, step, path string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), nil)
	if err != nil {
		return nil, fleet.At(err, step, c.addr)
	}
	req.Header = header
	resp, err := c.transport.RoundTrip(req)
	return resp, fleet.At(err, step, c.addr)
}

func (c client) getJSON(ctx context.Context, step, path string, into any) error {
	resp, err := c.do(ctx, step, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return c.unexpected(step, resp)
	}
	return c.readJSON(step, resp.Body, into)
}

// readJSON reads one JSON value that ends within maxJSON bytes.
func (c client) readJSON(step string, body io.Reader, into any) error {
	data, err := readBounded(body, maxJSON)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return fleet.At(ErrBadAnswer.Wrap(err, "read JSON"), step, c.addr)
	}
	return nil
}

func (c client) unexpected(step string, resp *http.Response) error {
	return fleet.At(ErrUnexpectedStatus.New("status %d", resp.StatusCode), step, c.addr)
}

// readBounded reads body to its end. The error is of type ErrTooLarge if that
// is not within limit bytes.
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

// drain closes body after reading a bounded rest of it, so that its connection
// can be used again.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}

// declined tells whether status says that an upstream did not start a request.
func declined(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// retryAfter reads the seconds of a Retry-After header; 0 if there are none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
