package standin

import (
	"encoding/json"
	"strings"
)

// Header names of the engine protocol.
const (
	// HeaderRequestID identifies the attempt; the answer echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderResumeOffset asks to resume a generation after the token event with this
	// ID, which is the number of tokens already received.
	HeaderResumeOffset = "Wigeonflow-Resume-Offset"
	// HeaderPriority is 0 for batch and 1 for interactive requests.
	HeaderPriority = "Wigeonflow-Priority"
	// HeaderBootID identifies one start of an upstream's process.
	HeaderBootID = "Engine-Boot-Id"
	// HeaderIdempotencyKey identifies a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// UnmarshalJSON reads content given as a string or as an array of text parts.
func (m *Message) UnmarshalJSON(data []byte) error {
	var raw struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	m.Role = raw.Role
	m.Content = ""
	if len(raw.Content) == 0 || string(raw.Content) == "null" {
		return nil
	}
	if raw.Content[0] == '"' {
		return json.Unmarshal(raw.Content, &m.Content)
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw.Content, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	m.Content = b.String()
	return nil
}

// ChatRequest is the part of an OpenAI chat request that the engine reads.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens           int            `json:"max_tokens,omitempty"`
	MaxCompletionTokens int            `json:"max_completion_tokens,omitempty"`
	PromptCacheKey      string         `json:"prompt_cache_key,omitempty"`
}

// StreamOptions asks for a usage chunk at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails counts the prompt tokens that came from the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// chatCompletion is the response body of a request without streaming.
type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   Usage        `json:"usage"`
}

type chatChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// usageChunk is the last chunk of a stream with include_usage.
type usageChunk struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []struct{} `json:"choices"`
	Usage   Usage      `json:"usage"`
}

const (
	finishStop       = "stop"
	finishLength     = "length"
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	idPrefix         = "chatcmpl-"
)
