package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCacheEventsCorrectTheRecords(t *testing.T) {
	const at = time.Hour
	key := chat(1)
	stored := func(q uint64) Event { return Event{Sequence: q, Kind: EventStored, Key: chat(2), Tokens: 10} }
	evicted := func(q uint64, age time.Duration) Event {
		return Event{Sequence: q, Kind: EventEvicted, Key: key, Age: age}
	}
	cases := []struct {
		name   string
		events []Event
		trust  Trust
	}{
		{"no event", nil, Present},
		{"events without a gap", []Event{stored(7), stored(8)}, Present},
		{"a gap makes doubtful", []Event{stored(7), stored(9)}, Doubtful},
		{"an eviction", []Event{evicted(7, 0)}, Absent},
		{"a late eviction from before the last answer", []Event{evicted(7, time.Minute)}, Present},
		{"an event that comes twice", []Event{stored(7), stored(8), stored(8), stored(7)}, Present},
		{"an old event after newer ones", []Event{stored(9), evicted(8, 0)}, Present},
		{"the cache was cleared", []Event{stored(7), {Sequence: 8, Kind: EventCleared}}, Absent},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := NewResident(1000)
			r.StartRecords("e1", true)
			r.RecordServed(at, key, "e1", 5000)
			for _, e := range tc.events {
				r.Apply(at+time.Second, "e1", e)
			}
			p := r.Lookup(key, "e1")
			is.Equal(p.Trust, tc.trust)
			if tc.trust >= Doubtful {
				is.Equal(p.Upstream, Candidate{Upstream: "e1"}.Upstream)
				is.True(math.Abs(float64(p.Tokens)-5000) < 250) // logarithmic steps
			}
		})
	}
}

func TestServingRenewsTrust(t *testing.T) {
	is := is.New(t)
	r := NewResident(1000)
	r.StartRecords("e1", true)
	r.RecordServed(0, chat(1), "e1", 100)
	r.RecordServed(0, chat(2), "e1", 100)
	r.MarkDoubtful("e1")
	r.RecordServed(time.Second, chat(1), "e1", 200)
	is.Equal(r.Lookup(chat(1), "e1").Trust, Present)
	is.Equal(r.Lookup(chat(2), "e1").Trust, Doubtful)
	r.HandleRestart("e1")
	is.Equal(r.Lookup(chat(1), "e1").Trust, Absent)
}

func TestManyGapsKeepTheOrderOfGenerations(t *testing.T) {
	is := is.New(t)
	r := NewResident(1000)
	r.StartRecords("e1", true)
	r.RecordServed(0, chat(1), "e1", 100)
	for i := range 3 * math.MaxUint16 {
		if i%1000 == 0 {
			r.RecordServed(0, chat(2), "e1", 100)
		}
		r.MarkDoubtful("e1")
	}
	r.RecordServed(0, chat(3), "e1", 100)
	is.Equal(r.Lookup(chat(1), "e1").Trust, Doubtful)
	is.Equal(r.Lookup(chat(2), "e1").Trust, Doubtful)
	is.Equal(r.Lookup(chat(3), "e1").Trust, Present)
}

func TestFullSetsKeepLongAndRecentHistories(t *testing.T) {
	is := is.New(t)
	r := NewResident(1024)
	r.StartRecords("e1", true)
	for i := range 500 {
		r.RecordServed(0, chat(i), "e1", 20000)
	}
	for i := range 4000 {
		r.RecordServed(time.Minute, chat(1000+i), "e1", 100)
	}
	kept := 0
	for i := range 500 {
		if r.Lookup(chat(i), "e1").Trust == Present {
			kept++
		}
	}
	is.True(kept > 490)
	is.Equal(r.Capacity(), 1024)
	is.Equal(r.Bytes(), 16*1024)
}

func TestHandoverOfRecords(t *testing.T) {
	is := is.New(t)
	former, next := NewResident(1000), NewResident(1000)
	former.StartRecords("e1", true)
	former.RecordServed(0, chat(1), "e1", 3000)
	former.MarkDoubtful("e1")
	former.RecordServed(0, chat(2), "e1", 3000)
	former.RecordServed(0, chat(3), "e2", 3000)
	next.StartRecords("e1", false)
	is.Equal(next.Lookup(chat(4), "e1").Trust, Unknown)
	next.Import(time.Minute, "e1", former.Export(time.Minute, "e1", nil))
	next.StartRecords("e1", true)
	is.Equal(next.Lookup(chat(1), "e1").Trust, Doubtful)
	is.Equal(next.Lookup(chat(2), "e1").Trust, Present)
	is.Equal(next.Lookup(chat(3), "e1").Trust, Absent)
	is.Equal(next.Lookup(chat(4), "e1").Trust, Absent)
}

func TestRecordsBecomeCompleteInTime(t *testing.T) {
	is := is.New(t)
	r := NewResident(1000)
	r.StartRecords("e1", false)
	r.RecordServed(time.Hour, chat(1), "e1", 100)
	r.RecordServed(time.Hour+completeAfter-1, chat(2), "e1", 100)
	is.Equal(r.Lookup(chat(9), "e1").Trust, Unknown)
	r.RecordServed(time.Hour+completeAfter, chat(3), "e1", 100)
	is.Equal(r.Lookup(chat(9), "e1").Trust, Absent)
}

func TestServesDependsOnBasisAndTrust(t *testing.T) {
	cases := []struct {
		presence Presence
		basis    Basis
		serves   bool
	}{
		{Presence{Trust: Absent}, Ranked, true},
		{Presence{Trust: Absent}, Former, false},
		{Presence{Trust: Unknown}, Former, true},
		{Presence{Upstream: "e1", Trust: Doubtful}, Former, true},
		{Presence{Upstream: "e2", Trust: Present}, Former, false},
		{Presence{Upstream: "e1", Trust: Present}, Recorded, true},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			is.New(t).Equal(tc.presence.Serves(Candidate{Upstream: "e1", Basis: tc.basis}), tc.serves)
		})
	}
}

func TestMoveIsCheaperAboveBreakEven(t *testing.T) {
	is := is.New(t)
	n := DefaultCosts.BreakEven()
	is.True(n > 0)
	is.True(!DefaultCosts.PrefersMove(n - 1))
	is.True(DefaultCosts.PrefersMove(n + 1))
	slow := DefaultCosts
	slow.BytesPerSecond = 1e8
	is.Equal(slow.BreakEven(), 0)
	is.True(!slow.PrefersMove(1 << 20))
}

func BenchmarkResident(b *testing.B) {
	const chats = 16_000_000 / 410
	r := NewResident(chats)
	r.StartRecords("e1", true)
	b.ReportAllocs()
	for i := range b.N {
		key := ChatKey(Mix(uint64(i%chats), mixA)) &^ requestBit
		r.Lookup(key, "e1")
		r.RecordServed(time.Duration(i), key, "e1", 2000)
	}
	b.ReportMetric(float64(r.Bytes())/chats, "B/chat")
	b.ReportMetric(float64(r.Bytes())/(1<<20), "MB/router")
}
