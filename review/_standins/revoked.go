package main

import (
	"fmt"
	"sync"
	"time"
)

// runRevoked takes the only tenant, and with it every key, out of the configuration. Without
// trouble the new configuration keeps the tenant.
func runRevoked(rec *record, trouble bool) bool {
	const (
		revocation = 5 * time.Second // revocation_ms of dala-press
		before     = 4 * time.Second
		after      = 12 * time.Second
	)
	f := newFleet(3, 2, rec)
	defer f.stop()
	desk := &service{name: "desk", work: 15 * time.Millisecond}
	for i := range 4 {
		f.list.add(startReplica(fmt.Sprintf("i-desk-%d", i), f.addr(5, i+1, portReplica), zones[i%3], desk, rec))
	}
	route := func(timeout int) []any {
		return []any{map[string]any{"name": "book", "host": host, "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": timeout, "target_latency_ms": 100, "priority": 0,
			"service": "desk", "max_attempts": 1, "public_access": false, "session_affinity": false, "stream_resumption": false}}
	}
	services := []any{map[string]any{"name": "desk", "health_check_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}}
	tenants := []any{map[string]any{"name": "school", "api_keys": []any{"key-school"}, "priority": 0}}
	f.startAll(route(1500), services, tenants)
	time.Sleep(contact) // the fleet is calm
	began := time.Now()
	var clients sync.WaitGroup
	for _, m := range f.fronts() {
		for class, key := range map[string]string{"school": "key-school", "nobody": "key-of-nobody"} {
			clients.Go(func() {
				c := newClient(rec, m, key)
				defer c.close()
				for time.Since(began) < before+after {
					c.ask(class, "/book/1", []byte("a booking"), 1500*time.Millisecond, 0)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(before)
	rec.log("the operator sends the next configuration")
	if trouble {
		tenants = []any{}
	}
	if !f.configure(route(1400), services, tenants, 10*time.Second) {
		fatal("the second configuration was not acknowledged")
	}
	acked := time.Now()
	rec.log("it is acknowledged; it holds %d tenants", len(tenants))
	clients.Wait()
	revoked, unknown := 0, 0
	for _, q := range rec.order {
		switch {
		case len(q.runs) == 0:
		case q.class == "school" && trouble && q.sent.After(acked.Add(revocation)):
			revoked++
		case q.class == "nobody":
			unknown++
		}
	}
	rec.log("CONFIG: %d requests with the revoked key, sent later than %v after the acknowledgement, ran", revoked, revocation)
	rec.log("ROUTE: %d requests with a key that no configuration ever held ran", unknown)
	fmt.Printf("%d requests with a revoked key and %d with a key that no configuration held ran\n", revoked, unknown)
	return revoked+unknown > 0
}
