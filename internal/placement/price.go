package placement

import "time"

// Costs are the unit costs that decide between moving a chat's KV cache to
// another engine and computing it there anew.
type Costs struct {
	// PrefillTokensPerSecond is how fast the engine computes a prompt.
	PrefillTokensPerSecond float64
	// PrefillLoad is the part of the engine that a prefill takes from others, from
	// 0 to 1. It scales the price of computing, as the others wait.
	PrefillLoad float64
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken float64
	// BytesPerSecond is the rate of export, transport and import, the slowest
	// counting.
	BytesPerSecond float64
	// TransferLoad is the part of both engines that a transfer takes from others.
	TransferLoad float64
	// Setup is the time that a transfer takes regardless of its size.
	Setup time.Duration
}

// DefaultCosts are those of an engine of 70 billion parameters on four
// accelerators with grouped attention and a link of 10 Gbit/s.
var DefaultCosts = Costs{
	PrefillTokensPerSecond: 8000,
	PrefillLoad:            1,
	BytesPerToken:          160 << 10,
	BytesPerSecond:         1.1e9,
	TransferLoad:           0.1,
	Setup:                  60 * time.Millisecond,
}

// Recompute is the price of computing the tokens anew: the caller's wait and the
// time taken from other requests.
func (c Costs) Recompute(tokens int) time.Duration {
	return seconds(float64(tokens) / c.PrefillTokensPerSecond * (1 + c.PrefillLoad))
}

// Move is the price of export, transport and import of the tokens' cache.
func (c Costs) Move(tokens int) time.Duration {
	return c.Setup + seconds(float64(tokens)*c.BytesPerToken/c.BytesPerSecond*(1+2*c.TransferLoad))
}

// Moves tells whether moving the cache of so many tokens costs less than
// computing it.
func (c Costs) Moves(tokens int) bool { return c.Move(tokens) < c.Recompute(tokens) }

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
