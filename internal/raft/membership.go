package raft

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/raftpb"
)

// configAt is a membership and the index of the log entry that carries it.
type configAt struct {
	index      uint64
	membership membership
}

// membership is a normalized set of members with the questions asked of it.
type membership struct{ *raftpb.Membership }

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	ChangeAddLearner    ChangeKind = iota + 1 // Member with a new ID
	ChangePromote                             // a learner by Member.Id
	ChangeRemove                              // a member by Member.Id
	ChangeUpdateAddress                       // Member.Address and FailureDomain of a member by Member.Id
)

// MembershipChange is one step from one membership to the next.
type MembershipChange struct {
	Kind   ChangeKind
	Member *raftpb.Member
}

// normalize returns a copy with the members in order of ID and LastId at least
// the highest of them.
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

func (m membership) voters() int {
	count := 0
	for _, member := range m.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

func (m membership) quorum() int { return m.voters()/2 + 1 }

// entryMembership returns the membership that an entry carries, nil for other
// kinds of entries.
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

// membership returns the membership in force.
func (n *Node) membership() membership { return n.configs[len(n.configs)-1].membership }

// membershipAt returns the membership in force at index.
func (n *Node) membershipAt(index uint64) *raftpb.Membership {
	m := n.configs[0].membership
	for _, c := range n.configs {
		if c.index <= index {
			m = c.membership
		}
	}
	return m.Membership
}

// changePending tells whether the membership in force is not yet committed.
func (n *Node) changePending() bool { return n.configs[len(n.configs)-1].index > n.log.commit }

// adoptConfigs puts the memberships among new entries in force.
func (n *Node) adoptConfigs(entries []*raftpb.Entry) error {
	for _, e := range entries {
		m, err := entryMembership(e)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidConfig, err)
		}
		if m != nil {
			n.configs = append(n.configs, configAt{index: e.Index, membership: membership{m}})
		}
	}
	return nil
}

// truncateConfigs drops the memberships whose entries, from index on, are
// replaced.
func (n *Node) truncateConfigs(index uint64) {
	for n.configs[len(n.configs)-1].index >= index {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

// compactConfigs drops the memberships before the one in force at index.
func (n *Node) compactConfigs(index uint64) {
	for len(n.configs) > 1 && n.configs[1].index <= index {
		n.configs = n.configs[1:]
	}
	n.configs = slices.Clone(n.configs)
}

// electable tells whether this replica may start an election: it is a voter, or
// it was one before a change that is not yet committed and may need its help.
func (n *Node) electable() bool {
	if n.membership().isVoter(n.cfg.ID) {
		return true
	}
	return n.changePending() && n.configs[len(n.configs)-2].membership.isVoter(n.cfg.ID)
}

// resignIfRemoved ends the leadership of a replica whose removal is committed.
func (n *Node) resignIfRemoved() {
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

// syncPeers makes peers follow the membership in force.
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
func (n *Node) quorumValue(self uint64, of func(*progress) uint64) uint64 {
	var buf [8]uint64
	values := buf[:0]
	if n.membership().isVoter(n.cfg.ID) {
		values = append(values, self)
	}
	for _, p := range n.peers {
		if !p.learner {
			values = append(values, of(p))
		}
	}
	slices.Sort(values)
	return values[len(values)-n.membership().quorum()]
}

// ProposeMembership appends a membership change and returns its place, as
// Propose does. Errors: ErrNotLeader, ErrTransferring, ErrTooManyUncommitted,
// ErrChangePending, ErrInvalidChange, ErrReplicaIDReused, ErrLearnerBehind,
// ErrRemoveLeader, ErrQuorumAtRisk; the change was then not taken.
func (n *Node) ProposeMembership(c MembershipChange) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if n.changePending() || n.log.commit < n.termStart {
		return 0, 0, ErrChangePending
	}
	next, err := n.nextMembership(c)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendEntry(raftpb.EntryKind_ENTRY_KIND_MEMBERSHIP, marshal(next))
	n.configs = append(n.configs, configAt{index: index, membership: membership{next}})
	n.syncPeers()
	n.maybeCommit()
	return index, n.term, nil
}

// nextMembership checks a change and returns the membership that it leads to.
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
		if err := n.checkPromote(current); err != nil {
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
		return nil, fmt.Errorf("%w: kind %d", ErrInvalidChange, c.Kind)
	}
	if c.Kind != ChangeUpdateAddress && n.activeVoters(next) < next.quorum() {
		return nil, ErrQuorumAtRisk
	}
	return next.Membership, nil
}

func addLearner(m *raftpb.Membership, learner *raftpb.Member) (*raftpb.Membership, error) {
	if learner.GetId() <= m.LastId {
		return nil, fmt.Errorf("%w: %d, the next one is %d", ErrReplicaIDReused, learner.GetId(), m.LastId+1)
	}
	learner = proto.CloneOf(learner)
	learner.Learner = true
	m.Members = append(m.Members, learner)
	m.LastId = learner.Id
	return m, nil
}

func (n *Node) checkPromote(m *raftpb.Member) error {
	if !m.Learner {
		return fmt.Errorf("%w: member %d is a voter", ErrInvalidChange, m.Id)
	}
	if p := n.peer(m.Id); !n.caughtUp(p) {
		return fmt.Errorf("%w: member %d has %d of %d", ErrLearnerBehind, m.Id, p.match, n.log.commit)
	}
	return nil
}

// caughtUp tells whether a member durably holds what was committed when the last
// heartbeat round began, and the first entry of this term.
func (n *Node) caughtUp(p *progress) bool {
	return n.active(p) && p.match >= max(n.roundCommit, n.termStart)
}

// active tells whether a member has acknowledged a round of the last
// ElectionTicks.
func (n *Node) active(p *progress) bool {
	return p.acked != 0 && n.tick-p.acked.tick() < uint64(n.cfg.ElectionTicks)
}

// activeVoters counts the voters of a membership that answer, with this replica.
func (n *Node) activeVoters(m membership) int {
	count := 0
	for _, member := range m.Members {
		p := n.peer(member.Id)
		answers := member.Id == n.cfg.ID || (p != nil && n.active(p))
		if answers && !member.Learner {
			count++
		}
	}
	return count
}
