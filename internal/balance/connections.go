package balance

// ConnectionLimits returns the most connections that this router may open to an upstream that accepts
// the given number from all routers together, and the most that it keeps while they are idle. Both
// are 0 for no limit. A fleet of more routers than an upstream accepts connections can't keep two
// each; those that use a second one give it back.
func ConnectionLimits(all, routers int) (open, kept int) {
	open = connectionLimit(all, routers)
	if open == 0 {
		return 0, 0
	}
	return open, max(int(connectionShare*float64(all)/float64(routers)), 1)
}
