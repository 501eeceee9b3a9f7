package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fastEngine configures an engine that decodes without delay and publishes events
// and load reports at once.
func fastEngine() EngineConfig {
	return EngineConfig{
		StepTime: time.Microsecond, StepTimePerRequest: 1, PrefillTime: 1, LoadLag: 1, EventDelay: 1,
	}
}

func startEngine(t *testing.T, cfg EngineConfig) (*Engine, string) {
	t.Helper()
	e := NewEngine(cfg)
	server := httptest.NewServer(e)
	t.Cleanup(func() { server.Close(); e.Close() })
	return e, server.URL
}

func prompt(words int) []Message {
	return []Message{{Role: "user", Content: strings.Repeat("tie ", words)}}
}

// answer is the parsed response of one streaming request.
type answer struct {
	status int
	header http.Header
	text   string
	ids    []int
	chunks map[string]bool
	usage  Usage
	done   bool // the end event arrived
}

func post(t *testing.T, url string, headers map[string]string, body any) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func streamChat(t *testing.T, url string, headers map[string]string, req ChatRequest) answer {
	t.Helper()
	req.Stream, req.StreamOptions = true, &StreamOptions{IncludeUsage: true}
	return readStream(t, post(t, url+"/v1/chat/completions", headers, req))
}

func readStream(t *testing.T, resp *http.Response) answer {
	t.Helper()
	a := answer{status: resp.StatusCode, header: resp.Header, chunks: map[string]bool{}}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			n, _ := strconv.Atoi(id)
			a.ids = append(a.ids, n)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.done = true
			continue
		}
		a.readChunk(t, data)
	}
	return a
}

func (a *answer) readChunk(t *testing.T, data string) {
	t.Helper()
	var chunk struct {
		ID      string
		Choices []struct{ Delta Message }
		Usage   *Usage
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		t.Fatalf("chunk %q: %v", data, err)
	}
	a.chunks[chunk.ID] = true
	for _, c := range chunk.Choices {
		a.text += c.Delta.Content
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
}

func injectFault(t *testing.T, url string, f Fault) {
	t.Helper()
	if resp := post(t, url+"/standin/faults", nil, f); resp.StatusCode != http.StatusNoContent {
		t.Fatalf("injecting fault %+v: status %s, want 204", f, resp.Status)
	}
}

func TestStreamIsTheExpectedAnswer(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, fastEngine())
	a := streamChat(t, url, map[string]string{HeaderRequestID: "r1"}, ChatRequest{Model: "m", Messages: prompt(40), MaxTokens: 30})
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.text, ExpectedAnswer(prompt(40), 30))
	is.Equal(a.chunks, map[string]bool{"chatcmpl-r1": true})
	is.Equal(a.header.Get(HeaderRequestID), "r1")
	is.True(a.header.Get(HeaderBootID) != "")
	is.True(a.done)
	is.Equal(len(a.ids), 30)
	for i, id := range a.ids {
		is.Equal(id, i+1)
	}
	is.Equal(a.usage, Usage{PromptTokens: 41, CompletionTokens: 30, TotalTokens: 71})
}

func TestAnswerWithoutStreamingIsTheExpectedAnswer(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, fastEngine())
	resp := post(t, url+"/v1/chat/completions", nil, ChatRequest{Model: "m", Messages: prompt(3), MaxTokens: 9})
	var got chatCompletion
	is.NoErr(json.NewDecoder(resp.Body).Decode(&got))
	is.Equal(got.Choices[0].Message.Content, ExpectedAnswer(prompt(3), 9))
	is.Equal(got.Usage.CompletionTokens, 9)
}

func TestReturningChatReusesItsCache(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, fastEngine())
	chat := ChatRequest{Model: "m", Messages: prompt(63), MaxTokens: 16, PromptCacheKey: "k"}
	first := streamChat(t, url, nil, chat)
	is.Equal(first.usage.PromptTokensDetails.CachedTokens, 0)
	chat.Messages = append(chat.Messages, Message{roleAssistant, first.text}, Message{"user", "and then?"})
	second := streamChat(t, url, nil, chat)
	is.Equal(second.usage.PromptTokensDetails.CachedTokens, 80) // 64 of the prompt, 16 of the answer
	is.Equal(second.text, ExpectedAnswer(chat.Messages, 16))
}

func TestCutStreamResumesAtItsOffset(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, fastEngine())
	injectFault(t, url, Fault{Kind: FaultCut, After: 7})
	chat := ChatRequest{Model: "m", Messages: prompt(5), MaxTokens: 20}
	first := streamChat(t, url, map[string]string{HeaderRequestID: "r1"}, chat)
	is.True(!first.done)
	is.Equal(len(first.ids), 7)
	rest := streamChat(t, url, map[string]string{HeaderRequestID: "r1", HeaderResumeOffset: "7"}, chat)
	is.True(rest.done)
	is.Equal(rest.ids[0], 8)
	is.Equal(first.text+rest.text, ExpectedAnswer(chat.Messages, 20))
	is.Equal(e.Stats().Resumed, int64(1))
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	chat := ChatRequest{Model: "m", Messages: prompt(5), MaxTokens: 5}
	cases := []struct {
		name    string
		headers map[string]string
		req     ChatRequest
		status  int
	}{
		{"unknown id to resume", map[string]string{HeaderRequestID: "r9", HeaderResumeOffset: "1"}, chat, http.StatusConflict},
		{"resume beyond the produced tokens", map[string]string{HeaderRequestID: "r1", HeaderResumeOffset: "6"}, chat, http.StatusConflict},
		{"resume with another prompt", map[string]string{HeaderRequestID: "r1", HeaderResumeOffset: "1"}, ChatRequest{Model: "m", Messages: prompt(6)}, http.StatusConflict},
		{"id that is in use", map[string]string{HeaderRequestID: "r1"}, chat, http.StatusConflict},
		{"malformed offset", map[string]string{HeaderResumeOffset: "x"}, chat, http.StatusBadRequest},
		{"no messages", nil, ChatRequest{Model: "m"}, http.StatusBadRequest},
		{"model that is not loaded", nil, ChatRequest{Model: "other", Messages: prompt(1)}, http.StatusNotFound},
	}
	cfg := fastEngine()
	cfg.Models = []string{"m"}
	_, url := startEngine(t, cfg)
	streamChat(t, url, map[string]string{HeaderRequestID: "r1"}, chat)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(streamChat(t, url, tc.headers, tc.req).status, tc.status)
		})
	}
}

func TestCancelEndsTheStreamWithoutDone(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, EngineConfig{StepTime: time.Millisecond})
	resp := post(t, url+"/v1/chat/completions", map[string]string{HeaderRequestID: "r1"},
		ChatRequest{Model: "m", Messages: prompt(1), MaxTokens: 60000, Stream: true})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, url+"/v1/requests/r1", nil)
	is.NoErr(err)
	cancelled, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(cancelled.Body.Close())
	is.Equal(cancelled.StatusCode, http.StatusNoContent)
	is.True(!readStream(t, resp).done)
	is.Equal(e.Stats().Cancelled, int64(1))
	is.Equal(e.Stats().InFlight, 0)
}

func TestAbandonedGenerationIsCancelled(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, EngineConfig{StepTime: time.Millisecond, ResumeTime: time.Millisecond})
	ctx, leave := context.WithCancel(t.Context())
	body := `{"model":"m","stream":true,"max_tokens":60000,"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	leave()
	is.NoErr(resp.Body.Close())
	for e.Stats().Cancelled == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(e.Stats().InFlight, 0)
}

func TestMisdeliveredAnswerCarriesAnotherID(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, fastEngine())
	injectFault(t, url, Fault{Kind: FaultCross, After: 3})
	chat := ChatRequest{Model: "m", Messages: prompt(5), MaxTokens: 6}
	a := streamChat(t, url, map[string]string{HeaderRequestID: "r1"}, chat)
	is.Equal(a.chunks, map[string]bool{"chatcmpl-r1": true, "chatcmpl-crossed": true})
	is.True(a.text != ExpectedAnswer(chat.Messages, 6))
	is.True(streamChat(t, url, nil, chat).text == ExpectedAnswer(chat.Messages, 6)) // the fault applies to one request only
}

func TestOrdersWithAnOldFenceAreRejected(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignore fence %v", ignore), func(t *testing.T) {
			is := is.New(t)
			cfg := fastEngine()
			cfg.Models, cfg.IgnoreFence = []string{"m"}, ignore
			_, url := startEngine(t, cfg)
			is.Equal(post(t, url+"/orders", nil, Order{Kind: OrderLoad, Model: "n", Adapter: "a", Fence: 5}).StatusCode, http.StatusOK)
			old := post(t, url+"/orders", nil, Order{Kind: OrderUnload, Model: "m", Fence: 4})
			var state struct{ Fence uint64 }
			is.NoErr(json.NewDecoder(old.Body).Decode(&state))
			is.Equal(state.Fence, uint64(5))
			is.Equal(old.StatusCode == http.StatusOK, ignore)
			is.Equal(streamChat(t, url, nil, ChatRequest{Model: "n:a", Messages: prompt(1)}).status, http.StatusOK)
			is.Equal(streamChat(t, url, nil, ChatRequest{Model: "m", Messages: prompt(1)}).status == http.StatusOK, !ignore)
		})
	}
}

func TestKVMovesToAnotherEngine(t *testing.T) {
	is := is.New(t)
	_, from := startEngine(t, fastEngine())
	_, to := startEngine(t, fastEngine())
	chat := ChatRequest{Model: "m", Messages: prompt(63), MaxTokens: 1, PromptCacheKey: "k"}
	streamChat(t, from, nil, chat)
	exported, err := io.ReadAll(post(t, from+"/kv/export?key=k", nil, nil).Body)
	is.NoErr(err)
	resp, err := http.Post(to+"/kv/import?key=k", "application/octet-stream", bytes.NewReader(exported))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusNoContent)
	is.Equal(streamChat(t, to, nil, chat).usage.PromptTokensDetails.CachedTokens, 63)
	is.Equal(post(t, from+"/kv/export?key=other", nil, nil).StatusCode, http.StatusNotFound)
}
