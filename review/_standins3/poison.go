package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	deadlyPart   = "deadbeef"
	sharedPart   = "5c1e07a2"      // the first part of all sound requests
	crashFor     = 3 * time.Second // a replica is back after some seconds
	listLag      = 500 * time.Millisecond
	maxArrivals  = 3                         // with the part, BUDGET
	countedCrash = 5                         // from which on they are counted, contactTime later
	inTouch      = contactTime + time.Second // after the last start of a process
	engineCount  = 8
)

// engine is a model replica that ends when it begins to write an answer on the deadly part.
type engine struct {
	rec  *recorder
	list func() // publishes the platform's list
	id   string
	addr string
	zone string

	mu      sync.Mutex
	born    int64
	conns   map[net.Conn]bool
	server  *http.Server
	deadly  []time.Time // arrivals with the part
	crashes []time.Time
	cut     int // sound requests that a crash has cut
	running int
}

// serve listens and serves until the next crash.
func (e *engine) serve() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.conns, e.running = time.Now().UnixMilli(), make(map[net.Conn]bool), 0
	e.server = &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s == http.StateClosed {
			delete(e.conns, c)
		} else {
			e.conns[c] = true
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	return nil
}

// crash resets all connections and is down for crashFor.
func (e *engine) crash() {
	e.mu.Lock()
	if e.server == nil {
		e.mu.Unlock()
		return
	}
	e.crashes = append(e.crashes, time.Now())
	e.cut += e.running
	e.rec.event("replica %s ends by the part, with %d sound requests", e.id, e.running)
	server := e.server
	e.server = nil
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	e.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(crashFor, func() {
		if err := e.serve(); err != nil {
			e.rec.event("replica %s does not come back: %v", e.id, err)
		}
		time.AfterFunc(listLag, e.list)
	})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id, prefix := r.Header.Get("X-Wigeonflow-Attempt-Id"), r.Header.Get("X-Wigeonflow-Prompt-Prefix")
	h.Set("X-Wigeonflow-Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("X-Wigeonflow-Expected-Instance") != e.id {
		h.Set("X-Wigeonflow-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.rec.quiet("replica %s runs %s with %s", e.id, id, prefix)
	if strings.Contains(prefix, deadlyPart) {
		e.mu.Lock()
		e.deadly = append(e.deadly, time.Now())
		e.mu.Unlock()
		time.Sleep(30 * time.Millisecond) // it reads the prompt
		e.crash()
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Keep-Alive", "timeout=15")
	h.Set("X-Wigeonflow-Server-Signature", "sig."+e.id+"."+id)
	flusher := http.NewResponseController(w)
	for n := range events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n+1, n+1, id); err != nil || flusher.Flush() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// noteConfiguration has one route of streams that may be resumed, and one of others.
var noteConfiguration = []byte(`{"version":7,"routes":[{"name":"r-note","host":"look.example","path_prefix":"/note/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":1,"service":"press","max_attempts":2,"public_access":false,"session_affinity":true,"stream_resumption":true,"target_gap_ms":200},` +
	`{"name":"r-chat","host":"look.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":12000,"target_latency_ms":300,"priority":0,"service":"press","max_attempts":1,"public_access":false,"session_affinity":true,"stream_resumption":false,"target_gap_ms":200}],` +
	`"services":[{"name":"press","health_check_path":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_cache_tokens":461922,"kv_token_bytes":163840,"link_mbps":550000.0,"migrations":false,"backups":false,"stride":5,"most":2,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
	`"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`)

// events is the number of events of a whole stream.
const events = 20

// note sends one request for a stream. One that may be resumed is sent once more after a failure, to
// the other front and on a new connection, as clients do. It reports whether the client got it whole.
func note(rec *recorder, front func(n int) string, n int, path, name, prefix string) (whole bool) {
	tries := 1
	if path == "/note/" {
		tries = 2
	}
	for try := range tries {
		id := fmt.Sprintf("%s.%d", name, try)
		ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front(n+try)+path+name, strings.NewReader("prompt of "+name))
		req.Host = "look.example"
		for field, value := range map[string]string{
			"X-Wigeonflow-Attempt-Id": id, "X-Wigeonflow-Deadline-Remaining": "12000", "X-Wigeonflow-Credential": "n2ctnfzs989anu6wsjnb",
			"X-Wigeonflow-Model": "m", "X-Wigeonflow-Token-Counts": "1460,80", "X-Wigeonflow-Prompt-Prefix": prefix,
		} {
			req.Header.Set(field, value)
		}
		transport := clientTransport
		if try > 0 {
			transport = &http.Transport{DisableKeepAlives: true}
		}
		status, got := 0, 0
		resp, err := transport.RoundTrip(req)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			status, got = resp.StatusCode, strings.Count(string(body), "id: ")
		}
		cancel()
		rec.quiet("client: %s answered %d with %d events, error %v", id, status, got, err)
		if err == nil && status == http.StatusOK {
			return got == events
		}
		if err == nil && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable {
			return false // not retried, or told to come again later than it waits
		}
	}
	return false
}

// poisoned is a fleet before engines, with sound requests under way.
type poisoned struct {
	*fleet
	core, fronts []*machine
	engines      []*engine
	sent         sync.WaitGroup
	ctx          context.Context
	stop         context.CancelFunc
	deadly       int          // requests with the part
	unserved     atomic.Int64 // sound requests whose clients got no whole answer
}

// startPoisoned starts the fleet, the engines and the sound requests.
func startPoisoned(f *fleet) (*poisoned, error) {
	p := &poisoned{fleet: f, engines: make([]*engine, engineCount)}
	var err error
	if p.core, p.fronts, err = startFleet(f, coreMachines); err != nil {
		return nil, err
	}
	for n := range p.engines {
		e := &engine{rec: f.rec, list: p.publish, id: fmt.Sprintf("i-%d", n), addr: f.addr(120+n, portReplica), zone: zones[n%len(zones)]}
		if err := e.serve(); err != nil {
			return nil, err
		}
		p.engines[n] = e
	}
	p.publish()
	o := &operator{rec: f.rec, nodes: func() []string { return addresses(p.core, portControl) }}
	if status, _ := o.call(http.MethodPost, "/Configuration.Replace", noteConfiguration, 15*time.Second); status != http.StatusOK {
		return nil, errSetup
	}
	time.Sleep(2 * time.Second)
	p.ctx, p.stop = context.WithCancel(context.Background())
	go func() {
		for n := 0; p.ctx.Err() == nil; n++ {
			p.sent.Go(func() {
				path := []string{"/note/", "/chat/"}[n/2%2]
				if !note(f.rec, p.front, n, path, fmt.Sprintf("sound%d", n), fmt.Sprintf("%s:800,%x:410,%x:250", sharedPart, garment(n), 0xe4400000+n)) {
					p.unserved.Add(1)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
	}()
	time.Sleep(3 * time.Second)
	return p, nil
}

// publish sets the platform's list.
func (p *poisoned) publish() {
	var entries []entry
	for _, e := range p.engines {
		e.mu.Lock()
		entries = append(entries, entry{ID: e.id, Service: "press", Address: e.addr, Zone: e.zone, Version: "v1", Slots: 64, State: "ready", Born: e.born})
		e.mu.Unlock()
	}
	p.list.set(entries...)
}

// garment returns the part that stands before the last one in a sound request.
func garment(n int) int { return 0x91bd0000 + n%12 }

// front returns the address of one of the fronts.
func (p *poisoned) front(n int) string { return addresses(p.fronts, portFront)[n%len(p.fronts)] }

// poison sends one request with the deadly part, which the given part follows.
func (p *poisoned) poison(next int) {
	n := p.deadly
	p.deadly++
	p.rec.event("client: request deadly%d with the part", n)
	p.sent.Go(func() {
		note(p.rec, p.front, n, "/note/", fmt.Sprintf("deadly%d", n), fmt.Sprintf("%s:800,%x:410,%x:250", deadlyPart, next, 0xf0000000+n))
	})
}

// judge reports whether BUDGET held, given the time from which on all machines are in touch.
func (p *poisoned) judge(inTouchFrom time.Time) (held bool, err error) {
	p.stop()
	p.sent.Wait()
	var crashes, arrivals []time.Time
	cut := 0
	for _, e := range p.engines {
		e.mu.Lock()
		crashes, arrivals, cut = append(crashes, e.crashes...), append(arrivals, e.deadly...), cut+e.cut
		e.mu.Unlock()
	}
	counted := 0
	sortTimes(crashes)
	if len(crashes) >= countedCrash {
		from := crashes[countedCrash-1].Add(contactTime)
		for _, a := range arrivals {
			if a.After(from) && a.After(inTouchFrom) {
				counted++
			}
		}
	}
	p.rec.event("%d requests with the part; replicas ended %d times by it and cut %d sound requests", p.deadly, len(crashes), cut)
	p.rec.event("%d requests with it reached replicas later than contact_ms after the fifth end, all machines being in touch; at most %d may", counted, maxArrivals)
	return counted <= maxArrivals, nil
}

// deadlyRestart lets one part of prompts end five replicas, kills all processes at one moment, and
// lets further requests with the part come once all machines are in touch again.
func deadlyRestart(rec *recorder, trouble bool) (held bool, err error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	p, err := startPoisoned(f)
	if err != nil {
		return false, err
	}
	for n := range 6 {
		p.poison(garment(n))
	}
	time.Sleep(4 * time.Second)
	for n := range 2 { // before the disruption they are turned away
		p.poison(garment(n))
	}
	time.Sleep(time.Second)
	if trouble {
		everyone := append(append([]*machine(nil), p.core...), p.fronts...)
		for _, m := range everyone {
			_ = m.cmd.Process.Kill()
		}
		rec.event("all processes are killed")
		for _, m := range everyone {
			<-m.exited
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range everyone {
			if err := f.start(m, false); err != nil {
				return false, err
			}
		}
	}
	inTouchFrom := time.Now().Add(inTouch)
	time.Sleep(inTouch + 2*time.Second)
	before := p.unserved.Load()
	for n := range 3 {
		p.poison(garment(2 * n))
		p.poison(garment(2*n + 1))
		time.Sleep(4500 * time.Millisecond)
	}
	rec.event("%d sound requests weren't served whole since all machines are in touch", p.unserved.Load()-before)
	return p.judge(inTouchFrom)
}
