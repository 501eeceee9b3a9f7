package control

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// Under many repeated requests the bytes sent must stay within the rate, and rejected
// requests must not use any of it.
func TestPacerUnderManyReaders(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	p := pacer{rate: 100_000, clock: func() time.Duration { return now }}
	const size = 20_000
	sent := map[time.Duration]int{} // bytes by the second in which the transfer starts
	rejected := 0
	for range 10_000 { // 1000 requests per second for 10 s
		now += time.Millisecond
		wait, err := p.reserve(size, maxPacerWait)
		if err != nil {
			is.True(errorx.IsOfType(err, errBusy))
			rejected++
			continue
		}
		is.True(wait <= maxPacerWait)
		sent[(now + wait).Truncate(time.Second)] += size
	}
	is.True(rejected > 9000)
	total := 0
	for _, bytes := range sent {
		is.True(bytes <= 100_000+size)
		total += bytes
	}
	is.True(total >= 900_000) // the rate is used up
}

func TestPacerWithoutALimit(t *testing.T) {
	is := is.New(t)
	var p pacer
	wait, err := p.reserve(1<<30, maxPacerWait)
	is.NoErr(err)
	is.Equal(wait, time.Duration(0))
}
