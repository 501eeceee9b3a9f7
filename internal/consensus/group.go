package consensus

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Clock is a monotonic clock that keeps running while the computer is suspended.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Config configures a Group. Fields that have a default may stay zero.
type Config struct {
	// Group is the name of the group, the same on all of its members.
	Group string
	ID    MemberID
	Addr  string // mesh address at which other members reach this one
	// Dir is the path of the data directory. Disk replaces it if set.
	Dir  string
	Disk Disk
	// Peers are the initial members of the group, including this one; none means a
	// group of one. A joining member lists members to which it sends hellos.
	Peers []Peer
	// AcceptChangedFileIDs accepts a data directory whose files have other inode numbers
	// than when it was formatted, because no inode number is recorded. It must have the
	// same value at every start: a directory that was formatted with the other value is
	// rejected.
	AcceptChangedFileIDs bool
	// Bootstrap lets members without a log form the group. Without it, a member
	// with an empty data directory waits to be added as a learner.
	Bootstrap bool
	// Initial marks a member that waits to be added although it starts together with the
	// group, see MemberSet.InitialSize.
	Initial           bool
	ElectionTimeout   time.Duration // default DefaultElectionTimeout
	Heartbeat         time.Duration // default DefaultHeartbeat
	ClockDrift        float64       // default DefaultClockDrift
	SnapshotThreshold uint64        // entries; default DefaultSnapshotThreshold
	Machine           StateMachine
	Transport         Transport
	Logger            hclog.Logger     // default: none
	Metrics           metrics.Registry // default: none
	Clock             Clock            // default: the system's
	Rand              *rand.Rand       // default: seeded by the system
}

const (
	inboxSize        = 4096
	requestQueueSize = 4096
	maxBatch         = 1024 // messages and requests between two syncs
)

// Leadership states whether this member is the leader, and in which term.
// While Leading, every entry that was committed in earlier terms has been applied.
type Leadership struct {
	Leading bool
	Term    uint64
}

// Group is one running member. Its methods are safe for concurrent use.
type Group struct {
	cfg        Config
	log        hclog.Logger
	meters     meters
	origin     time.Time
	replica    *replica // used only by the goroutine of run
	inbox      chan Message
	requests   chan func(now time.Duration)
	leadership chan Leadership
	published  Leadership
	haltedAt   time.Duration // when the member halted; only valid while halted is set
	halted     bool
	lease      atomic.Pointer[Lease] // nil without a lease
	leader     atomic.Pointer[knownLeader]
	stop       chan struct{}
	stopOnce   sync.Once
	done       chan struct{}
	failure    error // set before done is closed
	closeErr   error // set before done is closed
}

// Start opens the data directory and runs the member. It returns a *CorruptError or
// a *ForeignStoreError if the directory must not be used. While the directory has no space
// left, at the start or later, the member takes no part in the group: it knows the leader, but
// rejects every proposal, read and change.
func Start(cfg Config) (*Group, error) {
	if err := cfg.applyDefaults(); err != nil {
		return nil, err
	}
	disk := cfg.Disk
	if disk == nil {
		var err error
		if disk, err = openDirLater(cfg.Dir, OpenDir); err != nil {
			return nil, storageError(err, "open", cfg.Dir)
		}
	}
	if cfg.AcceptChangedFileIDs {
		disk = unstableFileIDs{disk}
	}
	g := &Group{
		cfg: cfg, log: cfg.Logger, origin: cfg.Clock.Now(), meters: newMeters(cfg.Metrics),
		inbox: make(chan Message, inboxSize), requests: make(chan func(time.Duration), requestQueueSize),
		leadership: make(chan Leadership, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	r, err := openReplica(0, disk, cfg.Group, cfg.options(), cfg.Machine, cfg.Transport)
	if err != nil {
		disk.Close()
		return nil, err
	}
	r.snapshotThreshold = cfg.SnapshotThreshold
	r.beforeSend = g.publishLease
	g.replica = r
	g.leader.Store(&knownLeader{changed: make(chan struct{})})
	g.log.Info("member started", "member", cfg.ID, "store", r.store.id, "term", r.core.hard.Term, "last", r.core.log.last())
	go g.run()
	return g, nil
}

func (c *Config) applyDefaults() error {
	if c.ID == "" || c.Machine == nil || c.Transport == nil {
		return ErrSettings.New("the Config of member %q lacks an ID, a Machine or a Transport", c.ID)
	}
	if c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = DefaultSnapshotThreshold
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Clock == nil {
		c.Clock = systemClock{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return nil
}

func (c *Config) options() Options {
	return Options{
		ID: c.ID, Addr: c.Addr, Peers: c.Peers, Bootstrap: c.Bootstrap, Initial: c.Initial,
		ElectionTimeout: c.ElectionTimeout, Heartbeat: c.Heartbeat,
		ClockDrift: c.ClockDrift, Rand: c.Rand,
	}
}

// systemClock includes the time for which the computer is suspended: a lease must
// expire for its holder when it expires for all others.
type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Unix(0, int64(fleet.SinceBoot())) }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (g *Group) now() time.Duration { return g.cfg.Clock.Now().Sub(g.origin) }

// run is the member's only goroutine. Messages and requests that arrive during a
// sync share the next one.
func (g *Group) run() {
	defer close(g.done)
	var timer <-chan time.Time
	var timerDeadline time.Duration
	for {
		if err := g.advance(); err != nil {
			g.fail(err)
			return
		}
		if d := g.replica.core.Deadline(); timer == nil || d < timerDeadline {
			timerDeadline = d
			timer = g.cfg.Clock.After(d - g.now())
		}
		select {
		case <-g.stop:
			g.shutDown(ErrClosed.New("the member was stopped"))
			return
		case m := <-g.inbox:
			g.replica.core.Step(g.now(), m)
		case request := <-g.requests:
			request(g.now())
		case <-timer:
			timer = nil
		}
		g.handleQueued()
	}
}

// handleQueued handles up to maxBatch messages and requests that are queued.
func (g *Group) handleQueued() {
	for range maxBatch {
		select {
		case m := <-g.inbox:
			g.replica.core.Step(g.now(), m)
		case request := <-g.requests:
			request(g.now())
		default:
			return
		}
	}
}

// advance runs due timers, processes the core's output, and publishes the lease and
// the leadership.
func (g *Group) advance() error {
	now := g.now()
	g.replica.core.Tick(now)
	err := g.replica.processReady(now)
	g.publishState()
	g.logStorage(now)
	return err
}

// logStorage logs that the member has halted, or takes part in the group again.
func (g *Group) logStorage(now time.Duration) {
	r := g.replica
	if halted := r.storageFailure != nil; halted == g.halted {
		return
	}
	g.halted = !g.halted
	if g.halted {
		g.haltedAt = now
		g.log.Error("data directory has no space left; the member takes no part in the group until it has", "member", g.cfg.ID, "term", r.core.hard.Term, "retry", storageRetryInterval.String(), "error", r.storageFailure)
		return
	}
	g.log.Info("data directory has space again; the member follows with what is on disk", "member", g.cfg.ID, "term", r.core.hard.Term, "last", r.core.log.last(), "applied", r.applied, "halted", (now - g.haltedAt).String())
}

// publishLease makes the lease visible to other goroutines. It is called before any
// message is sent, so that a released lease is withdrawn before another member is
// asked to start an election.
func (g *Group) publishLease() {
	core := g.replica.core
	until, ok := core.LeaseUntil()
	if !ok {
		g.lease.Store(nil)
		return
	}
	g.lease.Store(&Lease{Term: core.hard.Term, Until: g.origin.Add(until)})
}

// publishState publishes the lease, the metrics and a change of the leadership.
func (g *Group) publishState() {
	core := g.replica.core
	g.publishLease()
	g.meters.recordState(g.replica)
	defer g.publishLeader()
	leads := core.role == RoleLeader && core.log.applied >= core.leadership.termStart
	next := Leadership{Leading: leads, Term: core.hard.Term}
	if next == g.published || (!leads && !g.published.Leading) {
		return
	}
	g.published = next
	g.log.Info("leadership changed", "leading", leads, "term", next.Term)
	select {
	case <-g.leadership: // replace an unread change by the newest one
	default:
	}
	g.leadership <- next
}

// fail stops the member. Err then returns err.
func (g *Group) fail(err error) {
	g.log.Error("member stopped", "error", err)
	g.failure = err
	g.replica.store.discardUnsynced()
	g.shutDown(err)
}

func (g *Group) shutDown(cause error) {
	g.lease.Store(nil)
	g.closeErr = g.replica.stop(cause)
	g.replica.core.Halt()
	g.replica.core.leader = "" // a stopped member doesn't learn of the next one
	g.publishState()
}

// Receive queues a message from another member. It never blocks: if the inbox is
// full, the message is dropped.
func (g *Group) Receive(m Message) {
	select {
	case g.inbox <- m:
	default:
		g.meters.dropped.Inc(1)
	}
}

// Lease is a leader's proof of its leadership.
type Lease struct {
	Term uint64
	// Until is the end of the lease. No other member can become leader before it,
	// unless this one transfers its leadership. The duration of anything granted under
	// a lease must therefore be counted from an instant before the lease was read: the
	// holder of a session lease counts it from sending the renewal.
	Until time.Time
	// Remaining is the time from reading the lease to Until.
	Remaining time.Duration
}

// LeaderLease returns the current leader lease; ok is false if this member has
// none. Check the clock again directly before acting on it: the process may have
// been suspended in between.
func (g *Group) LeaderLease() (lease Lease, ok bool) {
	l := g.lease.Load()
	if l == nil {
		return Lease{}, false
	}
	lease = *l
	lease.Remaining = l.Until.Sub(g.origin) - g.now()
	return lease, lease.Remaining > 0
}

// LeadershipChanges returns the channel of leadership changes. It holds only the
// newest change; a slow reader misses the ones in between.
func (g *Group) LeadershipChanges() <-chan Leadership { return g.leadership }

// knownLeader is the address of the leader that a member knows.
type knownLeader struct {
	addr    string        // empty for none
	changed chan struct{} // closed once another one is known
}

// KnownLeader returns the address of the leader that this member knows, and a channel that is
// closed when that changes. It is empty while there is none, or while it is this member but has
// not applied the entries of earlier terms.
func (g *Group) KnownLeader() (addr string, changed <-chan struct{}) {
	known := g.leader.Load()
	return known.addr, known.changed
}

// publishLeader publishes a change of the known leader.
func (g *Group) publishLeader() {
	core, known := g.replica.core, g.leader.Load()
	addr := core.memberAddr(core.leader)
	if core.role == RoleLeader && !g.published.Leading {
		addr = ""
	}
	if addr == known.addr {
		return
	}
	g.leader.Store(&knownLeader{addr: addr, changed: make(chan struct{})})
	close(known.changed)
}

// Done is closed when the member has stopped, by Close or by a failure.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err returns the failure that stopped the member, once Done is closed.
func (g *Group) Err() error {
	<-g.done
	return g.failure
}

// Close stops the member and releases the data directory.
func (g *Group) Close() error {
	g.stopOnce.Do(func() { close(g.stop) })
	<-g.done
	return g.closeErr
}

// outcome is the result of a request to the goroutine of run.
type outcome struct {
	result []byte
	err    error
}

// Propose appends a command to the log and returns the state machine's result.
//
// A *NotLeaderError or *NotProposedError means that the command certainly isn't
// committed; an *UnknownOutcomeError means that it may be, now or later.
func (g *Group) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	return g.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		g.replica.propose(now, command, done)
	})
}

// submit passes a request to the goroutine of run and waits for its result.
func (g *Group) submit(ctx context.Context, f func(time.Duration, func([]byte, error))) ([]byte, error) {
	results := make(chan outcome, 1)
	request := func(now time.Duration) {
		if err := ctx.Err(); err != nil {
			results <- outcome{nil, &NotProposedError{Cause: err}}
			return
		}
		f(now, func(result []byte, err error) { results <- outcome{result, err} })
	}
	select {
	case g.requests <- request:
	case <-ctx.Done():
		return nil, &NotProposedError{Cause: ctx.Err()}
	case <-g.done:
		return nil, &NotProposedError{Cause: ErrClosed.New("the member has stopped")}
	}
	select {
	case o := <-results:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &UnknownOutcomeError{Cause: ctx.Err()}
	case <-g.done:
		return g.finalResult(results)
	}
}

// finalResult returns a result that arrived just before the member stopped. A
// request that has no result by then was never handled, so it was not proposed.
func (g *Group) finalResult(results chan outcome) ([]byte, error) {
	select {
	case o := <-results:
		return o.result, o.err
	default:
		return nil, &NotProposedError{Cause: ErrClosed.New("the member has stopped")}
	}
}

// Barrier returns once every command that was committed before the call is
// applied here, so that a subsequent read of the state machine is linearizable. On
// other members than the leader it returns a *NotLeaderError.
func (g *Group) Barrier(ctx context.Context) error {
	_, err := g.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		g.replica.registerRead(now, func(err error) { done(nil, err) })
	})
	return err
}
