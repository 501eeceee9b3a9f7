package control

import "context"

//go:generate go tool msgp -tests=false -io=false -file operators_endpoint.go

// MethodOperators returns the address at which a member serves the operators' HTTP
// API: an OperatorsRequest is answered by an OperatorsReply.
const MethodOperators = "control.operators"

// OperatorsRequest requests the address of a member's operators' HTTP API.
type OperatorsRequest struct{}

// OperatorsReply holds the address, IP:port.
type OperatorsReply struct {
	Addr string `msg:"a"`
}

// operators answers MethodOperators.
func (s *Server) operators(context.Context, string, *OperatorsRequest) (*OperatorsReply, error) {
	return &OperatorsReply{Addr: s.cfg.OperatorAddr}, nil
}

// operatorAddr returns the address of the operators' HTTP API of the member with
// this mesh address, or "" if the member is unreachable.
func (s *Server) operatorAddr(ctx context.Context, meshAddr string) string {
	if meshAddr == s.cfg.Addr {
		return s.cfg.OperatorAddr
	}
	var reply OperatorsReply
	if err := s.pool.Call(ctx, meshAddr, MethodOperators, &OperatorsRequest{}, &reply); err != nil {
		s.log.Info("cannot get the leader's operator address", "peer", meshAddr, "error", err)
	}
	return reply.Addr
}
