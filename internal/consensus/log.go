package consensus

// entryLog is the part of the log that a member keeps in memory: every entry after
// base. Entries up to commit never change.
type entryLog struct {
	base     uint64 // index of the entry before the first one in memory
	baseTerm uint64
	entries  []Entry
	bytes    int    // size of entries, including entryOverhead
	stable   uint64 // last synced index
	commit   uint64
	applied  uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if it isn't in memory.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from lo to hi, inclusive.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	lo = max(lo, l.base+1)
	hi = min(hi, l.last())
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
}

// batch returns entries from lo on with a total size of at most maxBytes, but at
// least one entry if there is any.
func (l *entryLog) batch(lo uint64, maxBytes int) []Entry {
	all := l.slice(lo, l.last())
	size := 0
	for i, e := range all {
		size += len(e.Data) + entryOverhead
		if i > 0 && size > maxBytes {
			return all[:i]
		}
	}
	return all
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	l.bytes -= sizeOf(l.slice(index, l.last()))
	l.entries = l.entries[: index-l.base-1 : index-l.base-1]
	l.stable = min(l.stable, index-1)
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += sizeOf(entries)
}

func sizeOf(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data) + entryOverhead
	}
	return size
}

// tailStart returns the lowest index such that the entries after it, up to and including
// last, are at most maxEntries and at most maxBytes in size.
func (l *entryLog) tailStart(last, maxEntries uint64, maxBytes int) uint64 {
	index, size := last, 0
	for index > l.base && last-index < maxEntries {
		size += len(l.entries[index-l.base-1].Data) + entryOverhead
		if size > maxBytes {
			break
		}
		index--
	}
	return index
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.base {
		return
	}
	l.entries = append([]Entry(nil), l.slice(index+1, l.last())...)
	l.base, l.baseTerm, l.bytes = index, term, sizeOf(l.entries)
}

// restore resets the log to the position of a snapshot. It keeps the entries after
// that position if the log matches the snapshot.
func (l *entryLog) restore(index, term uint64) {
	if l.matches(index, term) {
		l.compact(index)
	} else {
		l.entries = nil
		l.base, l.baseTerm, l.bytes = index, term, 0
		l.stable = index
	}
	l.stable = max(l.stable, index)
	l.commit = max(l.commit, index)
	l.applied = max(l.applied, index)
}

// matchHint returns the last index at which this log may match a log whose entry at index
// has the given term.
func (l *entryLog) matchHint(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.base {
		if t, _ := l.term(index); t <= term {
			break
		}
		index--
	}
	return index
}

// upToDate reports whether a log that ends in (index, term) is at least as
// complete as this one (thesis §3.6.1).
func (l *entryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.last())
}
