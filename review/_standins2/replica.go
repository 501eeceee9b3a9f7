package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is one request that reached a replica.
type arrival struct {
	at        time.Time
	id        string // attempt ID
	replica   string // key of the replica
	from      string // address of the front machine
	firstUse  bool   // the first request on its connection
	coldUntil time.Time
	deadly    bool
	cold      bool
	away      bool // the replica turns it away
	tenant    string
}

// restFor is what a replica that turns a request away says in Retry-After.
const restFor = 4 * time.Second

// replica is a stand-in for one replica of a service. Each start has an ID of its own, unless
// sameID is set.
type replica struct {
	lab           *lab
	key           string // stays the same over restarts
	service, addr string
	zone          string
	slots         int
	sameID        bool
	coldFor       time.Duration
	work          func(w http.ResponseWriter, r *http.Request, rep *replica) // runs a request
	deadly        func(r *http.Request) bool                                 // the replica ends as it begins to answer
	arrived       func(a arrival, r *http.Request)

	mu        sync.Mutex
	id        string
	started   time.Time
	coldUntil time.Time
	awayUntil time.Time // until then the replica turns all requests away
	server    *http.Server
	conns     map[net.Conn]bool
	running   int
}

// start starts the replica, and lists it.
func (r *replica) start(cold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		return // started already
	}
	if r.id == "" || !r.sameID {
		r.id = fmt.Sprintf("i-%s-%08x", r.key, rand.Uint32())
	}
	r.started, r.conns = time.Now(), map[net.Conn]bool{}
	r.coldUntil = time.Time{}
	if cold {
		r.coldUntil = r.started.Add(r.coldFor)
	}
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		cannotRun("%v", err)
	}
	conns := r.conns
	type firstKey struct{}
	r.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			used := q.Context().Value(firstKey{}).(*bool)
			first := !*used
			*used = true
			r.serve(w, q, first)
		}),
		IdleTimeout: 30 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, firstKey{}, new(bool))
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if s == http.StateClosed {
				delete(conns, c)
			} else {
				conns[c] = true
			}
		},
	}
	server := r.server
	go func() { _ = server.Serve(listener) }()
	entry := map[string]any{
		"id": r.id, "service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", "born": r.started.UnixMilli(),
	}
	if cold {
		entry["-cold"] = r.coldUntil
	}
	r.lab.list.set(r.key, entry)
	r.lab.note("replica %s started as %s, cold %v", r.key, r.id, cold)
}

// crash ends the replica like a kill: its connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	server, conns := r.server, r.conns
	r.server = nil
	var open []net.Conn
	for c := range conns {
		open = append(open, c)
	}
	r.mu.Unlock()
	if server == nil {
		return
	}
	for _, c := range open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	for _, c := range open {
		_ = c.Close()
	}
}

// serve answers one request as PROTOCOL.md says.
func (r *replica) serve(w http.ResponseWriter, q *http.Request, firstUse bool) {
	r.mu.Lock()
	id, cold, away := r.id, r.coldUntil, r.awayUntil
	r.mu.Unlock()
	if q.Method == http.MethodGet && q.URL.Path == "/health" {
		w.Header().Set("X-Wigeonflow-Instance-Id", id)
		if left := time.Until(cold); left > 0 {
			w.Header().Set("X-Wigeonflow-Cold-Milliseconds", fmt.Sprint(left.Milliseconds()))
		}
		return
	}
	attempt := q.Header.Get("X-Wigeonflow-Attempt-Id")
	w.Header().Set("X-Wigeonflow-Attempt-Id", attempt)
	host, _, _ := net.SplitHostPort(q.RemoteAddr)
	if want := q.Header.Get("X-Wigeonflow-Expected-Instance"); want != "" && want != id {
		w.Header().Set("X-Wigeonflow-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		r.lab.note("replica %s: request %s from %s is for %s: 421", r.key, attempt, host, want)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	a := arrival{at: time.Now(), id: attempt, replica: r.key, from: host, firstUse: firstUse, tenant: q.Header.Get("X-Wigeonflow-Tenant")}
	a.deadly = r.deadly != nil && r.deadly(q)
	a.cold = time.Now().Before(cold)
	a.away = time.Now().Before(away)
	r.arrived(a, q)
	if a.away {
		w.Header().Set("X-Wigeonflow-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.Itoa(int(restFor/time.Second)))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	r.running++
	running := r.running
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	w.Header().Set("X-Wigeonflow-Server-Signature", "sig."+id+"."+attempt)
	w.Header().Set("X-Wigeonflow-Server-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	w.Header().Set("Keep-Alive", "timeout=30")
	r.work(w, q, r)
}

// stream returns a function that answers with a stream of events after a first delay.
func stream(first, gap time.Duration, events int) func(http.ResponseWriter, *http.Request, *replica) {
	return func(w http.ResponseWriter, q *http.Request, r *replica) {
		if !sleep(q.Context(), first) {
			return
		}
		if r.deadly != nil && r.deadly(q) {
			r.lab.note("replica %s begins to answer %s and ends", r.key, q.Header.Get("X-Wigeonflow-Attempt-Id"))
			r.crash()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		after := 0
		_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &after)
		flusher := http.NewResponseController(w)
		for i := after + 1; i <= events; i++ {
			if i > after+1 && !sleep(q.Context(), gap) {
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", 20)); err != nil {
				return
			}
			_ = flusher.Flush()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// complete returns a function that answers with a body after the given time.
func complete(work time.Duration) func(http.ResponseWriter, *http.Request, *replica) {
	return func(w http.ResponseWriter, q *http.Request, r *replica) {
		if !sleep(q.Context(), work) {
			return
		}
		_, _ = fmt.Fprintf(w, "service %s answers %s\n", r.service, q.URL.Path)
	}
}
