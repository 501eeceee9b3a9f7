package answer

import (
	"bytes"
	"encoding/json"
)

// Usage is the token count of one answer, as in the OpenAI API.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
	// Details is nil if the engine sent none.
	Details *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails breaks the number of prompt tokens down by origin.
type PromptDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// usageField is the start of a usage object. In token chunks the usage is null or
// missing.
var usageField = []byte(`"usage":{`)

// isUsage reports whether ev is the usage chunk at the end of a stream. The text of
// usageField can't occur inside a JSON string, where quotes are escaped.
func isUsage(ev Event) bool { return bytes.Contains(ev.Data, usageField) }

// chunkUsage parses the usage of a usage chunk.
func chunkUsage(data []byte) (Usage, bool) {
	var chunk struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) != nil || chunk.Usage == nil {
		return Usage{}, false
	}
	return *chunk.Usage, true
}

// chunkID parses the id of a chunk, for chunks with unusual spacing or member order.
func chunkID(data []byte) (string, bool) {
	var chunk struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &chunk) != nil || chunk.ID == "" {
		return "", false
	}
	return chunk.ID, true
}
