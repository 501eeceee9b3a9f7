package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// stream writes one generation to one connection.
type stream struct {
	engine *Engine
	g      *generation
	reader *reader
	sent   int // tokens written so far, those before a resume offset included
	fault  Fault
	w      http.ResponseWriter
	r      *http.Request
	buf    []byte // events that are not flushed yet
	prefix []byte // the result of chunkPrefix; nil if it must be recomputed
}

// misdeliveredID is the request ID that a misdelivered answer carries.
const misdeliveredID = "crossed"

// seed returns the seed that token n is generated from: another request's seed once a
// cross fault applies.
func (s *stream) seed(n int) uint64 {
	if s.misdelivered(n) {
		return ^s.g.seed
	}
	return s.g.seed
}

// id returns the request ID that token n carries: misdeliveredID once a cross fault
// applies.
func (s *stream) id(n int) string {
	if s.misdelivered(n) {
		return misdeliveredID
	}
	return s.g.id
}

// misdelivered reports whether token n belongs to another request's answer.
func (s *stream) misdelivered(n int) bool { return s.fault.Kind == FaultCross && n > s.fault.After }

// serveStream writes the answer as server-sent events, one for each token. It closes the
// connection without an end event if the generation is cancelled.
func (s *stream) serveStream(includeUsage bool) {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderRequestID, s.id(s.sent+1))
	s.w.WriteHeader(http.StatusOK)
	s.flush()
	for {
		produced, done, cancelled := s.engine.progress(s.g)
		if cancelled {
			abortResponse()
		}
		s.writeTokens(produced)
		if done {
			s.writeEnd(includeUsage)
			return
		}
		s.awaitTokens()
	}
}

// awaitTokens returns once there are more tokens or the generation has ended. It closes
// the connection if another one has replaced it or the caller has disconnected.
func (s *stream) awaitTokens() {
	select {
	case <-s.reader.wake:
	case <-s.reader.replaced:
		abortResponse()
	case <-s.r.Context().Done():
		abortResponse()
	}
}

// writeTokens writes the events up to token produced. It flushes them together, or
// one at a time if the request has a fault.
func (s *stream) writeTokens(produced int) {
	for s.sent < produced {
		s.applyFault()
		s.sent++
		s.appendEvent(s.sent)
		if s.fault.Kind != "" {
			s.flush()
		}
	}
	s.flush()
}

// applyFault applies the request's fault if it is due before the next token.
func (s *stream) applyFault() {
	switch {
	case s.fault.Kind == FaultSlow:
		if !sleepWhileConnected(s.r, s.fault.duration()) {
			abortResponse()
		}
	case s.sent != s.fault.After:
	case s.fault.Kind == FaultStall:
		if !sleepWhileConnected(s.r, s.fault.duration()) {
			abortResponse()
		}
	case s.fault.Kind == FaultCut:
		abortResponse()
	case s.fault.Kind == FaultCross:
		s.prefix = nil
	}
}

// appendEvent appends the event of token n.
func (s *stream) appendEvent(n int) {
	if s.prefix == nil {
		s.prefix = chunkPrefix(s.id(n), s.g)
	}
	b := append(s.buf, "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, s.prefix...)
	if n == 1 {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":"`...)
	b = appendToken(b, s.seed(n), n)
	b = append(b, `"},"finish_reason":`...)
	if n == s.g.maxTokens {
		b = append(b, '"')
		b = append(b, s.g.finish...)
		b = append(b, '"')
	} else {
		b = append(b, "null"...)
	}
	s.buf = append(b, "}]}\n\n"...)
}

// chunkPrefix returns the bytes between event ID and delta, which are the same for
// every chunk of a stream.
func chunkPrefix(id string, g *generation) []byte {
	chunkID, _ := json.Marshal(idPrefix + id)
	model, _ := json.Marshal(g.model)
	b := append([]byte("\ndata: {\"id\":"), chunkID...)
	b = append(b, `,"object":"`+objectChunk+`","created":`...)
	b = strconv.AppendInt(b, g.created, 10)
	b = append(b, `,"model":`...)
	b = append(b, model...)
	return append(b, `,"choices":[{"index":0,"delta":{`...)
}

// writeEnd writes the usage chunk, if requested, and the end event.
func (s *stream) writeEnd(includeUsage bool) {
	if includeUsage {
		chunk, _ := json.Marshal(usageChunk{
			ID: idPrefix + s.id(s.sent+1), Object: objectChunk, Created: s.g.created,
			Model: s.g.model, Choices: []struct{}{}, Usage: s.g.usage(),
		})
		s.buf = append(s.buf, "data: "...)
		s.buf = append(s.buf, chunk...)
		s.buf = append(s.buf, "\n\n"...)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	s.flush()
}

// flush sends the buffered events. It closes the connection if that fails.
func (s *stream) flush() {
	if len(s.buf) > 0 {
		if _, err := s.w.Write(s.buf); err != nil {
			abortResponse()
		}
		s.buf = s.buf[:0]
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		abortResponse()
	}
}

// serveCompletion waits until the generation has completed and writes the answer
// as one JSON object.
func (s *stream) serveCompletion() {
	for {
		produced, done, cancelled := s.engine.progress(s.g)
		if cancelled {
			abortResponse()
		}
		for s.sent < produced {
			s.applyFault()
			s.sent++
		}
		if done {
			break
		}
		s.awaitTokens()
	}
	s.w.Header().Set(HeaderRequestID, s.id(s.g.maxTokens))
	writeJSON(s.w, http.StatusOK, chatCompletion{
		ID: idPrefix + s.id(s.sent+1), Object: objectCompletion, Created: time.Now().Unix(), Model: s.g.model,
		Choices: []chatChoice{{
			Message:      Message{Role: roleAssistant, Content: expectedText(s.seed(s.g.maxTokens), s.g.maxTokens)},
			FinishReason: s.g.finish,
		}},
		Usage: s.g.usage(),
	})
}

func (g *generation) usage() Usage {
	return Usage{
		PromptTokens: g.chain.tokens, CompletionTokens: g.maxTokens,
		TotalTokens:         g.chain.tokens + g.maxTokens,
		PromptTokensDetails: PromptDetails{CachedTokens: g.cachedTokens},
	}
}
