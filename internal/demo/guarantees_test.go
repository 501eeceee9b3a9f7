package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// injectFault injects a fault into every engine or, if engines is false, every service.
func (f *Fleet) injectFault(t *testing.T, engines bool, fault standin.Fault) {
	t.Helper()
	body, _ := json.Marshal(fault)
	for _, u := range f.Upstreams {
		if (u.Engine != nil) != engines {
			continue
		}
		resp, err := http.Post(u.URL()+"/standin/faults", "application/json", strings.NewReader(string(body)))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

// chatBody returns the body of a chat request and the answer that every engine
// gives to it.
func chatBody(stream bool, tokens int, text string) (body, answer string) {
	messages := []standin.Message{{Role: "user", Content: text}}
	encoded, _ := json.Marshal(map[string]any{"model": Model, "stream": stream, "max_tokens": tokens, "messages": messages})
	return string(encoded), standin.ExpectedAnswer(messages, tokens)
}

// parseStream returns the text of a streamed answer and reports whether it has an end
// event.
func parseStream(body []byte) (text string, done bool) {
	for line := range strings.SplitSeq(string(body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && data != "[DONE]" {
			text += gjson.Get(data, "choices.0.delta.content").String()
		}
		done = done || data == "[DONE]"
	}
	return text, done
}

func TestAnswersAreCompleteUnderEngineFaults(t *testing.T) {
	const tokens = 20
	f := startFleet(t, Options{Engines: 2})
	cases := []struct {
		name  string
		fault standin.Fault
	}{
		{"cut before the first token", standin.Fault{Kind: standin.FaultCut}},
		{"cut after the first token", standin.Fault{Kind: standin.FaultCut, After: 1}},
		{"cut in the middle", standin.Fault{Kind: standin.FaultCut, After: 10}},
		{"cut before the end", standin.Fault{Kind: standin.FaultCut, After: tokens}},
		{"another request's answer at the start", standin.Fault{Kind: standin.FaultCross}},
		{"another request's answer in the middle", standin.Fault{Kind: standin.FaultCross, After: 10}},
		{"a late answer", standin.Fault{Kind: standin.FaultLate, Millis: 300}},
		{"slow tokens", standin.Fault{Kind: standin.FaultSlow, Millis: 10}},
		{"a stall that ends", standin.Fault{Kind: standin.FaultStall, After: 5, Millis: 300}},
	}
	for i, tc := range cases {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %t", tc.name, stream), func(t *testing.T) {
				is := is.New(t)
				f.injectFault(t, true, tc.fault)
				body, want := chatBody(stream, tokens, fmt.Sprintf("case %d %t", i, stream))
				resp, answer, err := f.Do(context.Background(), i, http.MethodPost, "/v1/chat/completions", "", body)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				text := gjson.GetBytes(answer, "choices.0.message.content").String()
				done := true
				if stream {
					text, done = parseStream(answer)
				}
				is.Equal(text, want)
				is.True(done)
			})
		}
		// These requests consume the faults that no request of the case has met, so
		// that they don't apply to the next case.
		for range 2 {
			for range f.Upstreams {
				body, _ := chatBody(false, 1, "rest")
				_, _, _ = f.Do(context.Background(), 0, http.MethodPost, "/v1/chat/completions", "", body)
			}
		}
	}
}

func TestBookingsRunAtMostOnceUnderServiceFaults(t *testing.T) {
	f := startFleet(t, Options{Services: 2})
	ctx := context.Background()
	runs := func(key string) (n int64) {
		for _, u := range f.Upstreams {
			if u.Service == nil {
				continue
			}
			resp, err := http.Get(u.URL() + "/standin/runs")
			if err != nil {
				t.Fatal(err)
			}
			var counted struct {
				Runs map[string]int64 `json:"runs"`
			}
			_ = json.NewDecoder(resp.Body).Decode(&counted)
			_ = resp.Body.Close()
			n += counted.Runs[key]
		}
		return n
	}
	cases := []struct {
		name  string
		fault standin.Fault
	}{
		{"a short delay", standin.Fault{Kind: standin.FaultLate, Millis: 1}},
		{"cut before the first byte", standin.Fault{Kind: standin.FaultCut}},
		{"cut in the answer", standin.Fault{Kind: standin.FaultCut, After: 10}},
		{"another request's answer", standin.Fault{Kind: standin.FaultCross}},
		{"a late answer", standin.Fault{Kind: standin.FaultLate, Millis: 300}},
		{"a stall before it runs", standin.Fault{Kind: standin.FaultStall, Millis: 300}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f.injectFault(t, false, tc.fault)
			key := fmt.Sprintf("booking-%d", i)
			var wg sync.WaitGroup
			var notRun, ran atomic.Int64
			for caller := range 4 { // the same request to both routers concurrently
				wg.Go(func() {
					resp, _, err := f.Do(ctx, caller, http.MethodPost, "/services/counter/pickups", key, `{"choir":"a"}`)
					switch {
					case err != nil:
						t.Error(err)
					case resp.StatusCode == http.StatusCreated:
						ran.Add(1)
					case resp.Header.Get("Wigeonflow-Outcome") == "not-run":
						notRun.Add(1)
					}
				})
			}
			wg.Wait()
			is.True(runs(key) <= 1)
			is.True(ran.Load() == 0 || runs(key) == 1)   // a success answer comes from a run
			is.True(notRun.Load() < 4 || runs(key) == 0) // no key runs if all its requests were reported as not run
			resp, _, err := f.Do(ctx, 1, http.MethodPost, "/services/counter/pickups", key, `{"choir":"a"}`)
			is.NoErr(err)
			is.True(runs(key) <= 1)
			is.True(resp.StatusCode != http.StatusCreated || runs(key) == 1)
		})
		for _, u := range f.Upstreams { // consumes a fault that no booking has met
			if resp, err := http.Get(u.URL() + "/stock/rest"); err == nil {
				_ = resp.Body.Close()
			}
		}
	}
}

func TestStartedEnginesStayWithinTheirConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	const tokens, step = 30, 100 * time.Millisecond // an answer takes 3 s; the counts are read after 1.5 s
	f := startFleet(t, Options{Engine: standin.EngineConfig{ColdTime: time.Minute, ColdConcurrency: lists.DefaultStartConcurrency, StepTime: step}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			body, _ := chatBody(false, tokens, fmt.Sprintf("cold %d", i))
			_, _, _ = f.Do(ctx, i, http.MethodPost, "/v1/chat/completions", "", body)
		})
	}
	time.Sleep(tokens * step / 2)
	running := 0
	for _, u := range f.Upstreams {
		if u.Engine != nil {
			is.True(u.Engine.Stats().PeakInFlight <= lists.DefaultStartConcurrency)
			is.Equal(u.Engine.Stats().ColdOverloads, 0)
			running += u.Engine.Stats().InFlight
		}
	}
	is.True(running > 0)
	cancel()
	wg.Wait()
}

// outOfServiceBound is the time after which an upstream that is out of service or leaving
// must receive no new requests.
const outOfServiceBound = 5 * time.Second

func TestUpstreamsOutOfServiceReceiveNoNewRequests(t *testing.T) {
	cases := []struct {
		name    string
		remove  func(context.Context, *Fleet) error
		removed func(fleet.Upstream) bool
	}{
		{"an availability zone", func(ctx context.Context, f *Fleet) error {
			_, err := f.Operators().SetZone(ctx, operator.Expect{Any: true}, "op", zones[0], true)
			return err
		}, func(u fleet.Upstream) bool { return u.Zone == zones[0] }},
		{"an upstream", func(ctx context.Context, f *Fleet) error {
			_, err := f.Operators().SetUpstream(ctx, operator.Expect{Any: true}, "op", "engine-2", true)
			return err
		}, func(u fleet.Upstream) bool { return u.ID == "engine-2" }},
		{"a leaving upstream", func(_ context.Context, f *Fleet) error {
			var list []fleet.Upstream
			for _, u := range f.Upstreams {
				listed := u.Listed
				listed.Leaving = listed.ID == "engine-3"
				list = append(list, listed)
			}
			f.Platform.Put(list)
			return nil
		}, func(u fleet.Upstream) bool { return u.ID == "engine-3" }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, Options{})
			ctx := context.Background()
			sendChats := func(n int) (served int) {
				for i := range n {
					body, _ := chatBody(false, 2, fmt.Sprintf("chat %d of %d", i, n))
					body = strings.Replace(body, "{", fmt.Sprintf(`{"prompt_cache_key":"chat-%d",`, i), 1)
					resp, _, err := f.Do(ctx, i, http.MethodPost, "/v1/chat/completions", "", body)
					is.NoErr(err)
					if resp.StatusCode == http.StatusOK {
						served++
					}
				}
				return served
			}
			requests := func() (removed, remaining int64) {
				for _, u := range f.Upstreams {
					if u.Engine == nil {
						continue
					}
					if tc.removed(u.Listed) {
						removed += u.Engine.Stats().Requests
					} else {
						remaining += u.Engine.Stats().Requests
					}
				}
				return removed, remaining
			}
			is.Equal(sendChats(30), 30)
			before, _ := requests()
			is.True(before > 0)
			is.NoErr(tc.remove(ctx, f))
			time.Sleep(outOfServiceBound)
			before, _ = requests()
			is.Equal(sendChats(30), 30) // the other engines serve them
			after, _ := requests()
			is.Equal(after, before)
		})
	}
}
