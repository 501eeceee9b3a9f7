package plan

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// schedule runs one workspace's home and several borrowers on a virtual clock, with
// randomness from one seed, over a network that loses, duplicates and delays messages.
type schedule struct {
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	sequence int
	plan     lists.Plan
	off      options

	homes   []*Home // by router; only homes[home] is in use
	home    int     // index of the router that is home, or -1
	routers []*fakeRouter
	rate    float64 // arrivals per second over all routers
	service time.Duration
	tokens  int64 // estimate of each request

	loss, dup float64
	delay     time.Duration

	violations []string
	started    int
	rejected   int
	bytes      int
	messages   int
	// The checker's own counts, to compare with the plan's limits.
	level    float64
	levelAt  time.Duration
	inFlight int
	used     []tokenUse
	usedSum  int64
}

type tokenUse struct {
	at     time.Duration
	tokens int64
}

type fakeRouter struct {
	id           fleet.InstanceID
	boot         int
	borrower     *Borrower
	frozenUntil  time.Duration
	disconnected bool // from all others
	waiting      []waiter
	running      int
}

type waiter struct {
	tokens   int64
	deadline time.Duration
	fresh    bool // arrived at a frozen router, which hasn't called Start for it yet
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const workspace fleet.WorkspaceID = "choir"

func newSchedule(seed uint64, routers int, plan lists.Plan, off options) *schedule {
	plan.Name = "p"
	s := &schedule{
		rng: rand.New(rand.NewPCG(seed, 2)), now: time.Second, plan: plan, off: off,
		service: 3 * time.Second, tokens: 500, delay: time.Millisecond,
	}
	s.level, s.levelAt = burst(plan), s.now
	for i := range routers {
		r := &fakeRouter{id: fleet.InstanceID(fmt.Sprintf("router-%03d", i))}
		s.routers = append(s.routers, r)
		s.homes = append(s.homes, nil)
		s.restartRouter(i)
		s.every(50*time.Millisecond, func() { s.exchangeCredits(r) })
	}
	s.homes[0].ClaimNewWorkspace(s.now, workspace)
	s.after(0, s.scheduleArrivals)
	return s
}

func burst(p lists.Plan) float64 {
	if p.Burst == 0 {
		return max(p.RequestsPerSecond, 1)
	}
	return float64(p.Burst)
}

// restartRouter restarts router i, which cancels its requests.
func (s *schedule) restartRouter(i int) {
	r := s.routers[i]
	r.boot++
	s.inFlight -= r.running
	r.running, r.waiting = 0, nil
	r.borrower = NewBorrower(r.id, fleet.BootID(fmt.Sprint(r.boot)))
	s.homes[i] = NewHome(fleet.BootID(fmt.Sprint(r.id, r.boot)))
	s.homes[i].off = s.off
	s.homes[i].SetPlans(s.now, lists.Plans{Plans: []lists.Plan{s.plan}, Workspaces: []lists.Workspace{{ID: workspace, Plan: "p"}}})
}

func (s *schedule) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + d, s.sequence, run})
}

func (s *schedule) every(interval time.Duration, run func()) {
	s.after(interval, func() { run(); s.every(interval, run) })
}

func (s *schedule) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// recordViolation records an exceeded limit.
func (s *schedule) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// scheduleArrivals starts a request at a random router and schedules the next arrival.
func (s *schedule) scheduleArrivals() {
	r := s.routers[s.rng.IntN(len(s.routers))]
	s.tryStart(r, waiter{tokens: s.tokens, deadline: s.now + time.Second})
	s.after(time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second)), s.scheduleArrivals)
}

// tryStart tries to start one request; a frozen router does so when it resumes.
func (s *schedule) tryStart(r *fakeRouter, w waiter) {
	if s.now < r.frozenUntil {
		w.fresh = true
		r.waiting = append(r.waiting, w)
		return
	}
	switch a := r.borrower.Start(s.now, workspace, w.tokens); a.Kind {
	case Started:
		s.startRequest(r, a.Ticket)
	case Exhausted:
		if s.now+a.RetryAfter < w.deadline {
			s.after(a.RetryAfter, func() { s.tryStart(r, w) })
			return
		}
		s.rejected++
	case Wait:
		r.waiting = append(r.waiting, w)
		if q, ok := r.borrower.NextRequest(s.now, workspace); ok {
			s.sendRequest(r, q)
		}
	}
}

// startRequest runs a request and checks it against the plan's limits: a token bucket, the
// number of requests in flight and a sliding minute of tokens.
func (s *schedule) startRequest(r *fakeRouter, t Ticket) {
	s.started++
	s.level = min(s.level+s.plan.RequestsPerSecond*(s.now-s.levelAt).Seconds(), burst(s.plan))
	s.levelAt = s.now
	if s.level--; s.plan.RequestsPerSecond > 0 && s.level < -1e-6 {
		s.recordViolation("rate: %.1f requests above the limit", -s.level)
	}
	s.inFlight++
	r.running++
	if s.plan.Concurrency > 0 && s.inFlight > s.plan.Concurrency {
		s.recordViolation("concurrency: %d requests in flight, above the limit", s.inFlight)
	}
	s.countReserved(t)
	boot, d := r.boot, time.Duration((0.5+s.rng.Float64())*float64(s.service))
	s.after(d, func() {
		if r.boot != boot {
			return
		}
		s.inFlight--
		r.running--
		s.refundTokens(t)
		r.borrower.Settle(s.now, t, t.Reserved/2)
	})
}

// countReserved counts the request's reserved tokens as used and checks the sum of the
// last minute against the plan.
func (s *schedule) countReserved(t Ticket) {
	s.used = append(s.used, tokenUse{s.now, t.Reserved})
	s.usedSum += t.Reserved
	for len(s.used) > 0 && s.used[0].at <= s.now-time.Minute {
		s.usedSum -= s.used[0].tokens
		s.used = s.used[1:]
	}
	if s.plan.TokensPerMinute > 0 && s.usedSum > s.plan.TokensPerMinute {
		s.recordViolation("tokens: %d in a minute, above the limit", s.usedSum)
	}
}

// refundTokens reduces the checker's count for a request to the tokens that it used.
func (s *schedule) refundTokens(t Ticket) {
	for i := range s.used {
		if s.used[i].at == t.At && s.used[i].tokens == t.Reserved {
			s.used[i].tokens -= t.Reserved - t.Reserved/2
			s.usedSum -= t.Reserved - t.Reserved/2
			return
		}
	}
}

// exchangeCredits sends due requests for credits and retries waiting requests.
func (s *schedule) exchangeCredits(r *fakeRouter) {
	if s.now < r.frozenUntil {
		return
	}
	for _, q := range r.borrower.DueRequests(s.now, nil) {
		s.sendRequest(r, q)
	}
	s.retryWaiting(r)
}

// retryWaiting retries the router's waiting requests and abandons those whose deadline has
// passed.
func (s *schedule) retryWaiting(r *fakeRouter) {
	waiting := r.waiting
	r.waiting = nil
	for _, w := range waiting {
		switch {
		case w.fresh:
			w.fresh = false
			s.tryStart(r, w)
		case s.now > w.deadline:
			r.borrower.Abandon(workspace, w.tokens)
			s.rejected++
		default:
			s.retryRequest(r, w)
		}
	}
}

// retryRequest retries one waiting request, and asks the home for credits if it must go on
// waiting.
func (s *schedule) retryRequest(r *fakeRouter, w waiter) {
	a := r.borrower.Retry(s.now, workspace, w.tokens)
	if a.Kind == Started {
		s.startRequest(r, a.Ticket)
		return
	}
	r.waiting = append(r.waiting, w)
	if a.RetryAfter > 0 {
		return
	}
	if q, ok := r.borrower.NextRequest(s.now, workspace); ok {
		s.sendRequest(r, q)
	}
}

// sendRequest sends a request to the home and the reply back.
func (s *schedule) sendRequest(r *fakeRouter, q BorrowRequest) {
	raw, _ := q.MarshalMsg(nil)
	s.bytes += len(raw)
	s.messages++
	boot := r.boot
	s.transmit(r, func() {
		if s.home < 0 {
			return
		}
		var got BorrowRequest
		if _, err := got.UnmarshalMsg(raw); err != nil {
			s.recordViolation("cannot unmarshal BorrowRequest: %v", err)
			return
		}
		reply := s.homes[s.home].Borrow(s.now, got)
		answer, _ := reply.MarshalMsg(nil)
		s.bytes += len(answer)
		s.messages++
		s.transmit(r, func() {
			if r.boot == boot {
				s.deliverReply(r, reply)
			}
		})
	})
}

// deliverReply passes a reply to the borrower, or holds it until a frozen router resumes.
func (s *schedule) deliverReply(r *fakeRouter, reply BorrowReply) {
	if s.now < r.frozenUntil {
		boot := r.boot
		s.after(r.frozenUntil-s.now, func() {
			if r.boot == boot {
				s.deliverReply(r, reply)
			}
		})
		return
	}
	r.borrower.HandleReply(s.now, reply)
	s.retryWaiting(r)
}

// transmit delivers a message after a delay, and may lose or duplicate it.
func (s *schedule) transmit(r *fakeRouter, run func()) {
	if r.disconnected || s.rng.Float64() < s.loss {
		return
	}
	delay := func() time.Duration { return time.Duration((0.5 + s.rng.ExpFloat64()) * float64(s.delay)) }
	s.after(delay(), run)
	if s.rng.Float64() < s.dup {
		s.after(delay()+time.Duration(s.rng.Float64()*float64(3*time.Second)), run)
	}
}

// moveHome makes another router the home, either with a handover of the usage record or
// after the former home was lost.
func (s *schedule) moveHome(to int, planned bool) {
	from := s.home
	if to == from || from < 0 {
		return
	}
	if planned {
		record, _ := s.homes[from].Release(s.now, workspace)
		s.home = to
		s.homes[to].ClaimWithRecord(s.now, record)
		return
	}
	s.home = -1
	s.restartRouter(from)
	s.after(3*time.Second, func() { // time until the session lease has expired
		s.home = to
		var peers []fleet.InstanceID
		for _, r := range s.routers {
			peers = append(peers, r.id)
		}
		s.homes[to].ClaimWithoutRecord(s.now, workspace, peers)
		s.homes[to].RecordLost(s.now, s.routers[from].id)
	})
}
