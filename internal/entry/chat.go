package entry

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/owner"
	"github.com/wigeonflow/wigeonflow/internal/placement"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, id fleet.RequestID, workspace *lists.Workspace) *answer.Rejection {
	body, rejection := s.readBody(w, r)
	if rejection != nil {
		return rejection
	}
	req, err := parseChat(r.Header, body)
	if err != nil {
		return invalidRequest(err)
	}
	pool, rejection := s.selectPool(workspace, req)
	if rejection != nil {
		return rejection
	}
	charge, rejection := s.charge(r, workspace, req.PromptTokens+req.OutputTokens)
	if rejection != nil {
		return rejection
	}
	span, trace := s.cfg.Tracer.Start("entry.chat", r.Header.Get(telemetry.HeaderTraceparent))
	span.Set(telemetry.LogWorkspace, string(workspace.ID))
	run, err := s.newChatRun(w, req, id, workspace, pool, trace)
	if err != nil {
		charge.Settle(0)
		span.End(err)
		return invalidRequest(err)
	}
	rejection = run.run(r.Context())
	charge.Settle(run.tokens())
	span.End(run.lastErr)
	return rejection
}

// selectPool returns the pool that serves the request's model, or a rejection if the
// workspace's plan doesn't include the model or the adapter.
func (s *Server) selectPool(workspace *lists.Workspace, req *chatRequest) (*lists.Pool, *answer.Rejection) {
	index := s.cfg.Index()
	model := index.Model(req.Model)
	if model == nil || !index.AllowsModel(workspace.Plan, req.Model) {
		return nil, newRejection(http.StatusForbidden, "model_not_allowed", "the workspace's plan does not include this model")
	}
	if req.Adapter != "" && !index.AllowsAdapter(workspace.Plan, req.Adapter) {
		return nil, newRejection(http.StatusForbidden, "adapter_not_allowed", "the workspace's plan does not include this adapter")
	}
	pool := index.Pool(model.Pool)
	if pool == nil {
		return nil, unavailable("the model has no pool", 0)
	}
	return pool, nil
}

// invalidRequest returns the rejection of a request that parseChat or upstreamBody has
// found invalid.
func invalidRequest(err error) *answer.Rejection {
	var bad *requestError
	if errors.As(err, &bad) {
		return newRejection(http.StatusBadRequest, bad.code, bad.message)
	}
	return newRejection(http.StatusBadRequest, "invalid_request", err.Error())
}

// slotLimit returns the number of one upstream's slots that a workspace may hold, by the
// share of the capacity in its plan; 0 means no bound.
func slotLimit(index *operator.Index, plan string, pool *lists.Pool) int {
	capacity := index.Capacity(plan)
	if capacity == 0 {
		return 0
	}
	slots := pool.MaxConcurrency
	if slots == 0 {
		slots = lists.DefaultMaxConcurrency
	}
	return max(1, int(math.Ceil(capacity*float64(slots))))
}

func (s *Server) newChatRun(w http.ResponseWriter, req *chatRequest, id fleet.RequestID, workspace *lists.Workspace, pool *lists.Pool, trace string) (*chatRun, error) {
	key := placement.RequestKey(id)
	if req.Chat != "" {
		key = placement.KeyOf(workspace.ID, req.Chat, req.Adapter)
	}
	cacheKey := strconv.FormatUint(uint64(key), 16)
	body, err := req.upstreamBody(cacheKey)
	if err != nil {
		return nil, err
	}
	deadline := s.cfg.Clock() + s.cfg.MaxWait
	return &chatRun{
		forwarder: forwarder{server: s, pool: pool.Name, deadline: deadline}, key: key,
		req: owner.ChatRequest{
			Header: owner.Header{Request: id, Workspace: workspace.ID, Priority: req.Priority, Trace: trace},
			Chat:   uint64(key), CacheKey: cacheKey, Body: body,
			Share: slotLimit(s.cfg.Index(), workspace.Plan, pool),
		},
		sink:     newSink(w, req.Stream, req.WantsUsage, s.cfg.WriteTimeout),
		estimate: req.PromptTokens + req.OutputTokens,
	}, nil
}

// remainingMillis returns the time until a request's deadline in milliseconds.
func remainingMillis(now, deadline time.Duration) uint32 {
	return uint32(max(deadline-now, 0).Milliseconds())
}
