package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Engine is a model engine that batches continuously. It is an http.Handler.
// Close ends its decode loop.
type Engine struct {
	cfg    EngineConfig
	router *mux.Router
	faults faultQueue
	work   chan struct{}
	stop   context.CancelFunc
	done   chan struct{}

	mu          sync.Mutex
	batch       batch
	generations map[string]*generation
	events      *eventLog
	orders      orderState
	coldUntil   time.Time
	// report is the last load report, computed at reportAt, when stats.Tokens was
	// reportTokens.
	report       LoadReport
	reportAt     time.Time
	reportTokens int64
	stats        Stats
}

// LoadReport is the response body of GET /load.
type LoadReport struct {
	BootID          string   `json:"boot_id"`
	Running         int      `json:"running"`
	Waiting         int      `json:"waiting"`
	KVUsed          int      `json:"kv_used"`
	KVCapacity      int      `json:"kv_capacity"`
	TokensPerSecond float64  `json:"tokens_per_second"`
	Models          []string `json:"models"`
	// AsOfMs is the time of the report in milliseconds since the Unix epoch.
	AsOfMs int64 `json:"as_of_ms"`
}

// Stats is the response body of GET /standin/stats of an engine.
type Stats struct {
	BootID         string `json:"boot_id"`
	Requests       int64  `json:"requests"`
	Resumed        int64  `json:"resumed"`
	Rejected       int64  `json:"refused"`
	Completed      int64  `json:"completed"`
	Cancelled      int64  `json:"cancelled"`
	Tokens         int64  `json:"tokens"`
	InFlight       int    `json:"in_flight"`
	PeakInFlight   int    `json:"peak_in_flight"`
	PromptTokens   int64  `json:"prompt_tokens"`
	CachedTokens   int64  `json:"cached_tokens"`
	ResidentTokens int    `json:"resident_tokens"`
	// ColdOverloads counts requests above ColdConcurrency while the engine was
	// cold, rejected ones included.
	ColdOverloads int  `json:"cold_overloads"`
	Cold          bool `json:"cold"`
}

// NewEngine returns a running engine.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	fleet.SetDefault(&cfg.BootID, uuid.NewString())
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		cfg: cfg, stop: stop, done: make(chan struct{}), work: make(chan struct{}, 1),
		generations: make(map[string]*generation),
		events:      newEventLog(cfg),
		orders:      newOrderState(cfg),
		coldUntil:   time.Now().Add(cfg.ColdTime),
	}
	cache := newPrefixCache(cfg.CacheTokens, func(key string) { e.events.addEvicted(time.Now(), key) })
	e.batch = batch{cfg: cfg, cache: cache}
	e.router = e.routes()
	go e.decodeLoop(ctx)
	return e
}

// Close ends the decode loop. Streams in flight end without [DONE].
func (e *Engine) Close() {
	e.stop()
	<-e.done
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.generations {
		e.cancel(g)
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderBootID, e.cfg.BootID)
	e.router.ServeHTTP(w, r)
}

func (e *Engine) routes() *mux.Router {
	m := mux.NewRouter()
	m.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	m.HandleFunc("/v1/requests/{id}", e.serveCancel).Methods(http.MethodDelete)
	m.HandleFunc("/v1/models", e.serveModels).Methods(http.MethodGet)
	m.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	m.HandleFunc("/cache/events", e.serveEvents).Methods(http.MethodGet)
	m.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	m.HandleFunc("/orders", e.serveOrders).Methods(http.MethodGet)
	m.HandleFunc("/kv/export", e.serveExport).Methods(http.MethodPost)
	m.HandleFunc("/kv/import", e.serveImport).Methods(http.MethodPost)
	m.HandleFunc("/standin/faults", e.faults.handler(e.turnCold)).Methods(http.MethodPost)
	m.HandleFunc("/standin/stats", e.serveStats).Methods(http.MethodGet)
	m.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	return m
}

// decodeLoop runs one decode step after the other while there is work, until ctx ends. A
// step starts at the time when the one before was due to end, so that timer delays
// don't add up.
func (e *Engine) decodeLoop(ctx context.Context) {
	defer close(e.done)
	due := time.Now()
	for {
		d, ok := e.startStep()
		if !ok {
			select {
			case <-e.work:
				due = time.Now()
				continue
			case <-ctx.Done():
				return
			}
		}
		due = due.Add(d)
		if !sleepUntil(ctx, due) {
			return
		}
		// A loop that is more than a step behind drops the delay; it does not make up
		// for it with shorter steps.
		if behind := time.Since(due); behind > d {
			due = due.Add(behind)
		}
		e.finishStep()
	}
}

// sleepUntil sleeps until due. It returns false if ctx ended.
func sleepUntil(ctx context.Context, due time.Time) bool {
	if d := time.Until(due); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// startStep starts the next decode step and returns its duration. It returns false if
// no request is in flight.
func (e *Engine) startStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch.inFlight() == 0 {
		return 0, false
	}
	return e.batch.startStep(e.cold(time.Now())), true
}

// finishStep ends the decode step and notifies the readers of the requests that are
// running or have completed.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	produced, ended := e.batch.finishStep()
	e.stats.Tokens += int64(produced)
	for _, g := range ended {
		e.complete(g)
	}
	for _, g := range e.batch.running {
		g.notify()
	}
}

// complete counts g as completed and stores the prefix of its prompt and answer in the
// cache. It keeps g resumable for ResumeTime.
func (e *Engine) complete(g *generation) {
	e.stats.Completed++
	e.stats.PromptTokens += int64(g.chain.tokens)
	e.stats.CachedTokens += int64(g.cachedTokens)
	full := g.chain
	full.blocks = append([]uint64(nil), full.blocks...)
	full.add(roleAssistant)
	full.add(expectedText(g.seed, g.maxTokens))
	e.batch.cache.store(g.cacheKey, full.blocks)
	e.events.addStored(time.Now(), g.cacheKey, len(full.blocks)*blockTokens)
	g.notify()
	e.expireLater(g)
}

const roleAssistant = "assistant"

// expireLater cancels and drops g if, after ResumeTime, it has no reader and no newer
// expiry timer.
func (e *Engine) expireLater(g *generation) {
	g.expiries++
	expiry := g.expiries
	time.AfterFunc(e.cfg.ResumeTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.generations[g.id] == g && g.reader == nil && g.expiries == expiry {
			e.cancel(g)
		}
	})
}

// cancel drops g and, if it has not ended, removes it from the batch.
func (e *Engine) cancel(g *generation) {
	delete(e.generations, g.id)
	if g.done || g.cancelled {
		return
	}
	g.cancelled = true
	e.stats.Cancelled++
	e.batch.remove(g)
	g.notify()
}

// cold reports whether the engine is cold at now.
func (e *Engine) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// turnCold makes the engine cold for d and clears its cache. If d is 0, it uses
// ColdTime, but at least defaultColdFault.
func (e *Engine) turnCold(d time.Duration) {
	if d == 0 {
		d = max(e.cfg.ColdTime, defaultColdFault)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(d)
	e.batch.cache.clear()
}

// defaultColdFault is how long a cold fault without a duration lasts.
const defaultColdFault = 5 * time.Second
