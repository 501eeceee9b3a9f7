package consensus

import (
	"cmp"
	"slices"
	"time"
)

// formation is how members without a log form a group or wait to be added.
//
// The peer with the lowest ID, the founder, writes the first entry once every
// other peer has told that it has no log. Its term is above those of all answers.
//
// A founder whose disk is emptied in the meantime starts over under another store,
// and messages of the former one may still be on their way. A peer therefore
// raises its term before it answers, unless it has answered this store in this
// term already, and syncs that. So the new founder's first term is above every
// term that the former one founded or led in; and whatever a peer may have voted
// for before its answer can't be committed with its help any more.
type formation struct {
	nextHello time.Duration
	ready     map[MemberID]readyPeer
	refused   bool // a peer has a log: wait to be added instead
	// known are members beside Peers that answers have named: the Peers of a
	// member that joins late may all be gone or cut off from the leader.
	known []MemberID
}

// readyPeer is what a peer without a log answered last.
type readyPeer struct {
	store StoreID
	term  uint64
}

// WaitingStore is a data folder that waits to be added to the group.
type WaitingStore struct {
	ID    MemberID
	Addr  string
	Store StoreID

	heard time.Duration // when it said hello last
}

// peers returns the members that the group is formed from, ordered by ID.
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
	c.formation.ready = map[MemberID]readyPeer{}
	if c.blank() {
		c.tryFound(now)
	}
}

func (c *Core) tickFormation(now time.Duration) {
	if now < c.formation.nextHello {
		return
	}
	c.formation.nextHello = now + helloInterval
	for _, p := range c.opts.Peers {
		c.sayHello(p.ID)
	}
	for _, id := range c.formation.known {
		if !slices.ContainsFunc(c.opts.Peers, func(p Peer) bool { return p.ID == id }) {
			c.sayHello(id)
		}
	}
}

func (c *Core) sayHello(to MemberID) {
	if to != c.opts.ID {
		c.messages = append(c.messages, c.stamp(Message{Type: MessageHello, To: to, Addr: c.opts.Addr}))
	}
}

// memberIDs returns the members of the set in its order.
func (s MemberSet) memberIDs() []MemberID {
	ids := make([]MemberID, 0, len(s.Members))
	for _, m := range s.Members {
		ids = append(ids, m.ID)
	}
	return ids
}

// waitingStore returns the folder that waits as the member with this ID. One that
// fell silent doesn't count: its disk may be lost as well.
func (c *Core) waitingStore(now time.Duration, id MemberID) (WaitingStore, bool) {
	w, ok := c.waiting[id]
	return w, ok && now-w.heard < waitingTimeout
}

// handleHello answers a member without a log, and remembers it as waiting.
func (c *Core) handleHello(now time.Duration, m Message) {
	if !c.blank() {
		if known := c.current().Find(m.From); known == nil || known.Store != m.FromStore {
			c.waiting[m.From] = WaitingStore{ID: m.From, Addr: m.Addr, Store: m.FromStore, heard: now}
		}
		c.reply(m, Message{Type: MessageHelloResponse, Reject: true, Known: c.current().memberIDs()})
		return
	}
	if !c.opts.Bootstrap || m.From != c.founder() {
		return
	}
	answered := c.hard.Founder == m.FromStore && c.hard.FounderTerm == c.hard.Term
	if !answered && !c.opts.faults.reuseTerm {
		c.setTerm(c.hard.Term + 1)
		c.hard.Founder, c.hard.FounderTerm = m.FromStore, c.hard.Term
	}
	c.reply(m, Message{Type: MessageHelloResponse})
}

func (c *Core) handleHelloResponse(now time.Duration, m Message) {
	if !c.blank() {
		return
	}
	if m.Reject && !c.opts.faults.foundAnyway {
		c.formation.refused = true
		if len(m.Known) > 0 {
			c.formation.known = m.Known
		}
		return
	}
	c.formation.ready[m.From] = readyPeer{m.FromStore, m.Term}
	c.tryFound(now)
}

// tryFound writes the first entry when every peer is known to have no log.
func (c *Core) tryFound(now time.Duration) {
	if !c.opts.Bootstrap || c.formation.refused || c.founder() != c.opts.ID {
		return
	}
	set, term := MemberSet{}, c.hard.Term
	for _, p := range c.peers() {
		peer, ok := c.formation.ready[p.ID]
		if p.ID == c.opts.ID {
			peer, ok = readyPeer{c.opts.Store, c.hard.Term}, true
		}
		if !ok {
			return
		}
		set.Members = append(set.Members, Member{ID: p.ID, Addr: p.Addr, Store: peer.store})
		term = max(term, peer.term)
	}
	c.found(now, set, term+1)
}

func (c *Core) found(now time.Duration, set MemberSet, term uint64) {
	data, err := set.MarshalMsg(nil)
	if err != nil {
		c.fail(ErrInvariant.Wrap(err, "encode the membership"))
		return
	}
	c.setTerm(term)
	c.appendOwn(Entry{Kind: EntryMembers, Data: data})
	c.campaign(now, false)
}
