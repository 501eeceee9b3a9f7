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
	"github.com/wigeonflow/wigeonflow/internal/owner"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// service serves /services/NAME/...
func (s *Server) service(w http.ResponseWriter, r *http.Request, id fleet.RequestID, workspace *lists.Workspace) *answer.Refusal {
	name := mux.Vars(r)["name"]
	index := s.cfg.Index()
	service := index.Service(name)
	if service == nil || !index.AllowsService(workspace.Plan, name) {
		return refuse(http.StatusForbidden, "service_not_allowed", "the workspace's plan does not include this service")
	}
	key := r.Header.Get(answer.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return refuse(http.StatusBadRequest, "invalid_key", fmt.Sprintf("the Idempotency-Key exceeds %d bytes", maxKeyBytes))
	}
	body, refusal := s.body(w, r)
	if refusal != nil {
		return refusal
	}
	charge, refusal := s.charge(r, workspace, 0)
	if refusal != nil {
		return refusal
	}
	defer charge.Settle(0)
	span, trace := s.cfg.Tracer.Start("entry.call", r.Header.Get(telemetry.HeaderTraceparent))
	run := s.newCallRun(r, service, id, workspace, key, body)
	run.req.Header.Trace = trace
	refusal = run.run(r.Context(), w)
	span.End(run.last)
	return refusal
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
		server: s, kind: kind, pool: service.Pool,
		deadline: s.cfg.Clock() + s.cfg.CallTimeout,
		req: owner.CallRequest{
			Header:  owner.Header{Request: id, Workspace: workspace.ID, Priority: fleet.PriorityInteractive},
			Service: service.Name, Method: r.Method, Path: target, Fields: owner.FieldsOf(r.Header), Body: body,
			Repeatable: route.Repeatable, IdempotencyKey: key, LookupPath: route.LookupPath,
		},
	}
}

// callRun is one request to a plain service.
type callRun struct {
	server   *Server
	kind     answer.Kind
	pool     fleet.PoolID
	deadline time.Duration
	req      owner.CallRequest

	progress   *answer.Progress
	route      *route
	rounds     rounds
	attempts   int
	retryAfter time.Duration
	last       error
	reply      *owner.CallReply // the newest reply of an owner
}

// run makes attempts until one is answered or nothing may be tried any more.
func (r *callRun) run(ctx context.Context, w http.ResponseWriter) *answer.Refusal {
	if refusal := r.place(); refusal != nil {
		return refusal
	}
	r.progress = answer.NewProgress(r.kind, answer.Budget{Candidates: maxStops * (maxRounds + 1), Deadline: r.deadline})
	for {
		end, facts := r.attempt(ctx)
		if refusal := r.conflict(); refusal != nil {
			return refusal
		}
		decision := r.progress.Next(r.server.cfg.Clock(), end, facts, answer.Relay{})
		switch decision.Action {
		case answer.ActionDone:
			r.server.retries.succeeded(r.server.cfg.Clock(), r.req.Header.Workspace, r.pool)
			return r.answer(w)
		case answer.ActionCancel:
			return nil
		case answer.ActionRestart:
			if !r.server.retries.allow(r.server.cfg.Clock(), r.req.Header.Workspace, r.pool) {
				return retriesSpent(decision)
			}
			if !r.next(ctx) {
				return r.exhausted(decision)
			}
		case answer.ActionNextCandidate:
			if !r.next(ctx) {
				return r.exhausted(decision)
			}
		default:
			return r.refusal(decision)
		}
	}
}

// placementKey sends repeats of a key to the same upstream first.
func (r *callRun) placementKey() placement.ChatKey {
	if r.kind == answer.KindKeyed {
		return placement.RequestKey(fleet.RequestID(string(r.req.Header.Workspace) + "/" + r.req.IdempotencyKey))
	}
	return placement.RequestKey(r.req.Header.Request)
}

// place orders the candidates.
func (r *callRun) place() *answer.Refusal {
	table := r.server.cfg.Table()
	if err := r.server.cfg.Serving(); err != nil || table == nil {
		return unavailable("this router cannot serve yet", 0)
	}
	candidates := table.Candidates(r.placementKey(), r.pool, r.server.cfg.Zone, make([]placement.Candidate, 0, maxHops))
	if len(candidates) == 0 {
		return unavailable("no upstream of the service takes new work", 0)
	}
	r.route = newCallRoute(candidates)
	return nil
}

// next moves to the next stop of the route, or to the first one of another
// round; false means that none is left.
func (r *callRun) next(ctx context.Context) bool {
	if r.route.advance() {
		return true
	}
	return r.rounds.another(ctx, r.deadline-r.server.cfg.Clock()) && r.place() == nil
}

// exhausted is the refusal of a request that every owner has refused.
func (r *callRun) exhausted(d answer.Decision) *answer.Refusal {
	d.Status = http.StatusServiceUnavailable
	return r.refusal(d)
}

// attempt forwards the request to the candidate's owner and waits for its reply.
func (r *callRun) attempt(ctx context.Context) (answer.End, answer.Facts) {
	r.reply = nil
	stop := r.route.current()
	id := stop.Upstream
	member, ok := r.server.cfg.Member(r.server.cfg.Table().Owner(id))
	if !ok {
		r.rounds.moved = true
		return answer.EndNotConnected, answer.Facts{}
	}
	r.attempts++
	r.req.Header.Upstream, r.req.Header.MayQueue = id, stop.queue
	r.req.Header.Attempt = string(r.req.Header.Request) + "-" + strconv.Itoa(r.attempts) + owner.AttemptSeparator + string(id)
	r.req.Header.BudgetMillis = budgetMillis(r.server.cfg.Clock(), r.deadline)
	message, err := r.req.MarshalMsg(nil)
	if err != nil {
		r.last = err
		return answer.EndBadRequest, answer.Facts{}
	}
	return r.exchange(ctx, member, message)
}

func (r *callRun) exchange(ctx context.Context, member fleet.Member, message []byte) (answer.End, answer.Facts) {
	stream, err := r.server.cfg.Pool.Open(ctx, member.Addr, owner.MethodCall, message)
	if err != nil {
		r.last, r.rounds.moved = err, true
		return answer.EndNotConnected, answer.Facts{}
	}
	defer stream.Close()
	verdict, err := receiveVerdict(ctx, stream, r.req.Header.MayQueue, r.server.cfg.MaxWait)
	if err != nil {
		r.last = err
		return answer.EndOwnerLost, answer.Facts{MayHaveLeft: true}
	}
	if !verdict.Admitted {
		r.last = fleet.At(errors.New(verdict.Reason.String()), "owner.admit", member.Addr)
		r.retryAfter = max(r.retryAfter, time.Duration(verdict.RetryAfterMillis)*time.Millisecond)
		r.rounds.refused(verdict.Reason)
		return answer.EndRefused, answer.Facts{}
	}
	ctx, cancel := context.WithTimeout(ctx, r.deadline-r.server.cfg.Clock())
	defer cancel()
	var reply owner.CallReply
	encoded, err := stream.Recv(ctx)
	if err == nil {
		_, err = reply.UnmarshalMsg(encoded)
	}
	if err != nil {
		r.last = fleet.At(err, "owner.call", member.Addr)
		return answer.EndOwnerLost, answer.Facts{MayHaveLeft: true}
	}
	r.reply = &reply
	if reply.Message != "" {
		r.last = fleet.At(errors.New(reply.Message), reply.Step, member.Addr)
	}
	r.retryAfter = max(r.retryAfter, time.Duration(reply.RetryAfterMillis)*time.Millisecond)
	return answer.End(reply.End), reply.Facts()
}

// conflict returns the refusal of a keyed request that the ledger decided on.
func (r *callRun) conflict() *answer.Refusal {
	if r.reply == nil {
		return nil
	}
	if r.reply.Unavailable {
		return unavailable(r.reply.Message, time.Second)
	}
	refusal := &answer.Refusal{Status: http.StatusConflict, Outcome: r.reply.Outcome, Message: r.reply.Message}
	switch r.reply.Conflict {
	case owner.ConflictInProgress:
		refusal.Code, refusal.RetryAfter = "in_progress", time.Second
	case owner.ConflictUnknown:
		refusal.Code = "outcome_unknown"
		refusal.RetryAfter = time.Duration(r.reply.RetryAfterMillis) * time.Millisecond
	case owner.ConflictAnswerGone:
		refusal.Code = "answer_not_kept"
	case owner.ConflictBody:
		refusal.Status, refusal.Code = http.StatusUnprocessableEntity, "key_reused"
	default:
		return nil
	}
	return refusal
}

// answer writes the service's whole answer to the caller.
func (r *callRun) answer(w http.ResponseWriter) *answer.Refusal {
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
		r.last = fleet.At(err, "entry.write", "caller")
	}
	return nil
}

func (r *callRun) refusal(d answer.Decision) *answer.Refusal {
	refusal := &answer.Refusal{Status: d.Status, Outcome: d.Outcome, Code: "no_capacity", Message: "no upstream of the service could be reached"}
	if d.Outcome != fleet.OutcomeNotRun {
		refusal.Code, refusal.Message = "outcome_unknown", "the request may have run; ask again under the same key"
	}
	if d.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = max(r.retryAfter, time.Second)
	}
	if r.last != nil {
		r.server.log.Info("request failed", telemetry.LogRequest, string(r.req.Header.Request),
			telemetry.LogOutcome, d.Outcome.String(), "error", r.last)
	}
	return refusal
}
