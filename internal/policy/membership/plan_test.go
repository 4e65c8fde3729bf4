package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/raftpb"
)

// groupInput returns the planner's input for a group of three wanted voters. The host of
// each member is reachable and holds the member's replica.
func groupInput(leaderID uint64, members ...*raftpb.Member) Input {
	in := Input{
		LeaderID: leaderID, Members: members, Hosts: make(map[string]Host), Voters: 3,
		ResponseTimeout: 500 * time.Millisecond, LossTimeout: time.Second, StandbyDelay: 4 * time.Second,
	}
	for _, m := range members {
		in.Hosts[m.Address] = Host{Address: m.Address, FailureDomain: m.Address, ReplicaID: m.Id}
		in.LastID = max(in.LastID, m.Id)
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
func (in Input) withHost(c Host) Input {
	in.Hosts[c.Address] = c
	return in
}

// sixOfFive returns the input for a group of five wanted voters that has six.
func sixOfFive() Input {
	in := groupInput(3, voter(1, "a"), voter(2, "b"), voter(3, "c"), voter(4, "d"), voter(5, "e"), voter(6, "f"))
	in.Voters = 5
	return in
}

func TestPlan(t *testing.T) {
	three := []*raftpb.Member{voter(1, "a"), voter(2, "b"), voter(3, "c")}
	lost := 2 * time.Second
	cases := []struct {
		name string
		in   Input
		want string
	}{
		{"healthy group", groupInput(1, three...), "none"},
		{"healthy group with a spare host", groupInput(1, three...).withHost(Host{Address: "d", ReplicaID: 9}), "none"},
		{"lost host without a spare host", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Silence: lost}), "none"},
		{"lost host with a spare host", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Silence: lost}).withHost(Host{Address: "d", ReplicaID: 9}), "add 9 d"},
		{"lost disk: the old replica is removed first", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 8}), "remove 2 b"},
		{"lost disk: the new replica is added", groupInput(1, voter(1, "a"), voter(3, "c")).withHost(Host{Address: "b", ReplicaID: 8}), "add 8 b"},
		{"learner is promoted", groupInput(1, voter(1, "a"), voter(3, "c"), learner(8, "b")), "promote 8 b"},
		{"surplus learner is removed", groupInput(1, append(three, learner(8, "d"))...), "remove 8 d"},
		{"lost learner is removed", groupInput(1, voter(1, "a"), voter(3, "c"), learner(8, "b")).withHost(Host{Address: "b", ReplicaID: 8, Silence: lost}), "remove 8 b"},
		{"replica with a used ID is not added", groupInput(1, voter(1, "a"), voter(30, "c")).withHost(Host{Address: "b", ReplicaID: 8}), "none"},
		{"lost voter is removed after its replacement", groupInput(1, append(three, voter(9, "d"))...).withHost(Host{Address: "b", ReplicaID: 2, Silence: lost}), "remove 2 b"},
		{"surplus voter is removed", groupInput(1, append(three, voter(9, "d"))...), "remove 9 d"},
		{"retiring host is replaced", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Retiring: true}).withHost(Host{Address: "d", ReplicaID: 9, Known: lost}), "add 9 d"},
		{"host that has just appeared does not replace a retiring one", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Retiring: true}).withHost(Host{Address: "d", ReplicaID: 9}), "none"},
		{"retiring host without a spare host stays", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Retiring: true}), "none"},
		{"retiring host is removed after its replacement", groupInput(1, append(three, voter(9, "d"))...).withHost(Host{Address: "b", ReplicaID: 2, Retiring: true}), "remove 2 b"},
		{"retiring leader transfers the leadership", groupInput(1, append(three, voter(9, "d"))...).withHost(Host{Address: "a", ReplicaID: 1, Retiring: true}), "transfer 2 b"},
		{"retiring host is not added", groupInput(1, voter(1, "a"), voter(3, "c")).withHost(Host{Address: "d", ReplicaID: 9, Retiring: true}), "none"},
		{"host in another failure domain is preferred", groupInput(1, voter(1, "a"), voter(3, "c")).
			withHost(Host{Address: "d", FailureDomain: "a", ReplicaID: 9}).withHost(Host{Address: "e", FailureDomain: "e", ReplicaID: 10}), "add 10 e"},
		{"a voter that was lost a moment ago does not count as one that stays", groupInput(1, append(three, voter(9, "d"))...).
			withHost(Host{Address: "b", ReplicaID: 2, Retiring: true}).withHost(Host{Address: "c", ReplicaID: 3, Silence: 600 * time.Millisecond}), "none"},
		{"a silent voter leaves before a retiring one", groupInput(1, append(three, voter(9, "d"), voter(10, "e"))...).
			withHost(Host{Address: "b", ReplicaID: 2, Retiring: true}).withHost(Host{Address: "c", ReplicaID: 3, Silence: lost}), "remove 3 c"},
		{"replaced host leaves although another one is lost meanwhile", sixOfFive().withHost(Host{Address: "a", ReplicaID: 1, Silence: 3 * time.Second}).
			withHost(Host{Address: "b", ReplicaID: 2, Silence: lost}), "remove 1 a"},
		{"replaced host leaves although another one was lost a moment ago", sixOfFive().withHost(Host{Address: "a", ReplicaID: 1, Silence: lost}).
			withHost(Host{Address: "b", ReplicaID: 2, Silence: 600 * time.Millisecond}), "remove 1 a"},
		{"standby host replaces a host that is gone while its successor has another place", groupInput(1, three...).withHost(Host{Address: "a", ReplicaID: 1, Known: time.Hour}).
			withHost(Host{Address: "b", ReplicaID: 2, Silence: lost}).withHost(Host{Address: "c", ReplicaID: 3, Known: lost}).withHost(Host{Address: "s", ReplicaID: 9, Standby: true}), "add 9 s"},
		{"leader that has just started does not take the others for successors", groupInput(1, three...).withHost(Host{Address: "a", ReplicaID: 1, Known: lost}).
			withHost(Host{Address: "b", ReplicaID: 2, Silence: lost}).withHost(Host{Address: "c", ReplicaID: 3, Known: lost}).withHost(Host{Address: "s", ReplicaID: 9, Standby: true}), "none"},
		{"standby host replaces a retiring one", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Retiring: true}).withHost(Host{Address: "s", ReplicaID: 9, Standby: true}), "add 9 s"},
		{"regular host is preferred to a standby host", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Retiring: true}).
			withHost(Host{Address: "s", ReplicaID: 9, Standby: true}).withHost(Host{Address: "t", ReplicaID: 10, Known: lost}), "add 10 t"},
		{"standby host does not replace a host that may come back soon", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Silence: lost}).withHost(Host{Address: "s", ReplicaID: 9, Standby: true}), "none"},
		{"standby host replaces a host that is lost for long", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Silence: 4 * time.Second}).withHost(Host{Address: "s", ReplicaID: 9, Standby: true}), "add 9 s"},
		{"host with too small a disk does not join", groupInput(1, three...).withHost(Host{Address: "b", ReplicaID: 2, Retiring: true}).withHost(Host{Address: "s", ReplicaID: 9, Standby: true, DiskTooSmall: true}), "none"},
		{"regular host replaces a standby host", groupInput(1, voter(1, "a"), voter(2, "b"), voter(3, "s")).withHost(Host{Address: "s", ReplicaID: 3, Standby: true}).withHost(Host{Address: "d", ReplicaID: 9, Known: lost}), "add 9 d"},
		{"regular host that has just appeared does not replace a standby host", groupInput(1, voter(1, "a"), voter(2, "b"), voter(3, "s")).withHost(Host{Address: "s", ReplicaID: 3, Standby: true}).withHost(Host{Address: "d", ReplicaID: 9}), "none"},
		{"standby host leaves once it is replaced", groupInput(1, voter(1, "a"), voter(2, "b"), voter(3, "s"), voter(9, "d")).withHost(Host{Address: "s", ReplicaID: 3, Standby: true}), "remove 3 s"},
		{"standby host hands the leadership over", groupInput(3, voter(1, "a"), voter(2, "b"), voter(3, "s")).withHost(Host{Address: "s", ReplicaID: 3, Standby: true}), "transfer 1 a"},
		{"leader on a surplus standby host hands over before a regular voter leaves", groupInput(3, voter(1, "a"), voter(2, "b"), voter(3, "s"), voter(9, "d")).withHost(Host{Address: "s", ReplicaID: 3, Standby: true}), "transfer 1 a"},
		{"standby learner leaves when the gap has closed", groupInput(1, append(three, learner(9, "s"))...).withHost(Host{Address: "s", ReplicaID: 9, Standby: true}), "remove 9 s"},
		{"retiring leader without replacement transfers the leadership", groupInput(1, three...).withHost(Host{Address: "a", ReplicaID: 1, Retiring: true}), "transfer 2 b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, formatStep(Plan(c.in)), c.want)
		})
	}
}

func formatStep(s Step) string {
	if s.Kind == None {
		return "none"
	}
	return fmt.Sprintf("%s %d %s", s.Kind, s.Member.Id, s.Member.Address)
}

// TestPlanKeepsQuorumOfUsableVoters performs the planned steps from random states. No step
// may lose a quorum of usable voters, and the steps must come to an end.
func TestPlanKeepsQuorumOfUsableVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawGroup(t)
		for range 30 {
			usable := in.usableVoters()
			hadQuorum := 2*len(usable) > len(votersOf(in.Members))
			next := Plan(in)
			if next.Kind == None || next.Kind == Transfer {
				return
			}
			in = in.afterStep(next)
			usable = in.usableVoters()
			if hadQuorum && 2*len(usable) <= len(votersOf(in.Members)) {
				t.Fatalf("%s leaves %d usable of %d voters", formatStep(next), len(usable), len(votersOf(in.Members)))
			}
		}
		t.Fatalf("steps do not come to an end: next is %s", formatStep(Plan(in)))
	})
}

// drawGroup draws a group in which hosts may be silent, have lost their disk or be
// retiring.
func drawGroup(t *rapid.T) Input {
	in := groupInput(1, voter(1, "a"))
	for i := range rapid.IntRange(1, 5).Draw(t, "hosts") {
		address := string(rune('b' + i))
		id := uint64(2 + i)
		c := Host{Address: address, FailureDomain: address, ReplicaID: id}
		if rapid.Bool().Draw(t, "member") {
			in.Members = append(in.Members, &raftpb.Member{Id: id, Address: address, Learner: rapid.Bool().Draw(t, "learner")})
			in.LastID = id
		}
		switch rapid.IntRange(0, 3).Draw(t, "condition") {
		case 0:
			c.Silence = 2 * in.LossTimeout
		case 1:
			c.ReplicaID = 100 + id
		case 2:
			c.Retiring = true
		}
		in.Hosts[address] = c
	}
	return in
}

// usableVoters returns the voters whose hosts are usable.
func (in Input) usableVoters() []*raftpb.Member {
	v := in.classify()
	return slices.Concat(v.regular, v.standby)
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
func (in Input) afterStep(s Step) Input {
	var members []*raftpb.Member
	for _, m := range in.Members {
		switch {
		case m.Id == s.Member.Id && s.Kind == Remove:
			continue
		case m.Id == s.Member.Id && s.Kind == Promote:
			m = &raftpb.Member{Id: m.Id, Address: m.Address, FailureDomain: m.FailureDomain}
		}
		members = append(members, m)
	}
	if s.Kind == Add {
		members = append(members, &raftpb.Member{Id: s.Member.Id, Address: s.Member.Address, FailureDomain: s.Member.FailureDomain, Learner: true})
		in.LastID = max(in.LastID, s.Member.Id)
	}
	in.Members = members
	return in
}
