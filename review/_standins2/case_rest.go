package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// counterConfig is a configuration with two services, each behind a route of its own.
func counterConfig(version int) map[string]any {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 100, "priority": 2,
			"service": service, "max_attempts": 2, "public_access": false, "session_affinity": false, "stream_resumption": false, "target_gap_ms": 200,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_check_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-look", "/look/", "idempotent", "stock"), route("r-book", "/book/", "non_idempotent", "ledger")},
		"services": []any{service("stock"), service("ledger")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{"key-of-t1"}, "priority": 2}},
	}
}

// foreignEntry: the platform's list holds, for a while, an entry of another writer that lacks
// fields. It has the ID and the address of a replica of one service and names the other service.
func foreignEntry(trouble bool, record string) bool {
	l := newLab(record, 2, 4200)
	current = l
	defer l.close()
	var mu sync.Mutex
	wrong := map[string]int{}
	var replicas []*replica
	for i, service := range []string{"stock", "stock", "ledger", "ledger"} {
		r := &replica{lab: l, key: fmt.Sprint(service, i%2), service: service, addr: fmt.Sprintf("%s.4.%d:8463", l.net, 10+i), zone: []string{zoneA, zoneB}[i%2], slots: 6, work: complete(15 * time.Millisecond)}
		r.arrived = func(a arrival, q *httpRequest) {
			allowed := strings.HasPrefix(q.URL.Path, "/look/") == (r.service == "stock")
			if !allowed {
				l.note("request %s %s is run by replica %s of %s", a.id, q.URL.Path, a.replica, r.service)
				mu.Lock()
				wrong[q.URL.Path[:6]+" at "+r.service]++
				mu.Unlock()
			}
		}
		r.start(false)
		replicas = append(replicas, r)
	}
	l.configure(counterConfig(7))
	l.awaitReady()
	time.Sleep(2 * time.Second)
	clients := []*client{{addr: l.fronts[0].front()}, {addr: l.fronts[1].front()}}
	stop := make(chan struct{})
	answers := map[string]int{}
	misled := 0
	var wg sync.WaitGroup
	ask := func(n int, method, path, body, service string) {
		a := clients[n%2].ask(question{method: method, host: host, path: path, key: "key-of-t1", body: body, deadline: 1500 * time.Millisecond})
		mu.Lock()
		defer mu.Unlock()
		answers[fmt.Sprint(path[:6], " ", a.status, " whole ", a.whole)]++
		if a.status == 200 && !strings.HasPrefix(a.body, "service "+service+" ") {
			misled++
			l.note("client: request %s %s got 200 from another service: %q, signature %s", a.id, path, strings.TrimSpace(a.body), a.signature)
		}
	}
	wg.Go(func() { every(12, stop, func(n int) { ask(n, "GET", "/look/a", "", "stock") }) })
	wg.Go(func() { every(30, stop, func(n int) { ask(n, "POST", "/book/b", strings.Repeat("b", 600), "ledger") }) })
	time.Sleep(5 * time.Second)
	if trouble {
		r := replicas[0]
		entry := fmt.Sprintf(`{"id":%q,"service":"ledger","address":%q,"zone":%q,"slots":6,"state":"ready"}`, r.id, r.addr, r.zone)
		l.note("the list shows an entry of another writer, without version, cold_remaining_ms and born: %s", entry)
		l.list.setForeign(entry)
	}
	time.Sleep(15 * time.Second)
	l.list.setForeign()
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	total := 0
	for k, n := range wrong {
		total += n
		l.note("run by a service that no configuration allows: %s: %d", k, n)
	}
	for k, n := range answers {
		l.note("answers: %s: %d", k, n)
	}
	l.note("%d requests were run by a service to which no configuration allows them to go (ROUTE allows none); %d clients got its answer", total, misled)
	fmt.Printf("%d requests were run by the wrong service, %d clients got its answer\n", total, misled)
	return total == 0
}

// coldAfterCrash: a replica ends and starts again a second later under its ID and address. It is cold
// then, and ends again if it gets far more requests than a cold replica bears.
func coldAfterCrash(trouble bool, record string) bool {
	l := newLab(record, 2, 4200)
	current = l
	defer l.close()
	const (
		coldPerSecond, overshoot, slack = 13.0, 1.5, 5.0
		bound                           = coldPerSecond*overshoot + slack
		down                            = time.Second
	)
	var mu sync.Mutex
	cold := map[string][]time.Time{} // arrivals at cold replicas
	overloads := 0
	var replicas []*replica
	for i := range 4 {
		r := &replica{
			lab: l, key: fmt.Sprint("p", i), service: "press", addr: fmt.Sprintf("%s.4.%d:8463", l.net, 10+i), zone: []string{zoneA, zoneB}[i%2], slots: 64,
			sameID: true, coldFor: 3 * time.Second, work: stream(20*time.Millisecond, 20*time.Millisecond, 10),
		}
		r.arrived = func(a arrival, q *httpRequest) {
			if !a.cold {
				return
			}
			l.note("request %s from %s reaches replica %s while it is cold", a.id, a.from, a.replica)
			mu.Lock()
			cold[r.key] = append(cold[r.key], a.at)
			n := 0
			for _, at := range cold[r.key] {
				if a.at.Sub(at) < time.Second {
					n++
				}
			}
			ends := float64(n) > 1.2*bound
			if ends {
				overloads++
			}
			mu.Unlock()
			if ends {
				l.note("replica %s is cold, got %d requests in a second and ends", r.key, n)
				r.crash()
				time.AfterFunc(down, func() { r.start(true) })
			}
		}
		r.start(false)
		replicas = append(replicas, r)
	}
	stopList := make(chan struct{})
	defer close(stopList)
	go l.list.refresh(stopList)
	config := engineConfig(7, 2, 3, coldPerSecond)
	config["routes"] = append(config["routes"].([]any), chatRoute())
	l.configure(config)
	l.awaitReady()
	time.Sleep(2 * time.Second)
	clients := []*client{{addr: l.fronts[0].front()}, {addr: l.fronts[1].front()}}
	stop := make(chan struct{})
	answers := map[string]int{}
	var wg sync.WaitGroup
	wg.Go(func() {
		every(400, stop, func(n int) {
			q := note(fmt.Sprintf("a1:800,b%d:410", rand.IntN(64)))
			if rand.IntN(10) < 3 {
				q.path = "/chat/x"
			}
			a := clients[n%2].ask(q)
			if !a.whole {
				l.note("client: the answer to %s %s was cut", a.id, q.path)
			}
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprint(q.path, " ", a.status, " whole ", a.whole)]++
		})
	})
	time.Sleep(8 * time.Second)
	for i := range 4 {
		if trouble {
			l.note("replica %s ends (the disruption)", replicas[i].key)
			replicas[i].crash()
			time.Sleep(down)
			replicas[i].start(true)
		}
		time.Sleep(9 * time.Second)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for _, arrivals := range cold {
		for i, from := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	for k, n := range answers {
		l.note("answers: %s: %d", k, n)
	}
	l.note("at most %d requests in one second reached a cold replica; FAILBACK allows %.1f; cold replicas ended %d times by that", most, bound, overloads)
	fmt.Printf("at most %d requests in one second reached a cold replica, allowed %.1f; cold replicas ended %d times by that\n", most, bound, overloads)
	return float64(most) <= bound
}
