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

// Clock tells the time. Its times never step and go on while the machine is
// suspended.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Config sets up a Group. Fields that have a default may stay zero.
type Config struct {
	// Group names the group; all of its members are set up with the same name.
	Group string
	ID    MemberID
	Addr  string // mesh address that other members reach this one at
	// Dir is the data folder. Disk replaces it when set.
	Dir  string
	Disk Disk
	// Peers are the members that the group is formed from, this one included;
	// none means a group of one. A member that joins names members to ask.
	Peers []Peer
	// RenumberedFiles accepts a data folder whose files have other inode numbers
	// than when it was formatted.
	RenumberedFiles bool
	// Bootstrap lets members without a log form the group. Without it, an empty
	// data folder waits to be added as a learner.
	Bootstrap         bool
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
	inboxSize    = 4096
	requestQueue = 4096
	maxBatch     = 1024 // messages and requests between two syncs
)

// Leadership tells that this member began or ceased to lead. While Leading, every
// entry that was committed in earlier terms has been applied.
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
	replica    *replica // used by the goroutine of run only
	inbox      chan Message
	requests   chan func(now time.Duration)
	leadership chan Leadership
	told       Leadership
	lease      atomic.Pointer[Lease] // nil without a lease
	stop       chan struct{}
	stopOnce   sync.Once
	done       chan struct{}
	failure    error // set before done is closed
	closeErr   error // set before done is closed
}

// Start opens the data folder and runs the member. It returns a *CorruptError or
// *ForeignStoreError when the folder must not be used.
func Start(cfg Config) (*Group, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	disk := cfg.Disk
	if disk == nil {
		var err error
		if disk, err = OpenFolder(cfg.Dir); err != nil {
			return nil, storageError(err, "open", cfg.Dir)
		}
	}
	if cfg.RenumberedFiles {
		disk = renumbered{disk}
	}
	g := &Group{
		cfg: cfg, log: cfg.Logger, origin: cfg.Clock.Now(), meters: newMeters(cfg.Metrics),
		inbox: make(chan Message, inboxSize), requests: make(chan func(time.Duration), requestQueue),
		leadership: make(chan Leadership, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	r, err := openReplica(0, disk, cfg.Group, cfg.options(), cfg.Machine, cfg.Transport)
	if err != nil {
		disk.Close()
		return nil, err
	}
	r.threshold = cfg.SnapshotThreshold
	r.decided = g.publishLease
	g.replica = r
	g.log.Info("member started", "member", cfg.ID, "store", r.store.id, "term", r.core.hard.Term, "last", r.core.log.last())
	go g.run()
	return g, nil
}

func (c *Config) complete() error {
	if c.ID == "" || c.Machine == nil || c.Transport == nil {
		return ErrSettings.New("a member needs an ID, a state machine and a transport")
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
		ID: c.ID, Addr: c.Addr, Peers: c.Peers, Bootstrap: c.Bootstrap,
		ElectionTimeout: c.ElectionTimeout, Heartbeat: c.Heartbeat,
		ClockDrift: c.ClockDrift, Rand: c.Rand,
	}
}

// systemClock counts the time in which the machine is suspended: a lease must
// end for its holder when it ends for everybody else.
type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Unix(0, int64(fleet.SinceBoot())) }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (g *Group) now() time.Duration { return g.cfg.Clock.Now().Sub(g.origin) }

// run is the member's only goroutine. Whatever has arrived by the time that a
// sync ends shares the next one.
func (g *Group) run() {
	defer close(g.done)
	var timer <-chan time.Time
	var armed time.Duration
	for {
		if err := g.advance(); err != nil {
			g.fail(err)
			return
		}
		if d := g.replica.core.Deadline(); timer == nil || d < armed {
			armed = d
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
		g.drain()
	}
}

// drain takes in what else has arrived.
func (g *Group) drain() {
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

// advance carries out what is due and publishes the lease and the leadership.
func (g *Group) advance() error {
	now := g.now()
	g.replica.core.Tick(now)
	err := g.replica.process(now)
	g.publish()
	return err
}

// publishLease tells other goroutines about the lease. It is called before any
// message leaves, so that a lease that is given up is gone before another member
// is asked to take over.
func (g *Group) publishLease() {
	core := g.replica.core
	until, ok := core.LeaseUntil()
	if !ok {
		g.lease.Store(nil)
		return
	}
	g.lease.Store(&Lease{Term: core.hard.Term, Until: g.origin.Add(until)})
}

func (g *Group) publish() {
	core := g.replica.core
	g.publishLease()
	g.meters.update(g.replica)
	leads := core.role == RoleLeader && core.log.applied >= core.leadership.termStart
	next := Leadership{Leading: leads, Term: core.hard.Term}
	if next == g.told || (!leads && !g.told.Leading) {
		return
	}
	g.told = next
	g.log.Info("leadership changed", "leading", leads, "term", next.Term)
	select {
	case <-g.leadership: // the newest one replaces one that nobody has read
	default:
	}
	g.leadership <- next
}

func (g *Group) fail(err error) {
	g.log.Error("member stopped", "error", err)
	g.failure = err
	g.shutDown(err)
}

func (g *Group) shutDown(cause error) {
	g.lease.Store(nil)
	g.closeErr = g.replica.stop(cause)
}

// Receive takes in a message from another member. It never blocks: a message
// that finds the inbox full is dropped.
func (g *Group) Receive(m Message) {
	select {
	case g.inbox <- m:
	default:
		g.meters.dropped.Inc(1)
	}
}

// Lease is a leader's proof that it leads.
type Lease struct {
	Term uint64
	// Until is the end: before it no other member can begin to lead, unless this
	// one hands its leadership over. Whatever is done under a lease must therefore
	// count from before the lease was looked at, as a session does whose holder
	// counts from the sending of its renewal.
	Until time.Time
	// Left is the time to Until at the moment of the look.
	Left time.Duration
}

// LeaderLease returns until when this member can prove to lead, and in which
// term; ok is false when it can't now. Look at the clock again right before
// acting on it: the process may have been stopped in between.
func (g *Group) LeaderLease() (lease Lease, ok bool) {
	l := g.lease.Load()
	if l == nil {
		return Lease{}, false
	}
	lease = *l
	lease.Left = l.Until.Sub(g.origin) - g.now()
	return lease, lease.Left > 0
}

// LeadershipChanges returns the channel that tells of changes. It holds the
// newest change only; a reader that is late misses those in between.
func (g *Group) LeadershipChanges() <-chan Leadership { return g.leadership }

// Done is closed when the member has stopped, by Close or by a failure.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err returns why the member stopped by itself, once Done is closed.
func (g *Group) Err() error {
	<-g.done
	return g.failure
}

// Close stops the member and releases the data folder.
func (g *Group) Close() error {
	g.stopOnce.Do(func() { close(g.stop) })
	<-g.done
	return g.closeErr
}

type outcome struct {
	result []byte
	err    error
}

// Propose appends a command to the log and returns the state machine's answer.
//
// A *NotLeaderError or *NotProposedError means that the command certainly isn't
// committed; an *UnknownOutcomeError that it may be, now or later.
func (g *Group) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	return g.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		g.replica.propose(now, command, done)
	})
}

// submit hands a request to the goroutine and waits for its answer.
func (g *Group) submit(ctx context.Context, f func(time.Duration, func([]byte, error))) ([]byte, error) {
	answer := make(chan outcome, 1)
	request := func(now time.Duration) {
		if err := ctx.Err(); err != nil {
			answer <- outcome{nil, &NotProposedError{Cause: err}}
			return
		}
		f(now, func(result []byte, err error) { answer <- outcome{result, err} })
	}
	select {
	case g.requests <- request:
	case <-ctx.Done():
		return nil, &NotProposedError{Cause: ctx.Err()}
	case <-g.done:
		return nil, &NotProposedError{Cause: ErrClosed.New("the member has stopped")}
	}
	select {
	case o := <-answer:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &UnknownOutcomeError{Cause: ctx.Err()}
	case <-g.done:
		return g.lastAnswer(answer)
	}
}

// lastAnswer prefers an answer that came just before the member stopped. A
// request that the goroutine never took was not proposed.
func (g *Group) lastAnswer(answer chan outcome) ([]byte, error) {
	select {
	case o := <-answer:
		return o.result, o.err
	default:
		return nil, &NotProposedError{Cause: ErrClosed.New("the member has stopped")}
	}
}

// Barrier returns once every command that was committed before the call is
// applied here, so that a read of the state machine that follows is linearizable.
// Only the leader can tell; others return a *NotLeaderError.
func (g *Group) Barrier(ctx context.Context) error {
	_, err := g.submit(ctx, func(now time.Duration, done func([]byte, error)) {
		g.replica.read(now, func(err error) { done(nil, err) })
	})
	return err
}
