package session

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// configRequirement tracks the oldest configuration version with which a router may
// get a lease: the newest one that was committed at least ConfigGrace ago. So a
// committed change is in force on every router with a lease after ConfigGrace plus
// Lease at the latest. A router whose renewal is rejected receives the version in
// the reply and keeps its current lease while it fetches the configuration.
type configRequirement struct {
	version fleet.ConfigVersion // newest committed one
	// inGrace holds the versions whose grace period may not be over, in order.
	inGrace  []committedVersion
	required fleet.ConfigVersion // oldest one that gets a lease, as of the last call of tooOld
}

type committedVersion struct {
	version fleet.ConfigVersion
	at      time.Duration
}

// recordCommit records a version that was committed at now. It ignores an older one.
func (c *configRequirement) recordCommit(now time.Duration, version fleet.ConfigVersion) {
	if version <= c.version {
		return
	}
	c.version = version
	c.inGrace = append(c.inGrace, committedVersion{version, now})
}

// tooOld reports whether a later version than the given one was committed at least
// grace ago.
func (c *configRequirement) tooOld(now time.Duration, version fleet.ConfigVersion, grace time.Duration) bool {
	for len(c.inGrace) > 0 && now >= c.inGrace[0].at+grace {
		c.required = c.inGrace[0].version
		c.inGrace = c.inGrace[1:]
	}
	return version < c.required
}
