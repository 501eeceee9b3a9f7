package placement

import "time"

// Costs holds the unit costs by which to choose between moving a chat's KV cache to
// another engine and recomputing it there.
type Costs struct {
	// PrefillTokensPerSecond is the rate at which the engine computes a prompt.
	PrefillTokensPerSecond float64
	// PrefillLoad is the fraction of the engine that a prefill takes from other
	// requests, from 0 to 1. It raises the cost of computing, as they wait meanwhile.
	PrefillLoad float64
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken float64
	// BytesPerSecond is the rate of a transfer: the slowest of export, transport and
	// import.
	BytesPerSecond float64
	// TransferLoad is the fraction of each engine that a transfer takes from other
	// requests.
	TransferLoad float64
	// Setup is the fixed time of a transfer, independent of its size.
	Setup time.Duration
}

// DefaultCosts are the costs of an engine that runs a model of 70 billion parameters
// with grouped attention on four accelerators, over a link of 10 Gbit/s.
var DefaultCosts = Costs{
	PrefillTokensPerSecond: 8000,
	PrefillLoad:            1,
	BytesPerToken:          160 << 10,
	BytesPerSecond:         1.1e9,
	TransferLoad:           0.1,
	Setup:                  60 * time.Millisecond,
}

// Recompute returns the cost of recomputing the tokens: the caller's wait plus the
// time taken from other requests.
func (c Costs) Recompute(tokens int) time.Duration {
	return seconds(float64(tokens) / c.PrefillTokensPerSecond * (1 + c.PrefillLoad))
}

// Move returns the cost of export, transport and import of the tokens' cache.
func (c Costs) Move(tokens int) time.Duration {
	return c.Setup + seconds(float64(tokens)*c.BytesPerToken/c.BytesPerSecond*(1+2*c.TransferLoad))
}

// PrefersMove reports whether moving the cache of this many tokens costs less than
// recomputing it.
func (c Costs) PrefersMove(tokens int) bool { return c.Move(tokens) < c.Recompute(tokens) }

// BreakEven returns the least number of tokens whose cache is worth moving, or 0
// if none is.
func (c Costs) BreakEven() int {
	each := (1+c.PrefillLoad)/c.PrefillTokensPerSecond - c.BytesPerToken/c.BytesPerSecond*(1+2*c.TransferLoad)
	if each <= 0 {
		return 0
	}
	return int(c.Setup.Seconds()/each) + 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
