package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Whatever an upstream writes, an answer bears the request's ID, and a connection is kept
// only after the answer's end.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answerTo("a", "silk")))
	f.Add([]byte(rejectionOf("z") + answerTo("a", "silk")))
	f.Add([]byte("HTTP/1.1 103 X\r\n\r\n" + rejectionOf("") + answerTo("a", "") + "more"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsilk\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=9223372037\r\nContent-Length: 9223372036854775807\r\n\r\nsilk"))
	f.Fuzz(func(t *testing.T, written []byte) {
		ours, theirs := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = theirs.SetDeadline(time.Now().Add(time.Second))
			r, err := http.ReadRequest(newConn(theirs, "").in)
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = theirs.Write(written)
			}
			_ = theirs.Close()
		}()
		pool := NewPool()
		defer pool.Close()
		c := newConn(ours, "upstream")
		pool.put(c, time.Minute)
		resp, err := pool.Do(context.Background(), "upstream", getRequest("a"))
		if err == nil {
			if got := resp.Header.Get("X-Id"); got != "a" {
				t.Errorf("answer with the ID %q", got)
			}
			if resp.idleTime > maxIdleTimeout {
				t.Errorf("the connection is kept for %v", resp.idleTime)
			}
			_, err = io.Copy(io.Discard, resp)
			resp.Close()
			if kept, _ := pool.idleConn("upstream", getRequest("z")); kept != nil {
				if err != nil || kept.in.Buffered() > 0 {
					t.Errorf("the connection is kept after the error %v with %d bytes unread", err, kept.in.Buffered())
				}
				kept.close()
			}
		}
		<-ended
	})
}
