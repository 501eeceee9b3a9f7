package placement

// FirstRanked returns the index of the first candidate of the current ranking, or
// -1. If another upstream serves the chat, this candidate's owner is notified which
// one. A request that must wait is queued at this candidate, because those before it
// may serve the chat only if it is resident there.
func FirstRanked(list []Candidate) int {
	for i, c := range list {
		if c.Basis == Ranked {
			return i
		}
	}
	return -1
}
