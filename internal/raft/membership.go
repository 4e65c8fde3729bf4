package raft

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/raftpb"
)

// indexedMembership is a membership and the index of its log entry.
type indexedMembership struct {
	index      uint64
	membership membership
}

// membership adds lookups to a normalized raftpb.Membership.
type membership struct{ *raftpb.Membership }

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	ChangeAddLearner    ChangeKind = iota + 1 // adds Member, with a new ID, as a learner
	ChangePromote                             // makes the learner Member.Id a voter
	ChangeRemove                              // removes the member Member.Id
	ChangeUpdateAddress                       // sets Address and FailureDomain of the member Member.Id
)

// MembershipChange is one step from one membership to the next.
type MembershipChange struct {
	Kind   ChangeKind
	Member *raftpb.Member
}

// normalize returns a copy with the members in order of ID and a LastId that is not
// below any of their IDs. For nil it returns an empty membership.
func normalize(m *raftpb.Membership) *raftpb.Membership {
	if m == nil {
		return &raftpb.Membership{}
	}
	m = proto.CloneOf(m)
	slices.SortFunc(m.Members, func(a, b *raftpb.Member) int { return cmp.Compare(a.Id, b.Id) })
	for _, member := range m.Members {
		m.LastId = max(m.LastId, member.Id)
	}
	return m
}

func (m membership) member(id uint64) *raftpb.Member {
	for _, member := range m.Members {
		if member.Id == id {
			return member
		}
	}
	return nil
}

func (m membership) isVoter(id uint64) bool {
	member := m.member(id)
	return member != nil && !member.Learner
}

func (m membership) countVoters() int {
	count := 0
	for _, member := range m.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

func (m membership) quorum() int { return m.countVoters()/2 + 1 }

// entryMembership returns the normalized membership in a membership entry, nil for
// other kinds of entries.
func entryMembership(e *raftpb.Entry) (*raftpb.Membership, error) {
	if e.Kind != raftpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return nil, nil
	}
	m := &raftpb.Membership{}
	if err := proto.Unmarshal(e.Data, m); err != nil {
		return nil, fmt.Errorf("membership entry %d: %w", e.Index, err)
	}
	return normalize(m), nil
}

// membership returns the current membership: the latest one in the log, committed
// or not.
func (n *Node) membership() membership { return n.memberships[len(n.memberships)-1].membership }

// membershipAt returns the membership as of the entry at index.
func (n *Node) membershipAt(index uint64) *raftpb.Membership {
	m := n.memberships[0].membership
	for _, indexed := range n.memberships {
		if indexed.index <= index {
			m = indexed.membership
		}
	}
	return m.Membership
}

// changePending reports whether the current membership is not yet committed.
func (n *Node) changePending() bool { return n.memberships[len(n.memberships)-1].index > n.log.commit }

// appendMemberships adds the memberships in new entries of the log. The last of
// them becomes the current one.
func (n *Node) appendMemberships(entries []*raftpb.Entry) error {
	for _, e := range entries {
		m, err := entryMembership(e)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidConfig, err)
		}
		if m != nil {
			n.memberships = append(n.memberships, indexedMembership{index: e.Index, membership: membership{m}})
		}
	}
	return nil
}

// truncateMemberships drops the memberships whose entries, from index on, are
// replaced.
func (n *Node) truncateMemberships(index uint64) {
	for n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships drops the memberships before that of the entry at index.
func (n *Node) compactMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
	n.memberships = slices.Clone(n.memberships)
}

// electable reports whether this replica may start an election: it is a voter, or
// it was one before a change that is not yet committed. In that case the group may
// need it as leader to commit the change.
func (n *Node) electable() bool {
	if n.membership().isVoter(n.cfg.ID) {
		return true
	}
	return n.changePending() && n.memberships[len(n.memberships)-2].membership.isVoter(n.cfg.ID)
}

// stepDownIfRemoved makes the leader a follower once its removal is committed.
func (n *Node) stepDownIfRemoved() {
	if !n.changePending() && !n.membership().isVoter(n.cfg.ID) {
		n.becomeFollower(n.term, 0)
	}
}

// peer returns the leader's view of a member, nil if there is none.
func (n *Node) peer(id uint64) *progress {
	for _, p := range n.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// syncPeers updates peers to the current membership. It keeps the progress of the
// remaining members.
func (n *Node) syncPeers() {
	var peers []*progress
	for _, m := range n.membership().Members {
		if m.Id == n.cfg.ID {
			continue
		}
		p := n.peer(m.Id)
		if p == nil {
			p = &progress{id: m.Id, next: n.log.last() + 1}
		}
		p.learner = m.Learner
		peers = append(peers, p)
	}
	n.peers = peers
}

// quorumValue returns the highest value that a quorum of the voters has reached.
// own is the value of this replica; valueOf returns that of another member.
func (n *Node) quorumValue(own uint64, valueOf func(*progress) uint64) uint64 {
	var buf [8]uint64
	values := buf[:0]
	if n.membership().isVoter(n.cfg.ID) {
		values = append(values, own)
	}
	for _, p := range n.peers {
		if !p.learner {
			values = append(values, valueOf(p))
		}
	}
	slices.Sort(values)
	return values[len(values)-n.membership().quorum()]
}

// ProposeMembership appends a membership change to the log of the leader and
// returns the index and term of its entry, as Propose does. Errors: ErrNotLeader,
// ErrTransferring, ErrTooManyUncommitted, ErrChangePending, ErrInvalidChange,
// ErrReplicaIDReused, ErrLearnerBehind, ErrRemoveLeader, ErrQuorumAtRisk; the
// membership is then unchanged.
func (n *Node) ProposeMembership(c MembershipChange) (index, term uint64, err error) {
	if err := n.prepareProposal(); err != nil {
		return 0, 0, err
	}
	if n.changePending() || n.log.commit < n.termStartIndex {
		return 0, 0, ErrChangePending
	}
	next, err := n.nextMembership(c)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendEntry(raftpb.EntryKind_ENTRY_KIND_MEMBERSHIP, marshal(next))
	n.memberships = append(n.memberships, indexedMembership{index: index, membership: membership{next}})
	n.syncPeers()
	n.maybeCommit()
	return index, n.term, nil
}

// nextMembership checks a change and returns the resulting membership.
func (n *Node) nextMembership(c MembershipChange) (*raftpb.Membership, error) {
	next := membership{normalize(n.membership().Membership)}
	id := c.Member.GetId()
	current := next.member(id)
	if c.Kind == ChangeAddLearner {
		return addLearner(next.Membership, c.Member)
	}
	if current == nil {
		return nil, fmt.Errorf("%w: no member %d", ErrInvalidChange, id)
	}
	switch c.Kind {
	case ChangePromote:
		if err := n.checkPromotion(current); err != nil {
			return nil, err
		}
		current.Learner = false
	case ChangeRemove:
		if id == n.cfg.ID {
			return nil, ErrRemoveLeader
		}
		next.Members = slices.DeleteFunc(next.Members, func(m *raftpb.Member) bool { return m.Id == id })
	case ChangeUpdateAddress:
		current.Address = c.Member.Address
		current.FailureDomain = c.Member.FailureDomain
	default:
		return nil, fmt.Errorf("%w: unknown kind %d", ErrInvalidChange, c.Kind)
	}
	if c.Kind != ChangeUpdateAddress && n.countActiveVoters(next) < next.quorum() {
		return nil, ErrQuorumAtRisk
	}
	return next.Membership, nil
}

func addLearner(m *raftpb.Membership, learner *raftpb.Member) (*raftpb.Membership, error) {
	if learner.GetId() <= m.LastId {
		return nil, fmt.Errorf("%w: ID %d, the next unused ID is %d", ErrReplicaIDReused, learner.GetId(), m.LastId+1)
	}
	learner = proto.CloneOf(learner)
	learner.Learner = true
	m.Members = append(m.Members, learner)
	m.LastId = learner.Id
	return m, nil
}

func (n *Node) checkPromotion(m *raftpb.Member) error {
	if !m.Learner {
		return fmt.Errorf("%w: member %d is already a voter", ErrInvalidChange, m.Id)
	}
	if p := n.peer(m.Id); !n.caughtUp(p) {
		return fmt.Errorf("%w: member %d has index %d, the commit index is %d", ErrLearnerBehind, m.Id, p.match, n.log.commit)
	}
	return nil
}

// caughtUp reports whether a member is active and holds durably all entries that
// were committed when the last heartbeat round began, and the first entry of this
// term.
func (n *Node) caughtUp(p *progress) bool {
	return n.recentlyActive(p) && p.match >= max(n.roundCommit, n.termStartIndex)
}

// recentlyActive reports whether a member has acknowledged a heartbeat round that
// was sent less than ElectionTicks ago.
func (n *Node) recentlyActive(p *progress) bool {
	return p.ackedRound != 0 && n.tick-p.ackedRound.tick() < uint64(n.cfg.ElectionTicks)
}

// countActiveVoters returns the number of voters in a membership that are recently
// active, including this replica.
func (n *Node) countActiveVoters(m membership) int {
	count := 0
	for _, member := range m.Members {
		p := n.peer(member.Id)
		responds := member.Id == n.cfg.ID || (p != nil && n.recentlyActive(p))
		if responds && !member.Learner {
			count++
		}
	}
	return count
}
