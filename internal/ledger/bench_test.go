package ledger

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/answer"
)

// benchAnswer is the size of a booking's answer in bytes.
const benchAnswer = 400

func benchKey(n int) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(n)+1)
	return k
}

func benchAttempt(n int) answer.AttemptID {
	id := []byte("0190a1b2-7c3d-7000-8000-000000000000-1@counter-2")
	for i := 34; n > 0; i, n = i-1, n/10 {
		id[i] = byte('0' + n%10)
	}
	return answer.AttemptID(id)
}

// bookingCommands returns the encoded begin and finish of booking n.
func bookingCommands(b *testing.B, n int, now time.Duration) (begin, finish []byte) {
	c := Command{Op: OpBegin, Now: now, Key: benchKey(n), Attempt: benchAttempt(n), Owner: "router-17", Boot: "0190a1b2-7c3d-7000-8000-00000000000b", Tenure: 1}
	begin, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	c.Op, c.Answer = OpFinish, make([]byte, benchAnswer)
	if finish, err = c.Encode(); err != nil {
		b.Fatal(err)
	}
	return begin, finish
}

// BenchmarkBooking applies both commands of a booking to a ledger that holds the last
// 60,000 bookings, which is close to the default limit of records.
func BenchmarkBooking(b *testing.B) {
	s := NewState()
	bytes := 0
	b.ReportAllocs()
	for n := range b.N {
		b.StopTimer()
		begin, finish := bookingCommands(b, n, time.Duration(n)*DefaultMaxAge/60_000)
		b.StartTimer()
		s.Apply(0, begin)
		s.Apply(0, finish)
		bytes = len(begin) + len(finish)
	}
	b.ReportMetric(float64(bytes), "log-B/op")
}

// BenchmarkRecordMemory measures the memory of a finished record, with and without its
// answer.
func BenchmarkRecordMemory(b *testing.B) {
	const records = 60_000
	for _, c := range []struct {
		name  string
		total int
	}{{"answer dropped", 1}, {"answer kept", 1 << 30}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := NewState()
				s.limits.MaxAnswerTotal = c.total
				for n := range records {
					begin, finish := bookingCommands(b, n, 0)
					s.Apply(0, begin)
					s.Apply(0, finish)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
				runtime.KeepAlive(s)
			}
		})
	}
}

// BenchmarkSnapshot encodes a ledger of 60,000 records.
func BenchmarkSnapshot(b *testing.B) {
	s := NewState()
	for n := range 60_000 {
		begin, finish := bookingCommands(b, n, 0)
		s.Apply(0, begin)
		s.Apply(0, finish)
	}
	for b.Loop() {
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/60_000, "B/record")
	}
}
