package standin_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/standin"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// The tests in this file check that the stand-ins and the routers' clients in package
// upstream implement the same protocol.

const contractBody = `{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":6,` +
	`"prompt_cache_key":"k","messages":[{"role":"user","content":"` + contractPrompt + `"}]}`

const contractPrompt = "a b c d e f g h i j k l m n o p q r s t"

func contractEngine(t *testing.T, cfg standin.EngineConfig) (*upstream.HTTPEngine, string) {
	t.Helper()
	cfg.StepTime, cfg.EventDelay, cfg.LoadLag = time.Microsecond, 1, 1
	e := standin.NewEngine(cfg)
	server := httptest.NewServer(e)
	t.Cleanup(func() { server.Close(); e.Close() })
	return upstream.NewEngine(server.Listener.Addr().String(), upstream.NewHTTPClient()), server.URL
}

// readChat passes the events of a stream to the assembler until the stream ends.
func readChat(t *testing.T, stream upstream.ChatStream, into *answer.Assembler) error {
	t.Helper()
	defer func() { _ = stream.Detach() }()
	for {
		ev, err := stream.Next(t.Context())
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		into.Accept(into.Attempt(), ev)
	}
}

func TestEngineClientReadsAStreamToItsEnd(t *testing.T) {
	is := is.New(t)
	engine, _ := contractEngine(t, standin.EngineConfig{BootID: "b1"})
	stream, err := engine.Chat(t.Context(), upstream.ChatRequest{Attempt: "r1", Body: []byte(contractBody)})
	is.NoErr(err)
	is.Equal(stream.BootID(), fleet.BootID("b1"))
	assembler := answer.NewAssembler("r1")
	is.NoErr(readChat(t, stream, assembler))
	is.True(assembler.Complete())
	is.Equal(assembler.Offset(), uint64(6))
	is.Equal(assembler.Counts().Dropped(), uint64(0))
	is.Equal(stream.Facts().Outcome(), fleet.OutcomeRan)

	events, err := engine.CacheEvents(t.Context(), 0)
	is.NoErr(err)
	is.Equal(events.Boot, fleet.BootID("b1"))
	is.Equal(events.Events, []upstream.CacheEvent{{Seq: 1, Kind: upstream.CacheStored, Key: "k", Tokens: 16}})
	report, err := engine.Load(t.Context())
	is.NoErr(err)
	is.Equal(report.Boot, fleet.BootID("b1"))
}

func TestEngineClientHandlesEachFault(t *testing.T) {
	cases := []struct {
		name  string
		fault string
		// endsWithoutError reports whether the stream ends without an error, offset is
		// that of the last accepted event, and misdelivered counts the dropped events.
		endsWithoutError bool
		offset           uint64
		misdelivered     int
	}{
		{"cut answer is an error", `{"kind":"cut","after":3}`, false, 3, 0},
		{"stalled answer is an error", `{"kind":"stall","after":3}`, false, 3, 0},
		{"misdelivered events are dropped", `{"kind":"cross","after":3}`, true, 3, 4},
		{"late answer is complete", `{"kind":"late","millis":1}`, true, 6, 0},
		{"slow answer is complete", `{"kind":"slow","millis":1}`, true, 6, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			engine, url := contractEngine(t, standin.EngineConfig{})
			inject(t, url, tc.fault)
			assembler := answer.NewAssembler("r1")
			req := upstream.ChatRequest{Attempt: "r1", Body: []byte(contractBody), MaxStall: time.Second}
			stream, err := engine.Chat(t.Context(), req)
			is.NoErr(err)
			is.Equal(readChat(t, stream, assembler) == nil, tc.endsWithoutError)
			is.Equal(assembler.Offset(), tc.offset)
			is.Equal(assembler.Counts()[answer.VerdictMisdelivered], uint64(tc.misdelivered))
			if assembler.Complete() {
				return
			}
			req.Resume, req.Offset = true, assembler.Offset()
			rest, err := engine.Chat(t.Context(), req)
			is.NoErr(err)
			is.NoErr(readChat(t, rest, assembler))
			is.True(assembler.Complete()) // the resumed stream delivers the rest
		})
	}
}

func inject(t *testing.T, url, fault string) {
	t.Helper()
	resp, err := http.Post(url+"/standin/faults", "application/json", strings.NewReader(fault))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatal(err, resp)
	}
	_ = resp.Body.Close()
}

func TestEngineClientRejectsAMisdeliveredAnswer(t *testing.T) {
	is := is.New(t)
	engine, url := contractEngine(t, standin.EngineConfig{})
	inject(t, url, `{"kind":"cross"}`)
	_, err := engine.Chat(t.Context(), upstream.ChatRequest{Attempt: "r1", Body: []byte(contractBody)})
	end, _ := upstream.EndOf(err)
	is.Equal(end, answer.EndMisdelivered)
}

func TestEngineClientReportsThatAFullEngineDeclined(t *testing.T) {
	is := is.New(t)
	engine, _ := contractEngine(t, standin.EngineConfig{Models: []string{"m"}, MaxWaiting: -1})
	_, err := engine.Chat(t.Context(), upstream.ChatRequest{Attempt: "r1", Body: []byte(contractBody)})
	var attempt *upstream.AttemptError
	is.True(errors.As(err, &attempt))
	is.Equal(attempt.Status, http.StatusServiceUnavailable)
	is.Equal(attempt.RetryAfter, time.Second)
	is.Equal(attempt.End, answer.EndDeclined)
	is.True(attempt.Facts.Declined)
}

func TestOrderClientReportsAStaleFence(t *testing.T) {
	is := is.New(t)
	engine, _ := contractEngine(t, standin.EngineConfig{Models: []string{"m"}})
	is.NoErr(engine.Order(t.Context(), upstream.Order{Kind: upstream.OrderLoad, Model: "n", Fence: 7}))
	var stale *upstream.StaleFenceError
	is.True(errors.As(engine.Order(t.Context(), upstream.Order{Kind: upstream.OrderUnload, Model: "n", Fence: 6}), &stale))
	is.Equal(stale.Highest, fleet.FencingNumber(7))
	state, err := engine.State(t.Context())
	is.NoErr(err)
	is.Equal(state, upstream.OrderState{Fence: 7, Models: []fleet.ModelName{"m", "n"}, Role: "mixed"})
}

func TestKVClientMovesAChat(t *testing.T) {
	is := is.New(t)
	from, _ := contractEngine(t, standin.EngineConfig{})
	to, _ := contractEngine(t, standin.EngineConfig{})
	stream, err := from.Chat(t.Context(), upstream.ChatRequest{Attempt: "r1", Body: []byte(contractBody)})
	is.NoErr(err)
	is.NoErr(readChat(t, stream, answer.NewAssembler("r1")))
	cache, err := from.ExportKV(t.Context(), "k")
	is.NoErr(err)
	defer func() { _ = cache.Close() }()
	is.NoErr(to.ImportKV(t.Context(), "k", cache))
	events, err := to.CacheEvents(t.Context(), 0)
	is.NoErr(err)
	is.Equal(len(events.Events), 1)
}

func TestServiceClientBooksAndLooksUp(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(standin.NewService(standin.ServiceConfig{WorkTime: 1}))
	defer server.Close()
	service := upstream.NewService(server.Listener.Addr().String(), upstream.NewHTTPClient())
	booked, facts, err := service.Do(t.Context(), upstream.CallRequest{
		Attempt: "r1", Method: http.MethodPost, Target: "/pickups", Header: http.Header{}, Body: []byte("{}"), IdempotencyKey: "k",
	})
	is.NoErr(err)
	is.Equal(booked.Status, http.StatusCreated)
	is.Equal(facts.Outcome(), fleet.OutcomeRan)
	known, err := service.Lookup(t.Context(), "/keys", "k")
	is.NoErr(err)
	is.Equal(known, upstream.LookupAnswer{State: upstream.LookupRan, Status: http.StatusCreated, Body: string(booked.Body)})
	unknown, err := service.Lookup(t.Context(), "/keys", "other")
	is.NoErr(err)
	is.Equal(unknown.State, upstream.LookupNever)
}

func TestPlatformClientReadsTheList(t *testing.T) {
	is := is.New(t)
	list := []fleet.Upstream{{ID: "e1", Pool: "p", Addr: "127.0.0.1:1", Zone: "z", Leaving: true}}
	platform := standin.NewPlatform(standin.PlatformConfig{Instances: list})
	defer platform.Close()
	server := httptest.NewServer(platform)
	defer server.Close()
	got, err := upstream.NewPlatform(server.Listener.Addr().String(), upstream.NewHTTPClient()).Instances(t.Context())
	is.NoErr(err)
	is.Equal(got.Instances, list)

}
