package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, class, machine string
	sent               time.Time
	read               bool     // it was sent whole
	runs               []string // replicas that ran it, in order
	ended              time.Time
	outcome            string
	kept               bool // it was sent on a connection that had carried another one
	answered           bool // the head of an answer came
	cut                bool // its connection ended without a complete answer
	gaveUp             bool // the client ended it
}

// record holds what clients, replicas and the platform saw.
type record struct {
	mu       sync.Mutex
	began    time.Time
	requests map[string]*request
	order    []*request
	lines    []string
}

func newRecord() *record {
	return &record{began: time.Now(), requests: make(map[string]*request)}
}

// log adds a line.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) send(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sent = time.Now()
	r.requests[q.id] = q
	r.order = append(r.order, q)
}

func (r *record) ran(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.runs = append(q.runs, replica)
	}
}

func (r *record) end(q *request, cut bool, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.ended, q.cut, q.outcome = time.Now(), cut, outcome
}

// write writes the record to a file.
func (r *record) write(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer f.Close()
	fmt.Fprintln(f, "what happened:")
	for _, line := range r.lines {
		fmt.Fprintln(f, line)
	}
	fmt.Fprintln(f, "\nrequests: sent at, ended at, id, kind, machine, replicas that ran it, end")
	for _, q := range r.order {
		fmt.Fprintf(f, "%8.3f %8.3f  %s  %-6s %-18s %v  %s\n", q.sent.Sub(r.began).Seconds(), q.ended.Sub(r.began).Seconds(), q.id, q.class, q.machine, q.runs, q.outcome)
	}
}
