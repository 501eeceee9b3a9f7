package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// runMemory plays a tenant that sends long requests, within max_body_bytes, to a small fleet. In
// trouble it sends six times its usual for eleven seconds (hot_tenant).
func runMemory(rec *record, trouble bool) bool {
	const (
		usual  = 2.5 // long requests a second at each front machine
		hot    = 6.0 // times the usual
		before = 6 * time.Second
		burst  = 11 * time.Second
		after  = 8 * time.Second
	)
	size := 4 << 20
	if text := os.Getenv("BODY"); text != "" { // for experiments
		size, _ = strconv.Atoi(text)
	}
	f := newFleet(3, 2, rec)
	defer f.stop()
	llm := &service{name: "llm", stream: true, work: 300 * time.Millisecond, events: 76, pause: 60 * time.Millisecond}
	desk := &service{name: "desk", work: 15 * time.Millisecond}
	for i := range 6 {
		f.list.add(startReplica(fmt.Sprintf("i-llm-%d", i), f.addr(4, i+1, portReplica), zones[i%3], llm, rec))
	}
	for i := range 4 {
		f.list.add(startReplica(fmt.Sprintf("i-desk-%d", i), f.addr(5, i+1, portReplica), zones[i%3], desk, rec))
	}
	f.startAll([]any{
		map[string]any{"name": "note", "host": host, "path_prefix": "/note/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 1,
			"service": "llm", "max_attempts": 2, "public_access": false, "session_affinity": true, "stream_resumption": true, "target_gap_ms": 200},
		map[string]any{"name": "book", "host": host, "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 100, "priority": 0,
			"service": "desk", "max_attempts": 1, "public_access": false, "session_affinity": false, "stream_resumption": false},
	}, []any{
		map[string]any{"name": "llm", "health_check_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 13.0,
			"engine": map[string]any{"slots": 64, "kv_cache_tokens": 461922, "kv_token_bytes": 163840, "link_mbps": 550000.0, "migrations": false, "backups": false, "stride": 5, "most": 2, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
		map[string]any{"name": "desk", "health_check_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
	}, []any{
		map[string]any{"name": "large", "api_keys": []any{"key-large"}, "priority": 1},
		map[string]any{"name": "small", "api_keys": []any{"key-small"}, "priority": 0},
	})
	time.Sleep(4 * time.Second) // the fleet has been calm for contact_ms
	body := make([]byte, size)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	var clients sync.WaitGroup
	began := time.Now()
	end := began.Add(before + burst + after)
	rate := func() float64 {
		at := time.Since(began)
		if trouble && at >= before && at < before+burst {
			return usual * hot
		}
		return usual
	}
	rec.log("traffic begins")
	if trouble {
		time.AfterFunc(before, func() { rec.log("the tenant sends %v times its usual for %v", hot, burst) })
	}
	for _, m := range f.fronts() {
		var mu sync.Mutex
		var idle []*client // kept connections
		clients.Go(func() {
			for time.Now().Before(end) {
				clients.Go(func() {
					mu.Lock()
					var c *client
					if n := len(idle); n > 0 {
						c, idle = idle[n-1], idle[:n-1]
					}
					mu.Unlock()
					if c == nil {
						c = newClient(rec, m, "key-large")
						c.ask("book", "/book/1", []byte("first request on the connection"), 1500*time.Millisecond, 0)
					}
					c.ask("note", "/note/1", body, 15*time.Second, llm.events)
					mu.Lock()
					idle = append(idle, c)
					mu.Unlock()
				})
				time.Sleep(time.Duration(float64(time.Second) / rate()))
			}
		})
		for range 4 { // other tenant's bookings
			clients.Go(func() {
				c := newClient(rec, m, "key-small")
				defer c.close()
				for time.Now().Before(end) {
					c.ask("book", "/book/2", []byte("a booking"), 1500*time.Millisecond, 0)
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	return judgeMemory(f, rec)
}

// judgeMemory counts the requests from kept connections that were passed on to a sound replica
// and whose connection ended without an answer: more than three break LOST. A process that is
// killed for its memory has ended by itself, and counts as running all the while.
func judgeMemory(f *fleet, rec *record) bool {
	lost, streams, bookings := 0, 0, 0
	for _, q := range rec.order {
		switch {
		case !q.cut || len(q.runs) == 0:
		case q.answered:
			streams++
		default:
			if q.kept {
				lost++
			}
			if q.class == "book" {
				bookings++
			}
		}
	}
	for _, m := range f.fronts() {
		rec.log("%s: largest memory %d MiB, killed for it %d times, ended by itself %d times in all", m.name, m.peak>>20, len(m.killed), len(m.exited))
		fmt.Printf("%s: largest memory %d MiB, killed for it %d times\n", m.name, m.peak>>20, len(m.killed))
	}
	rec.log("LOST: %d requests from kept connections were passed on to a sound replica and got no answer (%d of the clients' bookings); %d more streams were cut midway", lost, bookings, streams)
	fmt.Printf("%d requests without an answer, %d more streams cut midway\n", lost, streams)
	return lost > 3
}
