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

const headerUpstream = "Wigeonflow-Upstream"

// client sends requests and judges their answers.
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

func (c *client) now() time.Duration { return time.Since(c.start) }

// send sends one request; the caller closes the answer's body and calls cancel.
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

// chat asks one turn of a chat as a stream.
func (c *client) chat(ctx context.Context, url string, ch *chat) result {
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
		return c.unreached(res, err)
	}
	defer func() { _ = resp.Body.Close() }()
	res.status, res.upstream = resp.StatusCode, resp.Header.Get(headerUpstream)
	if resp.StatusCode != http.StatusOK {
		return c.refused(res, resp)
	}
	res.arrivals = readStream(resp.Body, check, c.now)
	res.ended, res.verdict = c.now(), check.verdict()
	res.detail = fmt.Sprintf("chat %s at %s, request %s: %d of %d bytes in %d events, done %v", ch.id, url,
		resp.Header.Get(standin.HeaderRequestID), check.offset, len(check.expected), check.events, check.done)
	return res
}

// lookup asks a service for something that may be asked twice.
func (c *client) lookup(ctx context.Context, url, key string, n int) result {
	path := fmt.Sprintf("/stock/hall-%d", n)
	res, body := c.service(ctx, kindLookup, http.MethodGet, url, path, key, nil, nil)
	if body == nil {
		return res
	}
	var got standin.Lookup
	if err := json.Unmarshal(body, &got); err != nil {
		res.verdict, res.detail = VerdictLost, err.Error()
		return res
	}
	if got != standin.ExpectedLookup(path) {
		res.verdict, res.detail = VerdictCrossed, fmt.Sprintf("%s got %+v", path, got)
	}
	return res
}

// service sends a request to the service and returns its whole body, or nil if
// the verdict stands already.
func (c *client) service(ctx context.Context, kind, method, url, path, key string, headers map[string]string, body []byte) (result, []byte) {
	res := result{kind: kind, sent: c.now()}
	resp, cancel, err := c.send(ctx, method, url+"/services/"+c.cfg.Service+path, key, headers, body)
	defer cancel()
	if err != nil {
		return c.unreached(res, err), nil
	}
	defer func() { _ = resp.Body.Close() }()
	res.status, res.upstream = resp.StatusCode, resp.Header.Get(headerUpstream)
	if resp.StatusCode >= http.StatusBadRequest {
		return c.refused(res, resp), nil
	}
	data, err := io.ReadAll(resp.Body)
	res.ended = c.now()
	if err != nil {
		res.verdict, res.detail = VerdictLost, err.Error()
		return res, nil
	}
	res.verdict = VerdictWhole
	return res, data
}

// unreached is the result without an answer: it may have run.
func (c *client) unreached(res result, err error) result {
	res.ended, res.verdict, res.detail = c.now(), VerdictFailed, err.Error()
	return res
}

// maxDetail bounds the part of a refusal that the report quotes, in bytes.
const maxDetail = 300

func (c *client) refused(res result, resp *http.Response) result {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
	res.ended, res.verdict = c.now(), refusal(resp.Header.Get(headerOutcome))
	res.detail = fmt.Sprintf("%s %s", resp.Status, bytes.TrimSpace(text))
	return res
}
