package raft

// idle reports whether the leader may quiesce the group: all members hold the
// whole log durably, it is committed, no read or leadership transfer is pending,
// and there was no request for QuiesceTicks.
func (n *Node) idle() bool {
	last := n.log.last()
	if n.cfg.DisableQuiesce || n.log.stable != last || n.log.commit != last {
		return false
	}
	if len(n.reads) > 0 || n.transfer.target != 0 {
		return false
	}
	if n.tick-n.lastRequestTick < uint64(n.cfg.QuiesceTicks) {
		return false
	}
	for _, p := range n.peers {
		if !p.isIdle(last, n.round) {
			return false
		}
	}
	return true
}

// quiesce tells the members to stop their election timers and gives up the
// lease. A member that does not hold the whole log as committed stays awake and
// replies to the heartbeat, which wakes the leader.
func (n *Node) quiesce() {
	n.round = firstRoundAt(n.tick)
	n.broadcastHeartbeat(true)
	n.quiesced = true
}

// recordRequest wakes the group and restarts the time until it may quiesce.
func (n *Node) recordRequest() {
	n.Wake(0, false)
	n.lastRequestTick = n.tick
}

// Quiesced reports whether the replica is quiesced and need not be ticked.
func (n *Node) Quiesced() bool { return n.quiesced }

// Wake ends the quiescence of a replica; it does nothing if the replica is not
// quiesced. elapsed is the number of ticks, rounded down, for which the replica was
// not ticked. leaderSuspected means that the leader's host may have failed: a follower
// then starts an election before a full election timeout has passed.
func (n *Node) Wake(elapsed int, leaderSuspected bool) {
	if !n.quiesced {
		return
	}
	n.quiesced = false
	if n.role == RoleLeader {
		n.wakeLeader()
		return
	}
	n.ticksSinceLeader += max(elapsed, 0)
	n.resetElectionTimer()
	if leaderSuspected {
		n.electionElapsed = n.cfg.ElectionTicks
	}
}

// wakeLeader resumes heartbeats. The time since the leader quiesced is unknown, so
// the tick counter is advanced until no earlier round can give a lease.
func (n *Node) wakeLeader() {
	n.tick += uint64(n.cfg.ElectionTicks)
	n.leaderSinceTick = n.tick
	n.lastRequestTick = n.tick
	n.beginRound()
}
