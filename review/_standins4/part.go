package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// partTime is how long requests with the deadly part come, and partPause the time between two of
	// them: 0.9 a second, under a twentieth of the site's 18.9 care notes.
	partTime  = 22 * time.Second
	partPause = 1100 * time.Millisecond
	// backAfter is how long a replica that has ended is away.
	backAfter = 3 * time.Second
	// contact is contact_ms, and enough the number of ends from which it counts.
	contact = 3 * time.Second
	enough  = 5
	// soundCallers is the number of clients with sound requests.
	soundCallers = 24
)

// deadlyPart is a part of a prompt that ends each replica that begins to write an answer on it.
type deadlyPart struct {
	mu      sync.Mutex
	id      string // empty for none
	ends    int
	fifth   time.Time // of the ends
	reached int       // requests with the part at replicas
	late    int       // those that came later than contact after fifth
	journal *journal
}

var deadly = &deadlyPart{}

// in reports whether a prompt has the part.
func (d *deadlyPart) in(prefix string) bool {
	return d.id != "" && strings.Contains(prefix, d.id+":")
}

// eventPause is the time between two events that a replica writes on the deadly part.
const eventPause = 20 * time.Millisecond

// endByPart ends the replica because of a request with the deadly part, once it has written the events
// with which its answer begins.
func (r *replica) endByPart(a *attempt, c net.Conn, q *http.Request) bool {
	d := deadly
	time.Sleep(10 * time.Millisecond) // up to the first token
	defer r.end(d)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reached++
	if !d.fifth.IsZero() && time.Since(d.fifth) > contact {
		d.late++
		d.journal.add("request %s with the part reaches %s, %v after the fifth end", a.id, r.id, time.Since(d.fifth).Round(time.Millisecond))
	}
	d.mu.Unlock()
	r.beginAnswer(a, c, q)
	d.mu.Lock()
	return false
}

// beginAnswer writes the head of an answer and its first events; nothing if there are to be none.
func (r *replica) beginAnswer(a *attempt, c net.Conn, q *http.Request) {
	if *written == 0 {
		return
	}
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Wigeonflow-Attempt-Id: %s\r\nX-Wigeonflow-Server-Signature: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.id, r.id, a.id)
	for i := from + 1; i <= from+*written; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, content(a.uri, i))
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(eventPause)
	}
}

// end ends the replica, unless it has ended, and has it come back at its address as another one.
func (r *replica) end(d *deadlyPart) {
	d.mu.Lock()
	first := !r.gone
	if first {
		d.ends++
		if d.ends == enough {
			d.fifth = time.Now()
			d.journal.add("fifth end of a replica")
		}
		r.crash()
	}
	d.mu.Unlock()
	if !first {
		return
	}
	go func() {
		time.Sleep(backAfter)
		rmu.Lock()
		delete(replicas, r.id)
		rmu.Unlock()
		newReplica("", r.service, r.addr, r.zone, false)
	}()
}

// partID returns the ID of a part, the same for the same name.
func partID(name string) string {
	return strings.Repeat(sum([]byte(name)), 4)[:*digits]
}

// part serves sound requests and, beside them, such with a deadly part of their prompt. It ends this
// process: with 1 if BUDGET is broken, 0 if it held, and 2 if the case could not run.
func part(procs, fronts []*proc) {
	j := new(journal)
	if *records != "" {
		var err error
		if j.file, err = os.Create(*records); err != nil {
			fail("record: %v", err)
		}
	}
	deadly.journal = j
	for _, p := range procs {
		p.start(true)
	}
	if err := order("/Configuration.Replace", config(), 15*time.Second); err != nil {
		fail("no configuration: %v", err)
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	began = time.Now()
	deadly.id = partID("deadly")
	j.add("IDs of parts have %d hexadecimal digits, that of the deadly one is %s", *digits, deadly.id)
	end := began.Add(partTime + 8*time.Second)
	var wg sync.WaitGroup
	for i := range soundCallers {
		wg.Go(func() {
			rnd := rand.New(rand.NewSource(*seed*100 + int64(i)))
			for time.Now().Before(end) {
				ask(fronts, rnd, partID(fmt.Sprint("document ", rnd.Intn(40))), "sound")
				time.Sleep(time.Duration(rnd.Intn(300)) * time.Millisecond)
			}
		})
	}
	rnd := rand.New(rand.NewSource(*seed))
	time.Sleep(4 * time.Second)
	sent := 0
	for until := time.Now().Add(partTime); *trouble && time.Now().Before(until); {
		sent++
		wg.Go(func() { ask(fronts, rand.New(rand.NewSource(rnd.Int63())), deadly.id, "deadly") })
		time.Sleep(partPause)
	}
	wg.Wait()
	running := 0
	for _, p := range procs {
		select {
		case <-p.exited:
		default:
			running++
		}
		<-p.signal(syscallKill)
	}
	j.add("answers: %v", stats.ends)
	j.add("%d requests with the part sent, %d times at replicas, %d ends; %d at replicas later than %v after the fifth end (bound 3)", sent, deadly.reached, deadly.ends, deadly.late, contact)
	_ = os.RemoveAll(dir)
	switch {
	case running < len(procs) || stats.ends["sound 200"] == 0:
		j.add("the case could not run")
		os.Exit(2)
	case deadly.late > 3:
		j.add("BROKEN: BUDGET")
		os.Exit(1)
	}
	j.add("held")
	os.Exit(0)
}

// ask sends one resumable stream's request, whose prompt has the given part in the middle.
func ask(fronts []*proc, rnd *rand.Rand, middle, label string) {
	a := &attempt{id: fmt.Sprintf("%016x", rnd.Uint64()), method: http.MethodPost, kind: "note", tenant: "t1", uri: fmt.Sprintf("/note/%x", rnd.Intn(40)), bodySum: sum(nil), sentAt: time.Now(), model: "m", tokens: "600,80"}
	a.prefix = fmt.Sprintf("%s:300,%s:200,%s:100", partID(fmt.Sprint("system ", rnd.Intn(3))), middle, partID(a.id))
	attempts.Store(a.id, a)
	q, _ := http.NewRequest(a.method, "http://"+fronts[rnd.Intn(len(fronts))].ip+":8227"+a.uri, nil)
	q.Host = "h.example"
	for name, value := range map[string]string{"X-Wigeonflow-Attempt-Id": a.id, "X-Wigeonflow-Credential": "k1a", "X-Wigeonflow-Deadline-Remaining": "4000", "X-Wigeonflow-Model": a.model, "X-Wigeonflow-Token-Counts": a.tokens, "X-Wigeonflow-Prompt-Prefix": a.prefix} {
		q.Header.Set(name, value)
	}
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(q)
	if err != nil {
		count(label + " no answer")
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		count(label + " cut")
		return
	}
	count(fmt.Sprintf("%s %d", label, resp.StatusCode))
}
