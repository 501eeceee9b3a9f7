package load

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/standin"
)

func startEngine(t *testing.T) string {
	t.Helper()
	e := standin.NewEngine(standin.EngineConfig{
		StepTime: time.Microsecond, StepTimePerRequest: 1, PrefillTime: 1, ResumeTime: time.Millisecond,
	})
	server := httptest.NewServer(e)
	t.Cleanup(func() { server.Close(); e.Close() })
	return server.URL
}

func inject(t *testing.T, url string, f standin.Fault) {
	t.Helper()
	body, _ := json.Marshal(f)
	resp, err := http.Post(url+"/standin/faults", "application/json", bytes.NewReader(body))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatal(err, resp)
	}
	_ = resp.Body.Close()
}

func directConfig(url string) Config {
	return Config{
		Targets: []Target{{Label: "direct", URLs: []string{url}, Direct: true}}, Duration: time.Minute,
		Concurrency: 2, Chats: 4, MaxRequests: 20, PromptWords: 40, AnswerTokens: 12, Timeout: 5 * time.Second,
	}
}

func TestEngineFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name  string
		fault standin.Fault
		want  map[Verdict]int64
	}{
		{"no fault", standin.Fault{Kind: standin.FaultLate, Millis: 1}, map[Verdict]int64{VerdictComplete: 20}},
		{"answers that end early", standin.Fault{Kind: standin.FaultCut, After: 5, Count: 3}, map[Verdict]int64{VerdictComplete: 17, VerdictLost: 3}},
		{"answers to another request", standin.Fault{Kind: standin.FaultCross, Count: 2}, map[Verdict]int64{VerdictComplete: 18, VerdictMisdelivered: 2}},
		{"answers that turn into another request's", standin.Fault{Kind: standin.FaultCross, After: 5, Count: 1}, map[Verdict]int64{VerdictComplete: 19, VerdictMisdelivered: 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			url := startEngine(t)
			inject(t, url, tc.fault)
			report, err := Run(t.Context(), directConfig(url))
			is.NoErr(err)
			is.Equal(report.Targets[0].Verdicts, tc.want)
			is.Equal(report.Violations(), 20-tc.want[VerdictComplete])
			is.Equal(conclude(report, "", io.Discard) == nil, report.Violations() == 0)
		})
	}
}

func TestReturningChatsReuseTheCache(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{0, 10000} {
		cfg := directConfig(startEngine(t))
		cfg.Rate = rate
		report, err := Run(t.Context(), cfg)
		is.NoErr(err)
		got := report.Targets[0]
		is.Equal(got.Verdicts[VerdictComplete]+got.HeldBack, int64(20)) // an open loop holds arrivals back while all chats are in use
		is.True(got.CachedShare > 0 || rate > 0)
		is.Equal(got.FirstToken.Count, got.Verdicts[VerdictComplete])
		is.Equal(got.ProcessorPerToken, -1.0)
	}
}

func TestWarmUpIsCheckedButNotMeasured(t *testing.T) {
	is := is.New(t)
	r := newRecorder("a")
	r.setWindow(window{from: 10 * time.Second, to: 20 * time.Second})
	stream := &streamCheck{}
	seconds := func(at ...time.Duration) (list []time.Duration) {
		for _, s := range at {
			list = append(list, s*time.Second)
		}
		return list
	}
	r.add(result{kind: kindChat, verdict: VerdictLost, sent: 9 * time.Second, arrivals: seconds(9, 11, 12), check: stream})
	r.add(result{kind: kindChat, verdict: VerdictComplete, sent: 18 * time.Second, arrivals: seconds(19, 21), check: stream})
	r.addHeldBack(9 * time.Second)
	report := Report{Targets: []TargetReport{{elapsed: 10 * time.Second}}}
	report.Targets[0].fill(r)
	got := report.Targets[0]
	is.Equal(got.Warmup, map[Verdict]int64{VerdictLost: 1})
	is.Equal(got.Verdicts, map[Verdict]int64{VerdictComplete: 1})
	is.Equal(got.Tokens, int64(3)) // only arrivals inside the window
	is.Equal(got.FirstToken.Count, int64(1))
	is.Equal(got.HeldBack, int64(0))
	is.Equal(report.Violations(), int64(1))
}

func TestSamplesHoldEachDescriptionOnce(t *testing.T) {
	is := is.New(t)
	var s samples
	for range 3 {
		s.add(VerdictRejected, "chat: 503")
		s.add(VerdictLost, "chat: a")
	}
	s.add(VerdictRejected, "chat: 429")
	is.Equal(s.other, []string{"refused chat: 503", "refused chat: 429"})
	is.Equal(s.violations, []string{"lost chat: a"})
}

func TestWarmUpRateGrowsLinearly(t *testing.T) {
	is := is.New(t)
	r := runner{cfg: Config{Rate: 100, Warmup: 10 * time.Second}}
	w := window{from: 15 * time.Second, to: 20 * time.Second}
	is.Equal(r.rateAt(5*time.Second, w), 2.0)
	is.Equal(r.rateAt(10*time.Second, w), 50.0)
	is.Equal(r.rateAt(16*time.Second, w), 100.0)
}

// fleetHandler stands for a router: it forwards requests to a service. A non-empty fault
// names how its answer or the number of runs differs from that.
type fleetHandler struct {
	service http.Handler
	fault   string
}

func (h fleetHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.URL.Path = strings.TrimPrefix(r.URL.Path, "/services/counter")
	body, _ := io.ReadAll(r.Body)
	forward := func(w http.ResponseWriter, path string) {
		copied := r.Clone(r.Context())
		copied.URL.Path, copied.Body = path, io.NopCloser(bytes.NewReader(body))
		h.service.ServeHTTP(w, copied)
	}
	switch h.fault {
	case "doubles":
		forward(httptest.NewRecorder(), r.URL.Path)
	case "falsely refuses":
		forward(httptest.NewRecorder(), r.URL.Path)
		w.Header().Set(headerOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "refuses":
		w.Header().Set(headerOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "invents":
		answer, _ := json.Marshal(standin.Booking{})
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(answer)
		return
	case "crosses":
		forward(w, "/stock/other")
		return
	}
	forward(w, r.URL.Path)
}

func TestServiceFaultsAreDetected(t *testing.T) {
	cases := []struct {
		fault             string
		lookups, bookings float64
		want              map[Verdict]int64
	}{
		{"", 1, 0, map[Verdict]int64{VerdictComplete: 5}},
		{"crosses", 1, 0, map[Verdict]int64{VerdictMisdelivered: 5}},
		{"", 0, 1, map[Verdict]int64{VerdictComplete: 5}},
		{"doubles", 0, 1, map[Verdict]int64{VerdictComplete: 5, VerdictDuplicated: 5}},
		{"refuses", 0, 1, map[Verdict]int64{VerdictRejected: 5}},
		{"falsely refuses", 0, 1, map[Verdict]int64{VerdictRejected: 5, VerdictFalseRejection: 5}},
		{"invents", 0, 1, map[Verdict]int64{VerdictMisdelivered: 5}},
	}
	for _, tc := range cases {
		t.Run(tc.fault, func(t *testing.T) {
			is := is.New(t)
			service := standin.NewService(standin.ServiceConfig{WorkTime: 1})
			counted := httptest.NewServer(service)
			defer counted.Close()
			fleet := httptest.NewServer(fleetHandler{service, tc.fault})
			defer fleet.Close()
			report, err := Run(t.Context(), Config{
				Targets: []Target{{Label: "fleet", URLs: []string{fleet.URL}}}, Runs: []string{counted.URL},
				Duration: time.Minute, Concurrency: 1, MaxRequests: 5, Repeats: -1,
				Service: "counter", Lookups: tc.lookups, Bookings: tc.bookings,
			})
			is.NoErr(err)
			got := report.Targets[0].Verdicts
			is.Equal(got, tc.want)
		})
	}
}

func TestRepeatedKeyThatRunsTwiceIsDetected(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(standin.ServiceConfig{WorkTime: 1})
	counted := httptest.NewServer(service)
	defer counted.Close()
	fleet := httptest.NewServer(fleetHandler{service, ""}) // without a router's ledger each repeat runs
	defer fleet.Close()
	report, err := Run(t.Context(), Config{
		Targets: []Target{{Label: "fleet", URLs: []string{fleet.URL}}}, Runs: []string{counted.URL},
		Duration: time.Minute, Concurrency: 1, MaxRequests: 3, Service: "counter", Bookings: 1,
	})
	is.NoErr(err)
	is.Equal(report.Targets[0].Verdicts[VerdictDuplicated], int64(3))
	is.Equal(report.Targets[0].Verdicts[VerdictMisdelivered], int64(3)) // the two answers differ
}

func TestStreamCheckVerdicts(t *testing.T) {
	const expected = "amber anchor apple"
	event := func(content string) string {
		return `data: {"id":"chatcmpl-1","choices":[{"delta":{"content":"` + content + `"}}]}` + "\n\n"
	}
	cases := []struct {
		name, stream string
		want         Verdict
	}{
		{"one token in each event", event("amber") + event(" anchor") + event(" apple") + "data: [DONE]\n\n", VerdictComplete},
		{"two tokens in one event", event("amber anchor") + event(" apple") + "data: [DONE]\n\n", VerdictComplete},
		{"escaped text", event(`amber\u0020anchor`) + event(" apple") + "data: [DONE]\n\n", VerdictComplete},
		{"comments and ids", ": ping\n\nid: 1\n" + event(expected) + "data: [DONE]\n\n", VerdictComplete},
		{"no end event", event(expected), VerdictLost},
		{"end event too early", event("amber") + "data: [DONE]\n\n", VerdictLost},
		{"token twice", event("amber") + event("amber") + event(" anchor apple") + "data: [DONE]\n\n", VerdictMisdelivered},
		{"token missing", event("amber") + event(" apple") + "data: [DONE]\n\n", VerdictMisdelivered},
		{"more than the answer", event(expected) + event(" apple") + "data: [DONE]\n\n", VerdictMisdelivered},
		{"text after the end", event(expected) + "data: [DONE]\n\n" + event("x"), VerdictMisdelivered},
		{"another id", event("amber") + strings.Replace(event(" anchor apple"), "-1", "-2", 1) + "data: [DONE]\n\n", VerdictMisdelivered},
		{"not JSON", "data: {\n\n", VerdictMisdelivered},
		{"explicit error", event("amber") + `data: {"error":{"message":"cut"}}` + "\n\n", VerdictFailed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			check := streamCheck{expected: expected}
			readStream(strings.NewReader(tc.stream), &check, func() time.Duration { return 0 })
			is.Equal(check.verdict(), tc.want)
		})
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	is := is.New(t)
	for _, cfg := range []Config{
		{},
		{Targets: []Target{{}}, Bookings: 0.5},
		{Targets: []Target{{}}, Service: "counter", Bookings: 0.5},
		{Targets: []Target{{}}, Service: "counter", Lookups: 2},
	} {
		_, err := Run(t.Context(), cfg)
		is.True(err != nil)
	}
	_, err := ParseTarget("router=localhost", false)
	is.True(err != nil)
	got, err := ParseTarget("two=http://a:1/,http://b:2", false)
	is.NoErr(err)
	is.Equal(got, Target{Label: "two", URLs: []string{"http://a:1", "http://b:2"}})
}
