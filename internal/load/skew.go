package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// skewInterval spaces looks at the engines.
	skewInterval = 100 * time.Millisecond
	// skewTimeout bounds one look at one engine.
	skewTimeout = 500 * time.Millisecond
	// skewMinMean is the mean load from which on a ratio means something: below
	// it, one request more is a large part.
	skewMinMean = 5
)

// Skew tells how far engines were above the mean load, as the engines saw it.
type Skew struct {
	// Samples counts the looks at a mean of at least skewMinMean.
	Samples int `json:"samples"`
	// P50, P99 and Max are quantiles of the load of the most loaded engine over
	// the mean, one for each look.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// PeakInFlight is the most requests that an engine had in flight.
	PeakInFlight int `json:"peak_in_flight"`
}

// engineLoad is what the skew needs of a stand-in engine's counts.
type engineLoad struct {
	InFlight int `json:"in_flight"`
}

// watchSkew looks at the engines until ctx ends. The looks of one round are not
// at the same instant, so that a ratio is off by what starts and ends meanwhile.
func (c *client) watchSkew(ctx context.Context, engines []string) Skew {
	var skew Skew
	var ratios []float64
	ticker := time.NewTicker(skewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return skew.fill(ratios)
		case <-ticker.C:
		}
		loads, ok := c.engineLoads(ctx, engines)
		if !ok {
			continue
		}
		sum, most := 0, 0
		for _, n := range loads {
			sum, most = sum+n, max(most, n)
		}
		skew.PeakInFlight = max(skew.PeakInFlight, most)
		if mean := float64(sum) / float64(len(loads)); mean >= skewMinMean {
			ratios = append(ratios, float64(most)/mean)
		}
	}
}

func (s Skew) fill(ratios []float64) Skew {
	s.Samples = len(ratios)
	if len(ratios) == 0 {
		return s
	}
	slices.Sort(ratios)
	at := func(q float64) float64 { return ratios[int(q*float64(len(ratios)-1))] }
	s.P50, s.P99, s.Max = at(0.5), at(0.99), at(1)
	return s
}

// engineLoads asks every engine at once; false if one did not answer.
func (c *client) engineLoads(ctx context.Context, engines []string) ([]int, bool) {
	ctx, cancel := context.WithTimeout(ctx, skewTimeout)
	defer cancel()
	loads := make([]int, len(engines))
	answered := make([]bool, len(engines))
	var wg sync.WaitGroup
	for i, url := range engines {
		wg.Go(func() { loads[i], answered[i] = c.engineLoad(ctx, url) })
	}
	wg.Wait()
	return loads, len(engines) > 0 && !slices.Contains(answered, false)
}

func (c *client) engineLoad(ctx context.Context, url string) (int, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/standin/stats", nil)
	if err != nil {
		return 0, false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var load engineLoad
	err = json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&load)
	return load.InFlight, err == nil && resp.StatusCode == http.StatusOK
}
