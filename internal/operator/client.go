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

// ClientSettings are what NewClient needs. Zero fields mean the defaults.
type ClientSettings struct {
	// Addrs are control members' addresses, IP:port; any one will do.
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

// Client calls the operators' interface. It follows the leader, and sends a
// call again after a lost answer under the same operation ID. Its errors are of
// type ErrRefused, ErrUnreachable or ErrUnknownOutcome.
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

// Expect is the version that a change is based on, or any.
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

// Apply puts both lists in force and returns the version that it made.
func (c *Client) Apply(ctx context.Context, expect Expect, operation string, both lists.Both) (fleet.ConfigVersion, error) {
	return c.change(ctx, http.MethodPut, pathConfig, expect, operation, both)
}

// SetZone takes an availability zone out or in.
func (c *Client) SetZone(ctx context.Context, expect Expect, operation string, zone fleet.AvailabilityZone, out bool) (fleet.ConfigVersion, error) {
	return c.setState(ctx, pathZone+url.PathEscape(string(zone)), expect, operation, out)
}

// SetInstance takes an instance out or in.
func (c *Client) SetInstance(ctx context.Context, expect Expect, operation string, id fleet.InstanceID, out bool) (fleet.ConfigVersion, error) {
	return c.setState(ctx, pathInstance+url.PathEscape(string(id)), expect, operation, out)
}

// SetUpstream takes an upstream out or in.
func (c *Client) SetUpstream(ctx context.Context, expect Expect, operation string, id fleet.UpstreamID, out bool) (fleet.ConfigVersion, error) {
	return c.setState(ctx, pathUpstream+url.PathEscape(string(id)), expect, operation, out)
}

func (c *Client) setState(ctx context.Context, path string, expect Expect, operation string, out bool) (fleet.ConfigVersion, error) {
	body := stateBody{State: stateIn}
	if out {
		body.State = stateOut
	}
	return c.change(ctx, http.MethodPut, path, expect, operation, body)
}

// Order gives an order to an engine. It returns once the order is committed,
// not when it is done; Status shows how far it has come.
func (c *Client) Order(ctx context.Context, expect Expect, operation string, spec OrderSpec) (fleet.ConfigVersion, error) {
	return c.change(ctx, http.MethodPost, pathOrders, expect, operation, spec)
}

// Config returns the lists in force and their version.
func (c *Client) Config(ctx context.Context) (lists.Both, fleet.ConfigVersion, error) {
	var both lists.Both
	header, err := c.get(ctx, pathConfig, &both)
	if err != nil {
		return both, 0, err
	}
	version, ok := parseVersion(header.Get(headerVersion))
	if !ok {
		return both, 0, ErrRefused.New("the answer has no version")
	}
	return both, version, nil
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
	r, err := c.call(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, refusedError(r)
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return nil, fleet.At(ErrRefused.Wrap(err, "decode the answer"), "operator.get", r.addr)
	}
	return r.header, nil
}

func (c *Client) change(ctx context.Context, method, path string, expect Expect, operation string, body any) (fleet.ConfigVersion, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, ErrRefused.Wrap(err, "encode the call")
	}
	r, err := c.call(ctx, call{method: method, path: path, expect: expect.header(), operation: operation, body: encoded})
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK && r.status != http.StatusAccepted {
		return 0, refusedError(r)
	}
	return r.result().Version, nil
}

// call is one call, the same for every attempt.
type call struct {
	method, path, expect, operation string
	body                            []byte
}

// response is an answer that ends a call.
type response struct {
	addr   string
	status int
	header http.Header
	body   []byte
}

func (r *response) result() Result {
	var result Result
	_ = json.Unmarshal(r.body, &result) // an answer of another form leaves it empty
	return result
}

// call sends until an answer ends the call or the attempts are used up.
func (c *Client) call(ctx context.Context, what call) (*response, error) {
	if len(c.settings.Addrs) == 0 {
		return nil, ErrUnreachable.New("no control address is given")
	}
	var last error
	mayHaveRun, redirected := false, false
	addr := c.settings.Addrs[0]
	for attempt := range c.settings.Attempts {
		r, err := c.attempt(ctx, addr, what)
		next, ended := c.judge(r, err, attempt, mayHaveRun)
		if ended {
			return r, nil
		}
		mayHaveRun = mayHaveRun || what.method != http.MethodGet && effectPossible(r, err)
		last = failure(addr, r, err)
		c.settings.Log.Debug("control call failed", "addr", addr, "error", last)
		addr = next
		// The first of a row of redirects is followed at once: during an
		// election members may point at each other.
		redirected = !redirected && r != nil && r.status == http.StatusTemporaryRedirect
		if !redirected && !c.pause(ctx) {
			break
		}
	}
	if mayHaveRun {
		return nil, ErrUnknownOutcome.Wrap(last, "call again with operation %s to learn the outcome", what.operation)
	}
	return nil, ErrUnreachable.Wrap(last, "no control member took the call")
}

func (c *Client) attempt(ctx context.Context, addr string, what call) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.AttemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, what.method, "http://"+addr+what.path, bytes.NewReader(what.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.settings.Token)
	if what.method != http.MethodGet {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(headerOperation, what.operation)
		req.Header.Set(headerExpect, what.expect)
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

// judge tells whether a response ends the call, and where to go on if not. An
// answer that the control log decided always does. Another refusal does only
// while no earlier attempt may have had an effect.
func (c *Client) judge(r *response, err error, attempt int, mayHaveRun bool) (next string, ended bool) {
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

// effectPossible tells whether an attempt that did not end the call may have
// had an effect: all but those that did not connect or were told not-run.
func effectPossible(r *response, err error) bool {
	if err != nil {
		var op *net.OpError
		return !errors.As(err, &op) || op.Op != "dial"
	}
	return r.header.Get(headerOutcome) != fleet.OutcomeNotRun.String() && r.status >= http.StatusInternalServerError
}

func failure(addr string, r *response, err error) error {
	if err == nil {
		err = fmt.Errorf("status %d: %s", r.status, r.result().Error)
	}
	return fleet.At(err, "operator.call", addr)
}

// pause waits before the next attempt. It returns false when the context has
// ended.
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

// refusedError turns a final refusal into an error.
func refusedError(r *response) error {
	result := r.result()
	var b strings.Builder
	fmt.Fprintf(&b, "status %d: %s", r.status, result.Error)
	for _, f := range result.Faults {
		b.WriteString("\n" + f.String())
	}
	err := ErrRefused.New("%s", b.String()).
		WithProperty(fleet.PropertyStep, "operator.call").
		WithProperty(fleet.PropertyPeer, r.addr)
	if r.status == http.StatusPreconditionFailed {
		return errorx.Decorate(err, "version %d is in force", result.Version).
			WithProperty(propertyVersion, result.Version)
	}
	return err
}
