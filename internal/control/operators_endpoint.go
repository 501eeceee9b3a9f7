package control

import "context"

//go:generate go tool msgp -tests=false -io=false -file operators_endpoint.go

// MethodOperators tells where a member's operators' API listens: an
// OperatorsRequest is answered by an OperatorsReply.
const MethodOperators = "control.operators"

// OperatorsRequest asks a member for its operators' address.
type OperatorsRequest struct{}

// OperatorsReply holds the address, IP:port.
type OperatorsReply struct {
	Addr string `msg:"a"`
}

func (s *Server) operators(context.Context, string, *OperatorsRequest) (*OperatorsReply, error) {
	return &OperatorsReply{Addr: s.cfg.OperatorAddr}, nil
}

// operatorsOf asks the member with a mesh address; empty where it is not reached.
func (s *Server) operatorsOf(ctx context.Context, meshAddr string) string {
	if meshAddr == s.cfg.Addr {
		return s.cfg.OperatorAddr
	}
	var reply OperatorsReply
	if err := s.pool.Call(ctx, meshAddr, MethodOperators, &OperatorsRequest{}, &reply); err != nil {
		s.log.Info("leader's operator address not learned", "peer", meshAddr, "error", err)
	}
	return reply.Addr
}
