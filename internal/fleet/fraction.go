package fleet

// Fraction maps uniformly distributed bits, such as a hash or a random number, to a
// number in [0, 1).
func Fraction(bits uint64) float64 {
	const mantissa = 53 // bits of a float64's mantissa
	return float64(bits>>(64-mantissa)) / (1 << mantissa)
}
