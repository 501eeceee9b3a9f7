package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

var (
	errFull      = errors.New("the engine's queue is full, or the engine is cold and at its request limit")
	errDuplicate = errors.New("a generation with this request ID exists already")
	errNoResume  = errors.New("no generation with this request ID and prompt has produced as many tokens as the resume offset")
)

// serveChat serves a new or resumed chat request, streaming or not, with the next fault of
// the queue.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	body := http.MaxBytesReader(w, r.Body, e.cfg.MaxBodyBytes)
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "malformed request: "+err.Error())
		return
	}
	if len(req.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "messages is empty")
		return
	}
	if !e.serves(req.Model) {
		writeError(w, http.StatusNotFound, "model is not loaded: "+req.Model)
		return
	}
	offset, err := resumeOffset(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "header must be an integer of at least 0: "+HeaderResumeOffset)
		return
	}
	id := requestID(r)
	fault := e.faults.next()
	if fault.Kind == FaultLate && !sleepWhileConnected(r, fault.duration()) {
		return
	}
	g, rd, err := e.openGeneration(id, &req, r.Header.Get(HeaderPriority), offset)
	if err != nil {
		reject(w, id, err)
		return
	}
	s := &stream{engine: e, g: g, reader: rd, sent: max(offset, 0), fault: fault, w: w, r: r}
	defer e.detach(g, rd)
	if req.Stream {
		s.serveStream(req.StreamOptions != nil && req.StreamOptions.IncludeUsage)
		return
	}
	s.serveCompletion()
}

// resumeOffset returns the offset to resume after, or -1 for a new request.
func resumeOffset(r *http.Request) (int, error) {
	text := r.Header.Get(HeaderResumeOffset)
	if text == "" {
		return -1, nil
	}
	n, err := strconv.Atoi(text)
	if err == nil && n < 0 {
		err = strconv.ErrRange
	}
	return n, err
}

// reject writes the error response for a request that openGeneration did not accept.
func reject(w http.ResponseWriter, id string, err error) {
	w.Header().Set(HeaderRequestID, id)
	if errors.Is(err, errFull) {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeError(w, http.StatusConflict, err.Error())
}

// openGeneration attaches a new reader to a new generation, which it queues, or, if offset
// is not negative, to the existing generation id. It fails with errFull, errDuplicate or
// errNoResume.
func (e *Engine) openGeneration(id string, req *ChatRequest, priority string, offset int) (*generation, *reader, error) {
	g := e.newGeneration(id, req, priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	existing := e.generations[id]
	if offset >= 0 {
		return e.resume(existing, g.seed, offset)
	}
	if existing != nil {
		e.stats.Rejected++
		return nil, nil, errDuplicate
	}
	if !e.batch.enqueue(g, e.cold(time.Now())) {
		e.stats.Rejected++
		return nil, nil, errFull
	}
	g.reader = newReader()
	e.generations[id] = g
	select {
	case e.work <- struct{}{}:
	default:
	}
	return g, g.reader, nil
}

// resume gives g a new reader and disconnects the former one. It fails unless g
// exists, answers the same prompt and has produced at least offset tokens.
func (e *Engine) resume(g *generation, seed uint64, offset int) (*generation, *reader, error) {
	if g == nil || g.seed != seed || offset > g.produced {
		e.stats.Rejected++
		return nil, nil, errNoResume
	}
	e.stats.Resumed++
	if g.reader != nil {
		close(g.reader.replaced)
	}
	g.reader = newReader()
	g.notify()
	return g, g.reader, nil
}

// newGeneration returns a generation for req that is not queued yet. A priority that
// is not an integer counts as 0.
func (e *Engine) newGeneration(id string, req *ChatRequest, priority string) *generation {
	g := &generation{
		id: id, model: req.Model, cacheKey: req.PromptCacheKey,
		seed: answerSeed(req.Messages), chain: promptChain(req.Messages),
		maxTokens: e.cfg.DefaultTokens, finish: finishStop, created: time.Now().Unix(),
	}
	if n := max(req.MaxTokens, req.MaxCompletionTokens); n > 0 {
		g.maxTokens, g.finish = n, finishLength
	}
	g.maxTokens = min(g.maxTokens, e.cfg.MaxTokens)
	g.priority, _ = strconv.Atoi(priority)
	return g
}

// detach removes rd from g and starts g's expiry, unless a resumed request has already
// replaced rd.
func (e *Engine) detach(g *generation, rd *reader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.reader != rd {
		return
	}
	g.reader = nil
	e.expireLater(g)
}

// progress returns how many tokens g has produced, and whether it has completed or
// been cancelled.
func (e *Engine) progress(g *generation) (produced int, done, cancelled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.produced, g.done, g.cancelled
}

// serveCancel cancels the generation with the request ID of the path.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.generations[mux.Vars(r)["id"]]
	if g != nil {
		e.cancel(g)
	}
	e.mu.Unlock()
	if g == nil {
		writeError(w, http.StatusNotFound, "no generation with this request ID")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
