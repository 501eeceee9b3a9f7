package entry

import (
	"net/http"
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// HeaderChat names the chat where the body has no prompt_cache_key.
const HeaderChat = "Wigeonflow-Chat"

const (
	// defaultOutputTokens is the estimate for a request that sets no limit.
	defaultOutputTokens = 512
	// bytesPerToken is the estimate for a prompt's size.
	bytesPerToken = 4
	// adapterSeparator parts a model's name from an adapter's.
	adapterSeparator = ":"
	// tierBatch is the service_tier of requests that may wait.
	tierBatch = "flex"
)

// chatRequest is what the router reads of a chat completion request.
type chatRequest struct {
	Model   fleet.ModelName
	Adapter string
	Chat    fleet.ChatID
	Stream  bool
	// WantsUsage tells whether the caller asked for the usage chunk.
	WantsUsage bool
	Priority   fleet.Priority
	// PromptTokens and OutputTokens are estimates before the answer is known.
	PromptTokens, OutputTokens int64
	body                       []byte
}

// badRequest is a fault of the caller's request.
type badRequest struct {
	code    string
	message string
}

func (e *badRequest) Error() string { return e.message }

// parseChat reads the fields that the router needs from a request's body.
func parseChat(h http.Header, body []byte) (*chatRequest, error) {
	if !gjson.ValidBytes(body) {
		return nil, &badRequest{"invalid_json", "the body is not valid JSON"}
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return nil, &badRequest{"invalid_json", "the body is not a JSON object"}
	}
	if !root.Get("messages").IsArray() {
		return nil, &badRequest{"missing_messages", "messages must be an array"}
	}
	model, adapter, _ := strings.Cut(root.Get("model").String(), adapterSeparator)
	if model == "" {
		return nil, &badRequest{"missing_model", "model must name a model"}
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

func outputLimit(root gjson.Result) int64 {
	for _, field := range []string{"max_completion_tokens", "max_tokens"} {
		if n := root.Get(field).Int(); n > 0 {
			return n
		}
	}
	return defaultOutputTokens
}

// upstreamBody returns the body that goes to the engine: always a stream with
// its usage, and a cache key that no other workspace can name.
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
			return nil, &badRequest{"invalid_json", err.Error()}
		}
	}
	return body, nil
}
