package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// contact is contact_ms of dala-press.
const contact = 3 * time.Second

// attempt is a client's attempt to be served on a new connection.
type attempt struct {
	at    time.Time
	taken bool // an answer came on the connection
}

// balancer is the platform's: it asks each front machine for its readiness once a second, on a
// kept connection, and sends each new connection to a machine in rotation.
type balancer struct {
	mu       sync.Mutex
	fronts   []*machine
	misses   map[*machine]int
	ready    map[*machine][]time.Time // answers with 200
	attempts map[*machine][]*attempt
	next     int
}

func newBalancer(f *fleet) *balancer {
	b := &balancer{fronts: f.fronts(), misses: map[*machine]int{}, ready: map[*machine][]time.Time{}, attempts: map[*machine][]*attempt{}}
	for _, m := range b.fronts {
		go b.poll(f, m)
	}
	return b
}

func (b *balancer) poll(f *fleet, m *machine) {
	c := http.Client{Timeout: time.Second}
	for ; ; time.Sleep(time.Second) {
		resp, err := c.Get("http://" + m.addr(portReady) + "/readiness")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		b.mu.Lock()
		if ok {
			b.misses[m] = 0
			b.ready[m] = append(b.ready[m], time.Now())
		} else if b.misses[m]++; b.misses[m] == 2 {
			f.rec.log("%s is out of rotation", m.name)
		}
		b.mu.Unlock()
	}
}

// pick returns the machine for a new connection: one in rotation, or any if there is none.
func (b *balancer) pick() *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.fronts {
		b.next++
		if m := b.fronts[b.next%len(b.fronts)]; b.misses[m] < 2 {
			return m
		}
	}
	return b.fronts[b.next%len(b.fronts)]
}

func (b *balancer) try(m *machine) *attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &attempt{at: time.Now()}
	b.attempts[m] = append(b.attempts[m], a)
	return a
}

// visit opens a connection, sends one idempotent request and keeps the connection. A client that
// isn't answered within a second gives up.
func (b *balancer) visit(rec *record, conns *connections) {
	m := b.pick()
	a := b.try(m)
	q := &request{id: newID(), class: "look", machine: m.name}
	rec.send(q)
	conn, err := net.DialTimeout("tcp", m.addr(portFront), time.Second)
	if err != nil {
		rec.end(q, true, "cannot connect: "+err.Error())
		return
	}
	_, err = fmt.Fprintf(conn, "POST /look/1 HTTP/1.1\r\nHost: %s\r\nX-Wigeonflow-Attempt-Id: %s\r\nX-Wigeonflow-Deadline-Remaining: 1500\r\nX-Wigeonflow-Credential: key-small\r\nContent-Length: 6\r\n\r\nlookup", host, q.id)
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			text, _ := io.ReadAll(resp.Body)
			rec.end(q, false, fmt.Sprintf("%d %s", resp.StatusCode, text))
			b.mu.Lock()
			a.taken = true
			b.mu.Unlock()
			conns.keep(conn)
			return
		}
	}
	_ = conn.Close()
	rec.end(q, true, "no answer: "+err.Error())
}

// connections are those that clients keep.
type connections struct {
	mu  sync.Mutex
	all []net.Conn
}

func (c *connections) keep(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, conn)
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.all {
		_ = conn.Close()
	}
}

// runConnections plays clients that come once and keep their connection, at two front machines.
// In trouble one of the machines is lost, and is back later.
func runConnections(rec *record, trouble bool) bool {
	const (
		rate   = 25 // new clients a second at each front machine
		lostAt = 3 * time.Second
		backAt = 97 * time.Second
		length = 104 * time.Second
	)
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Max < 8000 {
		fatal("the clients need up to 8000 descriptors; the limit is %d", own.Max)
	}
	f := newFleet(3, 2, rec)
	defer f.stop()
	f.files = true
	desk := &service{name: "desk", work: 15 * time.Millisecond}
	for i := range 4 {
		f.list.add(startReplica(fmt.Sprintf("i-desk-%d", i), f.addr(5, i+1, portReplica), zones[i%3], desk, rec))
	}
	f.startAll([]any{
		map[string]any{"name": "look", "host": host, "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 100, "priority": 0,
			"service": "desk", "max_attempts": 2, "public_access": false, "session_affinity": false, "stream_resumption": false},
	}, []any{
		map[string]any{"name": "desk", "health_check_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
	}, []any{map[string]any{"name": "small", "api_keys": []any{"key-small"}, "priority": 0}})
	time.Sleep(contact) // the fleet is calm
	b := newBalancer(f)
	conns := &connections{}
	defer conns.close()
	fronts := f.fronts()
	began := time.Now()
	rec.log("clients come, %d a second at each of %d front machines", rate, len(fronts))
	if trouble {
		lost := fronts[1]
		time.AfterFunc(lostAt, func() {
			rec.log("%s is lost", lost.name)
			lost.mu.Lock()
			lost.stopped = true
			lost.mu.Unlock()
			lost.signal(syscall.SIGKILL)
		})
		time.AfterFunc(backAt, func() {
			rec.log("%s is back", lost.name)
			lost.mu.Lock()
			lost.stopped = false
			lost.mu.Unlock()
			lost.start(false)
		})
	}
	var clients sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate*len(fronts)))
	defer ticker.Stop()
	for time.Since(began) < length {
		<-ticker.C
		clients.Go(func() { b.visit(rec, conns) })
	}
	clients.Wait()
	return b.judge(f, rec, fronts[0])
}

// judge reports whether a machine that said that it is ready took no new connection for contact
// while seven clients or more tried (RECOVER).
func (b *balancer) judge(f *fleet, rec *record, m *machine) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// readyThroughout reports whether the machine said that it is ready at least every readyGap
	// from one time to the other.
	const readyGap = 1200 * time.Millisecond
	readyThroughout := func(from, to time.Time) bool {
		last := from
		for _, at := range b.ready[m] {
			if at.Before(from) || at.After(to) {
				continue
			}
			if at.Sub(last) > readyGap {
				return false
			}
			last = at
		}
		return to.Sub(last) <= readyGap
	}
	broken := false
	tries, taken := 0, 0
	var from time.Time
	longest := time.Duration(0)
	for _, a := range b.attempts[m] {
		if a.taken {
			tries, from = 0, time.Time{}
			taken++
			continue
		}
		if tries++; tries == 1 {
			from = a.at
		}
		if d := a.at.Sub(from); d >= contact && tries >= 7 && readyThroughout(from, a.at) {
			broken, longest = true, max(longest, d)
		}
	}
	rec.log("%s: %d attempts of clients on new connections, %d were answered; it ended by itself %d times", m.name, len(b.attempts[m]), taken, len(m.exited))
	rec.log("RECOVER: longest time in which it said that it is ready and took no new connection: %v", longest.Round(time.Millisecond))
	fmt.Printf("%s: %d of %d new connections answered; ready and no connection taken for %v; ended by itself %d times\n", m.name, taken, len(b.attempts[m]), longest.Round(time.Millisecond), len(m.exited))
	return broken
}
