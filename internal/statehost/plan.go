package statehost

import (
	"cmp"
	"slices"
	"time"

	"ibistray.example/ibistray/internal/compare"
	"ibistray.example/ibistray/proto/raftpb"
)

// candidate is a control host as the planner sees it.
type candidate struct {
	address   string
	domain    string
	replicaID uint64        // of its replica of the group; 0: none
	silence   time.Duration // since it was heard of
	retiring  bool
}

// planInput is a snapshot of one group at its leader.
type planInput struct {
	self      uint64 // replica ID of the leader
	members   []*raftpb.Member
	lastID    uint64 // highest replica ID that was ever a member
	hosts     map[string]candidate
	voters    int           // wanted
	lostAfter time.Duration // silence after which a host's replica is replaced
}

type stepKind uint8

const (
	stepNone stepKind = iota
	stepAdd           // member as a learner
	stepPromote
	stepRemove
	stepTransfer // leadership away from this host
)

// String returns the name of a step in logs and metrics.
func (k stepKind) String() string {
	return [...]string{"none", "add", "promote", "remove", "transfer"}[k]
}

// step is the next change of a group's membership.
type step struct {
	kind   stepKind
	member *raftpb.Member
}

// plan returns the next step towards the wanted number of voters on hosts that
// answer, hold the replica and stay. A replica that lost its disk is removed
// first: it can never vote again. Any other one is removed only when enough good
// voters are there without it.
func plan(in planInput) step {
	good, bad, learners := in.sort()
	if s := in.dropLearner(learners); s.kind != stepNone {
		return s
	}
	if lost := in.wiped(bad); lost != nil {
		return step{kind: stepRemove, member: lost}
	}
	if len(good) < in.voters {
		if len(learners) > 0 {
			return step{kind: stepPromote, member: learners[0]}
		}
		if best := in.best(good); best != nil {
			return step{kind: stepAdd, member: best}
		}
	}
	if len(good) >= in.voters && len(learners) > 0 {
		return step{kind: stepRemove, member: learners[0]}
	}
	return in.shrink(good, bad)
}

// sort tells the voters that count from those that do not, and the learners.
func (in planInput) sort() (good, bad, learners []*raftpb.Member) {
	for _, m := range in.members {
		switch {
		case m.Learner:
			learners = append(learners, m)
		case in.usable(m):
			good = append(good, m)
		default:
			bad = append(bad, m)
		}
	}
	return good, bad, learners
}

// usable reports whether the host of a member answers, holds its replica and stays.
func (in planInput) usable(m *raftpb.Member) bool {
	host, known := in.hosts[m.Address]
	if m.Id == in.self {
		return !host.retiring
	}
	return known && host.replicaID == m.Id && !host.retiring && host.silence < in.lostAfter
}

// dropLearner removes a learner whose host is gone or holds another replica.
func (in planInput) dropLearner(learners []*raftpb.Member) step {
	for _, m := range learners {
		if !in.usable(m) {
			return step{kind: stepRemove, member: m}
		}
	}
	return step{}
}

// wiped returns a voter whose host answers with another replica.
func (in planInput) wiped(bad []*raftpb.Member) *raftpb.Member {
	for _, m := range bad {
		host, known := in.hosts[m.Address]
		if known && m.Id != in.self && host.replicaID != 0 && host.replicaID != m.Id && host.silence < in.lostAfter {
			return m
		}
	}
	return nil
}

// best returns the host that should join: in a failure domain of its own if
// there is one.
func (in planInput) best(good []*raftpb.Member) *raftpb.Member {
	used := make(map[string]bool)
	for _, m := range good {
		used[m.FailureDomain] = true
	}
	var list []candidate
	for _, host := range in.hosts {
		if in.canJoin(host) {
			list = append(list, host)
		}
	}
	if len(list) == 0 {
		return nil
	}
	chosen := slices.MinFunc(list, func(a, b candidate) int {
		return cmp.Or(compare.Bool(used[a.domain], used[b.domain]), cmp.Compare(a.address, b.address))
	})
	return &raftpb.Member{Id: chosen.replicaID, Address: chosen.address, FailureDomain: chosen.domain}
}

func (in planInput) canJoin(host candidate) bool {
	if host.replicaID <= in.lastID || host.retiring || host.silence >= in.lostAfter {
		return false
	}
	return !slices.ContainsFunc(in.members, func(m *raftpb.Member) bool { return m.Address == host.address })
}

// shrink removes a voter that does not count, or one too many, once the others
// are enough.
func (in planInput) shrink(good, bad []*raftpb.Member) step {
	if len(good) < in.voters {
		return step{}
	}
	surplus := bad
	if len(good) > in.voters {
		surplus = append(slices.Clone(bad), good[in.voters:]...)
	}
	for _, m := range surplus {
		if m.Id != in.self {
			return step{kind: stepRemove, member: m}
		}
	}
	if len(surplus) > 0 && len(good) > 0 {
		return step{kind: stepTransfer, member: good[0]}
	}
	return step{}
}
