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
