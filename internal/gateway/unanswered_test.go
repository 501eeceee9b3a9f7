package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// unanswered returns the number of requests that ended without an answer by a cause.
func (r *testGateway) unanswered(cause string) int64 {
	return metrics.GetOrRegisterCounter(telemetry.MetricName("gateway_unanswered", "cause", cause), r.server.cfg.Metrics).Count()
}

func TestPanicClosesConnectionWithoutAnswer(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, serveDone)
	r.session.Out = func(fleet.Upstream) bool { panic("broken") }
	resp, _, err := r.send()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(r.unanswered(causePanic), int64(0))
}

// A panic after the start of a stream must not make the stream look complete.
func TestPanicInsideStream(t *testing.T) {
	is := is.New(t)
	var begun atomic.Bool
	r := newTestGateway(t, routes.Route{Kind: routes.KindStream, Resumable: true, MaxAttempts: 2}, func(c *conn) {
		c.beginStream()
		c.writeEvents(1, 3)
		begun.Store(true)
	}, serveDone)
	r.session.Out = func(fleet.Upstream) bool {
		if begun.Load() {
			panic("broken")
		}
		return false
	}
	_, body, err := r.send()
	is.True(err != nil) // the stream is cut
	is.True(strings.HasPrefix(body, encodeEvents(1, 1)))
	is.Equal(r.unanswered(causePanic), int64(1))
}

// A caller that closes only its sending side gets no answer that no upstream gave.
func TestHandlerReturnsWithoutAnswer(t *testing.T) {
	is := is.New(t)
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, func(c *conn) { _, _ = c.Read(make([]byte, 1)) })
	answer := r.sendHalfClosed()
	is.True(!strings.HasPrefix(answer, "HTTP/1.1 200"))
}

func TestRequestCutAtEndOfGracePeriodIsNotLogged(t *testing.T) {
	is := is.New(t)
	arrived, end := make(chan struct{}), make(chan struct{})
	r := newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, func(c *conn) {
		close(arrived)
		<-end
		serveDone(c)
	})
	var lines bytes.Buffer
	r.server.cfg.Log = slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: slog.LevelWarn}))
	served := make(chan error, 1)
	go func() {
		_, _, err := r.send()
		served <- err
	}()
	<-arrived
	r.server.logCut()
	is.Equal(r.unanswered(causeGracePeriod), int64(1))
	is.True(strings.Contains(lines.String(), `"request cut: the grace period has ended" request=a`))
	close(end)
	is.NoErr(<-served)
	r.server.logCut()
	is.Equal(r.unanswered(causeGracePeriod), int64(1)) // none is left
}

// While a router rejected many requests, the lines of those that it cut were dropped with theirs.
func TestCutRequestHasLogLineOfItsOwn(t *testing.T) {
	const message = `"@message":"connection closed without a complete answer"`
	tests := []struct {
		name  string
		close bool // the caller disconnects
		want  []string
	}{
		{"the upstream breaks off", false, []string{message, `"cause":"broken_off"`, `"no_attempt":"not repeatable"`, `"begun":true`, `"relayed":2`, `"limit":"5s"`}},
		{"the caller disconnects", true, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var out syncBuffer
			log := telemetry.NewBoundedWriter(&out)
			r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 1}, func(c *conn) {
				c.beginStream()
				c.writeEvents(1, 2)
				if tc.close {
					_, _ = c.Read(make([]byte, 1)) // until the attempt is canceled
				}
			})
			r.server.cfg.Log = telemetry.NewRequestLogger(settings.Settings{Log: settings.Log{JSON: true}}, "gateway", log)
			for range 200 {
				r.server.cfg.Log.Info("request failed", "status", http.StatusServiceUnavailable)
			}
			c := r.sendRaw()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			if !tc.close {
				_, err = io.ReadAll(resp.Body)
				is.True(err != nil) // the stream is cut
			}
			is.NoErr(c.Close())
			await(func() bool { return r.server.Running() == 0 })
			log.Close()
			for _, want := range tc.want {
				is.True(strings.Contains(out.String(), want)) // the line has the field
			}
			is.Equal(strings.Count(out.String(), message), min(len(tc.want), 1))
		})
	}
}

// From the log of a stop, an operator can't tell the callers that got a part of their answer from
// those that got nothing at all.
func TestLogOfCutAtEndOfGracePeriodTellsWhetherAnswerHasBegun(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprintf("begun %v", begun), func(t *testing.T) {
			is := is.New(t)
			arrived, end := make(chan struct{}), make(chan struct{})
			defer close(end) // also if the test fails
			r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 1}, func(c *conn) {
				if begun {
					c.beginStream()
					c.writeEvents(1, 1)
				}
				close(arrived)
				<-end
			})
			var lines bytes.Buffer
			r.server.cfg.Log = slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: slog.LevelWarn}))
			c := r.sendRaw()
			defer c.Close()
			<-arrived
			if begun {
				_, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
			}
			r.server.logCut()
			is.True(strings.Contains(lines.String(), fmt.Sprintf(" begun=%v\n", begun)))
		})
	}
}

// The caller of a request that ran when the stop began kept its connection, and sent the next request as it was closed.
func TestStoppingRouterKeepsConnection(t *testing.T) {
	is := is.New(t)
	var r *testGateway
	r = newTestGateway(t, routes.Route{Kind: routes.KindOnce, MaxAttempts: 1}, func(c *conn) {
		r.stopping.Store(true)
		c.write("HTTP/1.1 200 OK\r\nId: ", c.id, "\r\nContent-Length: 4\r\n\r\ndone")
	})
	c := r.sendRaw()
	defer c.Close()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.True(resp.Close)
}

// sendRaw sends a request on a new connection and returns the connection.
func (r *testGateway) sendRaw() *net.TCPConn {
	r.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: "+testHost+"\r\nId: a\r\nContent-Length: 5\r\n\r\norder"); err != nil {
		r.t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// sendHalfClosed sends a request, closes the sending side of the connection and returns all
// that comes back.
func (r *testGateway) sendHalfClosed() string {
	r.t.Helper()
	c := r.sendRaw()
	defer c.Close()
	if err := c.CloseWrite(); err != nil {
		r.t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		r.t.Log("the answer ends with", err)
	}
	return string(answer)
}
