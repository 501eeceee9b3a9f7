package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"time"
)

// entryTime is how long the list holds the entry of another writer.
const entryTime = 15 * time.Second

// foreignEntry is the list's entry of another writer, and what comes of it.
type foreignEntry struct {
	mu      sync.Mutex
	text    string // empty for none
	journal *journal
	runs    map[string]int // requests by what they ask for and the service that runs them
	astray  int
}

var foreign = &foreignEntry{runs: map[string]int{}}

func (f *foreignEntry) entry() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text
}

// check counts a request that a replica is about to run.
func (f *foreignEntry) check(r *replica, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[a.kind+" by "+r.service]++
	if want := map[string]string{"once": "svc", "idem": lookups()}[a.kind]; want != "" && want != r.service {
		f.astray++
		f.journal.add("booking %s %s runs at %s, a replica of %s", a.id, a.uri, r.id, r.service)
	}
}

// lookups returns the service of the requests that only look something up.
func lookups() string {
	if *mode == "entry" {
		return "stock"
	}
	return "svc"
}

// entry puts into the platform's list an entry of another writer, behind the others: it has the ID and the
// address of a replica of stock and names the service svc, but its models are a text and its
// cold_remaining_ms is null. It ends this process: with 1 if svc's requests run at stock, 0 if none does,
// and 2 if the case could not run.
func entry(procs, fronts []*proc) {
	j := new(journal)
	if *records != "" {
		var err error
		if j.file, err = os.Create(*records); err != nil {
			fail("record: %v", err)
		}
	}
	foreign.journal = j
	for _, p := range procs {
		p.start(true)
	}
	if err := order("/Configuration.Replace", config(), 15*time.Second); err != nil {
		fail("no configuration: %v", err)
	}
	time.Sleep(4 * time.Second)
	began = time.Now()
	end := began.Add(4*time.Second + entryTime)
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			rnd := rand.New(rand.NewSource(*seed*100 + int64(i)))
			for time.Now().Before(end) {
				book(fronts, rnd)
				time.Sleep(time.Duration(150+rnd.Intn(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if *trouble {
		rmu.Lock()
		for _, r := range replicas {
			if r.service != "stock" {
				continue
			}
			foreign.mu.Lock()
			foreign.text = fmt.Sprintf(`{"id":%q,"service":"svc","address":%q,"zone":%q,"version":"v1","slots":64,"state":"ready","cold_remaining_ms":`+wrong("cold", "null", "0")+`,"born":%d,"stage":"combined","models":`+wrong("models", `"m"`, `[{"name":"m","version":1,"adapters":[]}]`)+`}`, r.id, r.addr, r.zone, time.Now().UnixMilli())
			j.add("the list holds, behind the others: %s", foreign.text)
			foreign.mu.Unlock()
			break
		}
		rmu.Unlock()
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
	j.add("answers: %v; runs: %v; astray: %d", stats.ends, foreign.runs, foreign.astray)
	_ = os.RemoveAll(dir)
	switch {
	case running < len(procs) || stats.ends["once 200"] == 0:
		j.add("the case could not run")
		os.Exit(2)
	case foreign.astray > 0:
		j.add("BROKEN: ROUTE")
		os.Exit(1)
	}
	j.add("held")
	os.Exit(0)
}

// wrong returns the value of another type for a field, or the proper one if WRONG names another field only.
func wrong(field, other, proper string) string {
	if only := os.Getenv("WRONG"); only != "" && only != field {
		return proper
	}
	return other
}

// book sends a booking, or a request that only looks something up.
func book(fronts []*proc, rnd *rand.Rand) {
	a := &attempt{id: fmt.Sprintf("%016x", rnd.Uint64()), method: http.MethodPost, kind: "once", tenant: "t1", sentAt: time.Now()}
	body := []byte("booking")
	if rnd.Intn(3) == 0 {
		a.method, a.kind, body = http.MethodGet, "idem", nil
	}
	a.uri, a.bodySum = fmt.Sprintf("/%s/%x", a.kind, rnd.Intn(40)), sum(body)
	attempts.Store(a.id, a)
	q, _ := http.NewRequest(a.method, "http://"+fronts[rnd.Intn(len(fronts))].ip+":8227"+a.uri, bytes.NewReader(body))
	q.Host = "h.example"
	q.Header.Set("X-Wigeonflow-Attempt-Id", a.id)
	q.Header.Set("X-Wigeonflow-Credential", "k1a")
	q.Header.Set("X-Wigeonflow-Deadline-Remaining", "1500")
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(q)
	if err != nil {
		count(a.kind + " no answer")
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	count(fmt.Sprintf("%s %d", a.kind, resp.StatusCode))
}
