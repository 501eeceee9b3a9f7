package owner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/admission"
	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/upstream"
)

// call serves MethodCall.
func (s *Server) call(ctx context.Context, st *mesh.Stream, message []byte) error {
	var req CallRequest
	if err := mesh.Decode(message, &req); err != nil {
		return fleet.At(err, "owner.call", st.Peer())
	}
	span, trace := s.cfg.Tracer.Start("owner.call", req.Header.Trace)
	req.Header.Trace = trace
	defer func() { span.End(nil) }()
	s.running.Add(1)
	defer s.running.Add(-1)
	slot, verdict := s.admit(ctx, &req.Header, admission.Request{})
	if admitted, err := sendVerdict(ctx, st, slot, verdict); !admitted {
		return err
	}
	t, ok := s.target(req.Header.Upstream)
	if !ok {
		slot.cancel()
		return send(ctx, st, &CallReply{Outcome: fleet.OutcomeNotRun, End: uint8(answer.EndNotConnected), Step: "owner.call", Message: "upstream left the list"})
	}
	run := &callRun{owner: s, req: &req, slot: slot, service: t.service}
	return send(ctx, st, run.run(ctx))
}

// callRun is one admitted attempt at a plain service.
type callRun struct {
	owner   *Server
	req     *CallRequest
	slot    *slot
	service upstream.Service
}

// run makes the attempt. One that is not repeatable continues if its entry is lost, so
// that its outcome can be recorded.
func (r *callRun) run(ctx context.Context) *CallReply {
	if r.req.Repeatable {
		return r.runUnrecorded(ctx)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(r.req.Header.BudgetMillis)*time.Millisecond)
	if r.req.IdempotencyKey == "" {
		defer cancel()
		return r.runUnrecorded(ctx)
	}
	return newBooking(r, cancel).run(ctx)
}

// runUnrecorded makes the attempt without a record in the ledger. If a service declines a
// repeatable request, the reply says so, and the entry may retry it elsewhere; otherwise
// the declining answer is the final one.
func (r *callRun) runUnrecorded(ctx context.Context) *CallReply {
	complete, facts, err := r.dispatch(ctx, r.owner.beforeWrite(r.req.Header.Upstream))
	if err != nil {
		return r.failureReply(facts, err)
	}
	return &CallReply{
		Outcome: fleet.OutcomeRan, End: uint8(answer.EndComplete), Whole: true, MayHaveLeft: true, Accepted: true,
		Declined: facts.Declined && r.req.Repeatable,
		Status:   complete.Status, Fields: fieldsOf(complete.Header), Body: complete.Body,
	}
}

// dispatch sends the request to the service once and releases the slot.
func (r *callRun) dispatch(ctx context.Context, beforeWrite func() error) (upstream.CallAnswer, answer.Facts, error) {
	span, trace := r.owner.cfg.Tracer.Start("upstream.call", r.req.Header.Trace)
	header := make(http.Header, len(r.req.Fields)+1)
	for _, f := range r.req.Fields {
		header.Add(f.Name, f.Value)
	}
	if trace != "" {
		header.Set("traceparent", trace)
	}
	complete, facts, err := r.service.Do(ctx, upstream.CallRequest{
		Attempt: answer.AttemptID(r.req.Header.Attempt),
		Method:  r.req.Method, Target: r.req.Path, Header: header, Body: r.req.Body,
		IdempotencyKey: r.req.IdempotencyKey, Repeatable: r.req.Repeatable,
		BeforeWrite: beforeWrite,
	})
	span.End(err)
	r.slot.release(0, err != nil)
	return complete, facts, err
}

// failureReply returns the reply for an attempt without a complete answer.
func (r *callRun) failureReply(facts answer.Facts, err error) *CallReply {
	end, _ := upstream.EndOf(err)
	reply := &CallReply{
		Outcome: facts.Outcome(), End: uint8(end),
		MayHaveLeft: facts.MayHaveBeenSent, Declined: facts.Declined, Accepted: facts.Accepted,
		Step: "upstream.call", Message: fleet.At(err, "upstream.call", string(r.req.Header.Upstream)).Error(),
	}
	var failed *upstream.AttemptError
	if errors.As(err, &failed) {
		reply.RetryAfterMillis = uint32(failed.RetryAfter.Milliseconds())
	}
	return reply
}

// hopHeaders are the header fields that are not forwarded: hop-by-hop fields (RFC 9110,
// section 7.6.1) and those that the router sets itself.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Authorization": true, "X-Request-Id": true, "Idempotency-Key": true,
	"Accept-Encoding": true, "Traceparent": true,
}

// FieldsOf returns the fields of a header that are forwarded.
func FieldsOf(h http.Header) []HeaderField { return fieldsOf(h) }

func fieldsOf(h http.Header) []HeaderField {
	fields := make([]HeaderField, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// Facts returns the facts that are certain about the attempt.
func (r *CallReply) Facts() answer.Facts {
	return answer.Facts{MayHaveBeenSent: r.MayHaveLeft, Complete: r.Whole, Declined: r.Declined, Accepted: r.Accepted}
}
