package replica

import "time"

// lagTicks is the interval, in ticks, at which the host looks for groups that
// keep old segments of the log.
const lagTicks = 20

// idleCheckTicks is the interval, in ticks, at which an idle group is woken.
const idleCheckTicks = 6000

// runTicker wakes the groups that need ticks and keeps up the heartbeats between
// hosts.
func (h *Host) runTicker() {
	ticker := time.NewTicker(h.opts.TickInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case due := <-ticker.C:
			h.lag.record(time.Since(due))
		case <-h.ctx.Done():
			return
		}
		h.wakeGroups(uint64(round))
		if round%h.opts.Raft.HeartbeatTicks == 0 {
			h.heartbeat()
		}
		if round%lagTicks == 0 {
			h.snapshotLagging()
		}
	}
}

// wakeGroups wakes the groups that are not idle, and each idle one now and then.
func (h *Host) wakeGroups(round uint64) {
	for id, g := range *h.groups.Load() {
		switch {
		case !g.view.Load().quiesced:
			g.core.wakeUp()
		case (round+id)%idleCheckTicks == 0:
			g.core.post(g.checkIdle)
		}
	}
}

// heartbeat sends a heartbeat to each host that holds a member of a group here,
// and wakes idle groups whose leader's host does not answer.
func (h *Host) heartbeat() {
	groups := *h.groups.Load()
	for _, g := range groups {
		for _, address := range g.view.Load().addresses {
			h.peers.touch(address)
		}
	}
	for _, beat := range h.peers.beats(h.ticks()) {
		h.outbox.add(beat.address, beat.message)
	}
	suspects := h.peers.suspects(h.ticks())
	if len(suspects) == 0 {
		return
	}
	for _, g := range groups {
		view := g.view.Load()
		if view.quiesced && suspects[view.leaderAddress] {
			g.core.post(g.suspectLeader)
		}
	}
}

// snapshotLagging takes snapshots of groups that keep the log from shrinking.
func (h *Host) snapshotLagging() {
	for _, id := range h.log.GroupsRetainingSegments(h.opts.MaxSegments) {
		if g, err := h.lookup(id); err == nil {
			g.core.post(func() { g.requestSnapshot() })
		}
	}
}
