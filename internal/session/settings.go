package session

import (
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Defaults of Settings.
const (
	DefaultLease           = 3 * time.Second
	DefaultRenewInterval   = time.Second
	DefaultSettleInterval  = 250 * time.Millisecond
	DefaultConfigGrace     = 5 * time.Second
	DefaultProposalTimeout = 2 * time.Second
	DefaultMaxDrift        = 0.005
	DefaultHistory         = 64
)

// A control leader has 8% of a core and answers a renewal in 60 us: at most a third
// of its time goes to renewals that changes of the membership cause.
const (
	// changePerRouter is the time between two changes of the membership for each
	// router, and changeFree what small fleets have free.
	changePerRouter = 10 * time.Millisecond
	changeFree      = 150 * time.Millisecond
	// pacePerRouter is the time between two renewals of a router that waits for a
	// grant or an epoch, for each router.
	pacePerRouter = 5 * time.Millisecond
)

// Settings of Roster, Grantor and Holder. All instances of a fleet use the
// same Lease and MaxDrift. Zero fields mean the defaults.
type Settings struct {
	// Lease is how long the Grantor keeps a member after a renewal.
	Lease time.Duration
	// RenewInterval is how often a Holder renews.
	RenewInterval time.Duration
	// SettleInterval is how often a Holder renews while it joins or while a
	// new epoch is not settled.
	SettleInterval time.Duration
	// ConfigGrace is how long a router may run an older configuration before
	// the Grantor refuses to renew its lease.
	ConfigGrace time.Duration
	// ProposalTimeout is how long the Grantor waits for a proposed command to
	// be committed before it proposes it again.
	ProposalTimeout time.Duration
	// MaxDrift bounds how far the rate of any clock is off, as a fraction.
	MaxDrift float64
	// History is how many epochs back the Roster can tell changes.
	History int

	// without switches mechanisms off, so that tests can show what each is for.
	without mechanisms
}

// mechanisms is a set of the protections against a second owner.
type mechanisms struct {
	sendTime    bool // the lease counts from the send time
	grantorWait bool // a new Grantor waits out a lease
	settled     bool // ownership waits for the settled epoch
	term        bool // a Grantor acts in its own term only
}

// withDefaults returns the settings with every zero field set to its default.
func (s Settings) withDefaults() Settings {
	fleet.SetDefault(&s.Lease, DefaultLease)
	fleet.SetDefault(&s.RenewInterval, DefaultRenewInterval)
	fleet.SetDefault(&s.SettleInterval, DefaultSettleInterval)
	fleet.SetDefault(&s.ConfigGrace, DefaultConfigGrace)
	fleet.SetDefault(&s.ProposalTimeout, DefaultProposalTimeout)
	fleet.SetDefault(&s.MaxDrift, DefaultMaxDrift)
	fleet.SetDefault(&s.History, DefaultHistory)
	return s
}

// usable is the part of a granted lease that its holder may use. With clock
// rates in [1-d, 1+d], lease*(1-2d) on the holder's clock ends no later than
// lease on the grantor's clock, because 1-2d <= (1-d)/(1+d).
func (s Settings) usable(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 - 2*s.MaxDrift))
}
