package load

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// target is one target of a run.
type target struct {
	Target
	rec    *recorder
	chats  *chatPool
	booked *bookings

	mu     sync.Mutex
	random *rand.Rand
	ready  []string // the addresses that are asked
}

// url returns one of the target's addresses, as a balancer would.
func (t *target) url() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ready[t.random.IntN(len(t.ready))]
}

// chatURL returns the address for a chat: a direct target has no router that
// would find its engine again.
func (t *target) chatURL(ch *chat) string {
	if !t.Direct {
		return t.url()
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(ch.id))
	return t.URLs[int(h.Sum32())%len(t.URLs)]
}

// kind draws the kind of the next request.
func (t *target) kind(cfg Config) (string, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	draw, n := t.random.Float64(), t.random.IntN(1000)
	switch {
	case t.Direct:
		return kindChat, n
	case draw < cfg.Lookups:
		return kindLookup, n
	case draw < cfg.Lookups+cfg.Bookings:
		return kindBooking, n
	}
	return kindChat, n
}

// Run runs the load and returns its report. It returns an error if the run
// couldn't be made or checked; broken promises stand in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := cfg.check(); err != nil {
		return Report{}, err
	}
	r := &runner{cfg: cfg, client: newClient(cfg)}
	defer r.client.http.CloseIdleConnections()
	booked := newBookings()
	for i, t := range cfg.Targets {
		r.targets = append(r.targets, &target{
			Target: t, rec: newRecorder(t.Label), chats: newChatPool(cfg, t.Label), booked: booked,
			random: rand.New(rand.NewPCG(cfg.Seed, uint64(i))), ready: t.URLs,
		})
		if cfg.Balance && !t.Direct {
			go r.targets[i].balance(ctx, r.client.http)
		}
	}
	report := r.phases(ctx)
	if cfg.Bookings > 0 {
		runs, err := r.client.fetchRuns(ctx)
		if err != nil {
			return report, err
		}
		booked.verify(runs)
	}
	for i, t := range r.targets {
		report.Targets[i].fill(t.rec)
	}
	report.Skew = r.skew
	return report, ctx.Err()
}

type runner struct {
	cfg     Config
	client  *client
	targets []*target
	started atomic.Int64
	skew    Skew // of the newest phase
}

// phases runs the targets together or one after the other.
func (r *runner) phases(ctx context.Context) Report {
	report := Report{Targets: make([]TargetReport, len(r.targets))}
	if !r.cfg.Sequence {
		elapsed, processor := r.phase(ctx, r.targets)
		for i := range report.Targets {
			report.Targets[i].elapsed, report.Targets[i].processor = elapsed, processor
			report.Targets[i].sharers = r.targets
		}
		return report
	}
	for i, t := range r.targets {
		r.started.Store(0)
		elapsed, processor := r.phase(ctx, []*target{t})
		report.Targets[i].elapsed, report.Targets[i].processor = elapsed, processor
		report.Targets[i].sharers = []*target{t}
	}
	return report
}

// phase loads the targets for the warm-up and the run's duration. It returns how
// long the latter was and the routers' processor time in it, or -1 where it isn't
// known.
func (r *runner) phase(ctx context.Context, targets []*target) (elapsed, processor time.Duration) {
	from := r.client.now() + r.cfg.Warmup
	w := window{from: from, to: from + r.cfg.Duration}
	for _, t := range targets {
		t.rec.measure(w)
	}
	loaded, cancel := context.WithCancel(ctx)
	measured := make(chan time.Duration, 1)
	go func() { measured <- r.processorIn(ctx, loaded, w) }()
	skew := make(chan Skew, 1)
	go func() {
		_ = sleepUntil(loaded, r.client.start.Add(w.from))
		// Not while the load ends: the mean falls below what has been admitted.
		full, cancel := context.WithDeadline(loaded, r.client.start.Add(w.to))
		defer cancel()
		skew <- r.client.watchSkew(full, r.cfg.Engines)
	}()
	r.load(ctx, targets, w)
	elapsed = min(r.client.now()-w.from, r.cfg.Duration)
	cancel()
	r.skew = <-skew
	return elapsed, <-measured
}

// processorIn returns the routers' processor time in the window, or -1 where it
// isn't known. The window ends early with the load.
func (r *runner) processorIn(ctx, loaded context.Context, w window) time.Duration {
	if !sleepUntil(loaded, r.client.start.Add(w.from)) {
		return -1
	}
	before, ok := r.client.processorTime(ctx)
	if !ok {
		return -1
	}
	_ = sleepUntil(loaded, r.client.start.Add(w.to))
	after, ok := r.client.processorTime(ctx)
	if !ok {
		return -1
	}
	return after - before
}

// rate is the open loop's rate at a time: it grows evenly during the warm-up.
func (r *runner) rate(at time.Duration, w window) float64 {
	if r.cfg.Warmup == 0 {
		return r.cfg.Rate
	}
	share := 1 - float64(w.from-at)/float64(r.cfg.Warmup)
	return r.cfg.Rate * min(max(share, leastShare), 1)
}

// leastShare of the rate is what a warm-up begins with.
const leastShare = 0.02

// load starts requests until the end of the window and waits for their answers.
func (r *runner) load(ctx context.Context, targets []*target, w window) {
	until, cancel := context.WithDeadline(ctx, r.client.start.Add(w.to))
	defer cancel()
	if r.cfg.Rate > 0 {
		r.openLoop(ctx, until, targets, w)
		return
	}
	r.closedLoop(ctx, until, targets)
}

// closedLoop keeps Concurrency requests in flight until the end.
func (r *runner) closedLoop(ctx, until context.Context, targets []*target) {
	var wg sync.WaitGroup
	for worker := range r.cfg.Concurrency {
		wg.Go(func() {
			for i := worker; until.Err() == nil && r.mayStart(); i++ {
				r.one(ctx, targets[i%len(targets)])
			}
		})
	}
	wg.Wait()
}

// openLoop starts requests at the rate, with exponential gaps, whatever becomes
// of them.
func (r *runner) openLoop(ctx, until context.Context, targets []*target, w window) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, r.cfg.Seed))
	places := make(chan struct{}, r.cfg.MaxInFlight)
	var wg sync.WaitGroup
	due := r.client.now()
	for i := 0; until.Err() == nil && r.mayStart(); i++ {
		due += time.Duration(random.ExpFloat64() / r.rate(due, w) * float64(time.Second))
		if !sleepUntil(until, r.client.start.Add(due)) {
			break
		}
		t := targets[i%len(targets)]
		select {
		case places <- struct{}{}:
			wg.Go(func() { r.one(ctx, t); <-places })
		default:
			t.rec.hold(due)
		}
	}
	wg.Wait()
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) mayStart() bool {
	return r.cfg.MaxRequests == 0 || r.started.Add(1) <= r.cfg.MaxRequests
}

// one makes one request of a kind that the target draws.
func (r *runner) one(ctx context.Context, t *target) {
	kind, n := t.kind(r.cfg)
	switch kind {
	case kindLookup:
		t.rec.add(r.client.lookup(ctx, t.url(), r.cfg.Keys[n%len(r.cfg.Keys)], n))
	case kindBooking:
		r.client.book(ctx, t, r.cfg.Keys[n%len(r.cfg.Keys)])
	default:
		r.oneChat(ctx, t)
	}
}

func (r *runner) oneChat(ctx context.Context, t *target) {
	ch := t.chats.take()
	if ch == nil {
		t.rec.hold(r.client.now())
		return
	}
	res := r.client.chat(ctx, t.chatURL(ch), ch)
	t.rec.add(res)
	t.chats.give(ch, res.check.expected, res.verdict == VerdictWhole)
}
