package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// Kinds of request.
const (
	kindChat    = "chat"
	kindLookup  = "lookup"
	kindBooking = "booking"
)

// headerUpstream is the header that names the upstream that answered.
const headerUpstream = "Wigeonflow-Upstream"

// client sends requests and checks their answers.
type client struct {
	http  *http.Client
	cfg   Config
	start time.Time
}

func newClient(cfg Config) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: max(cfg.Concurrency, cfg.MaxInFlight),
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &client{http: &http.Client{Transport: transport}, cfg: cfg, start: time.Now()}
}

// now returns the time since the client's start.
func (c *client) now() time.Duration { return time.Since(c.start) }

// send sends one request with key as bearer token and a deadline of Config.Timeout. The
// caller closes the response body and calls the returned cancel function, which is never
// nil.
func (c *client) send(ctx context.Context, method, url, key string, headers map[string]string, body []byte) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, cancel, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	return resp, cancel, err
}

// sendTurn sends one turn of a chat as a streaming request and checks the answer.
func (c *client) sendTurn(ctx context.Context, url string, ch *chat) result {
	body, _ := json.Marshal(standin.ChatRequest{
		Model: c.cfg.Model, Messages: ch.messages, Stream: true,
		StreamOptions: &standin.StreamOptions{IncludeUsage: true},
		MaxTokens:     c.cfg.AnswerTokens, PromptCacheKey: ch.id,
	})
	check := &streamCheck{expected: standin.ExpectedAnswer(ch.messages, c.cfg.AnswerTokens)}
	res := result{kind: kindChat, sent: c.now(), check: check}
	headers := map[string]string{"Content-Type": "application/json"}
	resp, cancel, err := c.send(ctx, http.MethodPost, url+"/v1/chat/completions", ch.key, headers, body)
	defer cancel()
	if err != nil {
		return c.failedResult(res, err)
	}
	defer func() { _ = resp.Body.Close() }()
	res.status, res.upstream = resp.StatusCode, resp.Header.Get(headerUpstream)
	if resp.StatusCode != http.StatusOK {
		return c.errorResult(res, resp)
	}
	res.arrivals = readStream(resp.Body, check, c.now)
	res.ended, res.verdict = c.now(), check.verdict()
	res.detail = fmt.Sprintf("chat %s at %s, request %s: %d of %d bytes in %d events, end event received: %v", ch.id, url,
		resp.Header.Get(standin.HeaderRequestID), check.offset, len(check.expected), check.events, check.done)
	return res
}

// sendLookup sends lookup n, which is repeatable, to the service and checks the answer.
func (c *client) sendLookup(ctx context.Context, url, key string, n int) result {
	path := fmt.Sprintf("/stock/hall-%d", n)
	res, body := c.callService(ctx, kindLookup, http.MethodGet, url, path, key, nil, nil)
	if body == nil {
		return res
	}
	var got standin.Lookup
	if err := json.Unmarshal(body, &got); err != nil {
		res.verdict, res.detail = VerdictLost, err.Error()
		return res
	}
	if got != standin.ExpectedLookup(path) {
		res.verdict, res.detail = VerdictMisdelivered, fmt.Sprintf("lookup %s: answer %+v is not the expected one", path, got)
	}
	return res
}

// callService sends a request to the configured service. It returns the result and the
// complete response body, or nil if the result has its final verdict already.
func (c *client) callService(ctx context.Context, kind, method, url, path, key string, headers map[string]string, body []byte) (result, []byte) {
	res := result{kind: kind, sent: c.now()}
	resp, cancel, err := c.send(ctx, method, url+"/services/"+c.cfg.Service+path, key, headers, body)
	defer cancel()
	if err != nil {
		return c.failedResult(res, err), nil
	}
	defer func() { _ = resp.Body.Close() }()
	res.status, res.upstream = resp.StatusCode, resp.Header.Get(headerUpstream)
	if resp.StatusCode >= http.StatusBadRequest {
		return c.errorResult(res, resp), nil
	}
	data, err := io.ReadAll(resp.Body)
	res.ended = c.now()
	if err != nil {
		res.verdict, res.detail = VerdictLost, err.Error()
		return res, nil
	}
	res.verdict = VerdictComplete
	return res, data
}

// failedResult returns res as the result of a request that got no response. The request
// may have run.
func (c *client) failedResult(res result, err error) result {
	res.ended, res.verdict, res.detail = c.now(), VerdictFailed, err.Error()
	return res
}

// maxDetail bounds the part of an error response that the report quotes, in bytes.
const maxDetail = 300

// errorResult returns res as the result of a request that was answered with an error
// status.
func (c *client) errorResult(res result, resp *http.Response) result {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
	res.ended, res.verdict = c.now(), errorVerdict(resp.Header.Get(headerOutcome))
	res.detail = fmt.Sprintf("%s %s", resp.Status, bytes.TrimSpace(text))
	return res
}
