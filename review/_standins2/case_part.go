package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	host    = "lab.example"
	contact = 3 * time.Second // contact_ms
)

// engineConfig is a configuration with one service of model replicas and one route of streams.
func engineConfig(version int, maxAttempts int, coldS, coldPerS float64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-note", "host": host, "path_prefix": "/note/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 1,
			"service": "press", "max_attempts": maxAttempts, "public_access": false, "session_affinity": true, "stream_resumption": true, "target_gap_ms": 200,
		}},
		"services": []any{map[string]any{
			"name": "press", "health_check_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": coldS, "cold_per_s": coldPerS,
			"engine": map[string]any{
				"slots": 64, "kv_cache_tokens": 451097, "kv_token_bytes": 163840, "link_mbps": 550000.0, "migrations": false, "backups": false, "stride": 5, "most": 2,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"key-of-t1"}, "priority": 1}},
	}
}

// chatRoute is a route of streams that may not be resumed.
func chatRoute() map[string]any {
	return map[string]any{
		"name": "r-chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 300, "priority": 0,
		"service": "press", "max_attempts": 1, "public_access": false, "session_affinity": true, "stream_resumption": false, "target_gap_ms": 200,
	}
}

// note is a request for a stream with the given parts before its own.
func note(parts string) question {
	return question{
		method: "POST", host: host, path: "/note/x", key: "key-of-t1", body: "{" + strings.Repeat("p", 600) + "}", deadline: 15 * time.Second,
		model: "m", tokens: "1460,80", prefix: fmt.Sprintf("%s,%x:250", parts, rand.Uint64()),
	}
}

// partCase plays prompts with a part that ends the replicas that begin to answer them, beside
// sound prompts, each at a given rate, and reports whether the rule BUDGET held.
func partCase(trouble bool, record string, rate, deadlyRate float64, soundParts func(n int) string, deadlyParts string) bool {
	l := newLab(record, 2, 4200)
	current = l
	defer l.close()
	const replicas, downFor = 16, 5 * time.Second
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	deadlyPart := deadlyParts[strings.LastIndex(deadlyParts, "dead"):]
	deadlyPart, _, _ = strings.Cut(deadlyPart, ":")
	for i := range replicas {
		r := &replica{
			lab: l, key: fmt.Sprint("p", i), service: "press", addr: fmt.Sprintf("%s.4.%d:8463", l.net, 10+i), zone: []string{zoneA, zoneB}[i%2], slots: 64,
		}
		has := func(prefix string) bool { return strings.Contains(prefix, deadlyPart+":") }
		r.arrived = func(a arrival, q *httpRequest) {
			a.deadly = has(q.Header.Get("X-Wigeonflow-Prompt-Prefix"))
			mu.Lock()
			arrivals = append(arrivals, a)
			mu.Unlock()
			if a.deadly {
				l.note("request %s with the part reaches replica %s from %s, first use of its connection %v", a.id, a.replica, a.from, a.firstUse)
			}
		}
		if trouble {
			r.deadly = func(q *httpRequest) bool { return has(q.Header.Get("X-Wigeonflow-Prompt-Prefix")) }
		}
		answer := stream(30*time.Millisecond, 30*time.Millisecond, 10)
		r.work = func(w responseWriter, q *httpRequest, rep *replica) {
			if trouble && r.deadly(q) {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				time.AfterFunc(downFor, func() { r.start(false) })
			}
			answer(w, q, rep)
		}
		r.start(false)
	}
	config := engineConfig(7, 2, 0, 0)
	config["routes"] = append(config["routes"].([]any), chatRoute())
	l.configure(config)
	l.awaitReady()
	time.Sleep(2 * time.Second)
	clients := []*client{{addr: l.fronts[0].front()}, {addr: l.fronts[1].front()}}
	stop, stopDeadly := make(chan struct{}), make(chan struct{})
	statuses := map[string]int{}
	count := func(kind string, a reply) {
		mu.Lock()
		defer mu.Unlock()
		result := fmt.Sprint(a.status)
		if !a.whole {
			result = "cut"
		}
		statuses[kind+" "+result]++
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		every(rate, stop, func(n int) {
			q, kind := note(soundParts(n)), "sound, may be resumed:"
			if rand.IntN(2) == 0 { // may not be repeated
				q.path, kind = "/chat/x", "sound, may not be resumed:"
			}
			a := clients[n%2].ask(q)
			if !a.whole {
				l.note("client: the answer to the sound request %s %s was cut", a.id, q.path)
			}
			count(kind, a)
		})
	}()
	time.Sleep(12 * time.Second)
	wg.Add(1)
	go func() {
		defer wg.Done()
		every(deadlyRate, stopDeadly, func(n int) {
			a := clients[n%2].ask(note(deadlyParts))
			l.note("client: request %s with the part: status %d whole %v", a.id, a.status, a.whole)
			count("with the part", a)
		})
	}()
	time.Sleep(22 * time.Second)
	close(stopDeadly)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	keys := make([]string, 0)
	for k := range statuses {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		l.note("answers: %s: %d", k, statuses[k])
	}
	late, deadlyAll := 0, 0
	for _, a := range arrivals {
		if a.deadly {
			deadlyAll++
			if len(crashes) >= 5 && a.at.After(crashes[4].Add(contact)) {
				late++
			}
		}
	}
	l.note("replicas ended %d times; %d requests with the part reached replicas, %d of them later than contact_ms after the fifth end (BUDGET allows 3)", len(crashes), deadlyAll, late)
	fmt.Printf("replicas ended %d times; %d requests with the part reached replicas, %d of them too late\n", len(crashes), deadlyAll, late)
	return late <= 3
}

// partOnIdleConnections: the part stands second, after one that all prompts share.
func partOnIdleConnections(trouble bool, record string) bool {
	return partCase(trouble, record, 200, 0.6, func(n int) string { return fmt.Sprintf("a1:800,b%d:410", rand.IntN(2000)) }, "a1:800,dead1:410")
}

// partFollowed: the part stands first, and a part that sound prompts hold too follows it.
func partFollowed(trouble bool, record string) bool {
	return partCase(trouble, record, 40, 0.5, func(n int) string { return fmt.Sprintf("a%d:800,b1:410", n%4) }, "dead1:800,b1:410")
}
