package control

import (
	"context"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/operator"
)

//go:generate go tool msgp -tests=false -io=false -file order_endpoint.go

// MethodOrder commits what an upstream's owner says about its order: an
// OrderRequest is answered by an operator.Answer.
const MethodOrder = "operator.order"

// OrderRequest claims an order or finishes it; one of the two is set.
type OrderRequest struct {
	Claim  *operator.Claim  `msg:"c,omitempty"`
	Finish *operator.Finish `msg:"f,omitempty"`
}

func (s *Server) order(ctx context.Context, _ string, req *OrderRequest) (*operator.Answer, error) {
	command := operator.Command{Kind: operator.KindClaim, Claim: req.Claim}
	if req.Finish != nil {
		command = operator.Command{Kind: operator.KindFinish, Finish: req.Finish}
	}
	encoded, err := command.Encode()
	if err != nil {
		return nil, fleet.At(err, MethodOrder, s.cfg.Addr)
	}
	result, err := s.group.Propose(ctx, tagged(tagConfig, encoded))
	if err != nil {
		return nil, s.proposalError(ctx, MethodOrder, err)
	}
	answer, err := operator.DecodeAnswer(result)
	return &answer, fleet.At(err, MethodOrder, s.cfg.Addr)
}
