package session

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// configAge knows which version every router has had time to put in force. A
// router below it gets no lease, so an accepted change is in force on every
// router with a lease after ConfigGrace plus Lease at the latest. A router that
// is refused hears the version in the reply and keeps its lease while it
// fetches.
type configAge struct {
	version fleet.ConfigVersion
	// recent holds the versions whose grace is not known to be over, in order.
	recent   []committedVersion
	required fleet.ConfigVersion
}

type committedVersion struct {
	version fleet.ConfigVersion
	at      time.Duration
}

func (c *configAge) set(now time.Duration, version fleet.ConfigVersion) {
	if version <= c.version {
		return
	}
	c.version = version
	c.recent = append(c.recent, committedVersion{version, now})
}

// tooOld tells whether a later version than the given one was committed at
// least grace ago.
func (c *configAge) tooOld(now time.Duration, version fleet.ConfigVersion, grace time.Duration) bool {
	for len(c.recent) > 0 && now >= c.recent[0].at+grace {
		c.required = c.recent[0].version
		c.recent = c.recent[1:]
	}
	return version < c.required
}
