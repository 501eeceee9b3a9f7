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

// The control leader has 8% of a core and handles a renewal in 60 us. With these values
// it spends at most a third of its time on renewals caused by membership changes.
const (
	// The minimum time between two membership changes is changePerRouter times the
	// number of routers, less changeAllowance, so that small fleets don't wait.
	changePerRouter = 10 * time.Millisecond
	changeAllowance = 150 * time.Millisecond
	// The mean time between two renewals of a router that waits for a grant or for
	// an epoch to settle is pacePerRouter times the number of routers.
	pacePerRouter = 5 * time.Millisecond
)

// Settings configures Roster, Grantor and Holder. All instances of a fleet must use
// the same Lease and MaxDrift. Zero fields mean the defaults.
type Settings struct {
	// Lease is the duration of a granted lease. The Grantor removes a member whose
	// lease has expired.
	Lease time.Duration
	// RenewInterval is how often a Holder renews.
	RenewInterval time.Duration
	// SettleInterval is how often a Holder renews while it joins or while a
	// new epoch is not settled.
	SettleInterval time.Duration
	// ConfigGrace is how long a router may run an older configuration before the
	// Grantor rejects its renewals.
	ConfigGrace time.Duration
	// ProposalTimeout is how long the Grantor waits for a proposed command to
	// be committed before it proposes it again.
	ProposalTimeout time.Duration
	// MaxDrift bounds how far the rate of any clock may be off, as a fraction.
	MaxDrift float64
	// History is the number of epochs for which the Roster keeps the changes.
	History int

	// disabled turns mechanisms off, so that tests can show what each one prevents.
	disabled mechanisms
}

// mechanisms is a set of the protections against two owners of one key.
type mechanisms struct {
	sendTime    bool // the lease is counted from the send time
	grantorWait bool // a new Grantor waits for a full lease before it removes members
	settled     bool // ownership is checked from the settled epoch on
	term        bool // a Grantor acts only in its own term
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

// usableLease returns the part of a granted lease that its holder may use. With clock
// rates in [1-d, 1+d], lease*(1-2d) on the holder's clock ends no later than lease on
// the grantor's clock, because 1-2d <= (1-d)/(1+d).
func (s Settings) usableLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 - 2*s.MaxDrift))
}
