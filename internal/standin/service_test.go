package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

func startService(t *testing.T, cfg ServiceConfig) string {
	t.Helper()
	server := httptest.NewServer(NewService(cfg))
	t.Cleanup(server.Close)
	return server.URL
}

func get(t *testing.T, url string, into any) *http.Response {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
	return resp
}

func TestServiceCountsEveryRunOfAKey(t *testing.T) {
	is := is.New(t)
	url := startService(t, ServiceConfig{WorkTime: 1})
	key := map[string]string{HeaderIdempotencyKey: "k", HeaderRequestID: "r1"}
	var b Booking
	for run := 1; run <= 2; run++ {
		resp := post(t, url+"/pickups", key, "choir")
		is.Equal(resp.StatusCode, http.StatusCreated)
		is.Equal(resp.Header.Get(HeaderRequestID), "r1")
		is.NoErr(json.NewDecoder(resp.Body).Decode(&b))
		is.Equal(b.Run, run)
		is.Equal(b.BodySHA256, digestOf([]byte(`"choir"`)))
	}
	var runs Runs
	get(t, url+"/standin/runs", &runs)
	is.Equal(runs.Runs, map[string]int{"k": 2})
	var state KeyRecord
	get(t, url+"/keys?key=k", &state)
	is.Equal(state.State, KeyRan)
	is.Equal(state.Status, http.StatusCreated)
	get(t, url+"/keys?key=other", &state)
	is.Equal(state.State, KeyNever)
}

func TestServiceFaultsAndTheirRuns(t *testing.T) {
	cases := []struct {
		name  string
		fault Fault
		runs  int
		check func(is *is.I, resp *http.Response, err error)
	}{
		{"request cut before the answer has run", Fault{Kind: FaultCut}, 1, func(is *is.I, _ *http.Response, err error) {
			is.True(err != nil)
		}},
		{"request cut in the answer has run", Fault{Kind: FaultCut, After: 5}, 1, func(is *is.I, resp *http.Response, err error) {
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.Equal(err, io.ErrUnexpectedEOF)
		}},
		{"request with a misdelivered answer has run", Fault{Kind: FaultCross}, 1, func(is *is.I, resp *http.Response, err error) {
			is.NoErr(err)
			is.Equal(resp.Header.Get(HeaderRequestID), misdeliveredID)
		}},
		{"cold service has not run the request", Fault{Kind: FaultCold, Millis: 60000}, 0, func(is *is.I, resp *http.Response, err error) {
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		}},
		{"late answer is complete", Fault{Kind: FaultLate, Millis: 1}, 1, func(is *is.I, resp *http.Response, err error) {
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusCreated)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			url := startService(t, ServiceConfig{WorkTime: 1})
			injectFault(t, url, tc.fault)
			req, err := http.NewRequest(http.MethodPost, url+"/dispatches", http.NoBody)
			is.NoErr(err)
			req.Header.Set(HeaderIdempotencyKey, "k")
			req.Header.Set(HeaderRequestID, "r1")
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			tc.check(is, resp, err)
			if err == nil {
				_ = resp.Body.Close()
			}
			var runs Runs
			get(t, url+"/standin/runs", &runs)
			is.Equal(runs.Runs["k"], tc.runs)
		})
	}
}

func TestLookupReturnsTheExpectedAnswer(t *testing.T) {
	is := is.New(t)
	url := startService(t, ServiceConfig{WorkTime: 1})
	var l Lookup
	is.Equal(get(t, url+"/stock/hall/7", &l).StatusCode, http.StatusOK)
	is.Equal(l, ExpectedLookup("/stock/hall/7"))
}

func TestPlatformLags(t *testing.T) {
	is := is.New(t)
	p := NewPlatform(PlatformConfig{Lag: time.Second, Instances: []fleet.Upstream{{ID: "a"}}})
	defer p.Close()
	p.Put([]fleet.Upstream{{ID: "a", Leaving: true}})
	put := time.UnixMilli(p.versions[len(p.versions)-1].AsOfMs)
	is.Equal(p.visible(put.Add(time.Second-time.Millisecond)).Instances, []fleet.Upstream{{ID: "a"}})
	is.Equal(p.visible(put.Add(time.Second)).Instances, []fleet.Upstream{{ID: "a", Leaving: true}})
}

func TestPlatformProbeDropsDeadInstances(t *testing.T) {
	is := is.New(t)
	live := httptest.NewServer(NewService(ServiceConfig{BootID: "b1"}))
	defer live.Close()
	addr := live.Listener.Addr().String()
	p := NewPlatform(PlatformConfig{Instances: []fleet.Upstream{{ID: "a", Addr: addr}, {ID: "b", Addr: "127.0.0.1:1"}}})
	defer p.Close()
	p.probeAll(t.Context())
	is.Equal(p.visible(time.Now()).Instances, []fleet.Upstream{{ID: "a", Addr: addr, Boot: "b1"}})
}

func TestReadInstancesIsStrict(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "platform.yaml")
	is.NoErr(os.WriteFile(path, []byte("instances:\n- {id: a, pool: p, addr: \"127.0.0.1:1\", zone: z}\n"), 0o600))
	list, err := ReadInstances(path)
	is.NoErr(err)
	is.Equal(list, []fleet.Upstream{{ID: "a", Pool: "p", Addr: "127.0.0.1:1", Zone: "z"}})
	is.NoErr(os.WriteFile(path, []byte("instances:\n- {id: a, colour: red}\n"), 0o600))
	_, err = ReadInstances(path)
	is.True(err != nil)
}
