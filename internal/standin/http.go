package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// errorBody is the OpenAI error body.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	writeJSON(w, status, errorBody{Error: errorDetail{Message: message, Type: kind}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// requestID returns the caller's ID of the attempt, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" {
		return id
	}
	return uuid.NewString()
}

// sleepWhileConnected sleeps for d or, if d is 0, until the caller disconnects. It
// returns false if the caller disconnected.
func sleepWhileConnected(r *http.Request, d time.Duration) bool {
	var timer <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-timer:
		return true
	case <-r.Context().Done():
		return false
	}
}

// abortResponse ends the handler by a panic and closes the connection, so that the
// caller sees an incomplete answer.
func abortResponse() { panic(http.ErrAbortHandler) }
