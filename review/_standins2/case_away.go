package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// awayAfterCrash: a replica ends and starts again a second later under its ID and address. For its
// first second it turns requests away with Retry-After. Without the trouble it turns them away for a
// second without an end. There is one front machine, since the replicas can't tell several by their
// loopback address.
func awayAfterCrash(trouble bool, record string) bool {
	l := newLab(record, 1, 4200)
	current = l
	defer l.close()
	var mu sync.Mutex
	told := map[string]time.Time{} // when a replica has first turned the machine away, of the latest time
	broken, most := 0, 0
	counts := map[string]int{}
	var replicas []*replica
	for i := range 4 {
		r := &replica{
			lab: l, key: fmt.Sprint("p", i), service: "press", addr: fmt.Sprintf("%s.4.%d:8463", l.net, 10+i), zone: []string{zoneA, zoneB}[i%2], slots: 64,
			sameID: true, work: stream(20*time.Millisecond, 10*time.Millisecond, 10),
		}
		r.arrived = func(a arrival, q *httpRequest) {
			mu.Lock()
			defer mu.Unlock()
			if a.away {
				l.note("replica %s answers request %s 503 with Retry-After %v", r.key, a.id, restFor)
				if told[r.key].IsZero() || time.Since(told[r.key]) > restFor {
					told[r.key], counts[r.key] = a.at, 0
				}
			}
			at := told[r.key]
			if at.IsZero() || a.at.Sub(at) <= 500*time.Millisecond || a.at.Sub(at) >= restFor {
				return
			}
			counts[r.key]++
			most = max(most, counts[r.key])
			if counts[r.key] == 3 {
				broken++
			}
			l.note("request %s reaches replica %s %.3f s after it has turned the machine away for %v", a.id, r.key, a.at.Sub(at).Seconds(), restFor)
		}
		r.start(false)
		replicas = append(replicas, r)
	}
	l.configure(engineConfig(7, 2, 0, 0))
	l.awaitReady()
	time.Sleep(2 * time.Second)
	c := &client{addr: l.fronts[0].front()}
	stop := make(chan struct{})
	answers := map[string]int{}
	var wg sync.WaitGroup
	wg.Go(func() {
		every(120, stop, func(int) {
			a := c.ask(note(fmt.Sprintf("a1:800,b%d:410", rand.IntN(64))))
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprint(a.status, " whole ", a.whole)]++
		})
	})
	time.Sleep(6 * time.Second)
	for i := range 4 {
		r := replicas[i]
		if trouble {
			l.note("replica %s ends (the disruption)", r.key)
			r.crash()
			time.Sleep(time.Second)
		}
		r.mu.Lock()
		r.awayUntil = time.Now().Add(time.Second)
		r.mu.Unlock()
		if trouble {
			r.start(false)
		}
		time.Sleep(9 * time.Second)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for k, n := range answers {
		l.note("answers: %s: %d", k, n)
	}
	l.note("%d times of 4 more than two requests reached a replica from the machine within the time for which it had turned it away; %d at most", broken, most)
	fmt.Printf("%d times of 4 more than two requests reached a replica that had turned the machine away; %d at most\n", broken, most)
	return broken == 0
}
