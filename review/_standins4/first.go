package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// startSpread is the time within which all machines start.
	startSpread = 300 * time.Millisecond
	// down is how long the killed process is down.
	down = 500 * time.Millisecond
	// lead is the time from the start of the machines to that of the traffic.
	lead = 10 * time.Second
	// callers is the number of clients of the mode first.
	callers = 12
)

// journal is the record of a run.
type journal struct {
	mu   sync.Mutex
	file *os.File
}

func (j *journal) add(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	if j.file != nil {
		_, _ = j.file.WriteString(line)
	}
}

// first starts all machines for the first time, within startSpread, and kills one seed meanwhile. It
// ends this process: with 1 if no request of the traffic is served, 0 if one is, and 2 if the case
// could not run.
func first(procs, fronts []*proc) {
	j := new(journal)
	if *records != "" {
		var err error
		if j.file, err = os.Create(*records); err != nil {
			fail("record: %v", err)
		}
	}
	began = time.Now()
	var wg sync.WaitGroup
	for i, p := range procs {
		wg.Go(func() {
			time.Sleep(startSpread * time.Duration(i) / time.Duration(len(procs)-1))
			p.start(true)
			j.add("%s starts, bootstrap true", p.name)
		})
	}
	if *killed > 0 {
		wg.Go(func() {
			p := procs[*killed-1]
			time.Sleep(time.Duration(*killMs) * time.Millisecond)
			<-p.signal(syscall.SIGKILL)
			j.add("%s, a seed, is killed", p.name)
			time.Sleep(down)
			p.start(false)
			j.add("%s starts again with its disk, bootstrap false", p.name)
		})
	}
	wg.Wait()
	var acked atomic.Bool
	end := began.Add(lead + time.Duration(*seconds)*time.Second)
	wg.Go(func() { sendFirst(j, end, &acked) })
	wg.Go(func() {
		for i := 0; i < callers; i++ {
			wg.Go(func() { call(fronts, rand.New(rand.NewSource(*seed+int64(i))), began.Add(lead), end) })
		}
	})
	for time.Now().Before(end) {
		time.Sleep(5 * time.Second)
		stats.Lock()
		j.add("configuration acknowledged: %v; answers so far: %v", acked.Load(), stats.ends)
		stats.Unlock()
	}
	wg.Wait()
	running := 0
	for _, p := range procs {
		select {
		case <-p.exited:
		default:
			running++
		}
		<-p.signal(syscall.SIGKILL)
	}
	sent, served := 0, 0
	for answer, n := range stats.ends {
		sent += n
		if strings.HasSuffix(answer, " 200") {
			served += n
		}
	}
	j.add("%d of %d processes ran to the end; %d requests sent, %d served; configuration acknowledged: %v", running, len(procs), sent, served, acked.Load())
	_ = os.RemoveAll(dir)
	switch {
	case sent == 0 || running < len(procs):
		j.add("the case could not run")
		os.Exit(2)
	case served == 0:
		j.add("BROKEN: no request is served")
		os.Exit(1)
	}
	j.add("held")
	os.Exit(0)
}

// sendFirst sends the first configuration until it is acknowledged.
func sendFirst(j *journal, end time.Time, acked *atomic.Bool) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last, pause := "", 100*time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		to := ip(1, 1+i%*ncore) + ":8229"
		outcome := ""
		resp, err := client.Post("http://"+to+"/Configuration.Replace", "application/json", bytes.NewReader(config()))
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			outcome = fmt.Sprintf("status %d %s", resp.StatusCode, bytes.TrimSpace(text))
			if resp.StatusCode == http.StatusOK {
				acked.Store(true)
				j.add("the operator sends the first configuration: %s", outcome)
				return
			}
		} else {
			outcome = "no answer"
		}
		if outcome != last {
			j.add("the operator sends the first configuration to %s: %s", to, outcome)
			last = outcome
		}
		time.Sleep(pause)
		pause = min(2*pause, 2*time.Second)
	}
}

// call sends requests from one client, each on a new connection, and counts the answers.
func call(fronts []*proc, rnd *rand.Rand, from, end time.Time) {
	time.Sleep(time.Until(from))
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Now().Before(end) {
		a := &attempt{id: fmt.Sprintf("%016x", rnd.Uint64()), method: http.MethodGet, kind: "idem", tenant: "t1", uri: fmt.Sprintf("/idem/%x", rnd.Intn(40)), bodySum: sum(nil), sentAt: time.Now()}
		attempts.Store(a.id, a)
		q, _ := http.NewRequest(a.method, "http://"+fronts[rnd.Intn(len(fronts))].ip+":8227"+a.uri, nil)
		q.Host = "h.example"
		q.Header.Set("X-Wigeonflow-Attempt-Id", a.id)
		q.Header.Set("X-Wigeonflow-Credential", "k1a")
		q.Header.Set("X-Wigeonflow-Deadline-Remaining", "1500")
		resp, err := client.Do(q)
		if err != nil {
			count("no answer")
		} else {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			count(fmt.Sprintf("status %d", resp.StatusCode))
		}
		time.Sleep(100 * time.Millisecond)
	}
}
