package replica

import "time"

// segmentCheckTicks is the interval, in ticks, at which the host looks for groups that
// retain old log segments.
const segmentCheckTicks = 20

// largeStateSegments is by how many times more log segments a group of a large state may
// retain.
const largeStateSegments = 16

// idleCheckTicks is the interval, in ticks, at which each idle group is woken.
const idleCheckTicks = 6000

// runTicker runs the periodic work of the host until it stops: it wakes groups, sends
// heartbeats to other hosts and releases old log segments.
func (h *Host) runTicker() {
	ticker := time.NewTicker(h.opts.TickInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case due := <-ticker.C:
			h.delay.record(time.Since(due))
		case <-h.ctx.Done():
			return
		}
		h.wakeGroups(uint64(tick))
		if tick%h.opts.Raft.HeartbeatTicks == 0 {
			h.exchangeHeartbeats()
		}
		if tick%segmentCheckTicks == 0 {
			h.snapshotLaggingGroups()
		}
	}
}

// wakeGroups wakes the groups that are not idle, and an idle one every idleCheckTicks.
func (h *Host) wakeGroups(tick uint64) {
	for id, g := range *h.groups.Load() {
		switch {
		case !g.published.Load().idle:
			g.core.wakeUp()
		case (tick+id)%idleCheckTicks == 0:
			g.core.post(g.wakePeriodically)
		}
	}
}

// exchangeHeartbeats sends a heartbeat to each host that has another member of a local
// group, and wakes idle groups whose leader's host is suspected to have failed.
func (h *Host) exchangeHeartbeats() {
	groups := *h.groups.Load()
	for _, g := range groups {
		for _, address := range g.published.Load().peerAddresses {
			h.peers.touch(address)
		}
	}
	for _, heartbeat := range h.peers.dueHeartbeats(h.ticks()) {
		h.outbox.add(heartbeat.address, heartbeat.message)
	}
	suspects := h.peers.takeSuspects(h.ticks())
	if len(suspects) == 0 {
		return
	}
	for _, g := range groups {
		state := g.published.Load()
		if state.idle && suspects[state.leaderAddress] {
			g.core.post(g.wakeOnSuspectedLeader)
		}
	}
}

// snapshotLaggingGroups requests snapshots of groups that retain old log segments: at once if
// the snapshot is smaller than these, else when the segments are several times as many.
func (h *Host) snapshotLaggingGroups() {
	for _, id := range h.log.GroupsRetainingSegments(h.opts.MaxSegments) {
		if g, err := h.lookup(id); err == nil {
			g.core.post(func() {
				if g.progress.snapshotBytes <= int64(h.opts.MaxSegments)*h.opts.SegmentSize {
					g.requestSnapshot()
				}
			})
		}
	}
	for _, id := range h.log.GroupsRetainingSegments(largeStateSegments * h.opts.MaxSegments) {
		if g, err := h.lookup(id); err == nil {
			g.core.post(g.requestSnapshot)
		}
	}
}
