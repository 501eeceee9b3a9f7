package standin

import (
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.loadReport(time.Now()))
}

// loadReport returns the cached load report, recomputed once it is LoadLag old. Its
// token rate is the mean since the report before; in the first report it is 0.
func (e *Engine) loadReport(now time.Time) LoadReport {
	age := now.Sub(e.reportAt)
	if !e.reportAt.IsZero() && age < e.cfg.LoadLag {
		return e.report
	}
	rate := 0.0
	if !e.reportAt.IsZero() {
		rate = float64(e.stats.Tokens-e.reportTokens) / age.Seconds()
	}
	e.report = LoadReport{
		BootID: e.cfg.BootID, Running: len(e.batch.running), Waiting: len(e.batch.waiting),
		KVUsed: e.batch.kvUsed, KVCapacity: e.cfg.KVCapacity, TokensPerSecond: rate,
		Models: e.orders.modelNames(), AsOfMs: now.UnixMilli(),
	}
	e.reportAt, e.reportTokens = now, e.stats.Tokens
	return e.report
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Stats())
}

// Stats returns the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.BootID = e.cfg.BootID
	s.InFlight, s.PeakInFlight = e.batch.inFlight(), e.batch.peakInFlight
	s.ResidentTokens, s.ColdOverloads = e.batch.cache.tokens(), e.batch.coldOverloads
	s.Cold = e.cold(time.Now())
	return s
}

// modelList is the OpenAI list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range e.orders.modelNames() {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		writeError(w, http.StatusBadRequest, "query parameter after must be an integer")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.events.eventsAfter(time.Now(), after)
	out.BootID = e.cfg.BootID
	writeJSON(w, http.StatusOK, out)
}

// An exported KV cache consists of kvMagic, the number of blocks (uint32, big endian),
// the hash of each block (uint64, big endian) and zero bytes up to KVBytesPerToken for
// each token, so that a transfer has a realistic size.
const (
	kvMagic      = "WKV1"
	kvHeaderSize = 8
	kvHashSize   = 8
)

var errMalformedKV = errors.New("malformed KV cache: want the magic bytes WKV1, a block count and a hash of 8 bytes for each block")

func encodeKV(blocks []uint64, bytesPerToken int) []byte {
	size := kvHeaderSize + max(len(blocks)*kvHashSize, len(blocks)*blockTokens*bytesPerToken)
	out := make([]byte, 0, size)
	out = append(out, kvMagic...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(blocks)))
	for _, hash := range blocks {
		out = binary.BigEndian.AppendUint64(out, hash)
	}
	return out[:size]
}

func decodeKV(data []byte) ([]uint64, error) {
	if len(data) < kvHeaderSize || string(data[:len(kvMagic)]) != kvMagic {
		return nil, errMalformedKV
	}
	n := int(binary.BigEndian.Uint32(data[len(kvMagic):]))
	data = data[kvHeaderSize:]
	if n > len(data)/kvHashSize {
		return nil, errMalformedKV
	}
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = binary.BigEndian.Uint64(data[i*kvHashSize:])
	}
	return blocks, nil
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	blocks := e.batch.cache.export(r.URL.Query().Get("key"))
	e.mu.Unlock()
	if len(blocks) == 0 {
		writeError(w, http.StatusNotFound, "no cached prefix for this key")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(encodeKV(blocks, e.cfg.KVBytesPerToken))
}

// maxImportBytes bounds an imported KV cache.
const maxImportBytes = 1 << 30

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxImportBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "reading the KV cache failed or it exceeds 1 GiB")
		return
	}
	blocks, err := decodeKV(data)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	key := r.URL.Query().Get("key")
	e.mu.Lock()
	e.batch.cache.store(key, blocks)
	e.events.addStored(time.Now(), key, len(blocks)*blockTokens)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
