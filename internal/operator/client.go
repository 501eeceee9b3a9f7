package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// Defaults of ClientSettings.
const (
	DefaultAttemptTimeout = 5 * time.Second
	DefaultRetryInterval  = 300 * time.Millisecond
	DefaultAttempts       = 12
)

// ClientSettings configures a Client. Zero fields mean the defaults.
type ClientSettings struct {
	// Addrs holds control members' addresses, IP:port. One is enough: the client
	// follows redirects to the leader.
	Addrs []string
	Token string
	HTTP  *http.Client
	// AttemptTimeout bounds one attempt.
	AttemptTimeout time.Duration
	// RetryInterval is the time between two attempts.
	RetryInterval time.Duration
	Attempts      int
	Log           hclog.Logger
}

// Client calls the operators' HTTP API. It follows redirects to the leader, and
// retries a call whose response was lost under the same operation ID, so that
// the change is made once. Its errors are of type ErrRejected, ErrUnreachable or
// ErrUnknownOutcome.
type Client struct{ settings ClientSettings }

// NewClient returns a Client.
func NewClient(s ClientSettings) *Client {
	if s.HTTP == nil {
		s.HTTP = &http.Client{}
	}
	httpClient := *s.HTTP
	// Redirects are followed here, because net/http drops the credential.
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	s.HTTP = &httpClient
	fleet.SetDefault(&s.AttemptTimeout, DefaultAttemptTimeout)
	fleet.SetDefault(&s.RetryInterval, DefaultRetryInterval)
	fleet.SetDefault(&s.Attempts, DefaultAttempts)
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	return &Client{settings: s}
}

// Expect is the precondition of a change: the version that must be in force, or
// Any version.
type Expect struct {
	Version fleet.ConfigVersion
	Any     bool
}

func (e Expect) header() string {
	if e.Any {
		return anyVersion
	}
	return formatVersion(e.Version)
}

// Apply replaces the plans and allowances and returns the resulting version.
func (c *Client) Apply(ctx context.Context, expect Expect, operation string, config lists.Config) (fleet.ConfigVersion, error) {
	return c.sendChange(ctx, http.MethodPut, pathConfig, expect, operation, config)
}

// SetZone takes an availability zone out of service or back in.
func (c *Client) SetZone(ctx context.Context, expect Expect, operation string, zone fleet.AvailabilityZone, out bool) (fleet.ConfigVersion, error) {
	return c.setState(ctx, pathZone+url.PathEscape(string(zone)), expect, operation, out)
}

// SetInstance takes an instance out of service or back in.
func (c *Client) SetInstance(ctx context.Context, expect Expect, operation string, id fleet.InstanceID, out bool) (fleet.ConfigVersion, error) {
	return c.setState(ctx, pathInstance+url.PathEscape(string(id)), expect, operation, out)
}

// SetUpstream takes an upstream out of service or back in.
func (c *Client) SetUpstream(ctx context.Context, expect Expect, operation string, id fleet.UpstreamID, out bool) (fleet.ConfigVersion, error) {
	return c.setState(ctx, pathUpstream+url.PathEscape(string(id)), expect, operation, out)
}

func (c *Client) setState(ctx context.Context, path string, expect Expect, operation string, out bool) (fleet.ConfigVersion, error) {
	body := stateBody{State: stateIn}
	if out {
		body.State = stateOut
	}
	return c.sendChange(ctx, http.MethodPut, path, expect, operation, body)
}

// SubmitOrder submits an order for an engine. It returns once the order is committed,
// not when it is carried out; Status shows its progress.
func (c *Client) SubmitOrder(ctx context.Context, expect Expect, operation string, spec OrderSpec) (fleet.ConfigVersion, error) {
	return c.sendChange(ctx, http.MethodPost, pathOrders, expect, operation, spec)
}

// Config returns the lists in force and their version.
func (c *Client) Config(ctx context.Context) (lists.Config, fleet.ConfigVersion, error) {
	var config lists.Config
	header, err := c.get(ctx, pathConfig, &config)
	if err != nil {
		return config, 0, err
	}
	version, ok := parseVersion(header.Get(headerVersion))
	if !ok {
		return config, 0, ErrRejected.New("the response with the configuration has no valid ETag header: %q", header.Get(headerVersion))
	}
	return config, version, nil
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var status Status
	_, err := c.get(ctx, pathStatus, &status)
	return &status, err
}

// Upstreams returns the state of every upstream.
func (c *Client) Upstreams(ctx context.Context) ([]UpstreamStatus, error) {
	var upstreams []UpstreamStatus
	_, err := c.get(ctx, pathUpstreams, &upstreams)
	return upstreams, err
}

func (c *Client) get(ctx context.Context, path string, out any) (http.Header, error) {
	r, err := c.sendWithRetries(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, rejectionError(r)
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return nil, fleet.At(ErrRejected.Wrap(err, "decode the response of the control member"), "operator.get", r.addr)
	}
	return r.header, nil
}

// sendChange sends a change and returns the version that it made.
func (c *Client) sendChange(ctx context.Context, method, path string, expect Expect, operation string, body any) (fleet.ConfigVersion, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, ErrRejected.Wrap(err, "encode the request body")
	}
	r, err := c.sendWithRetries(ctx, call{method: method, path: path, expect: expect.header(), operation: operation, body: encoded})
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK && r.status != http.StatusAccepted {
		return 0, rejectionError(r)
	}
	return r.result().Version, nil
}

// call holds the request of a call, which every attempt sends unchanged.
type call struct {
	method, path, expect, operation string
	body                            []byte
}

// response is a complete HTTP response.
type response struct {
	addr   string
	status int
	header http.Header
	body   []byte
}

func (r *response) result() Result {
	var result Result
	_ = json.Unmarshal(r.body, &result) // a body that is no Result leaves it empty
	return result
}

// sendWithRetries sends the request until a response ends the call or all attempts have
// been made.
func (c *Client) sendWithRetries(ctx context.Context, spec call) (*response, error) {
	if len(c.settings.Addrs) == 0 {
		return nil, ErrUnreachable.New("no control member addresses are configured")
	}
	var last error
	mayHaveRun, redirected := false, false
	addr := c.settings.Addrs[0]
	for attempt := 0; attempt < c.settings.Attempts; {
		r, err := c.sendOnce(ctx, addr, spec)
		next, ended := c.nextAddr(r, err, attempt, mayHaveRun)
		if ended {
			return r, nil
		}
		mayHaveRun = mayHaveRun || spec.method != http.MethodGet && mayHaveTakenEffect(r, err)
		last = attemptError(addr, r, err)
		c.settings.Log.Debug("control call failed", "addr", addr, "error", last)
		addr = next
		// Only the first of several consecutive redirects is followed without a
		// pause: during an election members may redirect to each other. It belongs to
		// the same attempt.
		if redirected = !redirected && r != nil && r.status == http.StatusTemporaryRedirect; redirected {
			continue
		}
		if attempt++; !c.pause(ctx) {
			break
		}
	}
	if mayHaveRun {
		return nil, ErrUnknownOutcome.Wrap(last, "the change may have taken effect: call again with operation ID %s to learn the outcome", spec.operation)
	}
	return nil, ErrUnreachable.Wrap(last, "no control member accepted the call")
}

func (c *Client) sendOnce(ctx context.Context, addr string, spec call) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.AttemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, spec.method, "http://"+addr+spec.path, bytes.NewReader(spec.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.settings.Token)
	if spec.method != http.MethodGet {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(headerOperation, spec.operation)
		req.Header.Set(headerExpect, spec.expect)
	}
	res, err := c.settings.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	return &response{addr: addr, status: res.StatusCode, header: res.Header, body: body}, nil
}

// nextAddr reports whether a response ends the call, and returns the address of
// the next attempt. A response with the decision of the control log always ends the
// call. Any other rejection ends it only if no earlier attempt may have taken
// effect.
func (c *Client) nextAddr(r *response, err error, attempt int, mayHaveRun bool) (next string, ended bool) {
	next = c.settings.Addrs[(attempt+1)%len(c.settings.Addrs)]
	if err != nil {
		return next, false
	}
	switch r.status {
	case http.StatusTemporaryRedirect:
		if to, err := url.Parse(r.header.Get("Location")); err == nil && to.Host != "" {
			return to.Host, false
		}
		return next, false
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusBadGateway, http.StatusInternalServerError:
		return next, false
	}
	return next, !mayHaveRun || r.result().Decided
}

// mayHaveTakenEffect reports whether an attempt that did not end the call may
// have taken effect. It has not if no connection was made, if the response says
// not-run, or if its status is below 500.
func mayHaveTakenEffect(r *response, err error) bool {
	if err != nil {
		var op *net.OpError
		return !errors.As(err, &op) || op.Op != "dial"
	}
	return r.header.Get(headerOutcome) != fleet.OutcomeNotRun.String() && r.status >= http.StatusInternalServerError
}

// attemptError returns the error of a failed attempt, with the member's address.
func attemptError(addr string, r *response, err error) error {
	if err == nil {
		err = fmt.Errorf("status %d: %s", r.status, r.result().Error)
	}
	return fleet.At(err, "operator.call", addr)
}

// pause waits before the next attempt. It reports false if the context ended.
func (c *Client) pause(ctx context.Context) bool {
	timer := time.NewTimer(c.settings.RetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// rejectionError returns the error for a response that rejects the call.
func rejectionError(r *response) error {
	result := r.result()
	var b strings.Builder
	fmt.Fprintf(&b, "status %d: %s", r.status, result.Error)
	for _, f := range result.Violations {
		b.WriteString("\n" + f.String())
	}
	err := ErrRejected.New("%s", b.String()).
		WithProperty(fleet.PropertyStep, "operator.call").
		WithProperty(fleet.PropertyPeer, r.addr)
	if r.status == http.StatusPreconditionFailed {
		return errorx.Decorate(err, "version %d is in force", result.Version).
			WithProperty(propertyVersion, result.Version)
	}
	return err
}
