package consensus

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// formation is the state with which members without a log form a group or wait to
// be added.
//
// The peer with the lowest ID, the founder, asks in rounds and writes the first entry once
// every other peer has confirmed in two consecutive rounds, from the same data directory,
// that it has no log. The entry's term is above the terms of all responses. A data directory
// never loses its log, so when the first of the two rounds ended, no peer had one: a peer
// that had a log between the responses of others and lost its disk can't be missed. A
// rejection ends a round, but not the formation: the disk with that log may be lost too.
//
// A founder whose disk is emptied in the meantime starts over with a new store ID
// while messages of the former store may still be in flight. A peer therefore
// raises its term and syncs it before it responds, unless it has already responded
// to this store in this term. So the new founder's first term is above every term
// in which the former store formed a group or led, and nothing that a peer voted
// for before its response can be committed with that vote afterwards.
type formation struct {
	nextHello time.Duration
	round     uint64                 // number of the founder's hellos, repeated by responses
	ready     map[MemberID]readyPeer // peers that confirmed in this round that they have no log
	previous  map[MemberID]StoreID   // data directories of the round before, if all peers confirmed
	// groupExists is set once a peer's log listed a member that isn't in Peers and that
	// isn't asked therefore: wait to be added instead.
	groupExists bool
	// known are members that responses listed in addition to Peers: the Peers of a
	// member that joins late may all be removed or cut off from the leader.
	known []MemberID
}

// readyPeer is the latest response of a peer without a log.
type readyPeer struct {
	store StoreID
	term  uint64
}

// WaitingStore is a data directory whose member waits to be added to the group: it has no
// log, or it was removed and hasn't learned of it.
type WaitingStore struct {
	ID    MemberID
	Addr  string
	Store StoreID
	// Initial is set if the member starts together with the group, see MemberSet.InitialSize.
	Initial bool

	lastHello time.Duration // time of the last hello or pre-vote
}

// peers returns the initial members of the group, ordered by ID.
func (c *Core) peers() []Peer {
	if len(c.opts.Peers) == 0 {
		return []Peer{{ID: c.opts.ID, Addr: c.opts.Addr}}
	}
	peers := slices.Clone(c.opts.Peers)
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

func (c *Core) founder() MemberID { return c.peers()[0].ID }

func (c *Core) startFormation(now time.Duration) {
	// A random first round sets apart responses to an earlier process of this member.
	c.formation.round = c.opts.Rand.Uint64()
	c.nextRound(nil)
	if c.uninitialized() {
		c.createGroupIfReady(now)
	}
}

// nextRound discards the responses of the present round. previous are the data directories
// that confirmed in it, nil if not all peers did.
func (c *Core) nextRound(previous map[MemberID]StoreID) {
	c.formation.round++
	c.formation.ready = map[MemberID]readyPeer{}
	c.formation.previous = previous
}

func (c *Core) tickFormation(now time.Duration) {
	if now < c.formation.nextHello {
		return
	}
	c.sendHellos(now)
}

func (c *Core) sendHellos(now time.Duration) {
	c.formation.nextHello = now + helloInterval
	for _, p := range c.opts.Peers {
		c.sendHello(p.ID)
	}
	for _, id := range c.formation.known {
		if !slices.ContainsFunc(c.opts.Peers, func(p Peer) bool { return p.ID == id }) {
			c.sendHello(id)
		}
	}
}

func (c *Core) sendHello(to MemberID) {
	if to != c.opts.ID {
		c.messages = append(c.messages, c.withSender(Message{Type: MessageHello, To: to, Addr: c.opts.Addr, Round: c.formation.round, Initial: c.opts.Initial}))
	}
}

// memberIDs returns the IDs of the members, in the order of the set.
func (s MemberSet) memberIDs() []MemberID {
	ids := make([]MemberID, 0, len(s.Members))
	for _, m := range s.Members {
		ids = append(ids, m.ID)
	}
	return ids
}

// waitingStore returns the data directory that waits to be added as id. It returns
// false if the last hello is older than waitingTimeout: the disk may be lost too.
func (c *Core) waitingStore(now time.Duration, id MemberID) (WaitingStore, bool) {
	w, ok := c.waiting[id]
	return w, ok && now-w.lastHello < waitingTimeout
}

// recordRemoved records the sender of a pre-vote as waiting if it isn't a member. Its log is
// that of the group up to some entry, so that it can be added again with it. A member of an
// earlier release tells no address and can't be reached.
func (c *Core) recordRemoved(now time.Duration, m Message) {
	if c.uninitialized() || m.Addr == "" || c.membership().Find(m.From) != nil {
		return
	}
	c.waiting[m.From] = WaitingStore{ID: m.From, Addr: m.Addr, Store: m.FromStore, lastHello: now}
}

// handleHello responds to a member without a log. A member that has a log records
// it as waiting.
func (c *Core) handleHello(now time.Duration, m Message) {
	if !c.uninitialized() {
		if known := c.membership().Find(m.From); known == nil || known.Store != m.FromStore {
			c.waiting[m.From] = WaitingStore{ID: m.From, Addr: m.Addr, Store: m.FromStore, Initial: m.Initial, lastHello: now}
		}
		c.reply(m, Message{Type: MessageHelloResponse, Reject: true, Known: c.membership().memberIDs()})
		return
	}
	if !c.opts.Bootstrap || m.From != c.founder() {
		return
	}
	responded := c.hard.Founder == m.FromStore && c.hard.FounderTerm == c.hard.Term
	if !responded && !c.opts.faults.reuseTerm {
		c.setTerm(c.hard.Term + 1)
		c.hard.Founder, c.hard.FounderTerm = m.FromStore, c.hard.Term
	}
	c.reply(m, Message{Type: MessageHelloResponse, Round: m.Round})
}

func (c *Core) handleHelloResponse(now time.Duration, m Message) {
	if !c.uninitialized() {
		return
	}
	if m.Reject && !c.opts.faults.ignoreExistingGroup {
		c.handleExistingLog(m)
		return
	}
	if m.Round != c.formation.round && !m.Reject {
		return
	}
	c.formation.ready[m.From] = readyPeer{m.FromStore, m.Term}
	c.createGroupIfReady(now)
}

// handleExistingLog handles the response of a peer that has a log.
func (c *Core) handleExistingLog(m Message) {
	if len(m.Known) > 0 {
		c.formation.known = m.Known
	}
	for _, id := range m.Known {
		if !slices.ContainsFunc(c.peers(), func(p Peer) bool { return p.ID == id }) {
			c.formation.groupExists = true
		}
	}
	c.nextRound(nil)
}

// createGroupIfReady creates the group, if this member is its founder, once every peer has
// confirmed in two consecutive rounds that it has no log.
func (c *Core) createGroupIfReady(now time.Duration) {
	if !c.opts.Bootstrap || c.formation.groupExists || c.founder() != c.opts.ID {
		return
	}
	set, term, stores := MemberSet{InitialSize: uint32(len(c.peers()))}, c.hard.Term, map[MemberID]StoreID{}
	for _, p := range c.peers() {
		peer, ok := c.formation.ready[p.ID]
		if p.ID == c.opts.ID {
			peer, ok = readyPeer{c.opts.Store, c.hard.Term}, true
		}
		if !ok {
			return
		}
		set.Members = append(set.Members, Member{ID: p.ID, Addr: p.Addr, Store: peer.store})
		stores[p.ID] = peer.store
		term = max(term, peer.term)
	}
	if len(set.Members) > 1 && !maps.Equal(stores, c.formation.previous) && !c.opts.faults.singleRound {
		c.nextRound(stores)
		c.sendHellos(now)
		return
	}
	c.createGroup(now, set, term+1)
}

// createGroup appends the first entry, whose membership is set, and starts an election.
func (c *Core) createGroup(now time.Duration, set MemberSet, term uint64) {
	data, err := set.MarshalMsg(nil)
	if err != nil {
		c.fail(ErrInvariant.Wrap(err, "encode the membership"))
		return
	}
	c.setTerm(term)
	c.appendOwn(Entry{Kind: EntryMembers, Data: data})
	c.campaign(now, false)
}
