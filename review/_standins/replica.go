package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// service describes how the replicas of a service work.
type service struct {
	name   string
	stream bool
	work   time.Duration // until the first byte of an answer
	events int           // of a stream
	pause  time.Duration // between two events
}

// replica is a sound replica. It reads a request whole, runs it and answers.
type replica struct {
	id, addr, zone string
	s              *service
	rec            *record
}

func startReplica(id, addr, zone string, s *service, rec *record) *replica {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fatal("%v", err)
	}
	p := &replica{id: id, addr: addr, zone: zone, s: s, rec: rec}
	server := &http.Server{Handler: p}
	go func() { _ = server.Serve(l) }()
	return p
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Wigeonflow-Attempt-Id")
	w.Header().Set("X-Wigeonflow-Attempt-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Wigeonflow-Instance-Id", p.id)
		return
	}
	if expected := r.Header.Get("X-Wigeonflow-Expected-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if n, err := io.Copy(io.Discard, r.Body); err != nil || r.ContentLength >= 0 && n != r.ContentLength {
		return
	}
	p.rec.ran(id, p.id)
	select {
	case <-r.Context().Done():
		return
	case <-time.After(p.s.work):
	}
	w.Header().Set("X-Wigeonflow-Server-Signature", "s."+id)
	w.Header().Set("X-Wigeonflow-Server-Load", "1,0,64")
	if !p.s.stream {
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flush := http.NewResponseController(w)
	for i := after + 1; i <= p.s.events; i++ {
		if i > after+1 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(p.s.pause):
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil || flush.Flush() != nil {
			return
		}
	}
}

// entry is the replica's entry in the platform's list.
func (p *replica) entry() map[string]any {
	return map[string]any{
		"id": p.id, "service": p.s.name, "address": p.addr, "zone": p.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
	}
}

// instanceList is the platform's list.
type instanceList struct {
	mu      sync.Mutex
	entries []map[string]any
}

func startList(addr string) *instanceList {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fatal("%v", err)
	}
	p := &instanceList{}
	server := &http.Server{Handler: p}
	go func() { _ = server.Serve(l) }()
	return p
}

func (p *instanceList) add(r *replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, r.entry())
}

// ServeHTTP implements http.Handler.
func (p *instanceList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.entries, "next": nil})
}
