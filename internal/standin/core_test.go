package standin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newTestBatch(cfg EngineConfig) *batch {
	cfg = cfg.withDefaults()
	return &batch{cfg: cfg, cache: newPrefixCache(cfg.CacheTokens, func(string) {})}
}

func newTestGeneration(id string, promptTokens, answerTokens int) *generation {
	g := &generation{id: id, maxTokens: answerTokens, finish: finishStop}
	for i := range promptTokens {
		g.chain.add(fmt.Sprintf("%s-%d", id, i))
	}
	return g
}

func TestBatchSharesEachStep(t *testing.T) {
	is := is.New(t)
	b := newTestBatch(EngineConfig{StepTime: 10, StepTimePerRequest: 1, PrefillTime: 2, PrefillChunk: 8})
	short, long := newTestGeneration("a", 4, 2), newTestGeneration("b", 10, 1)
	is.True(b.enqueue(short, false))
	is.True(b.enqueue(long, false))
	is.Equal(b.startStep(false), time.Duration(10+2+16)) // 4 prompt tokens of a, 4 of b
	produced, _ := b.finishStep()
	is.Equal(produced, 1)                                // only a's prompt is complete
	is.Equal(b.startStep(false), time.Duration(10+2+12)) // the other 6 of b
	produced, ended := b.finishStep()
	is.Equal(produced, 2)
	is.Equal(ended, []*generation{short, long})
	is.Equal(b.kvUsed, 0)
}

func TestColdBatchSlowsDownThenRejects(t *testing.T) {
	is := is.New(t)
	b := newTestBatch(EngineConfig{StepTime: 10, StepTimePerRequest: 1, PrefillTime: 1, ColdConcurrency: 2, ColdSlowdown: 3})
	for i := range 2 {
		is.True(b.enqueue(newTestGeneration(fmt.Sprint(i), 0, 9), true))
	}
	is.Equal(b.startStep(true), time.Duration(12))
	is.Equal(b.coldOverloads, 0)
	for i := range 6 {
		is.True(b.enqueue(newTestGeneration(fmt.Sprint(i), 0, 9), true))
	}
	is.Equal(b.startStep(true), time.Duration(3*18))
	is.True(!b.enqueue(newTestGeneration("x", 0, 9), true))
	is.Equal(b.coldOverloads, 7)
	is.True(b.enqueue(newTestGeneration("x", 0, 9), false))
}

func TestInteractiveRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	b := newTestBatch(EngineConfig{MaxRunning: 1, MaxWaiting: 3})
	background, interactive := newTestGeneration("a", 1, 1), newTestGeneration("b", 1, 1)
	interactive.priority = 1
	is.True(b.enqueue(background, false))
	is.True(b.enqueue(interactive, false))
	b.startStep(false)
	is.Equal(b.running, []*generation{interactive})
	is.True(b.enqueue(newTestGeneration("c", 1, 1), false))
	is.True(b.enqueue(newTestGeneration("d", 1, 1), false))
	is.True(!b.enqueue(newTestGeneration("e", 1, 1), false)) // the queue is full
}

func TestBatchNeverExceedsItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBatch(EngineConfig{MaxRunning: 4, KVCapacity: 100, CacheTokens: 160})
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			g := newTestGeneration(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "chat")),
				rapid.IntRange(1, 50).Draw(t, "prompt"), rapid.IntRange(1, 50).Draw(t, "answer"))
			b.enqueue(g, false)
			if rapid.Bool().Draw(t, "remove") {
				b.remove(g)
			}
			b.startStep(false)
			used := 0
			for _, r := range b.running {
				used += r.finalContext()
			}
			if used != b.kvUsed || b.kvUsed > 100 || len(b.running) > 4 || b.cache.tokens() > 160 {
				t.Fatalf("step %d: %d tokens in use, %d counted (at most 100), %d running (at most 4), %d tokens cached (at most 160)", i, used, b.kvUsed, len(b.running), b.cache.tokens())
			}
			b.finishStep()
		}
	})
}

func TestPrefixCacheEvictsTheLeastRecentlyUsedChat(t *testing.T) {
	is := is.New(t)
	var evicted []string
	c := newPrefixCache(4*blockTokens, func(key string) { evicted = append(evicted, key) })
	c.store("a", []uint64{1, 2})
	c.store("b", []uint64{3, 4})
	c.store("a", []uint64{1, 2})
	c.store("c", []uint64{5})
	is.Equal(c.match([]uint64{3, 4}), blockTokens) // the end of b was evicted first
	c.store("d", []uint64{6})
	is.Equal(evicted, []string{"b"})
	is.Equal(c.match([]uint64{1, 2}), 2*blockTokens)
	is.Equal(c.export("a"), []uint64{1, 2})
	c.clear()
	is.Equal(c.tokens(), 0)
	is.Equal(len(c.keys), 0)
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	is := is.New(t)
	l := newEventLog(EngineConfig{EventDelay: time.Second, EventGapEvery: 3}.withDefaults())
	start := time.Unix(0, 0)
	l.addStored(start, "a", 16)
	l.addStored(start, "b", 32)
	l.addEvicted(start, "a")
	l.addEvicted(start, "a") // not resident any longer: adds no second event
	l.addStored(start.Add(time.Second), "c", 48)
	is.Equal(l.eventsAfter(start, 0), CacheEvents{First: 1, Next: 1, Events: []CacheEvent{}})
	got := l.eventsAfter(start.Add(time.Second), 1)
	is.Equal(got.Next, int64(4))
	is.Equal(got.Events, []CacheEvent{{Seq: 2, Kind: EventStored, Key: "b", Tokens: 32}}) // 3 is dropped, 4 is not yet published
}

func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineConfig{LoadLag: time.Second})
	defer e.Close()
	start := time.Unix(100, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(e.loadReport(start).TokensPerSecond, 0.0)
	e.stats.Tokens = 500
	is.Equal(e.loadReport(start.Add(time.Second-1)).TokensPerSecond, 0.0)
	is.Equal(e.loadReport(start.Add(time.Second)).TokensPerSecond, 500.0)
}
