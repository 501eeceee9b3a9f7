package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// HandlerSettings configures the operators' HTTP API.
type HandlerSettings struct {
	Backend Backend
	// Tokens holds the SHA-256 digests of the operators' tokens. If it is empty,
	// every call is rejected with 401.
	Tokens []KeyDigest
	// Zones lists the availability zones that may be taken out of service or
	// back in; empty means any.
	Zones []fleet.AvailabilityZone
	// Log and Metrics may be nil.
	Log     hclog.Logger
	Metrics metrics.Registry
}

// NewHandler returns the handler of the operators' HTTP API, under /v1/.
func NewHandler(s HandlerSettings) http.Handler {
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	h := &handler{HandlerSettings: s}
	r := mux.NewRouter()
	r.HandleFunc(pathConfig, h.getConfig).Methods(http.MethodGet)
	r.HandleFunc(pathConfig, h.putConfig).Methods(http.MethodPut)
	r.HandleFunc(pathStatus, h.getStatus).Methods(http.MethodGet)
	r.HandleFunc(pathUpstreams, h.getUpstreams).Methods(http.MethodGet)
	r.HandleFunc(pathZone+"{name}", h.putState(KindZone)).Methods(http.MethodPut)
	r.HandleFunc(pathInstance+"{name}", h.putState(KindInstance)).Methods(http.MethodPut)
	r.HandleFunc(pathUpstream+"{name}", h.putState(KindUpstream)).Methods(http.MethodPut)
	r.HandleFunc(pathOrders, h.postOrder).Methods(http.MethodPost)
	r.Use(h.authenticate)
	return r
}

type handler struct{ HandlerSettings }

// authenticate rejects calls without an operator's token with 401. It compares
// the token's digest with every configured digest in constant time, so that
// timing reveals nothing about a token.
func (h *handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(token))
		match := 0
		for _, t := range h.Tokens {
			match |= subtle.ConstantTimeCompare(digest[:], t[:])
		}
		if !ok || match == 0 {
			h.countCall("unauthenticated")
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "give an operator's token")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) countCall(outcome string) {
	metrics.GetOrRegisterCounter("operator."+outcome, h.Metrics).Inc(1)
}

func (h *handler) getConfig(w http.ResponseWriter, r *http.Request) {
	c, err := h.Backend.Committed(r.Context())
	if err != nil {
		h.writeBackendError(w, r, err)
		return
	}
	w.Header().Set(headerVersion, formatVersion(c.State.Version))
	writeJSON(w, http.StatusOK, c.State.Lists)
}

func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) {
	status, err := h.Backend.Status(r.Context())
	if err != nil {
		h.writeBackendError(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (h *handler) getUpstreams(w http.ResponseWriter, r *http.Request) {
	upstreams, err := h.Backend.Upstreams(r.Context())
	if err != nil {
		h.writeBackendError(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, upstreams)
}

func (h *handler) putConfig(w http.ResponseWriter, r *http.Request) {
	var config lists.Config
	if !readJSON(w, r, &config) {
		return
	}
	if violations := lists.Check(config); len(violations) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, Result{Error: "the lists have faults", Violations: violations})
		return
	}
	cmd := Command{Kind: KindLists}
	if !readPreconditions(w, r, &cmd) {
		return
	}
	c, err := h.Backend.Committed(r.Context())
	if err != nil {
		h.writeBackendError(w, r, notProposed(err))
		return
	}
	if err := fillListsCommand(&cmd, &c.State, config); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	h.propose(w, r, cmd)
}

func (h *handler) putState(kind Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body stateBody
		if !readJSON(w, r, &body) {
			return
		}
		if body.State != stateIn && body.State != stateOut {
			writeError(w, http.StatusBadRequest, `state must be "out" or "in"`)
			return
		}
		name := mux.Vars(r)["name"]
		if kind == KindZone && len(h.Zones) > 0 && !slices.Contains(h.Zones, fleet.AvailabilityZone(name)) {
			writeError(w, http.StatusNotFound, "no such availability zone")
			return
		}
		cmd := Command{Kind: kind, Name: name, Out: body.State == stateOut}
		if readPreconditions(w, r, &cmd) {
			h.propose(w, r, cmd)
		}
	}
}

func (h *handler) postOrder(w http.ResponseWriter, r *http.Request) {
	var spec OrderSpec
	if !readJSON(w, r, &spec) {
		return
	}
	if violation := spec.violation(); violation != "" {
		writeError(w, http.StatusBadRequest, violation)
		return
	}
	cmd := Command{Kind: KindOrder, Order: &spec}
	if readPreconditions(w, r, &cmd) {
		h.propose(w, r, cmd)
	}
}

// violation returns a message about the first invalid field of an order, or "".
func (o *OrderSpec) violation() string {
	switch {
	case o.Upstream == "":
		return "the order names no upstream"
	case (o.Action == ActionLoad || o.Action == ActionUnload) && o.Model == "":
		return "the order names no model"
	case o.Action == ActionRole && o.Role == "":
		return "the order names no role"
	case o.Action != ActionLoad && o.Action != ActionUnload && o.Action != ActionRole:
		return "the action must be load, unload or role"
	}
	return ""
}

// propose commits an operator's command and writes the response.
func (h *handler) propose(w http.ResponseWriter, r *http.Request, cmd Command) {
	a, err := Propose(r.Context(), h.Backend, cmd)
	if err != nil {
		h.writeBackendError(w, r, err)
		return
	}
	h.Log.Info("operator command decided", "operation", cmd.Operation, "kind", cmd.Kind, "code", a.Code, "version", a.Version)
	h.countCall(metricNames[a.Code])
	w.Header().Set(headerVersion, formatVersion(a.Version))
	writeJSON(w, httpStatus(a.Code, cmd.Kind), Result{Version: a.Version, Decided: true, Error: a.Message})
}

// readPreconditions sets the command's operation ID and expected version from
// the request headers that every change must have. It writes the error response
// and reports false if one is missing or malformed.
func readPreconditions(w http.ResponseWriter, r *http.Request, cmd *Command) bool {
	cmd.Operation = r.Header.Get(headerOperation)
	if cmd.Operation == "" {
		writeError(w, http.StatusBadRequest, headerOperation+" is missing")
		return false
	}
	tag := r.Header.Get(headerExpect)
	if tag == "" {
		writeError(w, http.StatusPreconditionRequired, headerExpect+" is missing: give the version that you saw")
		return false
	}
	if tag == anyVersion && cmd.Kind != KindLists {
		cmd.AnyVersion = true
		return true
	}
	version, ok := parseVersion(tag)
	if !ok {
		writeError(w, http.StatusBadRequest, headerExpect+` must be a version in quotes, such as "17"`)
		return false
	}
	cmd.Expect = version
	return true
}

var metricNames = map[Code]string{
	CodeAccepted: "accepted", CodeConflict: "conflict", CodeOperationReused: "operation_reused",
	CodeMalformed: "malformed", CodeBusy: "busy",
}

func httpStatus(code Code, kind Kind) int {
	switch code {
	case CodeAccepted:
		if kind == KindOrder {
			return http.StatusAccepted
		}
		return http.StatusOK
	case CodeConflict:
		return http.StatusPreconditionFailed
	case CodeOperationReused:
		return http.StatusUnprocessableEntity
	case CodeBusy:
		return http.StatusConflict
	default:
		return http.StatusBadRequest
	}
}

// notProposed returns an error of type ErrNotLeader or ErrUnavailable for an error
// that occurred before anything was proposed.
func notProposed(err error) error {
	if errorx.IsOfType(err, ErrNotLeader) || errorx.IsOfType(err, ErrUnavailable) {
		return err
	}
	return ErrUnavailable.Wrap(err, "read the committed configuration")
}

// writeBackendError writes the response for an error of the backend. The outcome
// is not-run for GET requests and for errors that rule out an effect.
func (h *handler) writeBackendError(w http.ResponseWriter, r *http.Request, err error) {
	h.Log.Warn("operator call failed", "method", r.Method, "path", r.URL.Path, "error", err)
	notRun := errorx.IsOfType(err, ErrNotLeader) || errorx.IsOfType(err, ErrUnavailable)
	switch leader := h.Backend.Leader(); {
	case errorx.IsOfType(err, ErrNotLeader) && leader != "":
		h.countCall("redirected")
		w.Header().Set("Location", "http://"+leader+r.URL.RequestURI())
		w.Header().Set(headerOutcome, fleet.OutcomeNotRun.String())
		writeError(w, http.StatusTemporaryRedirect, "another control member leads")
	case notRun || r.Method == http.MethodGet:
		h.countCall("unavailable")
		w.Header().Set("Retry-After", "1")
		w.Header().Set(headerOutcome, fleet.OutcomeNotRun.String())
		writeError(w, http.StatusServiceUnavailable, err.Error())
	default:
		h.countCall("unknown")
		w.Header().Set(headerOutcome, fleet.OutcomeUnknown.String())
		writeError(w, http.StatusGatewayTimeout, "the outcome is unknown: send it again with the same "+headerOperation)
	}
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, Result{Error: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON decodes the body, which must be one JSON value without unknown fields.
// It writes the error response and reports false if the body is invalid.
func readJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	err := d.Decode(body)
	if err == nil {
		_, err = d.Token()
		if err == io.EOF {
			return true
		}
	}
	message := "the body holds more than one JSON value"
	if err != nil {
		message = "the body cannot be read: " + err.Error()
	}
	writeError(w, http.StatusBadRequest, message)
	return false
}
