package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

func TestSlowEventOfSoundUpstreamsIsAskedForAgainAndAgain(t *testing.T) {
	inParts := func(c *conn) {
		text := encodeEvent(1)
		for i := range text {
			c.writeChunk(text[i : i+1])
			time.Sleep(2500 * time.Millisecond / time.Duration(len(text)))
		}
	}
	afterComments := func(c *conn) {
		for range 30 {
			c.writeChunk(": processing\n\n")
			time.Sleep(100 * time.Millisecond)
		}
		c.writeEvents(1, 1)
	}
	for name, event := range map[string]func(*conn){"in parts": inParts, "after comments": afterComments} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			slow := func(c *conn) { c.beginStream(); event(c); c.endStream() }
			r := newTestGateway(t, routes.Route{Kind: routes.KindStream, MaxAttempts: 3, Resumable: true, Timeout: 20 * time.Second}, slow, slow, slow)
			resp, body, err := r.send()
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(onlyEvents(body), encodeEvent(1))
			is.True(len(r.arrivals()) <= 2) // the attempt and one replacement
			r.awaitIdle()
		})
	}
}
