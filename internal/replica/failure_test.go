package replica_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/raftpb"
)

// TestKilledLeaderLosesNoAcknowledgedWrite kills the leader right after each
// acknowledgment. It loses its unsynced data, but no acknowledged write may be lost.
func TestKilledLeaderLosesNoAcknowledgedWrite(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		for _, key := range []string{"one", "two", "three"} {
			leader := c.leader(testGroup)
			assert.NilError(t, c.tryPut(leader, testGroup, key, "1"))
			c.kill(leader)
			next := c.leader(testGroup)
			assert.Equal(t, c.nodes[next].machines[testGroup].get(key), "1")
			c.start(leader, testGroup)
			c.waitValue(leader, key, "1")
		}
	})
}

// TestPowerFailureOfAllHosts loses the unsynced data of all hosts right after an
// acknowledgment. With slow disks, an acknowledgment before the sync would lose the
// write.
func TestPowerFailureOfAllHosts(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		for _, key := range []string{"one", "two", "three"} {
			leader := c.leader(testGroup)
			for _, n := range c.nodes {
				n.fs.SetFault(waltest.Fault{SyncDelay: 5 * linkDelay})
			}
			assert.NilError(t, c.tryPut(leader, testGroup, key, "1"))
			c.killAll()
			for _, address := range c.addresses() {
				c.start(address, testGroup)
			}
			next := c.leader(testGroup)
			assert.Equal(t, c.nodes[next].machines[testGroup].get(key), "1")
		}
	})
}

// TestFailedSyncStopsHost makes a sync fail on the leader. The leader must stop
// without acknowledging the write, and the other hosts must continue.
func TestFailedSyncStopsHost(t *testing.T) {
	failures := make(chan error, 3)
	reportFailure := func(opts *replica.Options) { opts.OnFailure = func(err error) { failures <- err } }
	runClusterWith(t, reportFailure, func(t *testing.T, c *cluster) {
		leader := c.leader(testGroup)
		n := c.nodes[leader]
		n.fs.SetFault(waltest.Fault{FailSync: true})
		err := c.tryPut(leader, testGroup, "x", "1")
		assert.ErrorIs(t, err, replica.ErrUncertain)
		<-n.host.Done()
		assert.ErrorIs(t, n.host.Err(), replica.ErrStorage)
		assert.ErrorIs(t, <-failures, wal.ErrFailed)
		assert.ErrorIs(t, c.tryPut(leader, testGroup, "x", "2"), replica.ErrStopped)
		n.fs.SetFault(waltest.Fault{})
		c.put(testGroup, "y", "1", leader)
	})
}

// TestBitFlipIsRejectedAndReplicaRebuilt flips a bit in the log of a host. The host
// must not start with it, and a new replica replaces the old one.
func TestBitFlipIsRejectedAndReplicaRebuilt(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.putMany("k", 10)
		damaged := c.follower()
		oldID := c.status(damaged, testGroup).ID
		c.kill(damaged)
		names := c.nodes[damaged].fs.Files(".wal")
		c.nodes[damaged].fs.ModifyFile(names[0], func(data []byte) []byte {
			data[len(data)/2] ^= 4
			return data
		})
		err := c.open(damaged)
		assert.ErrorIs(t, err, replica.ErrStorage)
		assert.ErrorIs(t, err, wal.ErrCorrupt)

		c.addNode(damaged, testGroup)
		c.replaceMember(oldID, damaged)
		c.waitValue(damaged, "k-9", "value")
	})
}

// TestDamagedSnapshotIsRejected flips a bit in each snapshot file of a host. The host
// must not start the group from them.
func TestDamagedSnapshotIsRejected(t *testing.T) {
	frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 5 }
	runClusterWith(t, frequentSnapshots, func(t *testing.T, c *cluster) {
		c.putMany("k", 20)
		address := c.follower()
		c.eventually("snapshot", func() bool { return c.status(address, testGroup).SnapshotIndex > 0 })
		c.kill(address)
		fs := c.nodes[address].fs
		for _, name := range fs.Files(".snap") {
			fs.ModifyFile(name, func(data []byte) []byte {
				data[len(data)/2] ^= 1
				return data
			})
		}
		assert.NilError(t, c.open(address))
		err := c.addGroup(address, testGroup)
		assert.ErrorIs(t, err, replica.ErrStorage)
		assert.ErrorIs(t, err, replica.ErrInvalidSnapshot)
	})
}

func TestDataFolderIsLocked(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		err := c.open("a")
		assert.ErrorIs(t, err, replica.ErrStorage)
		assert.ErrorIs(t, err, wal.ErrLocked)
	})
}

// TestLeaderThatCannotReceive cuts all links to the leader. The followers still
// receive its heartbeats, so the leader itself must detect that it has lost its
// quorum and step down.
func TestLeaderThatCannotReceive(t *testing.T) {
	testOneWayCut(t, false, true)
}

// TestLeaderThatCannotSend cuts all links from the leader. The followers must elect
// another one, and the old leader must not confirm reads.
func TestLeaderThatCannotSend(t *testing.T) {
	testOneWayCut(t, true, false)
}

func testOneWayCut(t *testing.T, cutOutgoing, cutIncoming bool) {
	t.Helper()
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.put(testGroup, "x", "1")
		c.network.isolate(old, c.addresses(), cutOutgoing, cutIncoming)
		err := c.tryPut(old, testGroup, "x", "lost")
		assert.Assert(t, err != nil)
		assert.Assert(t, errors.Is(err, replica.ErrUncertain) || errors.Is(err, replica.ErrNotLeader), "%v", err)

		next := c.leader(testGroup, old)
		assert.NilError(t, c.tryPut(next, testGroup, "x", "2"))
		assert.Assert(t, !c.confirmsRead(c.nodes[old], testGroup), "the old leader confirms a read")

		c.network.isolate(old, c.addresses(), false, false)
		c.waitValue(old, "x", "2")
	})
}

// TestIdleGroupDetectsUnreachableLeader cuts off the leader of an idle group, in one or
// both directions. The group itself sends no messages, so the heartbeats between hosts
// must reveal the failure.
func TestIdleGroupDetectsUnreachableLeader(t *testing.T) {
	for _, cut := range []struct {
		name    string
		out, in bool
	}{{"out", true, false}, {"in", false, true}, {"both", true, true}} {
		t.Run(cut.name, func(t *testing.T) {
			runCluster(t, func(t *testing.T, c *cluster) {
				old := c.leader(testGroup)
				c.waitQuiesced(testGroup)
				c.network.isolate(old, c.addresses(), cut.out, cut.in)
				c.eventually("another leader", func() bool { return c.findLeader(testGroup, []string{old}) != "" })
				c.put(testGroup, "x", "1", old)
			})
		})
	}
}

// TestIdleGroupDetectsLeaderRestart restarts the leader of an idle group before the
// other hosts suspect it. They must detect the restart from its heartbeats.
func TestIdleGroupDetectsLeaderRestart(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.waitQuiesced(testGroup)
		c.kill(old)
		c.start(old, testGroup)
		c.put(testGroup, "x", "1")
	})
}

// TestIdleGroupDetectsLeaderWithoutReplica restarts the host that leads an idle group,
// but does not start its replica of the group. The host acknowledges heartbeats, but the
// other replicas must still elect another leader.
func TestIdleGroupDetectsLeaderWithoutReplica(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.addGroups(2)
		old := c.leader(testGroup)
		c.waitQuiesced(testGroup)
		c.kill(old)
		c.start(old, 2)
		c.put(testGroup, "x", "1", old)
	})
}

// TestReadWaitsForStateMachine elects a leader whose state machine has not applied all
// committed entries. A read barrier must wait until it has.
func TestReadWaitsForStateMachine(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		for _, address := range c.addresses() {
			if address != old {
				defer c.nodes[address].machines[testGroup].blockApply()()
			}
		}
		assert.NilError(t, c.tryPut(old, testGroup, "x", "1"))
		c.kill(old)
		c.eventually("leader", func() bool { return c.claimedLeader() != "" })
		n := c.nodes[c.claimedLeader()]
		ctx, cancel := context.WithTimeout(t.Context(), 5*electionTimeout)
		defer cancel()
		assert.ErrorIs(t, n.host.ReadBarrier(ctx, testGroup), context.DeadlineExceeded)
	})
}

// TestPausedLeaderServesNoStaleRead pauses the leader until another one is elected.
// When it resumes, it must not confirm a read with its expired lease.
func TestPausedLeaderServesNoStaleRead(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.put(testGroup, "x", "1")
		host := c.nodes[old].host
		resume, err := host.PauseGroup(testGroup)
		assert.NilError(t, err)
		synctest.Wait()

		c.put(testGroup, "x", "2", old)
		read := make(chan error, 1)
		go func() { read <- host.ReadBarrier(t.Context(), testGroup) }()
		synctest.Wait()
		resume()
		if err := <-read; err == nil {
			assert.Equal(t, c.nodes[old].machines[testGroup].get("x"), "2")
		}
		c.waitValue(old, "x", "2")
	})
}

// TestReplicaWithLostDiskDoesNotVote starts a host with an empty data directory and its
// earlier settings. Its replica must not vote under its earlier ID: with a voter that
// has not seen the last write it would elect a leader that loses the write.
func TestReplicaWithLostDiskDoesNotVote(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		lost := c.follower()
		other := c.hostExcept(lost, c.leader(testGroup))
		c.kill(other)
		c.put(testGroup, "x", "1") // on the leader and on lost only
		c.kill(lost)
		c.kill(c.runningHost())

		c.nodes[lost].fs = waltest.New()
		c.start(lost, testGroup)
		c.start(other, testGroup)
		time.Sleep(20 * electionTimeout)
		assert.Equal(t, c.findLeader(testGroup, nil), "", "voters without x elected a leader")
		assert.Equal(t, c.nodes[other].machines[testGroup].get("x"), "")
		assert.Assert(t, c.status(lost, testGroup).LostDisk || !c.status(lost, testGroup).Active)

		rest := c.hostExcept(lost, other)
		c.start(rest, testGroup)
		leader := c.leader(testGroup)
		assert.Equal(t, c.nodes[leader].machines[testGroup].get("x"), "1")
		c.eventually("new identity", func() bool { return c.status(lost, testGroup).LostDisk })
		c.replaceMember(c.memberID(lost), lost)
		c.waitValue(lost, "x", "1")
	})
}

// TestReplacementSurvivesLossOfSecondReplica replaces a host that is lost for good and
// loses a second host right after the replacement. The group must keep all data and
// accept writes.
func TestReplacementSurvivesLossOfSecondReplica(t *testing.T) {
	frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 50; opts.RetainEntries = 5 }
	runClusterWith(t, frequentSnapshots, func(t *testing.T, c *cluster) {
		c.putMany("before", 120)
		lostHost := c.follower()
		oldID := c.memberID(lostHost)
		c.kill(lostHost)
		c.addNode("d", testGroup)
		c.replaceMember(oldID, "d")

		second := c.hostExcept(lostHost, "d")
		c.kill(second)
		c.put(testGroup, "after", "1")
		leader := c.leader(testGroup)
		assert.Equal(t, c.nodes[leader].machines[testGroup].size(), 121)
		c.waitValue("d", "after", "1")
		assert.Equal(t, c.nodes["d"].machines[testGroup].size(), 121)
	})
}

// TestLearnerIsNotPromotedBeforeCaughtUp cuts the links to a new learner. It must not
// become a voter before it has caught up.
func TestLearnerIsNotPromotedBeforeCaughtUp(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.putMany("k", 10)
		c.addNode("d", testGroup)
		for _, address := range []string{"a", "b", "c"} {
			c.network.setCut(address, "d", true)
		}
		host := c.nodes[c.leader(testGroup)].host
		member := c.newMember("d")
		ctx, cancel := context.WithTimeout(t.Context(), 10*electionTimeout)
		defer cancel()
		assert.NilError(t, host.AddLearner(ctx, testGroup, member))
		err := host.Promote(ctx, testGroup, member.GetId())
		assert.ErrorIs(t, err, replica.ErrRefused)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		status := c.status(c.leader(testGroup), testGroup)
		for _, m := range status.Membership.GetMembers() {
			assert.Equal(t, m.GetLearner(), m.GetId() == member.GetId())
		}
	})
}

// TestCatchUpByLog restarts a host that has missed hundreds of entries. The other hosts
// still hold them in the log, so no snapshot is sent.
func TestCatchUpByLog(t *testing.T) {
	testCatchUp(t, nil, 0)
}

// TestCatchUpBySnapshot restarts a host that has missed hundreds of entries. The other
// hosts have compacted them, so a snapshot is sent.
func TestCatchUpBySnapshot(t *testing.T) {
	frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 50; opts.RetainEntries = 10 }
	testCatchUp(t, frequentSnapshots, 1)
}

func testCatchUp(t *testing.T, configure func(*replica.Options), wantSnapshots int64) {
	t.Helper()
	runClusterWith(t, configure, func(t *testing.T, c *cluster) {
		behind := c.follower()
		c.kill(behind)
		c.putMany("missed", 400)
		c.start(behind, testGroup)
		c.waitValue(behind, "missed-399", "value")
		assert.Equal(t, c.nodes[behind].machines[testGroup].size(), 400)
		assert.Assert(t, c.network.snapshots.Load() >= wantSnapshots)
		if wantSnapshots == 0 {
			assert.Equal(t, c.network.snapshots.Load(), int64(0))
		}
		c.kill(behind)
		c.start(behind, testGroup)
		c.put(testGroup, "after", "1")
		c.waitValue(behind, "after", "1")
		assert.Equal(t, c.nodes[behind].machines[testGroup].size(), 401)
	})
}

// TestProposalLostToLeaderChange cuts off a leader with a pending proposal. The
// proposal must fail with ErrUncertain once the next leader has replaced its entry.
func TestProposalLostToLeaderChange(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.network.isolate(old, c.addresses(), true, true)
		result := make(chan error, 1)
		go func() {
			_, err := c.nodes[old].host.Propose(t.Context(), testGroup, []byte("x=lost"))
			result <- err
		}()
		synctest.Wait()
		c.put(testGroup, "x", "kept", old)
		c.network.isolate(old, c.addresses(), false, false)
		assert.ErrorIs(t, <-result, replica.ErrUncertain)
		c.waitValue(old, "x", "kept")
	})
}

// TestProposalsLostBeforeGroupIsIdle cuts off a leader with several pending proposals.
// The next leader appends fewer entries, so most of the proposals' log indexes are not
// reused, and the group becomes idle at once. All proposals must still fail.
func TestProposalsLostBeforeGroupIsIdle(t *testing.T) {
	quiesceAtOnce := func(opts *replica.Options) { opts.Raft.QuiesceTicks = 1 }
	runClusterWith(t, quiesceAtOnce, func(t *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.network.isolate(old, c.addresses(), true, true)
		const lost = 5
		results := make(chan error, lost)
		for range lost {
			go func() {
				_, err := c.nodes[old].host.Propose(t.Context(), testGroup, []byte("x=lost"))
				results <- err
			}()
		}
		c.leader(testGroup, old)
		c.network.isolate(old, c.addresses(), false, false)
		c.eventually("results", func() bool { return len(results) == lost })
		for range lost {
			assert.ErrorIs(t, <-results, replica.ErrUncertain)
		}
	})
}

// TestIdentityIsConfirmedOnlyWhenDurable slows down the disks of the initial members.
// They must not confirm each other before the disk IDs are durable, even if requests
// are repeated.
func TestIdentityIsConfirmedOnlyWhenDurable(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		const group = 2
		before := c.network.identityReplies.Load()
		for _, address := range c.addresses() {
			c.nodes[address].fs.SetFault(waltest.Fault{SyncDelay: 3 * electionTimeout})
			assert.NilError(t, c.addGroup(address, group))
		}
		time.Sleep(2 * electionTimeout)
		assert.Equal(t, c.network.identityReplies.Load(), before)
		for _, address := range c.addresses() {
			c.nodes[address].fs.SetFault(waltest.Fault{})
		}
		c.waitActive(group)
	})
}

// TestBootstrapNeedsAllInitialMembers starts two of three initial members. The group
// must not become active until the third has started too.
func TestBootstrapNeedsAllInitialMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: newNetwork(), nodes: make(map[string]*node)}
		for i, address := range []string{"a", "b", "c"} {
			c.members = append(c.members, &raftpb.Member{Id: uint64(i + 1), Address: address})
			c.nodes[address] = &node{address: address, fs: waltest.New()}
		}
		defer c.close()
		c.start("a", testGroup)
		c.start("b", testGroup)
		time.Sleep(10 * electionTimeout)
		assert.Equal(t, c.status("a", testGroup).Active, false)
		_, err := c.nodes["a"].host.Propose(t.Context(), testGroup, nil)
		assert.ErrorIs(t, err, replica.ErrUnavailable)
		c.kill("a")
		c.start("a", testGroup)
		c.start("c", testGroup)
		c.put(testGroup, "x", "1")
	})
}
