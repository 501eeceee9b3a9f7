package control

import (
	"context"

	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

//go:generate go tool msgp -tests=false -io=false -file order_endpoint.go

// MethodOrder commits an owner's claim or finish of an order: an OrderRequest is
// answered by an operator.Answer.
const MethodOrder = "order.apply"

// CodeNotPermitted is the error code of a call with neither a claim nor a finish:
// other commands are reserved for operators.
const CodeNotPermitted = "not-permitted"

// OrderRequest carries either a claim or a finish; the other is nil.
type OrderRequest struct {
	Claim  *operator.Claim  `msg:"c"`
	Finish *operator.Finish `msg:"f"`
}

// applyOrder answers MethodOrder.
func (s *Server) applyOrder(ctx context.Context, _ string, req *OrderRequest) (*operator.Answer, error) {
	command := operator.Command{Kind: operator.KindFinish, Finish: req.Finish}
	if req.Claim != nil {
		command = operator.Command{Kind: operator.KindClaim, Claim: req.Claim}
	}
	if req.Claim == nil && req.Finish == nil {
		return nil, &mesh.RemoteError{Code: CodeNotPermitted, Step: MethodOrder, Peer: s.cfg.Addr, Message: "neither claim nor finish"}
	}
	encoded, err := command.Encode()
	if err != nil {
		return nil, err
	}
	result, err := s.group.Propose(ctx, tagged(tagConfig, encoded))
	if err != nil {
		return nil, s.proposalError(ctx, MethodOrder, err)
	}
	answer, err := operator.DecodeAnswer(result)
	return &answer, err
}
