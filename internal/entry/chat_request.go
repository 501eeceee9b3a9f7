package entry

import (
	"net/http"
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// HeaderChat is the header field that identifies the chat if the body has no
// prompt_cache_key.
const HeaderChat = "Wigeonflow-Chat"

const (
	// defaultOutputTokens is the estimated output of a request that sets no limit.
	defaultOutputTokens = 512
	// bytesPerToken is the estimated length of a prompt token.
	bytesPerToken = 4
	// adapterSeparator separates a model's name from an adapter's.
	adapterSeparator = ":"
	// tierBatch is the service_tier of requests with batch priority.
	tierBatch = "flex"
)

// chatRequest holds the fields of a chat completion request that the router needs.
type chatRequest struct {
	Model   fleet.ModelName
	Adapter string
	Chat    fleet.ChatID
	Stream  bool
	// WantsUsage reports whether the caller asked for the usage chunk.
	WantsUsage bool
	Priority   fleet.Priority
	// PromptTokens and OutputTokens are estimates, used until the usage is known.
	PromptTokens, OutputTokens int64
	body                       []byte
}

// requestError is the error of an invalid request of a caller.
type requestError struct {
	code    string
	message string
}

func (e *requestError) Error() string { return e.message }

// parseChat reads the fields that the router needs from a request's body and header.
// The error is a *requestError.
func parseChat(h http.Header, body []byte) (*chatRequest, error) {
	if !gjson.ValidBytes(body) {
		return nil, &requestError{"invalid_json", "the body is not valid JSON"}
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return nil, &requestError{"invalid_json", "the body is not a JSON object"}
	}
	if !root.Get("messages").IsArray() {
		return nil, &requestError{"missing_messages", "messages must be an array"}
	}
	model, adapter, _ := strings.Cut(root.Get("model").String(), adapterSeparator)
	if model == "" {
		return nil, &requestError{"missing_model", "model must name a model"}
	}
	r := &chatRequest{
		Model: fleet.ModelName(model), Adapter: adapter,
		Chat:         fleet.ChatID(root.Get("prompt_cache_key").String()),
		Stream:       root.Get("stream").Bool(),
		WantsUsage:   root.Get("stream_options.include_usage").Bool(),
		Priority:     fleet.PriorityInteractive,
		PromptTokens: int64(len(body) / bytesPerToken),
		OutputTokens: outputLimit(root),
		body:         body,
	}
	if r.Chat == "" {
		r.Chat = fleet.ChatID(h.Get(HeaderChat))
	}
	if root.Get("service_tier").String() == tierBatch {
		r.Priority = fleet.PriorityBatch
	}
	return r, nil
}

// outputLimit returns the request's limit of output tokens, or defaultOutputTokens.
func outputLimit(root gjson.Result) int64 {
	for _, field := range []string{"max_completion_tokens", "max_tokens"} {
		if n := root.Get(field).Int(); n > 0 {
			return n
		}
	}
	return defaultOutputTokens
}

// upstreamBody returns the body for the engine, which always asks for a stream with
// its usage, and has a cache key that other workspaces can't produce.
func (r *chatRequest) upstreamBody(cacheKey string) ([]byte, error) {
	body := r.body
	for _, field := range []struct {
		path  string
		value any
	}{
		{"stream", true},
		{"stream_options.include_usage", true},
		{"prompt_cache_key", cacheKey},
	} {
		var err error
		if body, err = sjson.SetBytes(body, field.path, field.value); err != nil {
			return nil, &requestError{"invalid_json", err.Error()}
		}
	}
	return body, nil
}
