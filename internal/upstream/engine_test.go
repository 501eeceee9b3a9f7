package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// fakeEngine generates tokens for chats. Each connection gets the next fault.
type fakeEngine struct {
	mu       sync.Mutex
	tokens   int
	faults   []engineFault
	canceled []string
	requests []*http.Request
	received chan struct{} // receives a value per chat request, if set
}

type engineFault struct {
	status       int    // instead of a stream
	retry        string // Retry-After
	misdelivered bool   // headers name another attempt
	unnamed      bool   // headers name none
	json         bool   // content type of JSON instead of a stream
	cutAfter     int    // abort the stream after this number of events
	stall        bool   // stop sending after cutAfter events
	duplicated   bool   // send every event twice
	skip         int    // omit this token
	foreign      int    // this token's chunk names another attempt
}

func (f *fakeEngine) nextFault(r *http.Request) engineFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	if len(f.faults) == 0 {
		return engineFault{}
	}
	fault := f.faults[0]
	f.faults = f.faults[1:]
	return fault
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.canceled = append(f.canceled, strings.TrimPrefix(r.URL.Path, "/v1/requests/"))
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // a request with an incomplete body is not run
	}
	f.chat(w, r, f.nextFault(r))
}

func (f *fakeEngine) chat(w http.ResponseWriter, r *http.Request, fault engineFault) {
	id := r.Header.Get("X-Request-Id")
	switch {
	case fault.misdelivered:
		w.Header().Set("X-Request-Id", "other")
	case !fault.unnamed:
		w.Header().Set("X-Request-Id", id)
	}
	w.Header().Set("Engine-Boot-Id", "boot1")
	w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
	if fault.json {
		w.Header().Set("Content-Type", "application/json")
	}
	if fault.retry != "" {
		w.Header().Set("Retry-After", fault.retry)
	}
	if fault.status != 0 {
		w.WriteHeader(fault.status)
		fmt.Fprint(w, `{"error":{}}`)
		return
	}
	_ = http.NewResponseController(w).Flush()
	if f.received != nil {
		f.received <- struct{}{}
	}
	from, _ := strconv.Atoi(r.Header.Get("Wigeonflow-Resume-Offset"))
	f.generate(w, r, fault, answer.AttemptID(id), from)
}

func (f *fakeEngine) generate(w http.ResponseWriter, r *http.Request, fault engineFault, id answer.AttemptID, from int) {
	for n, sent := from+1, 0; n <= f.tokens+2; n, sent = n+1, sent+1 {
		if fault.stall && sent == fault.cutAfter {
			<-r.Context().Done()
			return
		}
		if fault.cutAfter > 0 && sent == fault.cutAfter {
			panic(http.ErrAbortHandler)
		}
		if n == fault.skip {
			continue
		}
		copies := 1
		if fault.duplicated {
			copies = 2
		}
		for range copies {
			_, _ = w.Write(f.event(id, n, n == fault.foreign))
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func (f *fakeEngine) event(id answer.AttemptID, n int, foreign bool) []byte {
	if foreign {
		id = "other"
	}
	switch {
	case n <= f.tokens:
		data := fmt.Appendf(nil, `{"id":"chatcmpl-%s","choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":null}]}`, id, n)
		return answer.AppendEvent(nil, answer.Event{Offset: uint64(n), Data: data})
	case n == f.tokens+1:
		data := fmt.Appendf(nil, `{"id":"chatcmpl-%s","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":%d}}`, id, f.tokens)
		return answer.AppendEvent(nil, answer.Event{Data: data})
	default:
		return answer.AppendDone(nil)
	}
}

func startEngine(t *testing.T, f *fakeEngine) *HTTPEngine {
	t.Helper()
	server := httptest.NewServer(f)
	client := NewHTTPClient()
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return NewEngine(server.Listener.Addr().String(), client)
}

// chatWithResumes makes one attempt with its resumptions as an entry router does.
func chatWithResumes(ctx context.Context, e Engine) (text string, counts answer.Counts, last answer.Decision) {
	assembler := answer.NewAssembler("a1")
	progress := answer.NewProgress(answer.KindChat, answer.Budget{Resumes: 50})
	var completion answer.Completion
	relay := func() answer.RelayState {
		return answer.RelayState{Started: assembler.Offset() > 0, Offset: assembler.Offset()}
	}
	req := ChatRequest{Attempt: "a1", Body: []byte(`{"stream":true}`)}
	for {
		end, facts := attempt(ctx, e, req, assembler, &completion)
		last = progress.Next(0, end, facts, relay())
		if last.Action != answer.ActionResume {
			body, _ := completion.Body()
			return string(body), assembler.Counts(), last
		}
		req.Resume, req.Offset = true, last.Offset
	}
}

func attempt(ctx context.Context, e Engine, req ChatRequest, a *answer.Assembler, completion *answer.Completion) (answer.End, answer.Facts) {
	stream, err := e.Chat(ctx, req)
	if err != nil {
		return EndOf(err)
	}
	defer stream.Close()
	for {
		ev, err := stream.Next(ctx)
		if err != nil {
			return EndOf(err)
		}
		switch a.Accept(req.Attempt, ev) {
		case answer.VerdictRelay:
			_ = completion.Add(ev.Data)
		case answer.VerdictEnd:
			return answer.EndComplete, stream.Facts()
		case answer.VerdictGap, answer.VerdictUnmatched, answer.VerdictMisdelivered:
			_ = stream.Detach()
			return answer.EndCut, answer.Facts{MayHaveBeenSent: true, Accepted: true}
		}
	}
}

func TestChatIsCompleteDespiteFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []engineFault
	}{
		{"no fault", nil},
		{"cut once", []engineFault{{cutAfter: 3}}},
		{"cut after every token", []engineFault{{cutAfter: 1}, {cutAfter: 1}, {cutAfter: 1}, {cutAfter: 1}, {cutAfter: 1}}},
		{"cut before the usage", []engineFault{{cutAfter: 5}}},
		{"cut before the end", []engineFault{{cutAfter: 6}}},
		{"duplicated events", []engineFault{{duplicated: true}}},
		{"lost token", []engineFault{{skip: 3}}},
		{"lost last token", []engineFault{{skip: 5}}},
		{"lost usage", []engineFault{{skip: 6}}},
		{"misdelivered token", []engineFault{{foreign: 2}}},
		{"misdelivered resumption", []engineFault{{cutAfter: 2}, {misdelivered: true}}},
		{"engine full at the resumption", []engineFault{{cutAfter: 2}, {status: 503}}},
		{"all at once", []engineFault{{cutAfter: 2, duplicated: true}, {status: 503}, {skip: 4}, {misdelivered: true}, {foreign: 5}, {cutAfter: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			engine := startEngine(t, &fakeEngine{tokens: 5, faults: c.faults})
			body, _, last := chatWithResumes(t.Context(), engine)
			is.Equal(last.Action, answer.ActionDone)
			is.True(strings.Contains(body, `"content":"w1 w2 w3 w4 w5 "`))
			is.True(strings.Contains(body, `"completion_tokens":5`))
		})
	}
}

func TestChatReportsEndAndFacts(t *testing.T) {
	left := answer.Facts{MayHaveBeenSent: true}
	accepted := answer.Facts{MayHaveBeenSent: true, Accepted: true}
	for _, c := range []struct {
		name   string
		fault  engineFault
		resume bool
		end    answer.End
		facts  answer.Facts
		wait   time.Duration
	}{
		{"full", engineFault{status: 503, retry: "7"}, false, answer.EndDeclined, answer.Facts{MayHaveBeenSent: true, Complete: true, Declined: true}, 7 * time.Second},
		{"too many requests", engineFault{status: 429}, false, answer.EndDeclined, answer.Facts{MayHaveBeenSent: true, Complete: true, Declined: true}, 0},
		{"can't resume", engineFault{status: 409}, true, answer.EndResumeDeclined, left, 0},
		{"bad request", engineFault{status: 400}, false, answer.EndBadRequest, answer.Facts{MayHaveBeenSent: true, Complete: true}, 0},
		{"bad request without a name", engineFault{status: 400, unnamed: true}, false, answer.EndBadRequest, answer.Facts{MayHaveBeenSent: true, Complete: true}, 0},
		{"engine failure", engineFault{status: 500}, false, answer.EndCut, left, 0},
		{"misdelivered headers", engineFault{misdelivered: true}, false, answer.EndMisdelivered, left, 0},
		{"misdelivered failure", engineFault{misdelivered: true, status: 503}, false, answer.EndMisdelivered, left, 0},
		{"headers without a name", engineFault{unnamed: true}, false, answer.EndMisdelivered, left, 0},
		{"not a stream", engineFault{json: true}, false, answer.EndCut, left, 0},
		{"cut at once", engineFault{cutAfter: 1}, false, answer.EndCut, accepted, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			engine := startEngine(t, &fakeEngine{tokens: 0, faults: []engineFault{c.fault}})
			stream, err := engine.Chat(t.Context(), ChatRequest{Attempt: "a1", Resume: c.resume})
			for err == nil {
				_, err = stream.Next(t.Context())
			}
			end, facts := EndOf(err)
			is.Equal(end, c.end)
			is.Equal(facts, c.facts)
			var failed *AttemptError
			is.True(errors.As(err, &failed))
			is.Equal(failed.RetryAfter, c.wait)
		})
	}
}

func TestChatWithoutAConnectionDidNotRun(t *testing.T) {
	is := is.New(t)
	_, err := NewEngine(refusedAddr(t), NewHTTPClient()).Chat(t.Context(), ChatRequest{Attempt: "a1"})
	end, facts := EndOf(err)
	is.Equal(end, answer.EndNotConnected)
	is.Equal(facts.Outcome(), fleet.OutcomeNotRun)
}

func TestChatCallsBeforeWrite(t *testing.T) {
	for rejectAt := 1; rejectAt <= 2; rejectAt++ {
		t.Run(fmt.Sprint("rejected at call ", rejectAt), func(t *testing.T) {
			is := is.New(t)
			f := &fakeEngine{}
			calls := 0
			_, err := startEngine(t, f).Chat(t.Context(), ChatRequest{Attempt: "a1", Body: []byte("{}"), BeforeWrite: func() error {
				calls++
				if calls == rejectAt {
					return errors.New("lease ended")
				}
				return nil
			}})
			_, facts := EndOf(err)
			is.Equal(facts.MayHaveBeenSent, rejectAt == 2) // the header may have been sent by then
			f.mu.Lock()
			defer f.mu.Unlock()
			is.Equal(len(f.requests), 0)
		})
	}
}

func TestStalledChatIsAborted(t *testing.T) {
	is := is.New(t)
	engine := startEngine(t, &fakeEngine{tokens: 5, faults: []engineFault{{stall: true, cutAfter: 2}}})
	stream, err := engine.Chat(t.Context(), ChatRequest{Attempt: "a1", MaxStall: 50 * time.Millisecond})
	for err == nil {
		_, err = stream.Next(t.Context())
	}
	end, facts := EndOf(err)
	is.Equal(end, answer.EndCut)
	is.Equal(facts, answer.Facts{MayHaveBeenSent: true, Accepted: true})
}

func TestCloseCancelsUnfinishedGeneration(t *testing.T) {
	for _, c := range []struct {
		name     string
		end      func(t *testing.T, s ChatStream)
		canceled int
	}{
		{"caller leaves", func(t *testing.T, s ChatStream) { _ = s.Close() }, 1},
		{"closed twice", func(t *testing.T, s ChatStream) { _ = s.Close(); _ = s.Close() }, 1},
		{"detached to be resumed", func(t *testing.T, s ChatStream) { _ = s.Detach(); _ = s.Close() }, 0},
		{"read to the end", func(t *testing.T, s ChatStream) {
			for {
				if _, err := s.Next(t.Context()); errors.Is(err, io.EOF) {
					break
				}
			}
			_ = s.Close()
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeEngine{tokens: 3}
			stream, err := startEngine(t, f).Chat(t.Context(), ChatRequest{Attempt: "a1"})
			is.NoErr(err)
			is.Equal(stream.BootID(), fleet.BootID("boot1"))
			c.end(t, stream)
			f.mu.Lock()
			defer f.mu.Unlock()
			is.Equal(len(f.canceled), c.canceled)
		})
	}
}

// Buffered returns only events that were already read completely, and never reads from
// the connection.
func TestBufferedNeverReads(t *testing.T) {
	is := is.New(t)
	stream := &chatStream{engine: &HTTPEngine{}}
	space, err := stream.parser.Space()
	is.NoErr(err)
	stream.parser.Advance(copy(space, "id: 1\ndata: a\n\n: pause\n\nid: 2\ndata: b\n\nid: 3\ndata: part"))
	for _, want := range []uint64{1, 2} {
		ev, ok := stream.Buffered()
		is.True(ok)
		is.Equal(ev.Offset, want)
	}
	_, ok := stream.Buffered()
	is.True(!ok) // the third event is incomplete, and there is no connection to read from
	stream.failed = io.EOF
	_, ok = stream.Buffered()
	is.True(!ok)
}

// Next returns when its context ends, though the engine sends nothing.
func TestNextEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	f := &fakeEngine{tokens: 5, faults: []engineFault{{stall: true}}, received: make(chan struct{}, 1)}
	stream, err := startEngine(t, f).Chat(t.Context(), ChatRequest{Attempt: "a1"})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	<-f.received
	cancel()
	_, err = stream.Next(ctx)
	is.True(errors.Is(err, context.Canceled))
}

func TestChatSendsTheProtocolsHeaders(t *testing.T) {
	is := is.New(t)
	f := &fakeEngine{}
	stream, err := startEngine(t, f).Chat(t.Context(), ChatRequest{
		Attempt: "a1", Body: []byte("{}"), Resume: true, Offset: 12, Priority: fleet.PriorityInteractive,
	})
	is.NoErr(err)
	defer stream.Close()
	h := f.requests[0].Header
	is.Equal(h.Get("X-Request-Id"), "a1")
	is.Equal(h.Get("Wigeonflow-Resume-Offset"), "12")
	is.Equal(h.Get("Wigeonflow-Priority"), "1")
	is.Equal(f.requests[0].ContentLength, int64(2))
}
