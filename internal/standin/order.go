package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Order is a command to load or unload a model or to change the engine's role.
type Order struct {
	// Kind is "load", "unload" or "role".
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Fence is the fencing number of the engine's owner; a later owner has a higher
	// one.
	Fence uint64 `json:"fence"`
}

// Kinds of order.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// modelName returns the order's entry in the list of loaded models:
// MODEL[:ADAPTER][@VERSION].
func (o Order) modelName() string {
	name := o.Model
	if o.Adapter != "" {
		name += ":" + o.Adapter
	}
	if o.Version != "" {
		name += "@" + o.Version
	}
	return name
}

// OrderStatus is the response body of GET /orders and of an order that was applied. Fence
// is the highest fencing number seen.
type OrderStatus struct {
	Fence  uint64   `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// fenceRejection is the response body for an order with an old fencing number. It
// holds the highest number seen.
type fenceRejection struct {
	Fence uint64 `json:"fence"`
}

// orderState is the part of the engine's state that orders change.
type orderState struct {
	ignoreFence bool
	fence       uint64
	role        string
	models      []string
	// any is set while every model is served: none was configured, and no
	// order has loaded or unloaded one.
	any bool
}

func newOrderState(c EngineConfig) orderState {
	return orderState{
		ignoreFence: c.IgnoreFence, role: c.Role,
		models: slices.Clone(c.Models), any: len(c.Models) == 0,
	}
}

// apply executes o. It returns false if o's fencing number is below the highest one
// seen and ignoreFence is not set.
func (s *orderState) apply(o Order) bool {
	if o.Fence < s.fence && !s.ignoreFence {
		return false
	}
	s.fence = max(s.fence, o.Fence)
	switch o.Kind {
	case OrderRole:
		s.role = o.Role
	case OrderLoad:
		s.any = false
		if !slices.Contains(s.models, o.modelName()) {
			s.models = append(s.models, o.modelName())
		}
	case OrderUnload:
		s.any = false
		s.models = slices.DeleteFunc(s.models, func(m string) bool { return m == o.modelName() })
	}
	return true
}

// serves reports whether requests for model are accepted. Requests give it as MODEL or
// MODEL:ADAPTER, without a version.
func (s *orderState) serves(model string) bool {
	if s.any {
		return true
	}
	return slices.ContainsFunc(s.models, func(entry string) bool {
		name, _, _ := strings.Cut(entry, "@")
		return name == model
	})
}

// modelNames returns a copy of the list of loaded models, never nil.
func (s *orderState) modelNames() []string { return append([]string{}, s.models...) }

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.serves(model)
}

// serveOrder executes one order after OrderTime. A load order makes the engine cold for
// ColdTime.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, e.cfg.MaxBodyBytes)).Decode(&o)
	if err != nil || !slices.Contains([]string{OrderLoad, OrderUnload, OrderRole}, o.Kind) {
		writeError(w, http.StatusBadRequest, "malformed order: kind must be load, unload or role")
		return
	}
	if e.cfg.OrderTime > 0 && !sleepWhileConnected(r, e.cfg.OrderTime) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.apply(o) {
		writeJSON(w, http.StatusConflict, fenceRejection{Fence: e.orders.fence})
		return
	}
	if o.Kind == OrderLoad {
		e.coldUntil = time.Now().Add(e.cfg.ColdTime)
	}
	writeJSON(w, http.StatusOK, OrderStatus{Fence: e.orders.fence, Models: e.orders.modelNames(), Role: e.orders.role})
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, OrderStatus{Fence: e.orders.fence, Models: e.orders.modelNames(), Role: e.orders.role})
}
