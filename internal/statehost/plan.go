package statehost

import (
	"cmp"
	"slices"
	"time"

	"ibistray.example/ibistray/internal/compare"
	"ibistray.example/ibistray/proto/raftpb"
)

// candidate is the planner's view of a state host.
type candidate struct {
	address       string
	failureDomain string
	replicaID     uint64        // ID of its replica of the group; 0: none
	silence       time.Duration // time since its last announcement
	retiring      bool
}

// planInput is the state of one group as its leader sees it.
type planInput struct {
	leaderID     uint64 // replica ID of the leader
	members      []*raftpb.Member
	lastID       uint64               // highest replica ID that was ever a member
	hosts        map[string]candidate // by address
	wantedVoters int                  // wanted number of voters
	lossTimeout  time.Duration        // silence after which the replica of a host is replaced
}

// stepKind is the kind of a membership step.
type stepKind uint8

const (
	stepNone    stepKind = iota
	stepAdd              // add the member as a learner
	stepPromote          // turn the learner into a voter
	stepRemove
	stepTransfer // transfer the leadership to the member
)

// String returns the name of a step in logs and metrics.
func (k stepKind) String() string {
	return [...]string{"none", "add", "promote", "remove", "transfer"}[k]
}

// step is a change of a group's membership or leadership.
type step struct {
	kind   stepKind
	member *raftpb.Member
}

// planStep returns the next step towards the wanted number of usable voters. A voter that
// lost its disk is removed even if too few usable voters are left, because it can never
// vote again. Any other voter is removed only when there are enough usable voters without
// it.
func planStep(in planInput) step {
	usable, unusable, learners := in.classify()
	if s := in.removeUnusableLearner(learners); s.kind != stepNone {
		return s
	}
	if lost := in.voterWithLostDisk(unusable); lost != nil {
		return step{kind: stepRemove, member: lost}
	}
	if len(usable) < in.wantedVoters {
		if len(learners) > 0 {
			return step{kind: stepPromote, member: learners[0]}
		}
		if joining := in.bestCandidate(usable); joining != nil {
			return step{kind: stepAdd, member: joining}
		}
	}
	if len(usable) >= in.wantedVoters && len(learners) > 0 {
		return step{kind: stepRemove, member: learners[0]}
	}
	return in.removeSurplusVoter(usable, unusable)
}

// classify splits the members into usable voters, unusable voters and learners.
func (in planInput) classify() (usable, unusable, learners []*raftpb.Member) {
	for _, m := range in.members {
		switch {
		case m.Learner:
			learners = append(learners, m)
		case in.isUsable(m):
			usable = append(usable, m)
		default:
			unusable = append(unusable, m)
		}
	}
	return usable, unusable, learners
}

// isUsable reports whether the host of a member is not silent, still holds the replica and
// is not retiring. The leader is usable unless its host is retiring.
func (in planInput) isUsable(m *raftpb.Member) bool {
	host, known := in.hosts[m.Address]
	if m.Id == in.leaderID {
		return !host.retiring
	}
	return known && host.replicaID == m.Id && !host.retiring && host.silence < in.lossTimeout
}

// removeUnusableLearner returns the step that removes a learner that is not usable, if
// there is one.
func (in planInput) removeUnusableLearner(learners []*raftpb.Member) step {
	for _, m := range learners {
		if !in.isUsable(m) {
			return step{kind: stepRemove, member: m}
		}
	}
	return step{}
}

// voterWithLostDisk returns a voter whose host is not silent and holds a replica with
// another ID, or nil.
func (in planInput) voterWithLostDisk(unusable []*raftpb.Member) *raftpb.Member {
	for _, m := range unusable {
		host, known := in.hosts[m.Address]
		if known && m.Id != in.leaderID && host.replicaID != 0 && host.replicaID != m.Id && host.silence < in.lossTimeout {
			return m
		}
	}
	return nil
}

// bestCandidate returns the host to add as a member, or nil if no host can join. It
// prefers hosts in failure domains without a usable voter.
func (in planInput) bestCandidate(usable []*raftpb.Member) *raftpb.Member {
	usedDomains := make(map[string]bool)
	for _, m := range usable {
		usedDomains[m.FailureDomain] = true
	}
	var candidates []candidate
	for _, host := range in.hosts {
		if in.canJoin(host) {
			candidates = append(candidates, host)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compare.Bool(usedDomains[a.failureDomain], usedDomains[b.failureDomain]), cmp.Compare(a.address, b.address))
	})
	return &raftpb.Member{Id: chosen.replicaID, Address: chosen.address, FailureDomain: chosen.failureDomain}
}

// canJoin reports whether a host can be added: it is not silent or retiring, is not the
// host of a member, and its replica has an ID that no member has had.
func (in planInput) canJoin(host candidate) bool {
	if host.replicaID <= in.lastID || host.retiring || host.silence >= in.lossTimeout {
		return false
	}
	return !slices.ContainsFunc(in.members, func(m *raftpb.Member) bool { return m.Address == host.address })
}

// removeSurplusVoter returns the step that removes an unusable or surplus voter, once
// there are enough usable ones. If the only such voter is the leader, the step transfers
// the leadership.
func (in planInput) removeSurplusVoter(usable, unusable []*raftpb.Member) step {
	if len(usable) < in.wantedVoters {
		return step{}
	}
	surplus := unusable
	if len(usable) > in.wantedVoters {
		surplus = append(slices.Clone(unusable), usable[in.wantedVoters:]...)
	}
	for _, m := range surplus {
		if m.Id != in.leaderID {
			return step{kind: stepRemove, member: m}
		}
	}
	if len(surplus) > 0 && len(usable) > 0 {
		return step{kind: stepTransfer, member: usable[0]}
	}
	return step{}
}
