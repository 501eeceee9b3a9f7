package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"
)

// Two of three routers stop concurrently while requests that they own are streaming. A stop
// that didn't hand its requests and records over would cut streams and run repeated keys
// again.
func TestConcurrentPlannedStopsCutNoRequest(t *testing.T) {
	is := is.New(t)
	const streams, tokens, bookings = 12, 300, 12
	f := startFleet(t, Options{Routers: 3})
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	var wg sync.WaitGroup
	begun := make(chan struct{}, streams)
	for i := range streams { // sent to the router that stays; their engines' owners are on all routers
		wg.Go(func() {
			body, want := chatBody(true, tokens, fmt.Sprintf("stream %d", i))
			begun <- struct{}{}
			resp, answer, err := f.Do(ctx, 2, http.MethodPost, "/v1/chat/completions", "", body)
			if err != nil {
				t.Errorf("stream %d: %v", i, err)
				return
			}
			if resp.StatusCode != http.StatusOK {
				t.Errorf("stream %d: status %d, want 200; outcome %s: %s", i, resp.StatusCode, resp.Header.Get("Wigeonflow-Outcome"), answer)
				return
			}
			if text, done := parseStream(answer); text != want || !done {
				t.Errorf("stream %d: answer is incomplete or wrong, or has no end event", i)
			}
		})
	}
	for range streams {
		<-begun
	}
	for i := range bookings { // sent to the routers that stop
		resp, _, err := f.Do(ctx, i%2, http.MethodPost, "/services/counter/pickups", fmt.Sprintf("before-%d", i), "{}")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusCreated)
	}
	is.NoErr(f.StopRouters(ctx, 0, 1))
	wg.Wait()
	body, want := chatBody(false, 3, "after")
	resp, answer, err := f.Do(ctx, 2, http.MethodPost, "/v1/chat/completions", "", body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(gjson.GetBytes(answer, "choices.0.message.content").String(), want)
	for i := range bookings { // a repeated key gets the recorded answer
		resp, _, err := f.Do(ctx, 2, http.MethodPost, "/services/counter/pickups", fmt.Sprintf("before-%d", i), "{}")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusCreated)
		is.Equal(resp.Header.Get("Idempotent-Replayed"), "true")
	}
}
