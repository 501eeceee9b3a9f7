package placement

// FirstRanked returns the index of the first Ranked candidate, or -1. If another
// upstream serves the chat, the caller notifies the owner of this candidate which one.
// A request that must wait is queued at this candidate, because those before it may
// serve the chat only if it is resident there.
func FirstRanked(list []Candidate) int {
	for i, c := range list {
		if c.Basis == Ranked {
			return i
		}
	}
	return -1
}
