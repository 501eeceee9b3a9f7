package answer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

func TestCompletionCombinesChunks(t *testing.T) {
	is := is.New(t)
	var c Completion
	for _, data := range []string{
		`{"id":"chatcmpl-a","created":5,"model":"m","system_fingerprint":"f","choices":[{"index":0,"delta":{"role":"assistant","content":"Hel"},"logprobs":{"content":[{"token":"Hel"}]},"finish_reason":null},{"index":1,"delta":{"content":"x"},"finish_reason":"length"}]}`,
		`{"id":"chatcmpl-a","choices":[{"index":0,"delta":{"content":"lo","tool_calls":[{"index":0,"id":"t1","type":"function","function":{"name":"press","arguments":"{\"a\""}}]},"logprobs":{"content":[{"token":"lo"}]},"finish_reason":null}]}`,
		`{"id":"chatcmpl-a","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"id":"chatcmpl-a","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":3,"total_tokens":6,"prompt_tokens_details":{"cached_tokens":2}}}`,
	} {
		is.NoErr(c.Add([]byte(data)))
	}
	body, err := c.Body()
	is.NoErr(err)
	want := `{"id":"chatcmpl-a","object":"chat.completion","created":5,"model":"m","system_fingerprint":"f","choices":[` +
		`{"index":0,"message":{"role":"assistant","content":"Hello","refusal":null,"tool_calls":[{"id":"t1","type":"function","function":{"name":"press","arguments":"{\"a\":1}"}}]},"logprobs":{"content":[{"token":"Hel"},{"token":"lo"}]},"finish_reason":"tool_calls"},` +
		`{"index":1,"message":{"role":"assistant","content":"x","refusal":null},"logprobs":null,"finish_reason":"length"}],` +
		`"usage":{"prompt_tokens":3,"completion_tokens":3,"total_tokens":6,"prompt_tokens_details":{"cached_tokens":2}}}`
	is.Equal(string(body), want)
}

func TestCompletionErrors(t *testing.T) {
	is := is.New(t)
	var c Completion
	_, err := c.Body()
	is.True(err != nil) // no chunk
	is.True(c.Add([]byte(`{`)) != nil)
	bounded := Completion{MaxBytes: 10}
	is.True(bounded.Add([]byte(`{"id":"chatcmpl-a"}`)) != nil)
}

func TestRejectionIsWritten(t *testing.T) {
	is := is.New(t)
	rejection := Rejection{
		Status: http.StatusServiceUnavailable, Outcome: fleet.OutcomeNotRun, RequestID: "r1",
		Code: "no_capacity", Message: "no upstream has room", RetryAfter: 1200 * time.Millisecond,
	}
	w := httptest.NewRecorder()
	is.NoErr(rejection.Write(w))
	is.Equal(w.Code, 503)
	is.Equal(w.Header().Get(HeaderOutcome), "not-run")
	is.Equal(w.Header().Get(HeaderRequestID), "r1")
	is.Equal(w.Header().Get(HeaderRetryAfter), "2")
	is.Equal(w.Body.String(), `{"error":{"message":"no upstream has room","type":"server_error","param":null,"code":"no_capacity"}}`)

	rejection.Outcome = fleet.OutcomeUnknown
	event := string(rejection.AppendEvent(nil))
	is.True(strings.HasPrefix(event, `data: {"error":{`))
	is.True(strings.Contains(event, `"outcome":"unknown"`))
	is.True(strings.HasSuffix(event, "}\n\n"))
	is.True(!strings.Contains(event, "[DONE]"))
}

func TestErrorTypesFollowTheStatus(t *testing.T) {
	is := is.New(t)
	for status, want := range map[int]string{
		401: TypeAuthentication, 403: TypePermission, 409: TypeInvalidRequest, 422: TypeInvalidRequest, 429: TypeRateLimit, 502: TypeServer, 503: TypeServer,
	} {
		is.Equal(errorType(status), want)
	}
}
