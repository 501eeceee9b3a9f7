package control

import (
	"testing"

	"github.com/matryer/is"
)

// A member stops, by a failure of its disk or by Close, while it asks the leader whether it was
// removed. The reply made it close a channel that was closed: a panic, which ends the process.
func TestMemberThatStopsWhileItAsksForItsRemovalPanics(t *testing.T) {
	is := is.New(t)
	m := newSeeds(t, 1)[0]
	m.start()
	defer m.stop()
	is.NoErr(m.member.group.Close())
	is.NoErr(m.member.Err()) // done is closed
	m.member.leave()         // wasRemoved has returned true
	<-m.member.Done()
}
