package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/tidwall/gjson"
)

const (
	demoTimeout = 60 * time.Second
	demoTokens  = 24 // of an answer
	demoHistory = "The silk tie of the district choir came in on Monday with a coffee stain and a loose seam near the tip"
)

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Run starts a fleet in a temporary data directory, sends two turns of two chats, a
// lookup and a booking with a repeated key, and prints the outcome of each.
func Run(ctx context.Context, out io.Writer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "wigeonflow-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := Start(ctx, Options{Dir: dir})
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := f.Stop(ctx); err == nil {
			err = stopErr
		}
	}()
	if err := f.Ready(ctx); err != nil {
		return err
	}
	if err := f.runChats(ctx, out); err != nil {
		return err
	}
	return f.runServiceCalls(ctx, out)
}

// runChats sends two turns of two chats, the two turns of a chat to different routers.
func (f *Fleet) runChats(ctx context.Context, out io.Writer) error {
	chats := map[string][]message{}
	for turn := range 2 {
		for i, chat := range []string{"choir", "court"} {
			chats[chat] = append(chats[chat], message{"user", fmt.Sprintf("%s, says the %s. Turn %d?", demoHistory, chat, turn+1)})
			body, err := json.Marshal(map[string]any{
				"model": Model, "max_tokens": demoTokens, "prompt_cache_key": chat, "messages": chats[chat],
			})
			if err != nil {
				return err
			}
			resp, answer, err := f.Do(ctx, turn+i, http.MethodPost, "/v1/chat/completions", "", string(body))
			if err != nil {
				return err
			}
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("chat %s: router answered with status %d: %s", chat, resp.StatusCode, answer)
			}
			chats[chat] = append(chats[chat], message{"assistant", gjson.GetBytes(answer, "choices.0.message.content").String()})
			fmt.Fprintf(out, "chat %-6s turn %d  upstream %-10s cached %3d of %3d prompt tokens  outcome %s\n",
				chat, turn+1, resp.Header.Get("Wigeonflow-Upstream"),
				gjson.GetBytes(answer, "usage.prompt_tokens_details.cached_tokens").Int(),
				gjson.GetBytes(answer, "usage.prompt_tokens").Int(), resp.Header.Get("Wigeonflow-Outcome"))
		}
	}
	return nil
}

// runServiceCalls sends a lookup, and a booking twice with the same idempotency key.
func (f *Fleet) runServiceCalls(ctx context.Context, out io.Writer) error {
	var first string
	for i, call := range []struct{ name, method, path, key string }{
		{"lookup", http.MethodGet, "/services/counter/stock/silk", ""},
		{"booking", http.MethodPost, "/services/counter/pickups", "demo-booking"},
		{"booking again", http.MethodPost, "/services/counter/pickups", "demo-booking"},
	} {
		resp, answer, err := f.Do(ctx, i, call.method, call.path, call.key, `{"choir":"district"}`)
		if err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusBadRequest {
			return fmt.Errorf("%s: router answered with status %d: %s", call.name, resp.StatusCode, answer)
		}
		note := ""
		if call.key != "" && first == string(answer) {
			note = "  the same answer"
		}
		if call.key != "" {
			first = string(answer)
		}
		fmt.Fprintf(out, "%-13s status %d  upstream %-10s outcome %s%s\n", call.name, resp.StatusCode,
			resp.Header.Get("Wigeonflow-Upstream"), resp.Header.Get("Wigeonflow-Outcome"), note)
	}
	return nil
}
