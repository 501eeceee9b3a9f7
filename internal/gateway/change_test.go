package gateway

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// A request is answered by the table that it was admitted by, whatever a newer one takes away
// while it runs, also if it is retried or its stream continues at another upstream.
func TestConfigurationChangeEndsNoRequest(t *testing.T) {
	changes := []struct {
		name   string
		change func(*routes.Table)
	}{
		{"the route is gone", func(t *routes.Table) { t.Routes = nil }},
		{"the route leads to another pool", func(t *routes.Table) {
			t.Routes[0].Split = []routes.Share{{Pool: "other", Weight: 1}}
			t.Pools = []routes.Pool{{Name: "other"}}
		}},
		{"the route can no longer be repeated", func(t *routes.Table) { t.Routes[0].Kind, t.Routes[0].MaxAttempts = routes.KindOnce, 1 }},
		{"the timeout is shorter", func(t *routes.Table) { t.Routes[0].Timeout = time.Millisecond }},
		{"the key is revoked", func(t *routes.Table) { t.Workspaces = []routes.Workspace{{ID: "choir", Keys: []string{"other"}}} }},
	}
	resume := func(c *conn) { c.beginStream(); c.writeEvents(3, 5); c.endStream() }
	for _, tc := range changes {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			send := func(kind routes.Kind, first func(c *conn, change func()), second func(*conn)) string {
				var r *testGateway
				r = newTestGateway(t, routes.Route{Kind: kind, MaxAttempts: 2, Resumable: true, Target: time.Second}, func(c *conn) {
					first(c, func() {
						next := routes.Table{Version: 2, Routes: []routes.Route{r.table.Routes[0]}, Pools: r.table.Pools, Workspaces: r.table.Workspaces}
						tc.change(&next)
						r.index.Store(routes.NewIndex(&next))
					})
				}, second)
				r.table.Workspaces = []routes.Workspace{{ID: "choir", Keys: []string{"good"}}}
				r.startServer()
				resp, body, err := r.send("Key", "good")
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				return body
			}

			body := send(routes.KindOnce, func(c *conn, change func()) { change(); serveDone(c) }, nil)
			is.Equal(body, "done")
			body = send(routes.KindIdempotent, func(_ *conn, change func()) { change() }, serveDone)
			is.Equal(body, "done")
			body = send(routes.KindStream, func(c *conn, change func()) { c.beginStream(); c.writeEvents(1, 2); change() }, resume)
			is.Equal(body, encodeEvents(1, 5))
			body = send(routes.KindStream, func(c *conn, change func()) {
				c.beginStream()
				c.writeEvents(1, 2)
				change()
				time.Sleep(pauseLength)
				c.writeEvents(3, 5)
				c.endStream()
			}, nil)
			is.Equal(body, encodeEvents(1, 5))
		})
	}
}

// From the log line of a request that was cut beside a change of the configuration, an operator
// can't tell whether its time was up, whether the caller had a part of the answer, and whether
// the change came while it ran.
func TestLogOfCutRequestTellsItsProgress(t *testing.T) {
	tests := []struct {
		name    string
		script  func(c *conn)
		changed bool
		want    []string
	}{
		{"cut inside its stream", func(c *conn) { c.beginStream(); c.writeEvents(1, 2) }, true,
			[]string{"limit=5s", "body=5", "newest_table=2", "begun=true", "relayed=2"}},
		{"cut inside its stream without a change", func(c *conn) { c.beginStream(); c.writeEvents(1, 3) }, false,
			[]string{"limit=5s", "body=5", "begun=true", "relayed=3"}},
		{"answered with 502", func(*conn) {}, true, []string{"status=502", "limit=5s", "body=5", "newest_table=2"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var r *testGateway
			r = newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 1}, func(c *conn) {
				if tc.changed {
					r.index.Store(routes.NewIndex(&routes.Table{Version: 2, Routes: r.table.Routes, Pools: r.table.Pools}))
				}
				tc.script(c)
			})
			lines := make(chan string, 10)
			r.server.cfg.Log = slog.New(slog.NewTextHandler(lineWriter(lines), nil))
			_, _, _ = r.send() // the outcome is the log's
			line := ""
			for !strings.Contains(line, "request failed") {
				line = <-lines
			}
			for _, field := range tc.want {
				is.True(strings.Contains(line+" ", " "+field+" ")) // the line has the field
			}
			is.Equal(strings.Contains(line, "newest_table"), tc.changed)
			is.Equal(strings.Contains(line, "begun"), strings.Contains(line, "status=0"))
		})
	}
}

// lineWriter passes each line of a log on.
type lineWriter chan<- string

// Write implements io.Writer.
func (w lineWriter) Write(b []byte) (int, error) {
	w <- strings.TrimSpace(string(b))
	return len(b), nil
}
