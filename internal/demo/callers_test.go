package demo

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"

	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// startFleet starts a fleet, waits until it serves, and stops it when the test ends.
func startFleet(t *testing.T, opts Options) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	t.Cleanup(cancel)
	opts.Dir = t.TempDir()
	f, err := Start(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	if err := f.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

const validChat = `{"model":"care-notes","max_tokens":8,"messages":[{"role":"user","content":"when is it ready"}]}`

// send sends a request with only these headers to the first router, without the
// workspace's key that Do adds.
func (f *Fleet) send(t *testing.T, method, path, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, f.RouterURLs[0]+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp, string(text)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	f := startFleet(t, Options{Routers: 1})
	key := map[string]string{"Authorization": "Bearer " + WorkspaceKey}
	with := func(name, value string) map[string]string {
		return map[string]string{"Authorization": "Bearer " + WorkspaceKey, name: value}
	}
	cases := []struct {
		name         string
		method, path string
		body         string
		header       map[string]string
		status       int
		code         string
	}{
		{"no key", "POST", "/v1/chat/completions", validChat, nil, 401, "missing_key"},
		{"unknown key", "POST", "/v1/chat/completions", validChat, map[string]string{"Authorization": "Bearer other"}, 401, "invalid_key"},
		{"malformed JSON", "POST", "/v1/chat/completions", `{"model":`, key, 400, "invalid_json"},
		{"JSON that is not an object", "POST", "/v1/chat/completions", `[1]`, key, 400, "invalid_json"},
		{"no model", "POST", "/v1/chat/completions", `{"messages":[]}`, key, 400, "missing_model"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"care-notes"}`, key, 400, "missing_messages"},
		{"a model outside the plan", "POST", "/v1/chat/completions", `{"model":"other","messages":[]}`, key, 403, "model_not_allowed"},
		{"an adapter outside the plan", "POST", "/v1/chat/completions", `{"model":"care-notes:silk","messages":[]}`, key, 403, "adapter_not_allowed"},
		{"a service outside the plan", "GET", "/services/other/stock", "", key, 403, "service_not_allowed"},
		{"a body over the limit", "POST", "/v1/chat/completions", strings.Repeat(" ", 17<<20), key, 413, "body_too_large"},
		{"a key over the limit", "POST", "/services/counter/pickups", "{}", with("Idempotency-Key", strings.Repeat("k", 256)), 400, "invalid_key"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			resp, body := f.send(t, tc.method, tc.path, tc.body, tc.header)
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(gjson.Get(body, "error.code").String(), tc.code)
			is.Equal(resp.Header.Get("Wigeonflow-Outcome"), "not-run")
			is.True(resp.Header.Get("X-Request-Id") != "")
		})
	}
	for _, u := range f.Upstreams {
		if u.Engine != nil {
			is.New(t).Equal(u.Engine.Stats().Requests, int64(0)) // none of the rejected requests has run
		}
	}
}

func TestKeyReusedWithAnotherBodyIsRejected(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{})
	ctx := context.Background()
	_, first, err := f.Do(ctx, 0, http.MethodPost, "/services/counter/pickups", "k1", `{"choir":"a"}`)
	is.NoErr(err)
	resp, body, err := f.Do(ctx, 1, http.MethodPost, "/services/counter/pickups", "k1", `{"choir":"b"}`)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(gjson.GetBytes(body, "error.code").String(), "key_reused")
	_, again, err := f.Do(ctx, 1, http.MethodPost, "/services/counter/pickups", "k1", `{"choir":"a"}`)
	is.NoErr(err)
	is.Equal(string(again), string(first))
}

func TestRequestsOverThePlanAreRejected(t *testing.T) {
	is := is.New(t)
	const rate, burst, requests = 0.5, 2, 8
	f := startFleet(t, Options{Plan: lists.Plan{RequestsPerSecond: rate, Burst: burst}})
	begun := time.Now()
	ran := 0
	for i := range requests {
		resp, _, err := f.Do(context.Background(), i, http.MethodPost, "/v1/chat/completions", "", validChat)
		is.NoErr(err)
		if resp.StatusCode == http.StatusOK {
			ran++
			continue
		}
		is.Equal(resp.Header.Get("Wigeonflow-Outcome"), "not-run")
		is.True(resp.Header.Get("Retry-After") != "")
	}
	is.True(float64(ran) <= burst+rate*time.Since(begun).Seconds()) // the plan limits the sum over both routers
	is.True(ran < requests)
}

func TestDisconnectedCallerCancelsItsRequest(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Engines: 1, Engine: standin.EngineConfig{StepTime: 20 * time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.RouterURLs[0]+"/v1/chat/completions",
		strings.NewReader(`{"model":"care-notes","stream":true,"max_tokens":60000,"messages":[{"role":"user","content":"x"}]}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	is.NoErr(err)
	cancel()
	_ = resp.Body.Close()
	for f.Upstreams[0].Engine.Stats().InFlight != 0 { // bounded by the test's timeout
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.Upstreams[0].Engine.Stats().Cancelled, int64(1))
}
