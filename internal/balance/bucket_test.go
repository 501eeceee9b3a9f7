package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A rate whose interval exceeds a duration must not let every request through.
func TestTinyColdRates(t *testing.T) {
	for _, rate := range []float64{math.SmallestNonzeroFloat64, 1e-300, 1e-10} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			var b bucket
			is.True(b.takeToken(time.Hour, rate, coldBurst))
			for _, now := range []time.Duration{time.Hour, 2 * time.Hour, 24 * time.Hour} {
				is.True(!b.takeToken(now, rate, coldBurst))
			}
		})
	}
	is := is.New(t)
	var b bucket
	for range 100 {
		is.True(b.takeToken(time.Hour, math.MaxFloat64, coldBurst))
	}
	is.True(!b.takeToken(time.Hour, math.NaN(), coldBurst))
	is.True(!b.takeToken(time.Hour, math.Inf(-1), coldBurst))
}
