package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Headers of the engine protocol.
const (
	headerResumeOffset = "Wigeonflow-Resume-Offset"
	headerPriority     = "Wigeonflow-Priority"
	headerEngineBoot   = "Engine-Boot-Id"
)

// HTTPEngine is an Engine over HTTP.
type HTTPEngine struct {
	base client
}

// NewEngine returns the engine at addr, an IP:port. The client must have no Timeout,
// which would interrupt long streams; see NewHTTPClient.
func NewEngine(addr string, httpClient *http.Client) *HTTPEngine {
	return &HTTPEngine{base: newClient(addr, httpClient)}
}

var _ Engine = (*HTTPEngine)(nil)

// Chat implements Engine.
func (e *HTTPEngine) Chat(ctx context.Context, req ChatRequest) (ChatStream, error) {
	return e.startChat(ctx, req)
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, attempt answer.AttemptID) error {
	path := "/v1/requests/" + url.PathEscape(string(attempt))
	resp, err := e.base.do(ctx, "engine.cancel", http.MethodDelete, path, nil)
	if err != nil {
		return err
	}
	defer drain(resp.Body)
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode/100 == 2 {
		return nil
	}
	return e.base.statusError("engine.cancel", resp)
}

// Load implements Engine.
func (e *HTTPEngine) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := e.base.getJSON(ctx, "engine.load", "/load", &report)
	return report, err
}

// CacheEvents implements Engine.
func (e *HTTPEngine) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var events CacheEvents
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	err := e.base.getJSON(ctx, "engine.cache_events", path, &events)
	return events, err
}

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, order Order) error {
	const step = "engine.order"
	resp, err := e.base.postJSON(ctx, step, "/orders", order)
	if err != nil {
		return err
	}
	defer drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		var highest struct {
			Fence fleet.FencingNumber `json:"fence"`
		}
		if err := e.base.readJSON(step, resp.Body, &highest); err != nil {
			return err
		}
		return fleet.At(&StaleFenceError{Sent: order.Fence, Highest: highest.Fence}, step, e.base.addr)
	default:
		return e.base.statusError(step, resp)
	}
}

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context) (OrderState, error) {
	var state OrderState
	err := e.base.getJSON(ctx, "engine.orders", "/orders", &state)
	return state, err
}

// ExportKV implements Engine.
func (e *HTTPEngine) ExportKV(ctx context.Context, key string) (io.ReadCloser, error) {
	const step = "engine.kv_export"
	resp, err := e.base.do(ctx, step, http.MethodPost, "/kv/export?key="+url.QueryEscape(key), nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer drain(resp.Body)
		return nil, e.base.statusError(step, resp)
	}
	return resp.Body, nil
}

// ImportKV implements Engine.
func (e *HTTPEngine) ImportKV(ctx context.Context, key string, body io.Reader) error {
	const step = "engine.kv_import"
	resp, err := e.base.do(ctx, step, http.MethodPost, "/kv/import?key="+url.QueryEscape(key), body)
	if err != nil {
		return err
	}
	defer drain(resp.Body)
	if resp.StatusCode/100 != 2 {
		return e.base.statusError(step, resp)
	}
	_, err = readBounded(resp.Body, maxErrorBodyBytes) // fails if the answer came before the upload's end
	return fleet.At(err, step, e.base.addr)
}

// newChat builds the HTTP request of one attempt. It has no GetBody, so that the
// transport can't resend the body.
func (e *HTTPEngine) newChat(ctx context.Context, req ChatRequest) (*http.Request, error) {
	body := io.NopCloser(&gatedBody{req: &req, rest: bytes.NewReader(req.Body)})
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base.url("/v1/chat/completions"), body)
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(req.Body))
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set("Accept", "text/event-stream")
	out.Header.Set(answer.HeaderRequestID, string(req.Attempt))
	out.Header.Set(headerPriority, strconv.Itoa(int(req.Priority)))
	if req.Resume {
		out.Header.Set(headerResumeOffset, strconv.FormatUint(req.Offset, 10))
	}
	return out, nil
}

func (r *ChatRequest) beforeWrite() error {
	if r.BeforeWrite == nil {
		return nil
	}
	return r.BeforeWrite()
}

// gatedBody calls BeforeWrite again when the transport reads the first byte of the
// body, after a connection was opened.
type gatedBody struct {
	req     *ChatRequest
	rest    *bytes.Reader
	checked bool
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	if !b.checked {
		b.checked = true
		if err := b.req.beforeWrite(); err != nil {
			return 0, err
		}
	}
	return b.rest.Read(p)
}
