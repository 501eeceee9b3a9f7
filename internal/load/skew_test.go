package load

import (
	"testing"

	"github.com/matryer/is"
)

func TestSkewOfRatios(t *testing.T) {
	cases := []struct {
		name   string
		ratios []float64
		want   Skew
	}{
		{"no sample with enough load", nil, Skew{}},
		{"one sample", []float64{1.1}, Skew{Samples: 1, P50: 1.1, P99: 1.1, Max: 1.1}},
		{"the largest ratio is the maximum", []float64{1.5, 1.0, 1.2}, Skew{Samples: 3, P50: 1.2, P99: 1.2, Max: 1.5}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Skew{}.fill(tc.ratios), tc.want)
		})
	}
}
