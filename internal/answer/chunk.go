package answer

import (
	"bytes"
	"encoding/json"
)

// Usage counts the tokens of one answer, as the OpenAI API reports them.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
	// Details is nil if the engine gave none.
	Details *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails tells where the prompt tokens came from.
type PromptDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// usageField opens a usage object. Token chunks hold null there, or no usage.
var usageField = []byte(`"usage":{`)

// isUsage tells whether ev is the usage chunk that ends a stream. The field's
// text can't occur inside a JSON string, where quotes are escaped.
func isUsage(ev Event) bool { return bytes.Contains(ev.Data, usageField) }

// chunkUsage reads the usage of a usage chunk.
func chunkUsage(data []byte) (Usage, bool) {
	var chunk struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) != nil || chunk.Usage == nil {
		return Usage{}, false
	}
	return *chunk.Usage, true
}

// chunkID reads the id of a chunk that is written with unusual spacing or order.
func chunkID(data []byte) (string, bool) {
	var chunk struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &chunk) != nil || chunk.ID == "" {
		return "", false
	}
	return chunk.ID, true
}
