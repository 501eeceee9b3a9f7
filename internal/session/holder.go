package session

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// OwnerFunc returns the member that owns a key under a membership, or "" if there is
// none. It must be a pure function with the same result on all routers.
type OwnerFunc func(m fleet.Membership, key string) fleet.InstanceID

// maxOutstanding is the maximum number of requests for which a Holder accepts replies.
const maxOutstanding = 16

// Holder is a router's side of its session. It is not safe for concurrent use; other
// goroutines use its Authority, which is immutable.
type Holder struct {
	settings  Settings
	self      fleet.Member
	seq       uint64
	lastReply uint64        // Seq of the newest accepted reply
	sent      []sentRequest // the newest requests, up to maxOutstanding
	nextAt    time.Duration // when the next request is due
	epoch     fleet.Epoch
	authority Authority
	version   fleet.ConfigVersion // newest one in a reply
	means     []PoolMean
	status    Status
	pace      time.Duration // see RenewReply.Pace
	leaving   bool
	draining  bool
	released  bool
}

type sentRequest struct {
	seq uint64
	at  time.Duration
}

// NewHolder returns the Holder of one boot of a router, without a lease.
func NewHolder(settings Settings, self fleet.Member, owner OwnerFunc) *Holder {
	return &Holder{
		settings:  settings.withDefaults(),
		self:      self,
		authority: Authority{self: self, owner: owner, currentEpochOnly: settings.disabled.settled},
	}
}

// NextRenewal returns when the next request is due.
func (h *Holder) NextRenewal() time.Duration { return h.nextAt }

// Request returns the renewal to send at now, where version is the configuration in
// force at the router and loads are its in-flight requests. Once Leave was called
// and nothing is in flight, the request releases the lease, and the Holder has none
// from this call on: stop dispatching before it.
func (h *Holder) Request(now time.Duration, version fleet.ConfigVersion, loads []PoolLoad) *RenewRequest {
	h.seq++
	h.sent = append(h.sent, sentRequest{h.seq, now})
	if len(h.sent) > maxOutstanding {
		h.sent = h.sent[1:]
	}
	h.nextAt = now + h.renewalInterval()
	req := &RenewRequest{
		Instance: h.self.ID, Boot: h.self.Boot, Addr: h.self.Addr, Zone: h.self.Zone, Weight: h.self.Weight,
		Seq: h.seq, KnownEpoch: h.epoch, KnownVersion: version, Loads: loads, Leaving: h.leaving, Draining: h.draining,
		AcceptsPacked: true,
	}
	if req.releasesLease() {
		h.released = true
		h.authority.until = 0
	}
	return req
}

// renewalInterval returns the time to the next renewal. It is short while the router waits
// for a membership to settle, because each renewal also acknowledges the epoch.
func (h *Holder) renewalInterval() time.Duration {
	if h.status == StatusGranted && h.authority.settled == h.epoch {
		return h.settings.RenewInterval
	}
	return h.settleInterval()
}

// settleInterval returns the time between renewals while the router waits to join or
// for an epoch to settle. It is at most RenewInterval, which keeps the lease.
func (h *Holder) settleInterval() time.Duration {
	pace := time.Duration((minPaceFraction + h.jitter()) * float64(h.pace))
	return max(h.settings.SettleInterval, min(pace, h.settings.RenewInterval))
}

// joinInterval returns the time until a router whose configuration a member other than the leader
// has confirmed asks the leader for a lease. All routers of a fleet may have started together.
func (h *Holder) joinInterval() time.Duration {
	mean := min(h.pace, h.settings.RenewInterval*4/3)
	return max(h.settings.SettleInterval, time.Duration((minPaceFraction+h.jitter())*float64(mean)))
}

// minPaceFraction is the lower bound of the time between two renewals, as a fraction of
// the pace. The upper bound is 1.5 times the pace, so that the mean is the pace.
const minPaceFraction = 0.5

// HandleReply handles a reply and reports whether it was accepted. It drops replies that
// are duplicated, out of order or unexpected, and those of a leader whose epoch or
// version is older than in an earlier reply. After a StatusNotLeader reply the next
// renewal is due within SettleInterval.
func (h *Holder) HandleReply(now time.Duration, reply *RenewReply) bool {
	sentAt, ok := h.sentAt(reply.Seq)
	if !ok || reply.Seq <= h.lastReply {
		return false
	}
	if reply.Status == StatusNotLeader {
		h.nextAt = min(h.nextAt, now+h.settings.SettleInterval)
		return false
	}
	if reply.Epoch < h.epoch || reply.Version < h.version {
		return false
	}
	if !h.applyMembership(reply) {
		return false
	}
	h.lastReply = reply.Seq
	h.version = reply.Version
	h.pace = reply.Pace
	h.status = reply.Status
	if reply.Granted() {
		h.applyGrant(now, sentAt, reply)
	}
	if reply.Relayed {
		h.nextAt = now + h.joinInterval() // at the leader, which others ask as well
	}
	return true
}

// HandleNotice schedules the next renewal if n announces something new: immediately for a
// configuration, which operators wait for, and at a router-specific time within the
// pace otherwise, so that a large fleet doesn't renew all at once.
func (h *Holder) HandleNotice(now time.Duration, n Notice) {
	switch {
	case n.Version > h.version:
		h.nextAt = min(h.nextAt, now)
	case n.Epoch > h.epoch || n.Settled > h.authority.settled:
		h.nextAt = min(h.nextAt, now+time.Duration(h.jitter()*float64(h.pace)))
	}
}

// jitter returns a number in [0, 1) that differs between routers and between the
// renewals of one router.
func (h *Holder) jitter() float64 {
	return fleet.Fraction(xxhash.Sum64String(string(h.self.Boot) + "/" + strconv.FormatUint(h.seq, 10)))
}

// sentAt returns when the request seq was sent, and false if its reply is not expected.
func (h *Holder) sentAt(seq uint64) (time.Duration, bool) {
	for _, s := range h.sent {
		if s.seq == seq {
			return s.at, true
		}
	}
	return 0, false
}

// applyGrant extends the lease by a granted reply to the request sent at sentAt.
func (h *Holder) applyGrant(now, sentAt time.Duration, reply *RenewReply) {
	h.means = reply.Means
	h.authority.settled = max(h.authority.settled, reply.Settled)
	h.authority.trimToSettled()
	if h.settings.disabled.sendTime {
		sentAt = now
	}
	if !h.released {
		h.authority.until = max(h.authority.until, sentAt+h.settings.usableLease(reply.Lease))
	}
	if h.authority.settled < h.epoch {
		h.nextAt = min(h.nextAt, now+h.settleInterval())
	}
}

// applyMembership adopts the reply's epoch. It returns false if the changes of a
// granted reply do not lead there from the current epoch. The lease must then not be
// used either, because it is granted for the reply's epoch.
func (h *Holder) applyMembership(reply *RenewReply) bool {
	if !reply.Granted() {
		return true
	}
	switch {
	case reply.Epoch == h.epoch:
		return true
	case len(reply.Packed) > 0:
		membership, err := unpackMembership(reply.Packed)
		if err != nil {
			return false
		}
		h.authority.resetMemberships(*membership)
	case reply.Membership != nil:
		h.authority.resetMemberships(*reply.Membership)
	case !h.authority.appendChanges(reply.Changes, h.epoch, reply.Epoch):
		return false
	}
	h.epoch = reply.Epoch
	h.nextAt = 0 // acknowledge the epoch immediately
	return true
}

// Drain starts or ends draining: while a router drains, other members own its keys.
// Requests in flight continue under the lease.
func (h *Holder) Drain(now time.Duration, draining bool) {
	if h.draining != draining {
		h.draining = draining
		h.nextAt = min(h.nextAt, now)
	}
}

// Leave starts a planned stop, which the next requests announce.
func (h *Holder) Leave() {
	h.leaving = true
	h.nextAt = 0
}

// HasLeft reports whether the control leader has confirmed the release of the lease.
func (h *Holder) HasLeft() bool { return h.released && h.status == StatusLeft }

// Valid reports whether the lease is valid at now. Check it directly before each
// dispatch with the current time: the process may have been suspended in between.
func (h *Holder) Valid(now time.Duration) bool { return h.authority.Valid(now) }

// Owns reports whether this router may dispatch work for key at now.
func (h *Holder) Owns(now time.Duration, key string) bool { return h.authority.Owns(now, key) }

// Authority returns the current Authority, for use by other goroutines until the next
// Request or HandleReply.
func (h *Holder) Authority() Authority { return h.authority }

// Epoch returns the newest epoch that the router has adopted.
func (h *Holder) Epoch() fleet.Epoch { return h.epoch }

// Version returns the newest configuration version that the router has received in a
// reply.
func (h *Holder) Version() fleet.ConfigVersion { return h.version }

// PoolMeans returns the pool mean loads of the fleet as of the last grant.
func (h *Holder) PoolMeans() []PoolMean { return h.means }

// Status returns the status of the newest accepted reply, 0 before the first.
func (h *Holder) Status() Status { return h.status }
