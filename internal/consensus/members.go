package consensus

import (
	"cmp"
	"slices"
)

// ChangeKind is the kind of a membership Change.
type ChangeKind uint8

const (
	// ChangeAddLearner adds a learner. When a member with the same ID but another
	// store exists, the learner replaces it.
	ChangeAddLearner ChangeKind = iota + 1
	// ChangePromote makes a learner a voter.
	ChangePromote
	// ChangeRemove removes a member.
	ChangeRemove
)

// Change adds, promotes or removes one member (thesis §4.1). Any majority of the
// voters before it overlaps any majority after it, because it adds or removes at
// most one voter.
type Change struct {
	Kind  ChangeKind
	ID    MemberID
	Addr  string
	Store StoreID
	// Initial marks an added learner as one of the initial members, see MemberSet.InitialSize.
	Initial bool
}

// Find returns the member with the given ID, or nil.
func (s MemberSet) Find(id MemberID) *Member {
	for i := range s.Members {
		if s.Members[i].ID == id {
			return &s.Members[i]
		}
	}
	return nil
}

// Voter reports whether the member with this ID and store is a voter.
func (s MemberSet) Voter(id MemberID, store StoreID) bool {
	m := s.Find(id)
	return m != nil && m.Store == store && !m.Learner
}

// Voters returns the number of voters.
func (s MemberSet) Voters() int {
	n := 0
	for _, m := range s.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// Quorum returns the size of the smallest majority of the voters.
func (s MemberSet) Quorum() int { return s.Voters()/2 + 1 }

// apply returns the membership after the change.
func (s MemberSet) apply(ch Change) (MemberSet, error) {
	next := MemberSet{Members: slices.Clone(s.Members), InitialSize: s.InitialSize}
	current := next.Find(ch.ID)
	switch ch.Kind {
	case ChangeAddLearner:
		return next.addLearner(current, ch)
	case ChangePromote:
		if current == nil || !current.Learner {
			return s, ErrRejected.New("%s can't be promoted: it is not a learner", ch.ID)
		}
		current.Learner = false
	case ChangeRemove:
		if current == nil {
			return s, ErrRejected.New("%s can't be removed: it is not a member", ch.ID)
		}
		next.remove(ch.ID)
	default:
		return s, ErrRejected.New("unknown kind of membership change: %d", ch.Kind)
	}
	if next.InitialSize == 0 {
		next.InitialSize = uint32(s.Voters())
	}
	if next.Voters() == 0 {
		return s, ErrRejected.New("%s can't be removed: it is the last voter", ch.ID)
	}
	return next, nil
}

func (s MemberSet) addLearner(current *Member, ch Change) (MemberSet, error) {
	if ch.Store == 0 {
		return s, ErrRejected.New("the store ID of %s is unknown; start the member first", ch.ID)
	}
	if current != nil && current.Store == ch.Store {
		return s, ErrRejected.New("%s is already a member with store ID %d", ch.ID, ch.Store)
	}
	if current == nil && ch.Initial {
		s.InitialSize++
	}
	s.remove(ch.ID)
	s.Members = append(s.Members, Member{ID: ch.ID, Addr: ch.Addr, Store: ch.Store, Learner: true})
	slices.SortFunc(s.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if s.Voters() == 0 {
		return s, ErrRejected.New("%s can't be replaced by a learner: it is the last voter", ch.ID)
	}
	return s, nil
}

func (s *MemberSet) remove(id MemberID) {
	s.Members = slices.DeleteFunc(s.Members, func(m Member) bool { return m.ID == id })
}

// membersAt is a membership and the index of the entry that put it in force.
type membersAt struct {
	index uint64
	set   MemberSet
}
