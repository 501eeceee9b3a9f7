package operator

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

const testToken = "operator-token"

// fakeBackend is a Backend on a Config that several control members may share.
type fakeBackend struct {
	mu     *sync.Mutex
	config *Config
	leader string
	// beforeApply is called before a proposal is applied, afterApply after it; an
	// error of either is returned in place of the answer. Each may be nil.
	beforeApply, afterApply func() error
}

func (b *fakeBackend) Propose(_ context.Context, command []byte) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.beforeApply != nil {
		if err := b.beforeApply(); err != nil {
			return nil, err
		}
	}
	answer := b.config.Apply(0, command)
	if b.afterApply != nil {
		if err := b.afterApply(); err != nil {
			return nil, err
		}
	}
	return answer, nil
}

func (b *fakeBackend) Committed(context.Context) (*Committed, error) {
	return b.config.Committed(), nil
}

func (b *fakeBackend) Status(context.Context) (*Status, error) {
	s := &Status{Routers: []RouterStatus{
		{Instance: "r1", Version: 3, LeaseLeft: time.Second}, {Instance: "r2", Version: 2, LeaseLeft: time.Second}, {Instance: "r3", Version: 1},
	}}
	s.SetConfig(&b.config.Committed().State)
	return s, nil
}

func (b *fakeBackend) Upstreams(context.Context) ([]UpstreamStatus, error) {
	return []UpstreamStatus{{Upstream: fleet.Upstream{ID: "e1"}, Owner: "r1"}}, nil
}

func (b *fakeBackend) Leader() string { return b.leader }
func (b *fakeBackend) Leads() bool    { return b.leader == "" }

func newBackend() *fakeBackend { return &fakeBackend{mu: &sync.Mutex{}, config: NewConfig()} }

// startServer starts an HTTP server of the API and returns its address.
func startServer(t *testing.T, b Backend) string {
	server := httptest.NewServer(NewHandler(HandlerSettings{
		Backend: b, Tokens: []KeyDigest{sha256.Sum256([]byte(testToken))}, Zones: []fleet.AvailabilityZone{"medeu"},
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newTestClient(addrs ...string) *Client {
	return NewClient(ClientSettings{Addrs: addrs, Token: testToken, RetryInterval: time.Millisecond, Attempts: 5})
}

func TestHandlerContract(t *testing.T) {
	const zoneOut = `{"state":"out"}`
	cases := []struct {
		name, method, path, token, ifMatch, key, body string
		status                                        int
		etag                                          string
	}{
		{"no token", "GET", "/v1/config", "", "", "", "", 401, ""},
		{"wrong token", "GET", "/v1/config", "guess", "", "", "", 401, ""},
		{"config with its version", "GET", "/v1/config", testToken, "", "", "", 200, `"1"`},
		{"no operation ID", "PUT", "/v1/zones/medeu", testToken, `"1"`, "", zoneOut, 400, ""},
		{"no version", "PUT", "/v1/zones/medeu", testToken, "", "k1", zoneOut, 428, ""},
		{"version without quotes", "PUT", "/v1/zones/medeu", testToken, "1", "k1", zoneOut, 400, ""},
		{"old version", "PUT", "/v1/zones/medeu", testToken, `"0"`, "k2", zoneOut, 412, `"1"`},
		{"the same call retried", "PUT", "/v1/zones/medeu", testToken, `"0"`, "k2", zoneOut, 412, `"1"`},
		{"same key, other body", "PUT", "/v1/zones/medeu", testToken, `"1"`, "k2", zoneOut, 422, `"1"`},
		{"unknown zone", "PUT", "/v1/zones/medeo", testToken, `"1"`, "k3", zoneOut, 404, ""},
		{"unknown state", "PUT", "/v1/zones/medeu", testToken, `"1"`, "k3", `{"state":"off"}`, 400, ""},
		{"unknown field", "PUT", "/v1/zones/medeu", testToken, `"1"`, "k3", `{"states":"out"}`, 400, ""},
		{"two values", "PUT", "/v1/zones/medeu", testToken, `"1"`, "k3", zoneOut + zoneOut, 400, ""},
		{"zone out", "PUT", "/v1/zones/medeu", testToken, `"1"`, "k3", zoneOut, 200, `"2"`},
		{"any version", "PUT", "/v1/instances/r1", testToken, "*", "k4", zoneOut, 200, `"3"`},
		{"lists need a version", "PUT", "/v1/config", testToken, "*", "k5", `{}`, 400, ""},
		{"lists with a violation", "PUT", "/v1/config", testToken, `"3"`, "k6", `{"plans":{"workspaces":[{"id":"w"}]}}`, 422, ""},
		{"order without a model", "POST", "/v1/orders", testToken, `"3"`, "k7", `{"upstream":"e1","action":"load"}`, 400, ""},
		{"order", "POST", "/v1/orders", testToken, `"3"`, "k7", `{"upstream":"e1","action":"load","model":"m"}`, 202, `"4"`},
		{"second order", "POST", "/v1/orders", testToken, `"4"`, "k8", `{"upstream":"e1","action":"load","model":"m"}`, 409, `"4"`},
		{"status", "GET", "/v1/status", testToken, "", "", "", 200, ""},
		{"upstreams", "GET", "/v1/upstreams", testToken, "", "", "", 200, ""},
		{"unknown path", "GET", "/v1/nothing", testToken, "", "", "", 404, ""},
	}
	b := newBackend()
	mustApply(b.config, Command{Kind: KindLists, Operation: "first", Lists: testLists()})
	addr := startServer(t, b)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(tc.method, "http://"+addr+tc.path, strings.NewReader(tc.body))
			is.NoErr(err)
			if tc.token != "" {
				req.Header.Set("Authorization", "Bearer "+tc.token)
			}
			req.Header.Set("If-Match", tc.ifMatch)
			req.Header.Set("Idempotency-Key", tc.key)
			res, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer res.Body.Close()
			is.Equal(res.StatusCode, tc.status)
			is.Equal(res.Header.Get("ETag"), tc.etag)
		})
	}
}

func TestStatusShowsTheSlowestRouter(t *testing.T) {
	is := is.New(t)
	status, err := newTestClient(startServer(t, newBackend())).Status(context.Background())
	is.NoErr(err)
	is.Equal(status.Slowest, fleet.InstanceID("r2")) // r3 has no lease
	is.Equal(status.InForce, fleet.ConfigVersion(2))
}

func TestClientRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newTestClient(startServer(t, newBackend()))
	want := *testLists(workspace("w", "basic"))
	version, err := c.Apply(ctx, Expect{}, "a", want)
	is.NoErr(err)
	is.Equal(version, fleet.ConfigVersion(1))
	got, version, err := c.Config(ctx)
	is.NoErr(err)
	is.Equal(got.Plans, want.Plans)
	is.Equal(version, fleet.ConfigVersion(1))
	_, err = c.SetZone(ctx, Expect{Any: true}, "b", "medeu", true)
	is.NoErr(err)
	_, err = c.SetInstance(ctx, Expect{Version: 2}, "c", "r1", true)
	is.NoErr(err)
	_, err = c.SetUpstream(ctx, Expect{Version: 3}, "d", "e1", true)
	is.NoErr(err)
	_, err = c.SubmitOrder(ctx, Expect{Version: 4}, "e", OrderSpec{Upstream: "e1", Action: ActionRole, Role: "prefill"})
	is.NoErr(err)
	_, err = c.Apply(ctx, Expect{}, "f", want)
	is.True(errorx.IsOfType(err, ErrRejected))
	inForce, ok := VersionInForce(err)
	is.True(ok)
	is.Equal(inForce, fleet.ConfigVersion(5))
}

// errorSequence returns a function that returns the errors in turn, then nil.
func errorSequence(errs ...error) func() error {
	return func() error {
		if len(errs) == 0 {
			return nil
		}
		err := errs[0]
		errs = errs[1:]
		return err
	}
}

func TestClientOutcomes(t *testing.T) {
	lost := context.DeadlineExceeded
	unavailable := ErrUnavailable.New("no quorum")
	always := func(err error) func() error { return func() error { return err } }
	cases := []struct {
		name                    string
		beforeApply, afterApply func() error
		want                    *errorx.Type // nil means accepted
		applied                 fleet.ConfigVersion
	}{
		{"accepted at once", nil, nil, nil, 1},
		{"one lost answer: the retry gets the first answer", nil, errorSequence(lost), nil, 1},
		{"three lost answers", nil, errorSequence(lost, lost, lost), nil, 1},
		{"every answer lost: unknown", nil, always(lost), ErrUnknownOutcome, 1},
		{"no quorum, then back", errorSequence(unavailable, unavailable), nil, nil, 1},
		{"no quorum for all attempts: not run", always(unavailable), nil, ErrUnreachable, 0},
		{"a lost answer, then no quorum: unknown", errorSequence(nil, unavailable, unavailable, unavailable, unavailable), errorSequence(lost), ErrUnknownOutcome, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend()
			b.beforeApply, b.afterApply = tc.beforeApply, tc.afterApply
			_, err := newTestClient(startServer(t, b)).SetZone(context.Background(), Expect{}, "op", "medeu", true)
			if tc.want == nil {
				is.NoErr(err)
			} else {
				is.True(errorx.IsOfType(err, tc.want))
			}
			is.Equal(b.config.Committed().State.Version, tc.applied)
		})
	}
}

func TestClientFindsTheLeader(t *testing.T) {
	is := is.New(t)
	leader := newBackend()
	follower := &fakeBackend{mu: &sync.Mutex{}, config: leader.config, leader: startServer(t, leader)}
	follower.beforeApply = func() error { return ErrNotLeader.New("follower") }
	_, err := newTestClient("127.0.0.1:1", startServer(t, follower)).SetZone(context.Background(), Expect{}, "op", "medeu", true)
	is.NoErr(err)
	_, err = newTestClient("127.0.0.1:1").SetZone(context.Background(), Expect{}, "op", "medeu", true)
	is.True(errorx.IsOfType(err, ErrUnreachable))
}

// The redirects of followers used up half of the client's attempts while the leader was not ready.
func TestRedirectsUseUpAttempts(t *testing.T) {
	is := is.New(t)
	leader := newBackend()
	calls := 0
	leader.beforeApply = func() error {
		if calls++; calls < 3 {
			return ErrUnavailable.New("not ready")
		}
		return nil
	}
	follower := &fakeBackend{mu: &sync.Mutex{}, config: leader.config, leader: startServer(t, leader)}
	follower.beforeApply = func() error { return ErrNotLeader.New("follower") }
	client := NewClient(ClientSettings{
		Addrs: []string{startServer(t, follower)}, Token: testToken, RetryInterval: time.Millisecond, Attempts: 3,
	})
	_, err := client.SetZone(context.Background(), Expect{}, "op", "medeu", true)
	is.NoErr(err)
}

func TestClientKeepsViolationsOfLists(t *testing.T) {
	is := is.New(t)
	_, err := newTestClient(startServer(t, newBackend())).Apply(context.Background(), Expect{}, "a",
		lists.Config{Plans: lists.Plans{Workspaces: []lists.Workspace{workspace("w", "gold")}}})
	is.True(errorx.IsOfType(err, ErrRejected))
	is.True(strings.Contains(err.Error(), "workspaces[0].plan: unknown plan"))
}
