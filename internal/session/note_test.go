package session

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Routers that all restart have no other one to learn from.
func TestNoteOutlastsARestartOfAllRouters(t *testing.T) {
	is := is.New(t)
	g := NewGrantor(0, 1, Settings{}, NewRoster(Settings{}), 0)
	renew := func(now time.Duration, boot fleet.BootID, note []byte) *RenewReply {
		return g.Renew(now, Proof{Term: 1, Until: now + time.Second}, &RenewRequest{Instance: "r", Boot: boot, Seq: 1, Note: note})
	}
	is.Equal(len(renew(0, "a", nil).Note), 0)
	is.Equal(len(renew(time.Second, "a", []byte("note")).Note), 0) // it has it itself
	reply := renew(6*time.Second, "b", nil)
	is.Equal(string(reply.Note), "note")
	is.Equal(reply.NoteAge, 5*time.Second)
	renew(7*time.Second, "a", make([]byte, MaxNote+1))
	is.Equal(string(renew(8*time.Second, "b", nil).Note), "note")
	is.Equal(len(renew(time.Second+noteLife, "b", nil).Note), 0) // no router sends it any longer

	renew(40*time.Second, "a", []byte("later"))
	deposed := g.Renew(41*time.Second, Proof{Term: 1, Until: 40 * time.Second}, &RenewRequest{Instance: "r", Boot: "b", Seq: 2})
	is.Equal(len(deposed.Note), 0)
}

// A kill of all processes made the fleet forget what it had quarantined.
func TestNoteOutlastsLossOfLeaderAndRouters(t *testing.T) {
	is := is.New(t)
	proof := func(now time.Duration) Proof { return Proof{Term: 1, Until: now + time.Second} }
	renew := func(g *Grantor, now time.Duration, note string, id uint64) *RenewReply {
		return g.Renew(now, proof(now), &RenewRequest{Instance: "r", Boot: "a", Seq: 1, Note: []byte(note), NoteID: id})
	}
	store := new(NoteStore)
	writes := 0
	write := func(g *Grantor, now time.Duration) {
		if n, _, ok := g.DueNote(now, proof(now)); ok {
			writes++
			encoded, err := n.MarshalMsg(nil)
			is.NoErr(err)
			store.Apply(0, encoded)
			g.SetStoredNote(store.Get())
		}
	}
	first := NewGrantor(0, 1, Settings{}, NewRoster(Settings{}), 0)
	first.RestoreNote(0, store.Get(), 0)
	for now := time.Duration(0); now < 20*time.Second; now += time.Second { // details change each time
		renew(first, now, "note at "+now.String(), 7)
		write(first, now)
	}
	is.Equal(writes, 1)
	is.Equal(string(store.Get().Note), "note at 0s")
	_, _, ok := first.DueNote(time.Second, Proof{})
	is.True(!ok)

	snapshot, err := store.Snapshot()
	is.NoErr(err)
	is.NoErr(store.Restore(snapshot))
	next := NewGrantor(time.Second, 1, Settings{}, NewRoster(Settings{}), 0)
	next.RestoreNote(time.Second, store.Get(), 30*time.Second)
	reply := renew(next, time.Second, "", 0)
	is.Equal(string(reply.Note), "note at 0s")
	is.Equal(reply.NoteAge, 30*time.Second)

	write(next, 2*time.Second)
	is.Equal(writes, 1) // the log has it
	write(next, time.Second+noteLife)
	is.Equal(writes, 2) // no router sends it: the quarantine has ended
	is.Equal(len(store.Get().Note), 0)
}

// Routers that disagree on what is quarantined must not fill the log.
func TestNotesAreWrittenAtIntervals(t *testing.T) {
	is := is.New(t)
	g := NewGrantor(0, 1, Settings{}, NewRoster(Settings{}), 0)
	writes := 0
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		proof := Proof{Term: 1, Until: now + time.Second}
		g.Renew(now, proof, &RenewRequest{Instance: "r", Boot: "a", Seq: 1, Note: []byte("n"), NoteID: uint64(now)})
		if n, _, ok := g.DueNote(now, proof); ok {
			writes++
			g.SetStoredNote(n)
		}
	}
	is.True(writes <= int(10*time.Second/noteInterval))
	encoded, err := (&StoredNote{Note: make([]byte, MaxNote+1)}).MarshalMsg(nil)
	is.NoErr(err)
	store := new(NoteStore)
	store.Apply(0, encoded)
	store.Apply(0, []byte("not a note"))
	is.Equal(len(store.Get().Note), 0)
}
