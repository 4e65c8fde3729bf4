package statehost

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/raftpb"
)

// group builds the input of the planner: members a, b, c... on hosts of the same
// name, and hosts with the replica IDs that they offer.
func group(self uint64, members ...*raftpb.Member) planInput {
	in := planInput{self: self, members: members, hosts: make(map[string]candidate), voters: 3, lostAfter: time.Second}
	for _, m := range members {
		in.hosts[m.Address] = candidate{address: m.Address, domain: m.Address, replicaID: m.Id}
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

func (in planInput) with(c candidate) planInput {
	in.hosts[c.address] = c
	return in
}

func TestPlan(t *testing.T) {
	three := []*raftpb.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")}
	silent := 2 * time.Second
	cases := []struct {
		name string
		in   planInput
		want string
	}{
		{"all well", group(1, three...), "none"},
		{"spare host, all well", group(1, three...).with(candidate{address: "d", replicaID: 9}), "none"},
		{"host lost, no spare", group(1, three...).with(candidate{address: "b", replicaID: 2, silence: silent}), "none"},
		{"host lost, spare", group(1, three...).with(candidate{address: "b", replicaID: 2, silence: silent}).with(candidate{address: "d", replicaID: 9}), "add 9 d"},
		{"disk lost: the old replica goes first", group(1, three...).with(candidate{address: "b", replicaID: 8}), "remove 2 b"},
		{"disk lost: the new replica joins", group(1, voter(1, "a"), voter(3, "c")).with(candidate{address: "b", replicaID: 8}), "add 8 b"},
		{"learner is promoted", group(1, voter(1, "a"), voter(3, "c"), learner(8, "b")), "promote 8 b"},
		{"learner is not needed", group(1, append(three, learner(8, "d"))...), "remove 8 d"},
		{"learner is lost", group(1, voter(1, "a"), voter(3, "c"), learner(8, "b")).with(candidate{address: "b", replicaID: 8, silence: silent}), "remove 8 b"},
		{"replica ID was used before", group(1, voter(1, "a"), voter(30, "c")).with(candidate{address: "b", replicaID: 8}), "none"},
		{"lost one is removed once replaced", group(1, append(three, voter(9, "d"))...).with(candidate{address: "b", replicaID: 2, silence: silent}), "remove 2 b"},
		{"one too many", group(1, append(three, voter(9, "d"))...), "remove 9 d"},
		{"retiring host is replaced", group(1, three...).with(candidate{address: "b", replicaID: 2, retiring: true}).with(candidate{address: "d", replicaID: 9}), "add 9 d"},
		{"retiring host without a spare stays", group(1, three...).with(candidate{address: "b", replicaID: 2, retiring: true}), "none"},
		{"retiring host is removed", group(1, append(three, voter(9, "d"))...).with(candidate{address: "b", replicaID: 2, retiring: true}), "remove 2 b"},
		{"retiring leader hands over", group(1, append(three, voter(9, "d"))...).with(candidate{address: "a", replicaID: 1, retiring: true}), "transfer 2 b"},
		{"retiring host is no spare", group(1, voter(1, "a"), voter(3, "c")).with(candidate{address: "d", replicaID: 9, retiring: true}), "none"},
		{"host of another domain is preferred", group(1, voter(1, "a"), voter(3, "c")).
			with(candidate{address: "d", domain: "a", replicaID: 9}).with(candidate{address: "e", domain: "e", replicaID: 10}), "add 10 e"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, describe(plan(c.in)), c.want)
		})
	}
}

func describe(s step) string {
	if s.kind == stepNone {
		return "none"
	}
	return fmt.Sprintf("%s %d %s", s.kind, s.member.Id, s.member.Address)
}

// TestPlanKeepsAQuorumOfGoodVoters performs the planned steps from random states
// and checks that no step leaves fewer good voters than a quorum where there was
// one, and that the steps come to an end.
func TestPlanKeepsAQuorumOfGoodVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawGroup(t)
		for range 30 {
			good, _, _ := in.sort()
			had := 2*len(good) > len(votersOf(in.members))
			next := plan(in)
			if next.kind == stepNone || next.kind == stepTransfer {
				return
			}
			in = in.after(next)
			good, _, _ = in.sort()
			if had && 2*len(good) <= len(votersOf(in.members)) {
				t.Fatalf("%s leaves %d good of %d voters", describe(next), len(good), len(votersOf(in.members)))
			}
		}
		t.Fatalf("steps do not come to an end: next is %s", describe(plan(in)))
	})
}

func drawGroup(t *rapid.T) planInput {
	in := group(1, voter(1, "a"))
	for i := range rapid.IntRange(1, 5).Draw(t, "hosts") {
		address := string(rune('b' + i))
		id := uint64(2 + i)
		c := candidate{address: address, domain: address, replicaID: id}
		if rapid.Bool().Draw(t, "member") {
			in.members = append(in.members, &raftpb.Member{Id: id, Address: address, Learner: rapid.Bool().Draw(t, "learner")})
			in.lastID = id
		}
		switch rapid.IntRange(0, 3).Draw(t, "fate") {
		case 0:
			c.silence = 2 * in.lostAfter
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

// after returns the group after a step.
func (in planInput) after(s step) planInput {
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
