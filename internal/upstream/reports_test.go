package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// fixedServer returns the address of a server that gives one answer to one method and target,
// and 404 to all others.
func fixedServer(t *testing.T, method, target string, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method || r.URL.RequestURI() != target {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestOrderOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int
		body    string
		highest fleet.FencingNumber
		ok      bool
		kind    *errorx.Type
	}{
		{"carried out", 200, `{}`, 0, true, nil},
		{"old fencing number", 409, `{"fence":9}`, 9, false, nil},
		{"rejection without a number", 409, `no`, 0, false, ErrBadAnswer},
		{"engine failure", 500, ``, 0, false, ErrUnexpectedStatus},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			addr := fixedServer(t, http.MethodPost, "/orders", c.status, c.body)
			err := NewEngine(addr, nil).Order(t.Context(), Order{Kind: OrderLoad, Model: "m", Fence: 4})
			is.Equal(err == nil, c.ok)
			var stale *StaleFenceError
			is.Equal(errors.As(err, &stale), c.highest > 0)
			if stale != nil {
				is.Equal(*stale, StaleFenceError{Sent: 4, Highest: c.highest})
			}
			if c.kind != nil {
				var typed *errorx.Error
				is.True(errors.As(err, &typed))
				is.True(typed.IsOfType(c.kind))
			}
		})
	}
}

func TestReportsAreDecoded(t *testing.T) {
	is := is.New(t)
	load, err := NewEngine(fixedServer(t, "GET", "/load", 200, `{"boot_id":"b","running":3,"waiting":1,"kv_used":5,"kv_capacity":9,"tokens_per_second":2.5,"models":["m"],"as_of_ms":7}`), nil).Load(t.Context())
	is.NoErr(err)
	is.Equal(load.Running, 3)
	is.Equal(load.Models, []fleet.ModelName{"m"})

	events, err := NewEngine(fixedServer(t, "GET", "/cache/events?after=4", 200, `{"boot_id":"b","first":7,"next":9,"events":[{"seq":7,"kind":"stored","key":"k","tokens":3},{"seq":8,"kind":"evicted","key":"k"}]}`), nil).CacheEvents(t.Context(), 4)
	is.NoErr(err)
	is.Equal(events.First, uint64(7)) // events 5 and 6 are missing
	is.Equal(events.Events[1].Kind, CacheEvicted)

	state, err := NewEngine(fixedServer(t, "GET", "/orders", 200, `{"fence":3,"models":["m"],"role":"both"}`), nil).State(t.Context())
	is.NoErr(err)
	is.Equal(state.Fence, fleet.FencingNumber(3))

	list, err := NewPlatform(fixedServer(t, "GET", "/instances", 200, `{"as_of_ms":5,"instances":[{"id":"e1","pool":"p","addr":"127.0.0.1:1","zone":"medeu","boot":"b","leaving":true}]}`), nil).Instances(t.Context())
	is.NoErr(err)
	is.Equal(list.Instances, []fleet.Upstream{{ID: "e1", Pool: "p", Addr: "127.0.0.1:1", Zone: "medeu", Boot: "b", Leaving: true}})
}

func TestReportFailures(t *testing.T) {
	for _, c := range []struct {
		name, addr string
	}{
		{"refused connection", refusedAddr(t)},
		{"failure", fixedServer(t, "GET", "/load", 500, `{}`)},
		{"not JSON", fixedServer(t, "GET", "/load", 200, `load`)},
		{"cut JSON", fixedServer(t, "GET", "/load", 200, `{"running":`)},
		{"unbounded", fixedServer(t, "GET", "/load", 200, `"`+string(bytes.Repeat([]byte("a"), maxJSONBytes+1)))},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewEngine(c.addr, nil).Load(t.Context())
			is.True(err != nil)
			step, peer := fleet.Located(err)
			is.Equal(step, "engine.load")
			is.Equal(peer, c.addr)
		})
	}
}

func TestCancelOfUnknownAttemptIsNoError(t *testing.T) {
	is := is.New(t)
	is.NoErr(NewEngine(fixedServer(t, "DELETE", "/v1/requests/a%2F1", 204, ""), nil).Cancel(t.Context(), "a/1"))
	is.NoErr(NewEngine(fixedServer(t, "GET", "/", 200, ""), nil).Cancel(t.Context(), "a1"))
	is.True(NewEngine(fixedServer(t, "DELETE", "/v1/requests/a1", 500, ""), nil).Cancel(t.Context(), "a1") != nil)
}

func TestKVCacheIsCopied(t *testing.T) {
	is := is.New(t)
	body, err := NewEngine(fixedServer(t, "POST", "/kv/export?key=k+1", 200, "bytes"), nil).ExportKV(t.Context(), "k 1")
	is.NoErr(err)
	defer body.Close()
	data, err := io.ReadAll(body)
	is.NoErr(err)
	is.Equal(string(data), "bytes")
	_, err = NewEngine(fixedServer(t, "POST", "/kv/export?key=k", 404, ""), nil).ExportKV(t.Context(), "k")
	is.True(err != nil)
	is.NoErr(NewEngine(fixedServer(t, "POST", "/kv/import?key=k", 200, ""), nil).ImportKV(t.Context(), "k", bytes.NewReader(data)))
	is.True(NewEngine(fixedServer(t, "POST", "/kv/import?key=k", 507, ""), nil).ImportKV(t.Context(), "k", bytes.NewReader(data)) != nil)
}
