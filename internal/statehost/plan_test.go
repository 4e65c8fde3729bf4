package statehost

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/raftpb"
)

// groupInput returns the planner's input for a group of three wanted voters. The host of
// each member is reachable and holds the member's replica.
func groupInput(leaderID uint64, members ...*raftpb.Member) planInput {
	in := planInput{leaderID: leaderID, members: members, hosts: make(map[string]candidate), wantedVoters: 3, lossTimeout: time.Second}
	for _, m := range members {
		in.hosts[m.Address] = candidate{address: m.Address, failureDomain: m.Address, replicaID: m.Id}
		in.lastID = max(in.lastID, m.Id)
	}
	return in
}

func voter(id uint64, host string) *raftpb.Member {
	return &raftpb.Member{Id: id, Address: host, FailureDomain: host}
}

func learner(id uint64, host string) *raftpb.Member {
	return &raftpb.Member{Id: id, Address: host, FailureDomain: host, Learner: true}
}

// withHost adds or replaces a host.
func (in planInput) withHost(c candidate) planInput {
	in.hosts[c.address] = c
	return in
}

func TestPlan(t *testing.T) {
	three := []*raftpb.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")}
	lost := 2 * time.Second
	cases := []struct {
		name string
		in   planInput
		want string
	}{
		{"healthy group", groupInput(1, three...), "none"},
		{"healthy group with a spare host", groupInput(1, three...).withHost(candidate{address: "d", replicaID: 9}), "none"},
		{"lost host without a spare host", groupInput(1, three...).withHost(candidate{address: "b", replicaID: 2, silence: lost}), "none"},
		{"lost host with a spare host", groupInput(1, three...).withHost(candidate{address: "b", replicaID: 2, silence: lost}).withHost(candidate{address: "d", replicaID: 9}), "add 9 d"},
		{"lost disk: the old replica is removed first", groupInput(1, three...).withHost(candidate{address: "b", replicaID: 8}), "remove 2 b"},
		{"lost disk: the new replica is added", groupInput(1, voter(1, "a"), voter(3, "c")).withHost(candidate{address: "b", replicaID: 8}), "add 8 b"},
		{"learner is promoted", groupInput(1, voter(1, "a"), voter(3, "c"), learner(8, "b")), "promote 8 b"},
		{"surplus learner is removed", groupInput(1, append(three, learner(8, "d"))...), "remove 8 d"},
		{"lost learner is removed", groupInput(1, voter(1, "a"), voter(3, "c"), learner(8, "b")).withHost(candidate{address: "b", replicaID: 8, silence: lost}), "remove 8 b"},
		{"replica with a used ID is not added", groupInput(1, voter(1, "a"), voter(30, "c")).withHost(candidate{address: "b", replicaID: 8}), "none"},
		{"lost voter is removed after its replacement", groupInput(1, append(three, voter(9, "d"))...).withHost(candidate{address: "b", replicaID: 2, silence: lost}), "remove 2 b"},
		{"surplus voter is removed", groupInput(1, append(three, voter(9, "d"))...), "remove 9 d"},
		{"retiring host is replaced", groupInput(1, three...).withHost(candidate{address: "b", replicaID: 2, retiring: true}).withHost(candidate{address: "d", replicaID: 9}), "add 9 d"},
		{"retiring host without a spare host stays", groupInput(1, three...).withHost(candidate{address: "b", replicaID: 2, retiring: true}), "none"},
		{"retiring host is removed after its replacement", groupInput(1, append(three, voter(9, "d"))...).withHost(candidate{address: "b", replicaID: 2, retiring: true}), "remove 2 b"},
		{"retiring leader transfers the leadership", groupInput(1, append(three, voter(9, "d"))...).withHost(candidate{address: "a", replicaID: 1, retiring: true}), "transfer 2 b"},
		{"retiring host is not added", groupInput(1, voter(1, "a"), voter(3, "c")).withHost(candidate{address: "d", replicaID: 9, retiring: true}), "none"},
		{"host in another failure domain is preferred", groupInput(1, voter(1, "a"), voter(3, "c")).
			withHost(candidate{address: "d", failureDomain: "a", replicaID: 9}).withHost(candidate{address: "e", failureDomain: "e", replicaID: 10}), "add 10 e"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, formatStep(planStep(c.in)), c.want)
		})
	}
}

func formatStep(s step) string {
	if s.kind == stepNone {
		return "none"
	}
	return fmt.Sprintf("%s %d %s", s.kind, s.member.Id, s.member.Address)
}

// TestPlanKeepsQuorumOfUsableVoters performs the planned steps from random states. No step
// may lose a quorum of usable voters, and the steps must come to an end.
func TestPlanKeepsQuorumOfUsableVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawGroup(t)
		for range 30 {
			usable, _, _ := in.classify()
			hadQuorum := 2*len(usable) > len(votersOf(in.members))
			next := planStep(in)
			if next.kind == stepNone || next.kind == stepTransfer {
				return
			}
			in = in.afterStep(next)
			usable, _, _ = in.classify()
			if hadQuorum && 2*len(usable) <= len(votersOf(in.members)) {
				t.Fatalf("%s leaves %d usable of %d voters", formatStep(next), len(usable), len(votersOf(in.members)))
			}
		}
		t.Fatalf("steps do not come to an end: next is %s", formatStep(planStep(in)))
	})
}

// drawGroup draws a group in which hosts may be silent, have lost their disk or be
// retiring.
func drawGroup(t *rapid.T) planInput {
	in := groupInput(1, voter(1, "a"))
	for i := range rapid.IntRange(1, 5).Draw(t, "hosts") {
		address := string(rune('b' + i))
		id := uint64(2 + i)
		c := candidate{address: address, failureDomain: address, replicaID: id}
		if rapid.Bool().Draw(t, "member") {
			in.members = append(in.members, &raftpb.Member{Id: id, Address: address, Learner: rapid.Bool().Draw(t, "learner")})
			in.lastID = id
		}
		switch rapid.IntRange(0, 3).Draw(t, "condition") {
		case 0:
			c.silence = 2 * in.lossTimeout
		case 1:
			c.replicaID = 100 + id
		case 2:
			c.retiring = true
		}
		in.hosts[address] = c
	}
	return in
}

func votersOf(members []*raftpb.Member) []*raftpb.Member {
	var list []*raftpb.Member
	for _, m := range members {
		if !m.Learner {
			list = append(list, m)
		}
	}
	return list
}

// afterStep returns the group after the step was performed.
func (in planInput) afterStep(s step) planInput {
	var members []*raftpb.Member
	for _, m := range in.members {
		switch {
		case m.Id == s.member.Id && s.kind == stepRemove:
			continue
		case m.Id == s.member.Id && s.kind == stepPromote:
			m = &raftpb.Member{Id: m.Id, Address: m.Address, FailureDomain: m.FailureDomain}
		}
		members = append(members, m)
	}
	if s.kind == stepAdd {
		members = append(members, &raftpb.Member{Id: s.member.Id, Address: s.member.Address, FailureDomain: s.member.FailureDomain, Learner: true})
		in.lastID = max(in.lastID, s.member.Id)
	}
	in.members = members
	return in
}
