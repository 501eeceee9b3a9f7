package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/wigeonflow/wigeonflow/internal/control"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

const (
	// minRenewPause is the minimum time between renewals.
	minRenewPause = 20 * time.Millisecond
	// heldBackInterval is the time between renewals while requests wait for a load
	// bound that newer pool mean loads may raise.
	heldBackInterval = 200 * time.Millisecond
	// relaysAge is the age from which on the relays that the control group has named are asked
	// for again.
	relaysAge = 5 * time.Second
)

// Config configures a Keeper.
type Config struct {
	Self    fleet.Member
	Session session.Settings
	Clock   fleet.Clock
	Control *control.Client
	// Server serves changes of the configuration to other routers, and Pool reads them
	// from other routers. Each may be nil: without Server this router serves none,
	// without Pool it reads them only from the control group.
	Server *mesh.Server
	Pool   *mesh.Pool
	// Guard confines panics of what peers send, and stops the process after others; nil lets
	// them end it.
	Guard  *fleet.Guard
	Logger hclog.Logger
	// Owner returns the member that owns a key.
	Owner session.OwnerFunc
	// InForce returns the configuration version that the router acts on. The control
	// leader relies on it: it grants no lease to a router whose version is older than
	// the session's ConfigGrace allows.
	InForce func() fleet.ConfigVersion
	// Loads returns the router's in-flight requests by pool; nil means that there
	// are none.
	Loads func() []session.PoolLoad
	// HeldBackByBound reports whether requests wait for newer pool mean loads; nil means
	// never.
	HeldBackByBound func() bool
	// OnSessionChange is called after a reply changed the membership, the settled epoch
	// or the validity of the lease; it may be nil.
	OnSessionChange func()
	// OnPoolMeans is called after each accepted reply with the fleet's loads summed by
	// pool, and with the loads that the request reported; it may be nil.
	OnPoolMeans func(means []session.PoolMean, own []session.PoolLoad)
	// OnConfig is called after the View's version has increased.
	OnConfig func()
	// OnConfirmed is called after each increase of ConfirmedAt; it may be nil.
	OnConfirmed func()
	// Rollouts returns what the router has seen of the roll-outs under way; it may be nil.
	Rollouts func() []rollout.Report
	// Note returns the note to send with a renewal, see session.RenewRequest; nil means
	// none.
	Note func() []byte
	// NoteID returns the NoteID of a note that Note has returned; it may be nil.
	NoteID func(note []byte) uint64
	// OnNote is called with a note that another router sent and its age, before the reply's
	// configuration comes into force; it may be nil.
	OnNote func(note []byte, age time.Duration)
}

// Keeper renews the lease and keeps the configuration up to date while Run runs.
// Its methods are safe for concurrent use.
type Keeper struct {
	cfg     Config
	log     hclog.Logger
	view    *operator.View
	fetcher *control.Fetcher // used only by renewLoop
	relay   *relay

	mu           sync.Mutex
	holder       *session.Holder
	leaseTracker ledger.LeaseTracker

	authority  atomic.Pointer[session.Authority]
	lease      atomic.Pointer[ledger.Lease]
	confirmed  atomic.Int64                   // see ConfirmedAt
	announced  atomic.Uint64                  // see Announced
	relays     atomic.Pointer[[]fleet.Member] // named by the control group, see Relays
	relaysAt   atomic.Int64                   // time at which relays was named
	relayCache placement.RelayCache           // relays of the current membership

	leaderAnswered     chan struct{} // closed once the leader itself has answered a renewal
	leaderAnsweredOnce sync.Once

	woken        chan struct{} // capacity 1; signals that the next renewal may be due earlier
	renewalEnded atomic.Bool
}

// NewKeeper returns a Keeper. Run must be called to start it.
func NewKeeper(cfg Config) *Keeper {
	k := &Keeper{
		cfg: cfg, log: cfg.Logger, view: operator.NewView(), relay: newRelay(),
		holder: session.NewHolder(cfg.Session, cfg.Self, cfg.Owner),
		woken:  make(chan struct{}, 1), leaderAnswered: make(chan struct{}),
	}
	k.fetcher = control.NewFetcher(cfg.Control, k.relay.add)
	if cfg.Server != nil {
		cfg.Server.Handle(MethodRelay, mesh.Unary(k.relay.serve))
	}
	k.authority.Store(new(session.Authority))
	k.lease.Store(new(ledger.Lease))
	k.confirmed.Store(neverConfirmed)
	return k
}

// neverConfirmed is the value of Keeper.confirmed before the first reply.
const neverConfirmed = int64(-1 << 62)

// View returns the configuration that has been fetched.
func (k *Keeper) View() *operator.View { return k.view }

// Authority returns the lease and the memberships under which the router currently acts.
func (k *Keeper) Authority() session.Authority { return *k.authority.Load() }

// Lease returns the lease as last renewed.
func (k *Keeper) Lease() ledger.Lease { return *k.lease.Load() }

// ConfirmedAt returns the latest time T for which a reply of the control leader has
// confirmed that every change acknowledged to an operator before T is in force at this
// router, by Config.InForce.
// Before the first confirmation it returns a time far in the past.
func (k *Keeper) ConfirmedAt() time.Duration { return time.Duration(k.confirmed.Load()) }

// Announced returns the newest configuration version that the control leader has named in a
// reply or a notice.
func (k *Keeper) Announced() fleet.ConfigVersion { return fleet.ConfigVersion(k.announced.Load()) }

// announce records a version that the control leader has named.
func (k *Keeper) announce(version fleet.ConfigVersion) {
	for {
		known := k.announced.Load()
		if uint64(version) <= known || k.announced.CompareAndSwap(known, uint64(version)) {
			return
		}
	}
}

// Relays returns the routers that relay data which is read once for the whole fleet,
// in placement order. They are computed from the membership or, on a router that is
// not a member yet, named by the control group.
func (k *Keeper) Relays() []fleet.Member {
	if m := k.Authority().Membership(); len(m.Members) > 0 {
		return k.relayCache.Relays(m)
	}
	if relays := k.relays.Load(); relays != nil {
		return *relays
	}
	return nil
}

// Run renews the lease and follows the control leader's notices until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		defer k.renewalEnded.Store(true)
		k.cfg.Guard.Run("session", func() { k.renewLoop(ctx) })
	})
	wg.Go(func() { k.cfg.Guard.Run("session notices", func() { k.watchLoop(ctx) }) })
	wg.Wait()
}

// SetDraining starts or cancels the drain of this router. While it is draining, the
// other members own what this one would own.
func (k *Keeper) SetDraining(draining bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder.Drain(k.cfg.Clock(), draining)
}

// Leave makes the next renewal release the lease. Callers use it once nothing is in
// flight.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder.Leave()
	k.wake()
}

// HasLeft reports whether the control leader has confirmed the release of the lease, or the lease
// is no longer renewed, so that nothing will release it before it ends.
func (k *Keeper) HasLeft() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.HasLeft() || k.renewalEnded.Load()
}

func (k *Keeper) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		k.renew(ctx)
		k.awaitRenewal(ctx)
	}
}

// awaitRenewal waits until the next renewal is due: at the time that the holder
// requires, but at least minRenewPause after the last one and, while requests wait for a
// load bound, at most heldBackInterval after it.
func (k *Keeper) awaitRenewal(ctx context.Context) {
	renewed := k.cfg.Clock()
	for {
		left := max(k.nextRenewal(), renewed+minRenewPause) - k.cfg.Clock()
		if k.cfg.HeldBackByBound != nil && k.cfg.HeldBackByBound() {
			left = min(left, renewed+heldBackInterval-k.cfg.Clock())
		}
		if left <= 0 {
			return
		}
		if k.cfg.HeldBackByBound != nil { // call it again: nothing signals that its result changes
			left = min(left, heldBackInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-k.woken: // recompute the time of the next renewal
		case <-time.After(left):
		}
	}
}

// watchLoop triggers a renewal when a notice of the control leader requires one. It begins once the
// leader has answered a renewal: after a joint restart, routers connect to it one after the other.
func (k *Keeper) watchLoop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-k.leaderAnswered:
	}
	k.cfg.Control.Watch(ctx, func(n session.Notice) {
		if k.handleNotice(n) {
			k.wake()
		}
	})
}

// handleNotice applies a notice and reports whether a renewal is due.
func (k *Keeper) handleNotice(n session.Notice) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock()
	k.announce(n.Version)
	k.holder.HandleNotice(now, n)
	return k.holder.NextRenewal() <= now
}

// wake makes renewLoop recompute the time of the next renewal.
func (k *Keeper) wake() {
	select {
	case k.woken <- struct{}{}:
	default:
	}
}

func (k *Keeper) nextRenewal() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.NextRenewal()
}

// renew makes one renewal and applies its reply. The epoch and the version of the
// reply are in force before a later renewal acknowledges them.
func (k *Keeper) renew(ctx context.Context) {
	sent := k.cfg.Clock()
	request := k.Request()
	var reply session.RenewReply
	if err := k.callLeader(ctx, request, &reply); err != nil {
		k.log.Warn("session not renewed", "error", err)
		return
	}
	if !reply.Relayed {
		k.leaderAnsweredOnce.Do(func() { close(k.leaderAnswered) })
	}
	k.announce(reply.Version)
	k.cfg.Control.SetAddrs(reply.Control)
	if len(reply.Note) > 0 && k.cfg.OnNote != nil {
		_ = k.cfg.Guard.Confine("session: apply a note", func() error { // the guard has logged it
			k.cfg.OnNote(reply.Note, reply.NoteAge)
			return nil
		})
	}
	if len(reply.Relays) > 0 {
		k.relays.Store(&reply.Relays)
		k.relaysAt.Store(int64(k.cfg.Clock()))
	}
	k.applyReply(&reply, request.Loads)
	if reply.Version > k.view.Version() {
		k.fetch(ctx, reply.Version)
	}
	// Every reply comes from a leader that has proven its leadership. The version is
	// therefore confirmed even if the reply grants no lease. A router that has just
	// restarted gets such replies.
	if k.cfg.InForce() >= reply.Version {
		k.confirmed.Store(int64(sent))
		if k.cfg.OnConfirmed != nil {
			k.cfg.OnConfirmed()
		}
	}
}

func (k *Keeper) callLeader(ctx context.Context, request *session.RenewRequest, reply *session.RenewReply) error {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Session.Lease/2)
	defer cancel()
	return k.cfg.Guard.Confine("session: call the leader", func() error {
		return k.cfg.Control.Call(ctx, control.MethodRenew, request, reply)
	})
}

// Request returns the renewal request to send now.
func (k *Keeper) Request() *session.RenewRequest {
	var loads []session.PoolLoad
	if k.cfg.Loads != nil {
		loads = k.cfg.Loads()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	request := k.holder.Request(k.cfg.Clock(), k.cfg.InForce(), loads)
	request.KnowsRelays = k.relays.Load() != nil && k.cfg.Clock()-time.Duration(k.relaysAt.Load()) < relaysAge
	if k.cfg.Rollouts != nil {
		request.Rollouts = k.cfg.Rollouts()
	}
	if k.cfg.Note != nil {
		request.Note = k.cfg.Note()
	}
	if k.cfg.NoteID != nil && len(request.Note) > 0 {
		request.NoteID = k.cfg.NoteID(request.Note)
	}
	k.publish()
	return request
}

// publish stores the holder's authority and lease, so that Authority and Lease return
// them without locking mu. The caller must hold mu.
func (k *Keeper) publish() {
	authority := k.holder.Authority()
	k.authority.Store(&authority)
	if now := k.cfg.Clock(); authority.Valid(now) {
		lease := k.leaseTracker.RecordGrant(now, authority.Until())
		k.lease.Store(&lease)
	}
}

// applyReply applies a renewal's reply and calls the callbacks; own holds the
// loads that the request reported.
func (k *Keeper) applyReply(reply *session.RenewReply, own []session.PoolLoad) {
	accepted, changed, means := k.handleReply(reply)
	if !accepted {
		return
	}
	if k.cfg.OnSessionChange != nil && changed {
		k.cfg.OnSessionChange()
	}
	if k.cfg.OnPoolMeans != nil {
		k.cfg.OnPoolMeans(means, own)
	}
}

// handleReply applies a renewal's reply to the session, and reports whether it was accepted and
// whether the session has changed.
func (k *Keeper) handleReply(reply *session.RenewReply) (accepted, changed bool, means []session.PoolMean) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.holder.Authority()
	accepted = k.holder.HandleReply(k.cfg.Clock(), reply)
	k.publish()
	return accepted, k.sessionChanged(before, k.holder.Authority()), k.holder.PoolMeans()
}

// sessionChanged reports whether the membership, the settled epoch or the validity of the
// lease differ.
func (k *Keeper) sessionChanged(before, after session.Authority) bool {
	now := k.cfg.Clock()
	return before.Membership().Epoch != after.Membership().Epoch || before.Settled() != after.Settled() || before.Valid(now) != after.Valid(now)
}

// fetchControl brings the view up to date from the control group and reports whether
// it has reached atLeast.
func (k *Keeper) fetchControl(ctx context.Context, atLeast fleet.ConfigVersion, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	before := k.view.Version()
	err := k.cfg.Guard.Confine("configuration: fetch", func() error {
		_, err := k.fetcher.Fetch(ctx, k.view, atLeast)
		return err
	})
	if k.view.Version() > before {
		k.reportFetched()
	}
	if err != nil {
		k.log.Warn("configuration not fetched", "version", uint64(atLeast), "error", err)
		return false
	}
	return k.view.Version() >= atLeast
}

// applyRelayed applies an update from another router to the view and reports whether it
// succeeded.
func (k *Keeper) applyRelayed(u *operator.Update) bool {
	changed := false
	err := k.cfg.Guard.Confine("configuration: apply a router's changes", func() (err error) {
		changed, err = k.view.Apply(u)
		return err
	})
	if err != nil {
		k.log.Warn("cannot apply the configuration changes that another router sent", "error", err)
		return false
	}
	if changed {
		k.relay.add(u)
		k.reportFetched()
	}
	return true
}

// reportFetched logs the new version and calls OnConfig.
func (k *Keeper) reportFetched() {
	k.log.Info("configuration fetched", "version", uint64(k.view.Version()))
	k.cfg.OnConfig()
}
