package load

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// target is the run-time state of one target.
type target struct {
	Target
	rec    *recorder
	chats  *chatPool
	booked *bookings

	mu     sync.Mutex
	random *rand.Rand
	ready  []string // the addresses that requests go to
}

// url returns a random ready address, as a load balancer would.
func (t *target) url() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ready[t.random.IntN(len(t.ready))]
}

// chatURL returns the address for a turn of a chat. For a direct target it is the
// same engine at every turn, since no router is there to find that engine again.
func (t *target) chatURL(ch *chat) string {
	if !t.Direct {
		return t.url()
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(ch.id))
	return t.URLs[int(h.Sum32())%len(t.URLs)]
}

// kind draws the kind of the next request and a random number below 1,000, which
// selects its key and path.
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

// Run generates the load and returns its report. It returns an error if the run
// could not be made or checked; violations are counted in the report.
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
	skew    Skew // of the last phase
}

// phases loads all targets in one phase or, with Sequence, each in its own.
func (r *runner) phases(ctx context.Context) Report {
	report := Report{Targets: make([]TargetReport, len(r.targets))}
	if !r.cfg.Sequence {
		elapsed, processor := r.phase(ctx, r.targets)
		for i := range report.Targets {
			report.Targets[i].elapsed, report.Targets[i].processor = elapsed, processor
			report.Targets[i].phaseTargets = r.targets
		}
		return report
	}
	for i, t := range r.targets {
		r.started.Store(0)
		elapsed, processor := r.phase(ctx, []*target{t})
		report.Targets[i].elapsed, report.Targets[i].processor = elapsed, processor
		report.Targets[i].phaseTargets = []*target{t}
	}
	return report
}

// phase loads the targets for the warm-up and then for Duration. It returns the
// length of the measured part and the routers' processor time in it, or -1 if that
// is unknown.
func (r *runner) phase(ctx context.Context, targets []*target) (elapsed, processor time.Duration) {
	from := r.client.now() + r.cfg.Warmup
	w := window{from: from, to: from + r.cfg.Duration}
	for _, t := range targets {
		t.rec.setWindow(w)
	}
	loaded, cancel := context.WithCancel(ctx)
	measured := make(chan time.Duration, 1)
	go func() { measured <- r.processorTimeIn(ctx, loaded, w) }()
	skew := make(chan Skew, 1)
	go func() {
		_ = sleepUntil(loaded, r.client.start.Add(w.from))
		// Sampling stops when the load starts to end: from then on the mean falls
		// below the load that routers admitted requests at.
		full, cancel := context.WithDeadline(loaded, r.client.start.Add(w.to))
		defer cancel()
		skew <- r.client.sampleSkew(full, r.cfg.Engines)
	}()
	r.load(ctx, targets, w)
	elapsed = min(r.client.now()-w.from, r.cfg.Duration)
	cancel()
	r.skew = <-skew
	return elapsed, <-measured
}

// processorTimeIn returns the routers' processor time in the window, or -1 if it is
// unknown. The window ends early if the load does.
func (r *runner) processorTimeIn(ctx, loaded context.Context, w window) time.Duration {
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

// rate returns the open loop's rate in requests a second. It grows linearly during
// the warm-up.
func (r *runner) rate(at time.Duration, w window) float64 {
	if r.cfg.Warmup == 0 {
		return r.cfg.Rate
	}
	share := 1 - float64(w.from-at)/float64(r.cfg.Warmup)
	return r.cfg.Rate * min(max(share, initialRateShare), 1)
}

// initialRateShare is the share of the rate that a warm-up starts with.
const initialRateShare = 0.02

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

// closedLoop keeps Concurrency requests in flight until the context until ends.
func (r *runner) closedLoop(ctx, until context.Context, targets []*target) {
	var wg sync.WaitGroup
	for worker := range r.cfg.Concurrency {
		wg.Go(func() {
			for i := worker; until.Err() == nil && r.mayStart(); i++ {
				r.sendOne(ctx, targets[i%len(targets)])
			}
		})
	}
	wg.Wait()
}

// openLoop starts requests at the rate, with exponentially distributed gaps, no
// matter whether earlier ones have been answered. Above MaxInFlight it holds
// requests back.
func (r *runner) openLoop(ctx, until context.Context, targets []*target, w window) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, r.cfg.Seed))
	slots := make(chan struct{}, r.cfg.MaxInFlight)
	var wg sync.WaitGroup
	due := r.client.now()
	for i := 0; until.Err() == nil && r.mayStart(); i++ {
		due += time.Duration(random.ExpFloat64() / r.rate(due, w) * float64(time.Second))
		if !sleepUntil(until, r.client.start.Add(due)) {
			break
		}
		t := targets[i%len(targets)]
		select {
		case slots <- struct{}{}:
			wg.Go(func() { r.sendOne(ctx, t); <-slots })
		default:
			t.rec.addHeldBack(due)
		}
	}
	wg.Wait()
}

// sleepUntil sleeps until due. It returns false if ctx ended first.
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

// mayStart counts a request and reports whether it is within MaxRequests.
func (r *runner) mayStart() bool {
	return r.cfg.MaxRequests == 0 || r.started.Add(1) <= r.cfg.MaxRequests
}

// sendOne sends one request of a random kind, or a booking and its repeats, and
// records the result.
func (r *runner) sendOne(ctx context.Context, t *target) {
	kind, n := t.kind(r.cfg)
	switch kind {
	case kindLookup:
		t.rec.add(r.client.lookup(ctx, t.url(), r.cfg.Keys[n%len(r.cfg.Keys)], n))
	case kindBooking:
		r.client.book(ctx, t, r.cfg.Keys[n%len(r.cfg.Keys)])
	default:
		r.sendChat(ctx, t)
	}
}

func (r *runner) sendChat(ctx context.Context, t *target) {
	ch := t.chats.acquire()
	if ch == nil {
		t.rec.addHeldBack(r.client.now())
		return
	}
	res := r.client.chat(ctx, t.chatURL(ch), ch)
	t.rec.add(res)
	t.chats.release(ch, res.check.expected, res.verdict == VerdictComplete)
}
