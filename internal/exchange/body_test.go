package exchange

import (
	"net"
	"net/http"
	"runtime"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

const longBody = 4 << 20

// serveAll answers each request once it has arrived completely.
func serveAll(_ *peer, conn net.Conn, read func() *http.Request) {
	for r := read(); r != nil; r = read() {
		_, _ = conn.Write([]byte(answerTo(r.Header.Get("X-Id"), "done")))
	}
}

func postRequest(body []byte) *Request {
	req := getRequest("a")
	req.Method, req.Body = "POST", body
	return req
}

func TestExchangeCopiesTheBody(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, serveAll)
	pool := NewPool()
	defer pool.Close()
	req := postRequest(make([]byte, longBody))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	body, err := doExchange(pool, p.addr(), req)
	runtime.ReadMemStats(&after)
	is.NoErr(err)
	is.Equal(body, "done")
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d bytes allocated for a body of %d", allocated, longBody)
	is.True(allocated < longBody/4)
}

// BenchmarkExchange reports what an exchange allocates, the peer's part included.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{0, 800, 64 << 10, longBody} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			p := newPeer(b, serveAll)
			pool := NewPool()
			defer pool.Close()
			req := postRequest(make([]byte, size))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := doExchange(pool, p.addr(), req); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
