package raft

// idle tells whether nothing is outstanding in the group and it has had no
// request for a while.
func (n *Node) idle() bool {
	last := n.log.last()
	if n.cfg.DisableQuiesce || n.log.stable != last || n.log.commit != last {
		return false
	}
	if len(n.reads) > 0 || n.transfer.target != 0 {
		return false
	}
	if n.tick-n.lastActive < uint64(n.cfg.QuiesceTicks) {
		return false
	}
	for _, p := range n.peers {
		if !p.idle(last, n.round) {
			return false
		}
	}
	return true
}

// quiesce tells the members to stop their election timers and gives up the
// lease. A member that cannot follow answers the heartbeat and so wakes the
// leader.
func (n *Node) quiesce() {
	n.round = firstRoundAt(n.tick)
	n.broadcastHeartbeat(true)
	n.quiesced = true
}

// touch records a request and wakes the group.
func (n *Node) touch() {
	n.Wake(0, false)
	n.lastActive = n.tick
}

// Quiesced tells whether the replica needs no ticks.
func (n *Node) Quiesced() bool { return n.quiesced }

// Wake ends the quiescence of a replica; otherwise it does nothing. elapsed is
// the number of whole ticks for which it was not ticked, rounded down. suspect
// says that the leader's host is suspected to have failed: the replica then
// starts an election without waiting for a full timeout.
func (n *Node) Wake(elapsed int, suspect bool) {
	if !n.quiesced {
		return
	}
	n.quiesced = false
	if n.role == RoleLeader {
		n.wakeLeader()
		return
	}
	n.sinceLeader += max(elapsed, 0)
	n.resetElectionTimer()
	if suspect {
		n.electionElapsed = n.cfg.ElectionTicks
	}
}

// wakeLeader resumes heartbeats. The time that has passed is not known, so the
// tick counter is moved on until no earlier round can give a lease.
func (n *Node) wakeLeader() {
	n.tick += uint64(n.cfg.ElectionTicks)
	n.leaderSince = n.tick
	n.lastActive = n.tick
	n.beginRound()
}
