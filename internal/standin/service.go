package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Service is a plain service for bookings and lookups. It is an http.Handler. It
// runs every booking it receives and counts the runs of each Idempotency-Key, so
// that duplicated runs can be detected.
type Service struct {
	cfg    ServiceConfig
	router *mux.Router
	faults faultQueue

	mu        sync.Mutex
	runs      map[string]int       // by Idempotency-Key
	records   map[string]KeyRecord // of the last run, by Idempotency-Key
	inFlight  int
	coldUntil time.Time
	stats     ServiceStats
}

// States of a KeyRecord.
const (
	KeyRan     = "ran"
	KeyRunning = "running"
	KeyNever   = "never"
)

// KeyRecord is the response body of GET /keys?key=K.
type KeyRecord struct {
	State  string `json:"state"`
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
}

// Booking is the response body of a booking.
type Booking struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// BodySHA256 is the hex digest of the request's own body.
	BodySHA256 string `json:"body_sha256"`
	Key        string `json:"key,omitempty"`
	// Run counts the runs of the key, this one included.
	Run int `json:"run"`
}

// Lookup is the response body of a lookup.
type Lookup struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Query      string `json:"query,omitempty"`
	BodySHA256 string `json:"body_sha256"`
	Quantity   int    `json:"quantity"`
}

// Runs is the response body of GET /standin/runs.
type Runs struct {
	Runs map[string]int `json:"runs"`
}

// ServiceStats is the response body of GET /standin/stats of a service.
type ServiceStats struct {
	BootID       string `json:"boot_id"`
	Requests     int64  `json:"requests"`
	Rejected     int64  `json:"refused"`
	Bookings     int64  `json:"bookings"`
	Lookups      int64  `json:"lookups"`
	InFlight     int    `json:"in_flight"`
	PeakInFlight int    `json:"peak_in_flight"`
}

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	cfg = cfg.withDefaults()
	fleet.SetDefault(&cfg.BootID, uuid.NewString())
	s := &Service{cfg: cfg, runs: make(map[string]int), records: make(map[string]KeyRecord)}
	m := mux.NewRouter()
	m.HandleFunc("/pickups", s.serveBooking).Methods(http.MethodPost)
	m.HandleFunc("/dispatches", s.serveBooking).Methods(http.MethodPost)
	m.PathPrefix("/stock/").HandlerFunc(s.serveLookup).Methods(http.MethodGet)
	m.HandleFunc("/orders/{id}", s.serveLookup).Methods(http.MethodGet)
	m.HandleFunc("/keys", s.serveKey).Methods(http.MethodGet)
	m.HandleFunc("/standin/runs", s.serveRuns).Methods(http.MethodGet)
	m.HandleFunc("/standin/stats", s.serveStats).Methods(http.MethodGet)
	m.HandleFunc("/standin/faults", s.faults.handler(s.turnCold)).Methods(http.MethodPost)
	m.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	s.router = m
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderBootID, s.cfg.BootID)
	if id := r.Header.Get(HeaderRequestID); id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	s.router.ServeHTTP(w, r)
}

// serveBooking runs a booking. A stalled booking runs after the stall even if the caller
// has disconnected.
func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	digest, ok := s.admit(w, r)
	if !ok {
		return
	}
	defer s.release()
	fault := s.faults.next()
	if fault.Kind == FaultStall {
		sleepWhileConnected(r, fault.duration())
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	run := s.startRun(key)
	time.Sleep(s.cfg.WorkTime)
	body, _ := json.Marshal(Booking{
		ID: uuid.NewString(), Method: r.Method, Path: r.URL.Path, BodySHA256: digest, Key: key, Run: run,
	})
	s.recordRun(key, KeyRecord{State: KeyRan, Status: http.StatusCreated, Body: string(body)})
	if fault.Kind == FaultCross {
		body = misdeliveredBooking(r)
	}
	s.writeAnswer(w, r, fault, http.StatusCreated, body)
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	digest, ok := s.admit(w, r)
	if !ok {
		return
	}
	defer s.release()
	fault := s.faults.next()
	if fault.Kind == FaultStall && !sleepWhileConnected(r, fault.duration()) {
		return
	}
	time.Sleep(s.cfg.WorkTime)
	answer := ExpectedLookup(r.URL.Path)
	if fault.Kind == FaultCross {
		answer = ExpectedLookup("/stock/" + misdeliveredID)
	}
	answer.Query, answer.BodySHA256 = r.URL.RawQuery, digest
	body, _ := json.Marshal(answer)
	s.mu.Lock()
	s.stats.Lookups++
	s.mu.Unlock()
	s.writeAnswer(w, r, fault, http.StatusOK, body)
}

// ExpectedLookup returns the response of every stand-in service to GET path
// without a query or body.
func ExpectedLookup(path string) Lookup {
	return Lookup{
		Method: http.MethodGet, Path: path, BodySHA256: digestOf(nil),
		Quantity: int(answerSeed([]Message{{Content: path}}) % 1000),
	}
}

// misdeliveredBooking returns the response body to a booking of another caller.
func misdeliveredBooking(r *http.Request) []byte {
	body, _ := json.Marshal(Booking{
		ID: misdeliveredID, Method: r.Method, Path: r.URL.Path, BodySHA256: digestOf([]byte(misdeliveredID)),
		Key: misdeliveredID, Run: 1,
	})
	return body
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// admit reads the body, acquires one of MaxInFlight slots and returns the body's digest.
// If it returns false, it has written the error response and holds no slot.
func (s *Service) admit(w http.ResponseWriter, r *http.Request) (digest string, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "reading the request body failed or it exceeds the limit")
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	if s.inFlight >= s.cfg.MaxInFlight || time.Now().Before(s.coldUntil) {
		s.stats.Rejected++
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "the service is cold or has no free slot")
		return "", false
	}
	s.inFlight++
	s.stats.PeakInFlight = max(s.stats.PeakInFlight, s.inFlight)
	return digestOf(body), true
}

// release frees the slot that admit acquired.
func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// startRun counts a run of key and returns the number of its runs so far, this one
// included. Without a key it returns 1.
func (s *Service) startRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Bookings++
	if key == "" {
		return 1
	}
	s.runs[key]++
	s.records[key] = KeyRecord{State: KeyRunning}
	return s.runs[key]
}

// recordRun stores the result of the last run of key.
func (s *Service) recordRun(key string, record KeyRecord) {
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records[key] = record
}

// writeAnswer writes the response with the fault applied.
func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, fault Fault, status int, body []byte) {
	switch fault.Kind {
	case FaultLate, FaultSlow:
		if !sleepWhileConnected(r, fault.duration()) {
			return
		}
	case FaultCross:
		w.Header().Set(HeaderRequestID, misdeliveredID)
	case FaultCut:
		s.writeCutAnswer(w, status, body, fault.After)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// writeCutAnswer writes the first n bytes of the body, at most all but one, and closes
// the connection.
func (s *Service) writeCutAnswer(w http.ResponseWriter, status int, body []byte, n int) {
	if n > 0 {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(body[:min(n, len(body)-1)])
		_ = http.NewResponseController(w).Flush()
	}
	abortResponse()
}

// serveKey serves GET /keys?key=K, the lookup of a key's last run.
func (s *Service) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	record, ok := s.records[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		record = KeyRecord{State: KeyNever}
	}
	writeJSON(w, http.StatusOK, record)
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := maps.Clone(s.runs)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, Runs{Runs: runs})
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := s.stats
	stats.BootID, stats.InFlight = s.cfg.BootID, s.inFlight
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, stats)
}

// turnCold makes the service answer 503 for d, or for defaultColdFault if d is 0.
func (s *Service) turnCold(d time.Duration) {
	if d == 0 {
		d = defaultColdFault
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}
