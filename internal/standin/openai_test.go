package standin_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// TestOpenAIClientReadsTheEngine checks the engine against the public API with the
// OpenAI client library.
func TestOpenAIClientReadsTheEngine(t *testing.T) {
	is := is.New(t)
	engine := standin.NewEngine(standin.EngineConfig{StepTime: time.Microsecond, Models: []string{"m"}})
	server := httptest.NewServer(engine)
	defer func() { server.Close(); engine.Close() }()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey("key"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:          "m",
		Messages:       []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a silk tie")},
		MaxTokens:      openai.Int(20),
		PromptCacheKey: openai.String("k"),
		StreamOptions:  openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	want := standin.ExpectedAnswer([]standin.Message{{Role: "user", Content: "a silk tie"}}, 20)

	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var streamed openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(streamed.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(streamed.Choices[0].Message.Content, want)
	is.Equal(streamed.Choices[0].FinishReason, "length")
	is.Equal(streamed.Usage.CompletionTokens, int64(20))

	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	completion, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(completion.Choices[0].Message.Content, want)

	models, err := client.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(models.Data[0].ID, "m")

	params.Model = "unknown"
	_, err = client.Chat.Completions.New(t.Context(), params)
	is.True(err != nil)
}
