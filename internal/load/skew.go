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
	// skewInterval is the time between two samples of the engines' loads.
	skewInterval = 100 * time.Millisecond
	// skewTimeout bounds one sample, that is one request to each engine.
	skewTimeout = 500 * time.Millisecond
	// skewMinMeanLoad is the lowest mean load at which a ratio is recorded: below
	// it, a single request changes the ratio too much.
	skewMinMeanLoad = 5
)

// Skew is the load of the most loaded engine relative to the mean, from the
// engines' own counts of requests in flight.
type Skew struct {
	// Samples is the number of samples with a mean of at least skewMinMeanLoad.
	Samples int `json:"samples"`
	// P50, P99 and Max are quantiles over the samples of the ratio between the
	// load of the most loaded engine and the mean.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// PeakInFlight is the most requests in flight that an engine reported.
	PeakInFlight int `json:"peak_in_flight"`
}

// engineLoad is the part of a stand-in engine's statistics that the skew needs.
type engineLoad struct {
	InFlight int `json:"in_flight"`
}

// sampleSkew samples the engines' loads until ctx ends. The engines of one sample
// are not read at the same instant, so a ratio can be off by the requests that
// start or end in between.
func (c *client) sampleSkew(ctx context.Context, engines []string) Skew {
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
		if mean := float64(sum) / float64(len(loads)); mean >= skewMinMeanLoad {
			ratios = append(ratios, float64(most)/mean)
		}
	}
}

// fill returns s with the number of ratios and their quantiles. It sorts ratios.
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

// engineLoads reads the loads of all engines concurrently. It returns false if one
// did not answer.
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

// engineLoad reads the number of requests in flight at the stand-in engine at url.
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
