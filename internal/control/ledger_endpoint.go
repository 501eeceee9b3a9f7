package control

import (
	"context"
	"errors"
	"sync"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/ledger"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
)

//go:generate go tool msgp -tests=false -io=false -file ledger_endpoint.go

// MethodLedger commits one ledger command: a LedgerRequest is answered by a
// LedgerReply.
const MethodLedger = "ledger.apply"

// CodeUnknownOutcome is the error code of a call whose command may still be
// committed. Commands are idempotent, so that the caller can retry the call.
const CodeUnknownOutcome = "unknown-outcome"

// LedgerRequest carries an encoded ledger.Command.
type LedgerRequest struct {
	Command []byte `msg:"c"`
}

// LedgerReply carries an encoded ledger.Result.
type LedgerReply struct {
	Result []byte `msg:"r"`
}

// ledgerClock is the clock with which the leader timestamps ledger commands. It is
// safe for concurrent use.
type ledgerClock struct {
	mu    sync.Mutex
	clock ledger.Clock
}

func (c *ledgerClock) set(clock ledger.Clock) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock = clock
}

func (c *ledgerClock) get() ledger.Clock {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock
}

// applyLedger answers MethodLedger.
func (s *Server) applyLedger(ctx context.Context, _ string, req *LedgerRequest) (*LedgerReply, error) {
	command, err := ledger.SetCommandTime(req.Command, s.leader.ledgerClock.get().Now(s.cfg.Clock()))
	if err != nil {
		return nil, fleet.At(err, MethodLedger, s.cfg.Addr)
	}
	result, err := s.group.Propose(ctx, tagged(tagLedger, command))
	if err != nil {
		return nil, s.proposalError(ctx, MethodLedger, err)
	}
	return &LedgerReply{Result: result}, nil
}

// proposalError returns the error for a failed proposal. Its code shows the caller
// whether to look for another leader or to retry the command.
func (s *Server) proposalError(ctx context.Context, step string, err error) error {
	var unknown *consensus.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return &mesh.RemoteError{Code: CodeUnknownOutcome, Step: step, Peer: s.cfg.Addr, Message: err.Error()}
	}
	var notLeading *consensus.NotLeaderError
	if errors.As(err, &notLeading) {
		return notLeader(step, notLeading.Addr)
	}
	return s.notLeader(step)
}
