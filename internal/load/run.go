package load

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// target is the run-time state of one Target.
type target struct {
	Target
	rec      *recorder
	chats    *chatPool
	bookings *bookings

	mu     sync.Mutex
	random *rand.Rand
	ready  []string // the addresses that requests go to
}

// pickURL returns a random ready address, as a load balancer does.
func (t *target) pickURL() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ready[t.random.IntN(len(t.ready))]
}

// chatURL returns the address for a turn of a chat. For a direct target it is the
// same engine at every turn, since no router is there to find that engine again.
func (t *target) chatURL(ch *chat) string {
	if !t.Direct {
		return t.pickURL()
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(ch.id))
	return t.URLs[int(h.Sum32())%len(t.URLs)]
}

// drawKind draws the kind of the next request and a random number below 1,000, which
// selects its key and path. Requests to a direct target are always chats.
func (t *target) drawKind(cfg Config) (string, int) {
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

// Run generates the load and returns its report. It returns an error if cfg is invalid, if
// the runs of bookings could not be read, or if ctx ended. Violations are not an error:
// the report counts them.
func Run(ctx context.Context, cfg Config) (Report, error) {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := cfg.validate(); err != nil {
		return Report{}, err
	}
	r := &runner{cfg: cfg, client: newClient(cfg)}
	defer r.client.http.CloseIdleConnections()
	booked := newBookings()
	for i, t := range cfg.Targets {
		r.targets = append(r.targets, &target{
			Target: t, rec: newRecorder(t.Label), chats: newChatPool(cfg, t.Label), bookings: booked,
			random: rand.New(rand.NewPCG(cfg.Seed, uint64(i))), ready: t.URLs,
		})
		if cfg.Balance && !t.Direct {
			go r.targets[i].trackReadiness(ctx, r.client.http)
		}
	}
	report := r.runPhases(ctx)
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

// runner runs the phases of one run.
type runner struct {
	cfg     Config
	client  *client
	targets []*target
	started atomic.Int64 // requests of the current phase; counted if MaxRequests is set
	skew    Skew         // of the last phase
}

// runPhases loads all targets in one phase or, with Sequence, each in its own.
func (r *runner) runPhases(ctx context.Context) Report {
	report := Report{Targets: make([]TargetReport, len(r.targets))}
	if !r.cfg.Sequence {
		elapsed, processor := r.runPhase(ctx, r.targets)
		for i := range report.Targets {
			report.Targets[i].elapsed, report.Targets[i].processor = elapsed, processor
			report.Targets[i].phaseTargets = r.targets
		}
		return report
	}
	for i, t := range r.targets {
		r.started.Store(0)
		elapsed, processor := r.runPhase(ctx, []*target{t})
		report.Targets[i].elapsed, report.Targets[i].processor = elapsed, processor
		report.Targets[i].phaseTargets = []*target{t}
	}
	return report
}

// runPhase loads the targets for the warm-up and then for Duration. It returns the
// length of the measured part and the routers' processor time in it, or -1 if that
// is unknown.
func (r *runner) runPhase(ctx context.Context, targets []*target) (elapsed, processor time.Duration) {
	from := r.client.now() + r.cfg.Warmup
	w := window{from: from, to: from + r.cfg.Duration}
	for _, t := range targets {
		t.rec.setWindow(w)
	}
	loading, cancel := context.WithCancel(ctx)
	measured := make(chan time.Duration, 1)
	go func() { measured <- r.processorTimeIn(ctx, loading, w) }()
	skew := make(chan Skew, 1)
	go func() {
		_ = sleepUntil(loading, r.client.start.Add(w.from))
		// Sampling stops at the end of the window: while the last requests finish,
		// the mean falls below the one at which routers admitted them, so that the
		// ratio would grow although no router admitted too much.
		sampling, cancel := context.WithDeadline(loading, r.client.start.Add(w.to))
		defer cancel()
		skew <- r.client.sampleSkew(sampling, r.cfg.Engines)
	}()
	r.generateLoad(ctx, targets, w)
	elapsed = min(r.client.now()-w.from, r.cfg.Duration)
	cancel()
	r.skew = <-skew
	return elapsed, <-measured
}

// processorTimeIn returns the routers' processor time in the window, or -1 if it is
// unknown. The window ends early if loading, the context of the load, does.
func (r *runner) processorTimeIn(ctx, loading context.Context, w window) time.Duration {
	if !sleepUntil(loading, r.client.start.Add(w.from)) {
		return -1
	}
	before, ok := r.client.processorTime(ctx)
	if !ok {
		return -1
	}
	_ = sleepUntil(loading, r.client.start.Add(w.to))
	after, ok := r.client.processorTime(ctx)
	if !ok {
		return -1
	}
	return after - before
}

// rateAt returns the open loop's rate at a time, in requests a second. It grows linearly
// during the warm-up, from initialRateShare of Config.Rate.
func (r *runner) rateAt(at time.Duration, w window) float64 {
	if r.cfg.Warmup == 0 {
		return r.cfg.Rate
	}
	share := 1 - float64(w.from-at)/float64(r.cfg.Warmup)
	return r.cfg.Rate * min(max(share, initialRateShare), 1)
}

// initialRateShare is the share of Config.Rate that a warm-up starts with.
const initialRateShare = 0.02

// generateLoad starts requests until the end of the window and waits for their answers.
func (r *runner) generateLoad(ctx context.Context, targets []*target, w window) {
	until, cancel := context.WithDeadline(ctx, r.client.start.Add(w.to))
	defer cancel()
	if r.cfg.Rate > 0 {
		r.openLoop(ctx, until, targets, w)
		return
	}
	r.closedLoop(ctx, until, targets)
}

// closedLoop keeps Concurrency requests in flight until the context until ends. Requests
// go to the targets in turn.
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

// openLoop starts requests at the configured rate, with exponentially distributed gaps,
// whether or not earlier ones have been answered, until the context until ends. Above
// MaxInFlight it holds arrivals back.
func (r *runner) openLoop(ctx, until context.Context, targets []*target, w window) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, r.cfg.Seed))
	slots := make(chan struct{}, r.cfg.MaxInFlight)
	var wg sync.WaitGroup
	due := r.client.now()
	for i := 0; until.Err() == nil && r.mayStart(); i++ {
		due += time.Duration(random.ExpFloat64() / r.rateAt(due, w) * float64(time.Second))
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
	kind, n := t.drawKind(r.cfg)
	switch kind {
	case kindLookup:
		t.rec.add(r.client.sendLookup(ctx, t.pickURL(), r.cfg.Keys[n%len(r.cfg.Keys)], n))
	case kindBooking:
		r.client.sendBooking(ctx, t, r.cfg.Keys[n%len(r.cfg.Keys)])
	default:
		r.sendChat(ctx, t)
	}
}

// sendChat sends the next turn of an idle chat, or counts an arrival as held back if no
// chat is idle.
func (r *runner) sendChat(ctx context.Context, t *target) {
	ch := t.chats.acquire()
	if ch == nil {
		t.rec.addHeldBack(r.client.now())
		return
	}
	res := r.client.sendTurn(ctx, t.chatURL(ch), ch)
	t.rec.add(res)
	t.chats.release(ch, res.check.expected, res.verdict == VerdictComplete)
}
