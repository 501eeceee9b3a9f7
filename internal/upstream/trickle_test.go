package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/answer"
)

// An engine that sent comments, or an event without its end, kept its stream from ever counting as
// stalled.
func TestTrickleKeepsChatFromStalling(t *testing.T) {
	for name, text := range map[string]string{"comments": ": ping\n\n", "empty lines": "\n", "an event without end": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(answer.HeaderRequestID, "a1")
				w.Header().Set("Content-Type", "text/event-stream")
				for r.Context().Err() == nil {
					_, _ = io.WriteString(w, text)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(10 * time.Millisecond)
				}
			}))
			defer server.Close()
			client := NewHTTPClient()
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			stream, err := NewEngine(server.Listener.Addr().String(), client).Chat(ctx, ChatRequest{Attempt: "a1", MaxStall: 100 * time.Millisecond})
			is.NoErr(err)
			_, err = stream.Next(ctx)
			is.True(err != nil)
			is.NoErr(ctx.Err()) // the stall ended the stream, not the caller's time
			_ = stream.Close()
		})
	}
}
