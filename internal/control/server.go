package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/rollout"
	"github.com/wigeonflow/wigeonflow/internal/session"
)

// Config configures a control member.
type Config struct {
	// Addr is the member's mesh address; it is also the member's ID.
	Addr string
	// Members are the mesh addresses of the group, including this one.
	Members []string
	// Join is set on a member that isn't one of Members, or whose empty data
	// directory must not form a group: it waits to be added.
	Join bool
	// Initial is set on a member that joins, but starts together with the group: with the other
	// initial members it makes up the size to which silent members are removed soon.
	Initial bool
	// Adopt makes the leader add members that the group doesn't list, and remove those
	// from which it has received nothing for silentTimeout.
	Adopt bool
	// RequiredLosses is the number of members that the group is meant to bear the loss of. The
	// leader logs when it can't.
	RequiredLosses int
	// AcceptChangedFileIDs is set if the inode numbers of the data directory's files may
	// change, as after a restore. A copied data directory is then not detected.
	AcceptChangedFileIDs bool
	// ElectionTimeout is the group's election timeout; 0 means
	// consensus.DefaultElectionTimeout.
	ElectionTimeout time.Duration
	// CopyRate bounds the rate at which this member sends copies of the
	// configuration, in bytes per second; 0 means no bound.
	CopyRate int64
	// Dir is the data directory. Disk replaces it if set.
	Dir     string
	Disk    consensus.Disk
	Session session.Settings
	// Ledger bounds the records of requests that run at most once.
	Ledger ledger.Limits
	// Rollouts bounds roll-outs; the zero value leaves all roll-outs as they are.
	Rollouts rollout.Limits
	// OperatorAddr is the address of this member's operators' HTTP API, IP:port.
	OperatorAddr string
	Clock        fleet.Clock
	// Guard confines panics of work that leaves log, state machine and leases alone; nil lets
	// them end the process, as all others do.
	Guard   *fleet.Guard
	Logger  hclog.Logger
	Metrics metrics.Registry
}

// Server is one member of the control group.
type Server struct {
	cfg          Config
	log          hclog.Logger
	pool         *mesh.Pool
	group        *consensus.Group
	stateMachine *stateMachine
	roster       *session.Roster
	config       *operator.Config
	copies       copyCache
	copyPacer    pacer                // limits the rate of copies
	relays       placement.RelayCache // of the committed membership
	ledger       *ledger.State
	notes        *session.NoteStore
	leader       *leader
	// confirmations are the leader's, for routers that this member answers in its place.
	confirmations batcher[*session.RenewReply]
	leaseGate     leaseGate
	cancel        context.CancelFunc

	ending  atomic.Bool              // set by leave or awaitStop: the first one closes done
	done    chan struct{}            // closed once the member has stopped
	failure error                    // set before done is closed
	members atomic.Pointer[[]string] // mesh addresses of the group, on a leader
}

// heartbeatsPerElectionTimeout is the number of heartbeats per election timeout.
const heartbeatsPerElectionTimeout = 4

// groupName is the group name stored in the data directories of the control group.
const groupName = "control"

// Start opens the data directory, joins the group and registers the member's
// methods at the mesh server, which must not be serving yet.
func Start(cfg Config, server *mesh.Server, pool *mesh.Pool) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{cfg: cfg, log: cfg.Logger.Named("control"), pool: pool, cancel: cancel, done: make(chan struct{})}
	s.copyPacer.rate, s.copyPacer.clock = cfg.CopyRate, cfg.Clock
	wake := make(chan struct{}, 1)
	s.stateMachine = newStateMachine(func(partTag) {
		select {
		case wake <- struct{}{}:
		default:
		}
	})
	s.roster = session.NewRoster(cfg.Session)
	s.config = operator.NewConfig()
	s.ledger = ledger.NewState()
	s.stateMachine.addPart(tagRoster, s.roster)
	s.stateMachine.addPart(tagConfig, s.config)
	s.notes = new(session.NoteStore)
	s.stateMachine.addPart(tagLedger, s.ledger)
	s.stateMachine.addPart(tagNote, s.notes)
	group, err := consensus.Start(s.consensusConfig(newTransport(ctx, pool, cfg.Guard, s.log.Named("transport"))))
	if err != nil {
		cancel()
		return nil, fleet.At(err, "control.start", cfg.Dir)
	}
	s.group = group
	s.leader = &leader{
		log: s.log, clock: cfg.Clock, group: group, settings: cfg.Session,
		roster: s.roster, config: s.config, ledger: s.ledger, notes: s.notes, limits: cfg.Ledger, stateMachine: s.stateMachine, wake: wake, notices: newNoticePublisher(),
	}
	s.leader.rollouts = &rollouts{
		log: s.log, limits: cfg.Rollouts, clock: cfg.Clock, wall: time.Now, committed: s.config.Committed, routers: s.leader.rolloutRouters, metrics: cfg.Metrics, guard: cfg.Guard,
		propose: func(ctx context.Context, command []byte) ([]byte, error) {
			return group.Propose(ctx, tagged(tagConfig, command))
		},
	}
	server.HandleBackground(MethodStep, receiveHandler(group))
	s.confirmations.call, s.confirmations.guard = s.askLeader, cfg.Guard
	s.leaseGate.leads = func() bool {
		_, leads := group.LeaderLease()
		return leads
	}
	server.Unconfined(MethodRenew, MethodConfirm) // the grantor decides on leases
	server.Handle(MethodRenew, mesh.Unary(s.renew))
	server.Handle(MethodConfirm, mesh.Unary(s.confirm))
	server.HandleBackground(MethodWatch, s.watch)
	server.Handle(MethodFetch, mesh.Unary(s.fetch))
	server.Handle(MethodOrder, mesh.Unary(s.applyOrder))
	server.Handle(MethodOperators, mesh.Unary(s.operators))
	server.Handle(MethodLedger, mesh.Unary(s.applyLedger))
	go s.awaitStop()
	go s.leader.run(ctx)
	server.Handle(MethodMembership, mesh.Unary(s.membership))
	go s.repairLoop(ctx)
	go s.membershipLoop(ctx)
	return s, nil
}

func (s *Server) consensusConfig(t consensus.Transport) consensus.Config {
	peers := make([]consensus.Peer, 0, len(s.cfg.Members))
	for _, addr := range s.cfg.Members {
		peers = append(peers, consensus.Peer{ID: consensus.MemberID(addr), Addr: addr})
	}
	return consensus.Config{
		Group: groupName, ID: consensus.MemberID(s.cfg.Addr), Addr: s.cfg.Addr, Dir: s.cfg.Dir, Disk: s.cfg.Disk,
		Peers: peers, Bootstrap: !s.cfg.Join, Initial: s.cfg.Initial, AcceptChangedFileIDs: s.cfg.AcceptChangedFileIDs,
		ElectionTimeout: s.cfg.ElectionTimeout, Heartbeat: s.cfg.ElectionTimeout / heartbeatsPerElectionTimeout,
		Machine: s.stateMachine, Transport: t,
		Logger: s.log.Named("consensus"), Metrics: s.cfg.Metrics,
	}
}

// statusTimeout bounds a status request to the local member, or to one peer.
const statusTimeout = time.Second

const (
	// leaderWait is how long a call waits at a member that knows no leader. It is less than
	// callTimeout, after which a router takes the member for frozen.
	leaderWait = 400 * time.Millisecond
	// leaseCheckInterval is the time between two checks whether a member that leads can prove it,
	// while calls wait for that.
	leaseCheckInterval = 10 * time.Millisecond
)

// notLeader returns a CodeNotLeader error that names the leader, as far as this
// member knows it.
func (s *Server) notLeader(step string) error {
	addr, _ := s.group.KnownLeader()
	return notLeader(step, addr)
}

// callAsLeader calls f until it succeeds, which it does only on a leader. While this member knows
// no leader, or leads and f fails, it tries again for up to leaderWait: in an election the
// routers' calls wait here, and don't go round the members. The error names the leader.
func (s *Server) callAsLeader(ctx context.Context, step string, f func() bool) error {
	var timeout <-chan time.Time // set with the first wait; hundreds of renewals a second need none
	for {
		addr, changed := s.group.KnownLeader() // before f, so that no change is missed
		if f() {
			return nil
		}
		var opened <-chan struct{}
		switch addr {
		case "":
		case s.cfg.Addr:
			opened = s.leaseGate.opening()
		default:
			return s.notLeader(step)
		}
		if timeout == nil {
			timer := time.NewTimer(leaderWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-ctx.Done():
			return s.notLeader(step)
		case <-timeout:
			return s.notLeader(step)
		case <-changed:
		case <-opened:
		}
	}
}

// Backend returns this member's backend of the operators' HTTP API.
func (s *Server) Backend() operator.Backend { return backend{s} }

// Done returns a channel that is closed when the member has stopped, after Close
// or a failure.
func (s *Server) Done() <-chan struct{} { return s.done }

// Err waits until Done is closed and returns the failure that stopped the member,
// or nil after Close.
func (s *Server) Err() error {
	<-s.done
	return s.failure
}

// awaitStop closes done when the group has stopped, unless leave does so.
func (s *Server) awaitStop() {
	err := s.group.Err()
	if s.ending.CompareAndSwap(false, true) {
		s.failure = err
		close(s.done)
	}
}

// Close transfers the leadership to another member if possible, stops the member and
// releases its data directory.
func (s *Server) Close(ctx context.Context) error {
	if _, leading := s.group.LeaderLease(); leading && len(s.cfg.Members) > 1 {
		if err := s.group.TransferLeadership(ctx, ""); err != nil {
			s.log.Warn("leadership not transferred", "error", err)
		}
	}
	s.cancel()
	return s.group.Close()
}
