package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Parts of a chunked body that are no data, sent without end, must end the exchange.
func TestEndlessChunkFramingEndsTheExchange(t *testing.T) {
	const endless = 64 << 20 // bytes; more than the buffers of a connection hold
	cases := []struct{ name, start, repeated string }{
		{"chunk size", "", "0"},
		{"chunk extension", "4;x=", "x"},
		{"extensions of many chunks", "", "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
		{"trailer field", "0\r\nX: ", "x"},
		{"trailer fields", "0\r\n", "X: x\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var written atomic.Int64
			ended := make(chan struct{})
			p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
				defer close(ended)
				read()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"+tc.start)
				block := strings.Repeat(tc.repeated, 1+(32<<10)/len(tc.repeated))
				for written.Load() < endless {
					n, err := io.WriteString(conn, block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			pool := NewPool()
			defer pool.Close()
			resp, err := pool.Do(context.Background(), p.addr(), getRequest("a"))
			is.NoErr(err)
			n, err := io.Copy(io.Discard, resp)
			is.True(err != nil)
			resp.Close()
			<-ended
			is.True(n < 1<<20) // data
			is.True(written.Load() < endless)
		})
	}
}

// A head within its bound in bytes held twenty times as much, in many short fields.
func TestHeadOfManyFieldsHoldsMoreThanItsBytes(t *testing.T) {
	const responses = 32
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n")
	for i := 0; head.Len() < maxHeadBytes-100; i++ {
		head.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	head.WriteString("\r\nsilk")
	p := newPeer(t, func(_ *peer, conn net.Conn, read func() *http.Request) {
		read()
		_, _ = io.WriteString(conn, head.String())
		read()
	})
	pool := NewPool()
	defer pool.Close()
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	var open []*Response
	for range responses {
		if resp, err := pool.Do(context.Background(), p.addr(), getRequest("a")); err == nil {
			open = append(open, resp)
		}
	}
	held := (heap() - before) / responses
	t.Logf("%d responses, %d bytes held for each", len(open), held)
	for _, resp := range open {
		resp.Close()
	}
	if len(open) > 0 || held > 2*maxHeadBytes {
		t.Errorf("a head of %d bytes holds %d, more than twice its bound; %d of %d were accepted", head.Len(), held, len(open), responses)
	}
}
