package session

//go:generate go tool msgp -tests=false -io=false -file note.go

import "time"

// noteInterval is the shortest time between two notes that a leader writes to the log.
const noteInterval = 2 * time.Second

// StoredNote is a note in the control log; the zero value is none.
type StoredNote struct {
	Note []byte `msg:"n,omitempty"`
	ID   uint64 `msg:"i,omitempty"` // see RenewRequest.NoteID
	// At is the time of day when the leader got the note, in milliseconds since 1970.
	At int64 `msg:"a,omitempty"`
}

// NoteStore is the replicated note, which outlasts a stop of the whole fleet. It is deterministic,
// and not safe for concurrent use.
type NoteStore struct{ stored StoredNote }

// Get returns the stored note.
func (s *NoteStore) Get() StoredNote { return s.stored }

// Apply replaces the note by an encoded StoredNote. It ignores one that is malformed or longer
// than MaxNote.
func (s *NoteStore) Apply(_ uint64, command []byte) []byte {
	var n StoredNote
	if rest, err := n.UnmarshalMsg(command); err == nil && len(rest) == 0 && len(n.Note) <= MaxNote {
		s.stored = n
	}
	return nil
}

// Snapshot encodes the note.
func (s *NoteStore) Snapshot() ([]byte, error) { return s.stored.MarshalMsg(nil) }

// Restore decodes a Snapshot.
func (s *NoteStore) Restore(snapshot []byte) error {
	var n StoredNote
	if _, err := n.UnmarshalMsg(snapshot); err != nil {
		return ErrSnapshot.Wrap(err, "decode the note")
	}
	s.stored = n
	return nil
}

// heldNote is the note that a leader holds.
type heldNote struct {
	note    []byte // nil for none
	id      uint64
	made    time.Duration // when its sender sent it
	heardAt time.Duration // when a router last sent one, or the leadership began
	stored  uint64        // ID of the note in the log
	next    time.Duration // earliest time of the next write
}

// restore adopts the note of the log, which is older than the leadership by age.
func (h *heldNote) restore(now time.Duration, n StoredNote, age time.Duration) {
	h.stored = n.ID
	if len(n.Note) > 0 {
		h.note, h.id, h.made, h.heardAt = n.Note, n.ID, now-age, now
	}
}

// exchange keeps the request's note or, if it has none, adds the newest note to the reply.
func (h *heldNote) exchange(now time.Duration, req *RenewRequest, reply *RenewReply) {
	switch n := len(req.Note); {
	case n > MaxNote:
	case n > 0:
		h.note, h.id, h.made, h.heardAt = req.Note, req.NoteID, now, now
	case h.kept(now):
		reply.Note, reply.NoteAge = h.note, now-h.made
	}
}

// kept reports whether there is a note that a router has sent lately.
func (h *heldNote) kept(now time.Duration) bool { return h.note != nil && now-h.heardAt < noteLife }

// due returns the note to write to the log and its age; ok is false if the log has it. A note that
// routers no longer send is replaced by none.
func (h *heldNote) due(now time.Duration) (n StoredNote, age time.Duration, ok bool) {
	if h.kept(now) {
		n.Note, n.ID, age = h.note, h.id, now-h.made
	}
	if n.ID == h.stored || now < h.next {
		return StoredNote{}, 0, false
	}
	h.next = now + noteInterval
	return n, age, true
}
