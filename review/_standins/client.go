package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "site.example"

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// client keeps one connection to one machine.
type client struct {
	rec     *record
	machine *machine
	http    http.Client
	key     string
}

func newClient(rec *record, m *machine, key string) *client {
	return &client{rec: rec, machine: m, key: key, http: http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// ask sends one request and reads its answer. events is the number of events that a complete
// stream holds, 0 for an answer that is none.
func (c *client) ask(class, path string, body []byte, deadline time.Duration, events int) *request {
	q := &request{id: newID(), class: class, machine: c.machine.name}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { q.kept = i.Reused }})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.machine.addr(portFront)+path, bytes.NewReader(body))
	if err != nil {
		fatal("%v", err)
	}
	r.Host = host
	r.Header.Set("X-Wigeonflow-Attempt-Id", q.id)
	r.Header.Set("X-Wigeonflow-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("X-Wigeonflow-Credential", c.key)
	if events > 0 {
		r.Header.Set("X-Wigeonflow-Model", "m")
		r.Header.Set("X-Wigeonflow-Token-Counts", "11812,380")
		r.Header.Set("X-Wigeonflow-Prompt-Prefix", "5c1e07a2:10512,"+q.id[:8]+":1300")
	}
	c.rec.send(q)
	resp, err := c.http.Do(r)
	if err != nil {
		c.finish(ctx, q, err)
		return q
	}
	defer resp.Body.Close()
	q.answered = true
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		c.rec.end(q, false, fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(text))))
		return q
	}
	if events > 0 {
		n, err := countEvents(resp.Body, q.id)
		if err == nil && n == events {
			c.rec.end(q, false, "200, whole")
		} else if err == nil {
			c.rec.end(q, false, fmt.Sprintf("200, looks complete with %d of %d events", n, events))
		} else {
			c.finish(ctx, q, fmt.Errorf("after %d events: %w", n, err))
		}
		return q
	}
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.finish(ctx, q, err)
	case string(text) != "answer to "+q.id:
		c.rec.end(q, false, fmt.Sprintf("200, foreign answer %q", text))
	default:
		c.rec.end(q, false, "200, whole")
	}
	return q
}

// finish records a request whose connection has ended or that the client has given up.
func (c *client) finish(ctx context.Context, q *request, err error) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		q.gaveUp = true
		c.rec.end(q, false, "the client's deadline passed: "+err.Error())
		return
	}
	c.rec.end(q, true, "connection ended: "+err.Error())
}

// countEvents reads a stream to its end and returns the number of its events.
func countEvents(body io.Reader, id string) (int, error) {
	n := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			n++
			if text != fmt.Sprintf("piece %d of %s", n, id) {
				return n, fmt.Errorf("unexpected event %q", text)
			}
		}
	}
	return n, lines.Err()
}
