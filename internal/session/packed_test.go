package session

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Of a leader's processor time after the start of 400 routers, a sixth went into deflating the same
// membership for each of them.
func TestMembershipIsDeflatedForEachRouter(t *testing.T) {
	is := is.New(t)
	f := newBenchFleet(300)
	join := func(i int) *RenewReply {
		req := *f.reqs[i]
		req.KnownEpoch, req.AcceptsPacked = 0, true
		return f.grantor.Renew(time.Millisecond, validProof, &req)
	}
	first, second := join(1), join(2)
	is.True(first.Granted())
	is.Equal(first.Membership, nil)
	is.True(&first.Packed[0] == &second.Packed[0])
	m, err := unpackMembership(first.Packed)
	is.NoErr(err)
	is.Equal(*m, f.roster.Membership())

	f.raiseEpoch()
	third := join(3)
	m, err = unpackMembership(third.Packed)
	is.NoErr(err)
	is.Equal(*m, f.roster.Membership())

	old := *f.reqs[4] // of an earlier release
	old.KnownEpoch = 0
	reply := f.grantor.Renew(time.Millisecond, validProof, &old)
	is.Equal(*reply.Membership, f.roster.Membership())
	is.Equal(len(reply.Packed), 0)

	third.Withhold()
	is.Equal(len(third.Packed), 0)
}

func TestHolderRejectsMalformedMembership(t *testing.T) {
	is := is.New(t)
	f := newBenchFleet(3)
	req := *f.reqs[1]
	req.KnownEpoch, req.AcceptsPacked = 0, true
	reply := f.grantor.Renew(time.Millisecond, validProof, &req)
	h := NewHolder(Settings{}, benchMember(1), nil)
	sent := h.Request(0, 17, nil)
	bad := *reply
	bad.Seq, bad.Packed = sent.Seq, reply.Packed[:len(reply.Packed)/2]
	is.True(!h.HandleReply(time.Millisecond, &bad))
	is.True(!h.Valid(time.Millisecond)) // the lease belongs to an epoch that it doesn't know
	good := *reply
	good.Seq = sent.Seq
	is.True(h.HandleReply(2*time.Millisecond, &good))
	is.Equal(h.Authority().Membership().Epoch, fleet.Epoch(f.roster.Membership().Epoch))
}
