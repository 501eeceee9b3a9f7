package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBoundedDuration(t *testing.T) {
	cases := []struct {
		name    string
		value   float64
		want    time.Duration
		changed bool
	}{
		{"a fraction", 1500.5, 1500500 * time.Microsecond, false},
		{"negative", -2, -2 * time.Millisecond, false},
		{"the limit", 3.6e6, time.Hour, false},
		{"above the limit", 3.6e6 + 1, time.Hour, true},
		{"above the range of a duration", 1e300, time.Hour, true},
		{"below the range of a duration", -1e300, -time.Hour, true},
		{"infinite", math.Inf(1), time.Hour, true},
		{"infinite and negative", math.Inf(-1), -time.Hour, true},
		{"infinite once scaled", math.MaxFloat64, time.Hour, true},
		{"not a number", math.NaN(), 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got, changed := BoundedDuration(tc.value, time.Millisecond, time.Hour)
			is.Equal(got, tc.want)
			is.Equal(changed, tc.changed)
		})
	}
}
