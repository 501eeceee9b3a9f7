package answer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Names of the headers of answers and rejections.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "Wigeonflow-Outcome"
	HeaderRetryAfter     = "Retry-After"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Types of errors in the OpenAI error body.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeAuthentication = "authentication_error"
	TypePermission     = "permission_error"
	TypeRateLimit      = "rate_limit_error"
	TypeServer         = "server_error"
)

// ErrorDetail is the "error" object of the OpenAI error body.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code,omitempty"`
}

// ErrorBody is the OpenAI error body.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// Rejection is an error response that a caller gets instead of an answer.
type Rejection struct {
	Status    int
	Outcome   fleet.Outcome
	RequestID fleet.RequestID
	// Code is a stable, machine-readable reason.
	Code    string
	Message string
	// RetryAfter is how long the caller should wait before a retry; 0 omits it.
	RetryAfter time.Duration
}

// SetHeader sets the rejection's headers in h.
func (r Rejection) SetHeader(h http.Header) {
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, r.Outcome.String())
	if r.RequestID != "" {
		h.Set(HeaderRequestID, string(r.RequestID))
	}
	if r.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(retrySeconds(r.RetryAfter)))
	}
}

// retrySeconds rounds up to seconds, so that a caller never retries too early.
func retrySeconds(wait time.Duration) int {
	return int((wait + time.Second - 1) / time.Second)
}

// Body returns the OpenAI error body.
func (r Rejection) Body() []byte {
	body, err := json.Marshal(ErrorBody{Error: r.detail()})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","param":null}}`)
	}
	return body
}

func (r Rejection) detail() ErrorDetail {
	return ErrorDetail{Message: r.Message, Type: errorType(r.Status), Code: r.Code}
}

// Write writes the rejection to w, to which nothing may have been written before.
func (r Rejection) Write(w http.ResponseWriter) error {
	r.SetHeader(w.Header())
	w.WriteHeader(r.Status)
	_, err := w.Write(r.Body())
	return err
}

// AppendEvent appends the rejection as the last event of a stream to dst. The event
// replaces [DONE], so that a client which expects [DONE] can't mistake the stream for
// a complete one.
func (r Rejection) AppendEvent(dst []byte) []byte {
	type detail struct {
		ErrorDetail
		Outcome   string          `json:"outcome"`
		RequestID fleet.RequestID `json:"request_id,omitempty"`
	}
	body, err := json.Marshal(struct {
		Error detail `json:"error"`
	}{detail{r.detail(), r.Outcome.String(), r.RequestID}})
	if err != nil {
		body = r.Body()
	}
	return AppendData(dst, body)
}

// errorType returns the OpenAI error type for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return TypeAuthentication
	case status == http.StatusForbidden:
		return TypePermission
	case status == http.StatusTooManyRequests:
		return TypeRateLimit
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return TypeInvalidRequest
	default:
		return TypeServer
	}
}
