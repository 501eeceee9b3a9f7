package placement

// FirstRanked returns the index of the candidate that is first in the current
// ranking, or -1. Its owner is told where the chat was served instead, and it is
// the one to wait at: the candidates before it may serve the chat only where it
// is resident.
func FirstRanked(list []Candidate) int {
	for i, c := range list {
		if c.Basis == Ranked {
			return i
		}
	}
	return -1
}
