// Package membership plans the voters of a replicated group: which host joins, which
// one leaves and where the leader runs. It handles hosts that retire, fail for good,
// lose their disk or appear, in any order and several at once, so that the group never
// depends on fewer intact disks than it tolerates to lose.
package membership

import (
	"cmp"
	"slices"
	"time"

	"ibistray.example/ibistray/internal/compare"
	"ibistray.example/ibistray/proto/raftpb"
)

// Host is the planner's view of a host.
type Host struct {
	Address       string
	FailureDomain string
	ReplicaID     uint64        // ID of its replica of the group; 0: none
	Silence       time.Duration // time since its last update
	Known         time.Duration // time since its first update
	Retiring      bool
	// Standby hosts hold a replica only while too few other hosts can.
	Standby bool
	// DiskTooSmall says that the state of the group does not fit the disk.
	DiskTooSmall bool
}

// Input is the state of one group as its leader sees it.
type Input struct {
	LeaderID uint64 // replica ID of the leader
	Members  []*raftpb.Member
	LastID   uint64          // highest replica ID that was ever a member
	Hosts    map[string]Host // by address
	Voters   int             // wanted number of voters, 2f+1 to tolerate f losses
	// ResponseTimeout is the silence up to which a host counts as responding.
	ResponseTimeout time.Duration
	// LossTimeout is the silence after which another host replaces a voter.
	LossTimeout time.Duration
	// StandbyDelay is the silence after which a standby host replaces a voter.
	StandbyDelay time.Duration
}

// StepKind is the kind of a membership step.
type StepKind uint8

// Kinds of steps.
const (
	None     StepKind = iota
	Add               // add the member as a learner
	Promote           // turn the learner into a voter
	Remove            // remove the member
	Transfer          // transfer the leadership to the member
)

// String returns the name of a step in logs and metrics.
func (k StepKind) String() string {
	return [...]string{"none", "add", "promote", "remove", "transfer"}[k]
}

// Step is a change of a group's membership or leadership.
type Step struct {
	Kind   StepKind
	Member *raftpb.Member
}

// Plan returns the next step towards the wanted number of usable voters on regular hosts.
//
// A voter that lost its disk is removed at once, because it can never vote again. A silent
// voter leaves once its successor is a voter. Any other voter leaves only if enough of the
// remaining voters respond: a host that was lost a moment ago must not count as one of
// them. Standby hosts fill gaps that do not close
// by themselves, and leave when regular hosts can take their place.
func Plan(in Input) Step {
	v := in.classify()
	if m := in.unusableLearner(v.learners); m != nil {
		return Step{Remove, m}
	}
	if m := in.voterWithLostDisk(v.unusable); m != nil {
		return Step{Remove, m}
	}
	if m := in.silentSurplus(v); m != nil {
		return Step{Remove, m}
	}
	if len(v.regular) < in.Voters {
		if s := in.fillGap(v, in.isRegularCandidate(v)); s.Kind != None {
			return s
		}
	}
	if len(v.regular)+len(v.standby) < in.Voters && in.gapLasts(v) {
		if s := in.fillGap(v, func(h Host) bool { return h.Standby }); s.Kind != None {
			return s
		}
	}
	if len(v.learners) > 0 {
		return Step{Remove, v.learners[0]}
	}
	if s := in.removeVoter(v); s.Kind != None {
		return s
	}
	return in.moveLeader(v)
}

// view holds the members of a group by their condition.
type view struct {
	regular  []*raftpb.Member // usable voters on regular hosts
	standby  []*raftpb.Member // usable voters on standby hosts
	unusable []*raftpb.Member // voters that are silent, retiring or lost their disk
	learners []*raftpb.Member
}

func (in Input) classify() view {
	var v view
	for _, m := range in.Members {
		switch {
		case m.Learner:
			v.learners = append(v.learners, m)
		case !in.isUsable(m):
			v.unusable = append(v.unusable, m)
		case in.Hosts[m.Address].Standby:
			v.standby = append(v.standby, m)
		default:
			v.regular = append(v.regular, m)
		}
	}
	return v
}

// holdsReplica reports whether the host of a member says that it holds the member's replica and
// has not been silent for limit. The leader always does.
func (in Input) holdsReplica(m *raftpb.Member, limit time.Duration) bool {
	host, known := in.Hosts[m.Address]
	return m.Id == in.LeaderID || known && host.ReplicaID == m.Id && host.Silence < limit
}

// isUsable reports whether the host of a member is not silent, still holds the replica and
// is not retiring.
func (in Input) isUsable(m *raftpb.Member) bool {
	return in.holdsReplica(m, in.LossTimeout) && !in.Hosts[m.Address].Retiring
}

// unusableLearner returns a learner that is not usable, or nil.
func (in Input) unusableLearner(learners []*raftpb.Member) *raftpb.Member {
	return find(learners, func(m *raftpb.Member) bool { return !in.isUsable(m) })
}

// voterWithLostDisk returns a voter whose host is not silent and holds a replica with
// another ID, or nil.
func (in Input) voterWithLostDisk(unusable []*raftpb.Member) *raftpb.Member {
	return find(unusable, func(m *raftpb.Member) bool {
		host := in.Hosts[m.Address]
		return m.Id != in.LeaderID && host.ReplicaID != 0 && host.ReplicaID != m.Id && host.Silence < in.LossTimeout
	})
}

// silentSurplus returns the voter that has been silent for longest, at least LossTimeout, if
// the group has an even number of voters and more than it wants, or nil. Without it, a quorum
// is one voter smaller, whichever of the others are lost: the step takes no quorum away.
func (in Input) silentSurplus(v view) *raftpb.Member {
	voters := len(in.Members) - len(v.learners)
	if voters <= in.Voters || voters%2 != 0 {
		return nil
	}
	silent := slices.DeleteFunc(slices.Clone(v.unusable), func(m *raftpb.Member) bool {
		return m.Id == in.LeaderID || in.Hosts[m.Address].Silence < in.LossTimeout
	})
	if len(silent) == 0 {
		return nil
	}
	return slices.MaxFunc(silent, func(a, b *raftpb.Member) int {
		return cmp.Compare(in.Hosts[a.Address].Silence, in.Hosts[b.Address].Silence)
	})
}

// fillGap returns the step that makes a suitable host a voter.
func (in Input) fillGap(v view, suitable func(Host) bool) Step {
	if m := find(v.learners, func(m *raftpb.Member) bool { return suitable(in.Hosts[m.Address]) }); m != nil {
		return Step{Promote, m}
	}
	if m := in.bestCandidate(v, suitable); m != nil {
		return Step{Add, m}
	}
	return Step{}
}

// isRegularCandidate returns the condition for a regular host to become a voter. If it
// would only take the place of a retiring or a standby host, it must have been known for
// LossTimeout: it may be the successor of a voter whose loss shows only then.
func (in Input) isRegularCandidate(v view) func(Host) bool {
	present := 0
	for _, m := range slices.Concat(v.regular, v.standby, v.unusable) {
		if in.holdsReplica(m, in.LossTimeout) {
			present++
		}
	}
	return func(h Host) bool { return !h.Standby && (present < in.Voters || h.Known >= in.LossTimeout) }
}

// gapLasts reports whether a standby host must fill the gap: a missing voter is retiring,
// was removed, is on a standby host itself, has been silent for StandbyDelay, or is gone
// for good while its successor has the place of another voter.
func (in Input) gapLasts(v view) bool {
	if len(v.regular)+len(v.standby)+len(v.unusable) < in.Voters {
		return true
	}
	return slices.ContainsFunc(v.unusable, func(m *raftpb.Member) bool {
		host := in.Hosts[m.Address]
		return host.Retiring || host.Standby || host.Silence >= in.StandbyDelay || in.mayHaveSuccessor(v, host)
	})
}

// mayHaveSuccessor reports whether a regular voter runs on a host that appeared after a
// silent host was heard last. The silent one may be gone for good, and another new host
// need not appear. A leader that started after that time does not know which came first.
func (in Input) mayHaveSuccessor(v view, silent Host) bool {
	if silent.Silence < in.LossTimeout || silent.Silence >= in.knownLongest() {
		return false
	}
	return slices.ContainsFunc(v.regular, func(m *raftpb.Member) bool {
		return in.Hosts[m.Address].Known <= silent.Silence
	})
}

// knownLongest returns the time since the first update that the leader had of any host.
func (in Input) knownLongest() time.Duration {
	longest := time.Duration(0)
	for _, host := range in.Hosts {
		longest = max(longest, host.Known)
	}
	return longest
}

// bestCandidate returns the suitable host to add as a member, or nil if none can join. It
// prefers hosts in failure domains without a usable voter.
func (in Input) bestCandidate(v view, suitable func(Host) bool) *raftpb.Member {
	usedDomains := make(map[string]bool)
	for _, m := range slices.Concat(v.regular, v.standby) {
		usedDomains[m.FailureDomain] = true
	}
	var candidates []Host
	for _, host := range in.Hosts {
		if suitable(host) && in.canJoin(host) {
			candidates = append(candidates, host)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := slices.MinFunc(candidates, func(a, b Host) int {
		return cmp.Or(compare.Bool(usedDomains[a.FailureDomain], usedDomains[b.FailureDomain]), cmp.Compare(a.Address, b.Address))
	})
	return &raftpb.Member{Id: chosen.ReplicaID, Address: chosen.Address, FailureDomain: chosen.FailureDomain}
}

// canJoin reports whether a host can be added: it responds, does not retire, has room
// for the state, is not the host of a member, and its replica has an ID that no member
// has had.
func (in Input) canJoin(host Host) bool {
	if host.ReplicaID <= in.LastID || host.Retiring || host.DiskTooSmall || host.Silence >= in.ResponseTimeout {
		return false
	}
	return !slices.ContainsFunc(in.Members, func(m *raftpb.Member) bool { return m.Address == host.Address })
}

// removeVoter returns the step that removes a voter that is unusable or one too many. At
// least the wanted number of usable voters must respond without it.
func (in Input) removeVoter(v view) Step {
	responding := 0
	for _, m := range slices.Concat(v.regular, v.standby) {
		if in.holdsReplica(m, in.ResponseTimeout) {
			responding++
		}
	}
	if responding < in.Voters {
		return Step{}
	}
	if m := find(in.silentFirst(v.unusable), in.isNotLeader); m != nil {
		return Step{Remove, m}
	}
	m := find(in.surplus(v), func(m *raftpb.Member) bool {
		return in.isNotLeader(m) && (responding > in.Voters || !in.holdsReplica(m, in.ResponseTimeout))
	})
	if m == nil {
		return Step{}
	}
	return Step{Remove, m}
}

// surplus returns the usable voters of which one is too many: those on standby hosts, or,
// without any, the ones that joined last.
func (in Input) surplus(v view) []*raftpb.Member {
	if len(v.regular)+len(v.standby) <= in.Voters {
		return nil
	}
	if len(v.standby) > 0 {
		return v.standby
	}
	return reversed(v.regular)
}

// silentFirst returns the members with the silent ones first: they count towards the
// size of a quorum without being part of one.
func (in Input) silentFirst(members []*raftpb.Member) []*raftpb.Member {
	return slices.SortedStableFunc(slices.Values(members), func(a, b *raftpb.Member) int {
		return -compare.Bool(in.Hosts[a.Address].Silence >= in.LossTimeout, in.Hosts[b.Address].Silence >= in.LossTimeout)
	})
}

func (in Input) isNotLeader(m *raftpb.Member) bool { return m.Id != in.LeaderID }

// moveLeader returns the step that transfers the leadership from a retiring or standby
// host to a voter that responds, a regular one if the host is a standby.
func (in Input) moveLeader(v view) Step {
	leader := find(in.Members, func(m *raftpb.Member) bool { return m.Id == in.LeaderID })
	if leader == nil {
		return Step{}
	}
	host := in.Hosts[leader.Address]
	if !host.Retiring && !host.Standby {
		return Step{}
	}
	candidates := v.regular
	if host.Retiring {
		candidates = slices.Concat(v.regular, v.standby)
	}
	target := find(candidates, func(m *raftpb.Member) bool {
		return in.isNotLeader(m) && in.holdsReplica(m, in.ResponseTimeout)
	})
	if target == nil {
		return Step{}
	}
	return Step{Transfer, target}
}

// find returns the first member that matches, or nil.
func find(members []*raftpb.Member, match func(*raftpb.Member) bool) *raftpb.Member {
	if i := slices.IndexFunc(members, match); i >= 0 {
		return members[i]
	}
	return nil
}

func reversed(members []*raftpb.Member) []*raftpb.Member {
	list := slices.Clone(members)
	slices.Reverse(list)
	return list
}
