package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, began: time.Now()}, err
}

// event writes one line with the time since the start.
func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// quiet writes one line to the file only.
func (r *recorder) quiet(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// entry is one replica in the platform's list.
type entry struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_remaining_ms"`
	Born    int64  `json:"born"`
}

// platformList serves the platform's list of replicas, on one page.
type platformList struct {
	mu      sync.Mutex
	entries []entry
}

func (p *platformList) set(entries ...entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

func (p *platformList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, _ := json.Marshal(map[string]any{"instances": p.entries, "next": nil})
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// serveHTTP serves a stand-in at an address until the process ends.
func serveHTTP(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h, IdleTimeout: 15 * time.Second}).Serve(l) }()
	return nil
}

// replica is a sound replica of a plain service.
type replica struct {
	rec  *recorder
	id   string
	work time.Duration
	runs atomic.Int64
}

func (s *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Wigeonflow-Attempt-Id")
	h.Set("X-Wigeonflow-Attempt-Id", id)
	h.Set("Keep-Alive", "timeout=15")
	body, _ := io.ReadAll(r.Body)
	if want := r.Header.Get("X-Wigeonflow-Expected-Instance"); want != "" && want != s.id {
		h.Set("X-Wigeonflow-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.runs.Add(1)
	s.rec.quiet("replica %s runs %s %s %s for tenant %s, %d bytes", s.id, id, r.Method, r.RequestURI, r.Header.Get("X-Wigeonflow-Tenant"), len(body))
	time.Sleep(s.work)
	h.Set("X-Wigeonflow-Server-Signature", "sig."+s.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

// configuration returns a configuration with one idempotent route; extra routes show its version.
func configuration(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-look","host":"look.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"public_access":false,"session_affinity":false,"stream_resumption":false,"target_gap_ms":0},`+
		`{"name":"r-book","host":"look.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":1,"service":"ledger","max_attempts":1,"public_access":false,"session_affinity":false,"stream_resumption":false,"target_gap_ms":0}],`+
		`"services":[{"name":"ledger","health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`, version)
}

// operator calls the control machines like the users' operator: it follows 307 twice, and moves on to
// another node after a failure, a 5xx, or a second without an answer.
type operator struct {
	rec   *recorder
	nodes func() []string // control addresses to pick among
	next  int
}

var operatorClient = &http.Client{
	Timeout:       time.Second,
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error { return nil },
}

// call sends one call until it gets a clear answer or the time is over.
func (o *operator) call(method, path string, body []byte, limit time.Duration) (status int, answer []byte) {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for time.Now().Before(end) {
		nodes := o.nodes()
		node := nodes[o.next%len(nodes)]
		o.next++
		status, answer, err := o.once(method, "http://"+node+path, body)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, answer
		}
		if err != nil {
			o.rec.quiet("operator: %s %s at %s: %v", method, path, node, err)
		} else {
			o.rec.quiet("operator: %s %s at %s: %d %.80q", method, path, node, status, answer)
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return 0, nil
}

// once sends one call and follows up to two redirects.
func (o *operator) once(method, url string, body []byte) (int, []byte, error) {
	for range 3 {
		req, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		req.GetBody = nil
		if body != nil {
			req.Header.Set("Content-Type", "application/json")
		}
		resp, err := operatorClient.Transport.RoundTrip(withTimeout(req))
		if err != nil {
			return 0, nil, err
		}
		answer, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, answer, nil
		}
		url = resp.Header.Get("Location")
	}
	return 0, nil, fmt.Errorf("redirected too often")
}

func withTimeout(req *http.Request) *http.Request {
	ctx, cancel := context.WithTimeout(req.Context(), time.Second)
	time.AfterFunc(2*time.Second, cancel)
	return req.WithContext(ctx)
}

// replace sends a configuration until it is acknowledged.
func (o *operator) replace(version int, limit time.Duration) bool {
	status, answer := o.call(http.MethodPost, "/Configuration.Replace", configuration(version), limit)
	o.rec.event("operator: configuration %d answered %d %s", version, status, strings.TrimSpace(string(answer)))
	return status == http.StatusOK
}

// read reads the configuration back and returns its version, 0 if none comes in time.
func (o *operator) read(limit time.Duration) int {
	status, answer := o.call(http.MethodGet, "/Configuration.Read", nil, limit)
	var c struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &c) == nil {
		o.rec.event("operator: the configuration read back has version %d", c.Version)
		return c.Version
	}
	o.rec.event("operator: no configuration could be read back for %v (last status %d)", limit, status)
	return 0
}

// clients send sound requests to the fronts at a steady rate.
type clients struct {
	rec    *recorder
	fronts func() []string
	number atomic.Int64
	mu     sync.Mutex
	ends   []ending
}

// ending is how a request ended.
type ending struct {
	sent   time.Time
	status int
}

// run sends requests at the given rate until ctx ends.
func (c *clients) run(ctx context.Context, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			wg.Go(c.send)
		}
	}
}

var clientTransport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true}

func (c *clients) send() {
	n := c.number.Add(1)
	fronts := c.fronts()
	if len(fronts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	id := fmt.Sprintf("%016x", 0xabc0000000000000+uint64(n))
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fronts[int(n)%len(fronts)]+fmt.Sprintf("/look/%d", n), nil)
	req.Host = "look.example"
	req.Header.Set("X-Wigeonflow-Attempt-Id", id)
	req.Header.Set("X-Wigeonflow-Deadline-Remaining", "4000")
	req.Header.Set("X-Wigeonflow-Credential", "n2ctnfzs989anu6wsjnb")
	sent := time.Now()
	status, text := 0, ""
	resp, err := clientTransport.RoundTrip(req)
	if err == nil {
		body, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		status, text, err = resp.StatusCode, strings.TrimSpace(string(body)), readErr
	}
	if err != nil {
		status, text = 0, err.Error()
	}
	c.rec.quiet("client: %s answered %d after %d ms: %.100s", id, status, time.Since(sent).Milliseconds(), text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, ending{sent, status})
}

// served returns how many of the requests sent from one time to another were answered with 200.
func (c *clients) served(from, to time.Time) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.ends {
		if !e.sent.Before(from) && e.sent.Before(to) {
			all++
			if e.status == http.StatusOK {
				served++
			}
		}
	}
	return served, all
}

func sortTimes(times []time.Time) {
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
}
