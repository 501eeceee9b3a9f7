package control

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// However many routers ask again and again, what is sent stays within the rate and
// what is refused takes nothing of it.
func TestPacerUnderManyReaders(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	p := pacer{rate: 100_000, clock: func() time.Duration { return now }}
	const size = 20_000
	given := map[time.Duration]int{} // by the second in which the turn comes
	refused := 0
	for range 10_000 { // 10 s of 1000 questions a second
		now += time.Millisecond
		wait, err := p.turn(size)
		if err != nil {
			is.True(errorx.IsOfType(err, errBusy))
			refused++
			continue
		}
		is.True(wait <= maxPacing)
		given[(now + wait).Truncate(time.Second)] += size
	}
	is.True(refused > 9000)
	total := 0
	for _, bytes := range given {
		is.True(bytes <= 100_000+size)
		total += bytes
	}
	is.True(total >= 900_000) // and the rate is used
}

func TestPacerWithoutALimit(t *testing.T) {
	is := is.New(t)
	var p pacer
	wait, err := p.turn(1 << 30)
	is.NoErr(err)
	is.Equal(wait, time.Duration(0))
}
