package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// question is a request of a client.
type question struct {
	method, host, path, key string
	body                    string
	deadline                time.Duration
	model, tokens, prefix   string
}

// reply is what a client got.
type reply struct {
	status    int // 0 for none
	signature string
	body      string
	whole     bool
	err       error
	id        string
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the request as it goes over the wire.
func (q question) head(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Wigeonflow-Attempt-Id: %s\r\nX-Wigeonflow-Deadline-Remaining: %d\r\n", q.method, q.path, q.host, id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "X-Wigeonflow-Credential: %s\r\n", q.key)
	}
	if q.prefix != "" {
		fmt.Fprintf(&b, "X-Wigeonflow-Model: %s\r\nX-Wigeonflow-Token-Counts: %s\r\nX-Wigeonflow-Prompt-Prefix: %s\r\n", q.model, q.tokens, q.prefix)
	}
	if q.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// client keeps connections to one front machine.
type client struct {
	addr string
	mu   sync.Mutex
	idle []idleConn // the longest idle first
}

// idleConn is a connection between two requests.
type idleConn struct {
	net.Conn
	since time.Time
}

// maxIdle is four fifths of the configuration's idle_timeout_ms, as PROTOCOL.md says of clients.
const maxIdle = 12 * time.Second

func (c *client) conn() (net.Conn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 && time.Since(c.idle[0].since) > maxIdle {
		c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn.Conn, nil
	}
	c.mu.Unlock()
	return net.DialTimeout("tcp", c.addr, time.Second)
}

// ask sends a question once and reads the answer.
func (c *client) ask(q question) reply {
	id := newAttemptID()
	conn, err := c.conn()
	if err != nil {
		return reply{err: err, id: id}
	}
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(conn, q.head(id)); err != nil {
		conn.Close()
		return reply{err: err, id: id}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		conn.Close()
		return reply{err: err, id: id}
	}
	body, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, signature: resp.Header.Get("X-Wigeonflow-Server-Signature"), body: string(body), whole: err == nil, err: err, id: id}
	if err != nil || resp.Close {
		conn.Close()
		return out
	}
	_ = conn.SetDeadline(time.Time{})
	c.mu.Lock()
	c.idle = append(c.idle, idleConn{conn, time.Now()})
	c.mu.Unlock()
	return out
}

// every calls f in a goroutine of its own at the given rate until stop is closed, and waits for all.
func every(rate float64, stop <-chan struct{}, f func(n int)) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-ticker.C:
			wg.Add(1)
			go func() { defer wg.Done(); f(n) }()
		}
	}
}
