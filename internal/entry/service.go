package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/mesh"
	"github.com/wigeonflow/wigeonflow/internal/owner"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// service serves /services/NAME/ and all paths below it.
func (s *Server) service(w http.ResponseWriter, r *http.Request, id fleet.RequestID, workspace *lists.Workspace) *answer.Rejection {
	name := mux.Vars(r)["name"]
	index := s.cfg.Index()
	service := index.Service(name)
	if service == nil || !index.AllowsService(workspace.Plan, name) {
		return newRejection(http.StatusForbidden, "service_not_allowed", "the workspace's plan does not include this service")
	}
	key := r.Header.Get(answer.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return newRejection(http.StatusBadRequest, "invalid_key", fmt.Sprintf("the Idempotency-Key exceeds %d bytes", maxKeyBytes))
	}
	body, rejection := s.readBody(w, r)
	if rejection != nil {
		return rejection
	}
	charge, rejection := s.charge(r, workspace, 0)
	if rejection != nil {
		return rejection
	}
	defer charge.Settle(0)
	span, trace := s.cfg.Tracer.Start("entry.call", r.Header.Get(telemetry.HeaderTraceparent))
	run := s.newCallRun(r, service, id, workspace, key, body)
	run.req.Header.Trace = trace
	rejection = run.run(r.Context(), w)
	span.End(run.lastErr)
	return rejection
}

func (s *Server) newCallRun(r *http.Request, service *lists.Service, id fleet.RequestID, workspace *lists.Workspace, key string, body []byte) *callRun {
	path := strings.TrimPrefix(r.URL.Path, "/services/"+service.Name)
	route := service.Match(r.Method, path)
	target := path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	kind := answer.KindUnkeyed
	switch {
	case route.Repeatable:
		kind = answer.KindRepeatable
	case key != "":
		kind = answer.KindKeyed
	}
	return &callRun{
		forwarder: forwarder{server: s, pool: service.Pool, deadline: s.cfg.Stop().Cap(s.cfg.Clock() + s.cfg.CallTimeout)}, kind: kind,
		req: owner.CallRequest{
			Header:  owner.Header{Request: id, Workspace: workspace.ID, Priority: fleet.PriorityInteractive},
			Service: service.Name, Method: r.Method, Path: target, Fields: owner.FieldsOf(r.Header), Body: body,
			Repeatable: route.Repeatable, IdempotencyKey: key, LookupPath: route.LookupPath,
		},
	}
}

// callRun drives one request to a plain service through its attempts.
type callRun struct {
	forwarder
	kind  answer.Kind
	req   owner.CallRequest
	reply *owner.CallReply // of the latest attempt; nil without one
}

// run makes attempts until one is answered or no further attempt is allowed.
func (r *callRun) run(ctx context.Context, w http.ResponseWriter) *answer.Rejection {
	if rejection := r.orderCandidates(); rejection != nil {
		return rejection
	}
	r.progress = answer.NewProgress(r.kind, answer.Budget{Candidates: maxTargets * (maxRounds + 1), Deadline: r.deadline})
	for {
		end, facts := r.attempt(ctx)
		if rejection := r.conflict(); rejection != nil {
			return rejection
		}
		decision := r.progress.Next(r.server.cfg.Clock(), end, facts, answer.RelayState{})
		switch decision.Action {
		case answer.ActionDone:
			r.countSuccess(r.req.Header.Workspace)
			return r.writeAnswer(w)
		case answer.ActionCancel:
			return nil
		case answer.ActionRestart:
			if !r.takeRetry(r.req.Header.Workspace) {
				return retryBudgetSpent(decision)
			}
			if !r.advance(ctx, r.orderCandidates) {
				return r.rejection(notAdmitted(decision))
			}
		case answer.ActionNextCandidate:
			if !r.advance(ctx, r.orderCandidates) {
				return r.rejection(notAdmitted(decision))
			}
		default:
			return r.rejection(decision)
		}
	}
}

// placementKey returns the key by which candidates are ordered. Requests under the
// same idempotency key get the same first candidate.
func (r *callRun) placementKey() placement.ChatKey {
	if r.kind == answer.KindKeyed {
		return placement.RequestKey(fleet.RequestID(string(r.req.Header.Workspace) + "/" + r.req.IdempotencyKey))
	}
	return placement.RequestKey(r.req.Header.Request)
}

// orderCandidates starts a route over the candidates. It returns a rejection if there
// are none.
func (r *callRun) orderCandidates() *answer.Rejection {
	candidates, rejection := r.candidates(r.placementKey(), "no upstream of the service takes new work")
	if rejection == nil {
		r.route = newCallRoute(candidates)
	}
	return rejection
}

// attempt forwards the request to the candidate's owner and waits for its reply.
func (r *callRun) attempt(ctx context.Context) (answer.End, answer.Facts) {
	r.reply = nil
	member, ok := r.setHeader(&r.req.Header)
	if !ok {
		return answer.EndNotConnected, answer.Facts{}
	}
	h := &r.req.Header
	r.attempts++
	h.Attempt = string(h.Request) + "-" + strconv.Itoa(r.attempts) + owner.AttemptSeparator + string(h.Upstream)
	message, err := r.req.MarshalMsg(nil)
	if err != nil {
		r.lastErr = err
		return answer.EndBadRequest, answer.Facts{}
	}
	stream, _, end, facts := r.requestAdmission(ctx, member, owner.MethodCall, message, h.MayQueue)
	if stream == nil {
		return end, facts
	}
	defer stream.Close()
	return r.receive(ctx, stream, member)
}

// receive waits for the reply of an owner that has admitted the request.
func (r *callRun) receive(ctx context.Context, stream *mesh.Stream, member fleet.Member) (answer.End, answer.Facts) {
	ctx, cancel := context.WithTimeout(ctx, r.deadline-r.server.cfg.Clock())
	defer cancel()
	var reply owner.CallReply
	encoded, err := stream.Recv(ctx)
	if err == nil {
		err = mesh.Decode(encoded, &reply)
	}
	if err != nil {
		r.lastErr = fleet.At(err, "owner.call", member.Addr)
		return answer.EndOwnerLost, answer.Facts{MayHaveBeenSent: true}
	}
	r.reply = &reply
	if reply.Message != "" {
		r.lastErr = fleet.At(errors.New(reply.Message), reply.Step, member.Addr)
	}
	r.raiseRetryAfter(reply.RetryAfterMillis)
	return answer.End(reply.End), reply.Facts()
}

// conflict returns the rejection of a keyed request that the ledger did not let run, or
// nil.
func (r *callRun) conflict() *answer.Rejection {
	if r.reply == nil {
		return nil
	}
	if r.reply.Unavailable {
		return unavailable(r.reply.Message, time.Second)
	}
	rejection := &answer.Rejection{Status: http.StatusConflict, Outcome: r.reply.Outcome, Message: r.reply.Message}
	switch r.reply.Conflict {
	case owner.ConflictInProgress:
		rejection.Code, rejection.RetryAfter = "in_progress", time.Second
	case owner.ConflictUnknown:
		rejection.Code = "outcome_unknown"
		rejection.RetryAfter = time.Duration(r.reply.RetryAfterMillis) * time.Millisecond
	case owner.ConflictAnswerGone:
		rejection.Code = "answer_not_kept"
	case owner.ConflictBody:
		rejection.Status, rejection.Code = http.StatusUnprocessableEntity, "key_reused"
	default:
		return nil
	}
	return rejection
}

// writeAnswer writes the service's complete answer to the caller.
func (r *callRun) writeAnswer(w http.ResponseWriter) *answer.Rejection {
	h := w.Header()
	for _, f := range r.reply.Fields {
		h.Add(f.Name, f.Value)
	}
	h.Set(answer.HeaderOutcome, fleet.OutcomeRan.String())
	h.Set(HeaderUpstream, string(r.route.current().Upstream))
	if r.reply.Replayed {
		h.Del(HeaderUpstream)
		h.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(r.reply.Status)
	if _, err := w.Write(r.reply.Body); err != nil {
		r.lastErr = fleet.At(err, "entry.write", "caller")
	}
	return nil
}

// rejection returns the rejection of a failed request for the given decision, and logs the
// latest failure.
func (r *callRun) rejection(d answer.Decision) *answer.Rejection {
	rejection := &answer.Rejection{Status: d.Status, Outcome: d.Outcome, Code: "no_capacity", Message: "no upstream of the service could be reached"}
	if d.Outcome != fleet.OutcomeNotRun {
		rejection.Code, rejection.Message = "outcome_unknown", "the request may have run; ask again under the same key"
	}
	if d.Status == http.StatusServiceUnavailable {
		rejection.RetryAfter = max(r.retryAfter, time.Second)
	}
	if r.lastErr != nil {
		r.server.log.Info("request failed", telemetry.LogRequest, string(r.req.Header.Request),
			telemetry.LogOutcome, d.Outcome.String(), "error", r.lastErr)
	}
	return rejection
}
