package answer

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// DefaultMaxAnswer is the default bound in bytes on the data that a Completion accepts.
const DefaultMaxAnswer = 8 << 20

// Completion combines the chunks of a streamed answer into the body of an unstreamed
// one, a chat.completion. The zero value is ready for use.
type Completion struct {
	// MaxBytes bounds the total data of the chunks; 0 means DefaultMaxAnswer.
	MaxBytes int

	bytes   int   // of the chunks so far
	head    chunk // the first chunk, without its choices
	choices map[int]*choice
	usage   *Usage
}

// chunk is a chat.completion.chunk.
type chunk struct {
	ID                string        `json:"id"`
	Created           int64         `json:"created"`
	Model             string        `json:"model"`
	ServiceTier       string        `json:"service_tier,omitempty"`
	SystemFingerprint string        `json:"system_fingerprint,omitempty"`
	Choices           []chunkChoice `json:"choices"`
	Usage             *Usage        `json:"usage"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        delta           `json:"delta"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason *string         `json:"finish_reason"`
}

type delta struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	Refusal   *string         `json:"refusal"`
	ToolCalls []toolCallDelta `json:"tool_calls"`
}

type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// choice accumulates one of the answer's choices.
type choice struct {
	role         string
	content      strings.Builder
	hasContent   bool
	refusal      strings.Builder
	hasRefusal   bool
	tools        map[int]*toolCall
	logprobs     []json.RawMessage
	finishReason *string
}

// Add adds the data of the next chunk. Errors are of type ErrBadEvent or
// ErrTooLarge.
func (c *Completion) Add(data []byte) error {
	limit := c.MaxBytes
	if limit <= 0 {
		limit = DefaultMaxAnswer
	}
	c.bytes += len(data)
	if c.bytes > limit {
		return ErrTooLarge.New("answer of at least %d bytes exceeds the limit of %d bytes", c.bytes, limit)
	}
	var next chunk
	if err := json.Unmarshal(data, &next); err != nil {
		return ErrBadEvent.Wrap(err, "cannot parse chat.completion.chunk")
	}
	c.addHead(next)
	for i := range next.Choices {
		if err := c.choiceAt(next.Choices[i].Index).addChunk(&next.Choices[i]); err != nil {
			return err
		}
	}
	return nil
}

func (c *Completion) addHead(next chunk) {
	if next.Usage != nil {
		c.usage = next.Usage
	}
	if c.head.ID == "" {
		c.head = next
		c.head.Choices = nil
	}
}

// choiceAt returns the choice with the given index, which it adds if it is new.
func (c *Completion) choiceAt(index int) *choice {
	if c.choices == nil {
		c.choices = make(map[int]*choice, 1)
	}
	if c.choices[index] == nil {
		c.choices[index] = &choice{}
	}
	return c.choices[index]
}

// addChunk adds the choice's part of the next chunk.
func (c *choice) addChunk(next *chunkChoice) error {
	if next.Delta.Role != "" {
		c.role = next.Delta.Role
	}
	if next.Delta.Content != nil {
		c.hasContent = true
		c.content.WriteString(*next.Delta.Content)
	}
	if next.Delta.Refusal != nil {
		c.hasRefusal = true
		c.refusal.WriteString(*next.Delta.Refusal)
	}
	if next.FinishReason != nil {
		c.finishReason = next.FinishReason
	}
	for _, tool := range next.Delta.ToolCalls {
		c.addToolCall(tool)
	}
	return c.addLogprobs(next.Logprobs)
}

func (c *choice) addToolCall(next toolCallDelta) {
	if c.tools == nil {
		c.tools = make(map[int]*toolCall, 1)
	}
	call := c.tools[next.Index]
	if call == nil {
		call = &toolCall{Type: "function"}
		c.tools[next.Index] = call
	}
	if next.ID != "" {
		call.ID = next.ID
	}
	if next.Type != "" {
		call.Type = next.Type
	}
	call.Function.Name += next.Function.Name
	call.Function.Arguments += next.Function.Arguments
}

func (c *choice) addLogprobs(raw json.RawMessage) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	var next struct {
		Content []json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(raw, &next); err != nil {
		return ErrBadEvent.Wrap(err, "cannot parse logprobs of chunk")
	}
	c.logprobs = append(c.logprobs, next.Content...)
	return nil
}

// The types below are the members of the chat.completion body.

type completionBody struct {
	ID                string             `json:"id"`
	Object            string             `json:"object"`
	Created           int64              `json:"created"`
	Model             string             `json:"model"`
	ServiceTier       string             `json:"service_tier,omitempty"`
	SystemFingerprint string             `json:"system_fingerprint,omitempty"`
	Choices           []completionChoice `json:"choices"`
	Usage             *Usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int       `json:"index"`
	Message      message   `json:"message"`
	Logprobs     *logprobs `json:"logprobs"`
	FinishReason *string   `json:"finish_reason"`
}

type message struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type logprobs struct {
	Content []json.RawMessage `json:"content"`
}

// Body returns the complete answer. Call it only after the stream's end has been
// received. The error is of type ErrIncomplete if no chunk was added.
func (c *Completion) Body() ([]byte, error) {
	if c.head.ID == "" {
		return nil, ErrIncomplete.New("answer ended before its first chunk")
	}
	body := completionBody{
		ID: c.head.ID, Object: "chat.completion", Created: c.head.Created, Model: c.head.Model,
		ServiceTier: c.head.ServiceTier, SystemFingerprint: c.head.SystemFingerprint,
		Choices: []completionChoice{}, Usage: c.usage,
	}
	for _, index := range slices.Sorted(maps.Keys(c.choices)) {
		body.Choices = append(body.Choices, c.choices[index].bodyChoice(index))
	}
	return json.Marshal(body)
}

// bodyChoice converts the accumulated choice to a member of the body's choices.
func (c *choice) bodyChoice(index int) completionChoice {
	out := completionChoice{Index: index, FinishReason: c.finishReason}
	out.Message.Role = c.role
	if c.role == "" {
		out.Message.Role = "assistant"
	}
	if c.hasContent {
		text := c.content.String()
		out.Message.Content = &text
	}
	if c.hasRefusal {
		text := c.refusal.String()
		out.Message.Refusal = &text
	}
	for _, at := range slices.Sorted(maps.Keys(c.tools)) {
		out.Message.ToolCalls = append(out.Message.ToolCalls, *c.tools[at])
	}
	if c.logprobs != nil {
		out.Logprobs = &logprobs{Content: c.logprobs}
	}
	return out
}
