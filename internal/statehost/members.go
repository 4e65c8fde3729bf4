package statehost

import (
	"context"
	"slices"
	"strings"
	"time"

	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/policy/membership"
	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/raftpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	membershipInterval = 200 * time.Millisecond
	// stepTimeout limits one membership change. A learner is promoted when it has caught
	// up; until then the step fails and is retried.
	stepTimeout = time.Second
	// hostResponseTimeout is the silence up to which a host counts as responding: three
	// updates.
	hostResponseTimeout = 3 * fleetwatch.KeepAliveInterval
	// hostLossTimeout is how long a host must be silent before its replica is replaced,
	// if another host can take its place. It tolerates a few lost updates.
	hostLossTimeout = 2500 * time.Millisecond
	// standbyDelay is how long a host must be silent before a standby host replaces it.
	// Restarts and partitions are usually shorter, and each replacement copies the state
	// twice.
	standbyDelay = 10 * time.Second
	// leaderCallTimeout limits one attempt of a call to a leader.
	leaderCallTimeout = 500 * time.Millisecond
)

// recordSelf updates the entry of this host in the host table.
func (h *Host) recordSelf(context.Context) {
	h.hosts.record(h.describeSelf(), time.Now())
}

// describeSelf returns the description of this host that the other state hosts receive.
func (h *Host) describeSelf() *fleetpb.Host {
	self := &fleetpb.Host{
		Address:       h.cfg.Address,
		Name:          h.cfg.Name,
		FailureDomain: h.cfg.FailureDomain,
		PublicAddress: h.cfg.PublicAddress,
		Standby:       h.cfg.Standby,
		DiskBytes:     h.cfg.DiskBytes,
	}
	for group := range h.stateMachines() {
		id, err := h.replicas.ReplicaID(group)
		if err != nil {
			// The replica is being replaced.
			continue
		}
		self.Replicas = append(self.Replicas, &fleetpb.Replica{Group: group, Id: id})
	}
	return self
}

// addHosts adds hosts that other processes named.
func (h *Host) addHosts(addresses []string) {
	if h.hosts.addAddresses(addresses, time.Now()) {
		h.hostsChanged()
	}
}

// recordHost records the description of another state host.
func (h *Host) recordHost(host *fleetpb.Host) {
	if h.hosts.record(host, time.Now()) {
		h.hostsChanged()
	}
}

// hostsChanged makes this host watch new hosts at once, which tells them about it. After a
// restart, each such step would otherwise wait for the next interval.
func (h *Host) hostsChanged() { h.peerWatcher.Refresh() }

// staleReplicas returns the replicas of another host that are not members of the groups
// that this host leads and cannot become any, because their IDs are not higher than all
// IDs that members have had. Each is returned with the lowest usable ID. A removal that is not
// committed makes no replica stale: the next leader may not know of it.
func (h *Host) staleReplicas(ctx context.Context, address string) []*fleetpb.Replica {
	var stale []*fleetpb.Replica
	for _, r := range h.hosts.replicasOf(address) {
		status, leads := h.leaderStatus(ctx, r.Group)
		if leads && isStale(status.Committed, status.Membership, r.Id) {
			stale = append(stale, &fleetpb.Replica{Group: r.Group, Id: status.Membership.GetLastId() + 1})
		}
	}
	return stale
}

// isStale reports whether a replica is neither a member now nor can become one, by the committed
// membership and by the latest one.
func isStale(committed, latest *raftpb.Membership, id uint64) bool {
	return member(committed, id) == nil && member(latest, id) == nil && id <= committed.GetLastId()
}

// leaderStatus returns the status of a group if this host leads it.
func (h *Host) leaderStatus(ctx context.Context, group uint64) (replica.GroupStatus, bool) {
	if h.replicas.Leader(group) != h.cfg.Address {
		return replica.GroupStatus{}, false
	}
	status, err := h.replicas.Status(ctx, group)
	return status, err == nil && status.Role == raft.RoleLeader
}

// memberByID returns the member with the replica ID, or nil if there is none.
func memberByID(status replica.GroupStatus, id uint64) *raftpb.Member {
	return member(status.Membership, id)
}

func member(membership *raftpb.Membership, id uint64) *raftpb.Member {
	for _, m := range membership.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// replaceReplica replaces the replica of a group by an empty one with an ID of at least
// stale.Id, so that the group can add it. The new replica receives its state from the
// group.
func (h *Host) replaceReplica(stale *fleetpb.Replica) {
	h.replicaReplacement <- struct{}{}
	defer func() { <-h.replicaReplacement }()
	id, err := h.replicas.ReplicaID(stale.Group)
	if err != nil || id >= stale.Id {
		return
	}
	h.log.Info("replica gets a new ID", "group", stale.Group, "old_replica", id, "least", stale.Id)
	h.replicas.RaiseMinReplicaID(stale.Id)
	if err := h.replicas.RemoveGroup(stale.Group); err != nil {
		h.log.Error("replica not removed", "group", stale.Group, "error", err)
		return
	}
	state := h.stateMachines()[stale.Group]
	if err := state.Restore(strings.NewReader("")); err != nil {
		h.log.Error("state machine not reset", "group", stale.Group, "error", err)
	}
	if err := h.replicas.AddGroup(stale.Group, nil, state); err != nil {
		h.log.Error("replica not added", "group", stale.Group, "error", err)
	}
}

// adjustMembers performs the next membership step of a group if this host leads it and
// the members differ from the wanted ones.
func (h *Host) adjustMembers(ctx context.Context, group uint64) {
	status, leads := h.leaderStatus(ctx, group)
	if !leads {
		return
	}
	next := membership.Plan(h.newPlanInput(group, status, time.Now()))
	if next.Kind == membership.None {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	err := h.performStep(ctx, group, next)
	h.metrics.membershipSteps.WithLabelValues(next.Kind.String()).Inc()
	h.log.Info("membership step", "group", group, "step", next.Kind.String(), "replica", next.Member.Id, "address", next.Member.Address, "error", err)
}

func (h *Host) performStep(ctx context.Context, group uint64, next membership.Step) error {
	switch next.Kind {
	case membership.Add:
		return h.replicas.AddLearner(ctx, group, next.Member)
	case membership.Promote:
		return h.replicas.Promote(ctx, group, next.Member.Id)
	case membership.Remove:
		return h.replicas.RemoveMember(ctx, group, next.Member.Id)
	case membership.Transfer:
		return h.replicas.TransferLeadership(ctx, group, next.Member.Id)
	}
	return nil
}

// newPlanInput returns the planner's input from the view of this host. A member that has
// not described itself counts as silent since the start of this process.
func (h *Host) newPlanInput(group uint64, status replica.GroupStatus, now time.Time) membership.Input {
	in := membership.Input{
		LeaderID:        status.ID,
		Members:         status.Membership.GetMembers(),
		LastID:          status.Membership.GetLastId(),
		Hosts:           make(map[string]membership.Host),
		Voters:          h.wantedVoters(),
		ResponseTimeout: hostResponseTimeout,
		LossTimeout:     hostLossTimeout,
		StandbyDelay:    standbyDelay,
	}
	for _, m := range in.Members {
		in.Hosts[m.Address] = membership.Host{Address: m.Address, FailureDomain: m.FailureDomain, ReplicaID: m.Id, Silence: now.Sub(h.started)}
	}
	stateBytes := h.stateBytes(group)
	for _, known := range h.hosts.all() {
		if !known.lastHeard.IsZero() {
			in.Hosts[known.host.Address] = h.newPlanHost(group, known, stateBytes, now)
		}
	}
	return in
}

// newPlanHost returns the planner's view of a known host.
func (h *Host) newPlanHost(group uint64, known knownHost, stateBytes int64, now time.Time) membership.Host {
	host := membership.Host{
		Address:       known.host.Address,
		FailureDomain: known.host.FailureDomain,
		Silence:       now.Sub(known.lastHeard),
		Known:         now.Sub(known.firstHeard),
		Retiring:      h.isRetiring(known.host.Address),
		Standby:       known.host.Standby,
		DiskTooSmall:  !h.fitsDisk(stateBytes, known.host.DiskBytes),
	}
	for _, r := range known.host.Replicas {
		if r.Group == group {
			host.ReplicaID = r.Id
		}
	}
	return host
}

// fitsDisk reports whether a host with a disk of diskBytes, 0 if not known, and the memory of this
// one can hold a replica with a state of stateBytes: its snapshots, its log and what it does not
// hold in memory.
func (h *Host) fitsDisk(stateBytes, diskBytes int64) bool {
	capacity := h.diskCapacity(diskBytes)
	return capacity == 0 || stateBytes <= capacity
}

// wantedVoters returns the number of voters that tolerates the configured losses.
func (h *Host) wantedVoters() int { return 2*h.cfg.FaultTolerance + 1 }

// stateBytes returns the approximate size of a snapshot of the group. Routes are small.
func (h *Host) stateBytes(group uint64) int64 {
	if group == LedgerGroup {
		return h.ledger.Stats().Bytes
	}
	return 0
}

// isRetiring reports whether the host at the address was asked to retire. A host without
// a replica of the configuration learns it from the updates of the others.
func (h *Host) isRetiring(address string) bool {
	return h.config.isRetiring(address) || h.hosts.isRetiring(address)
}

// handleStatus returns the status of the replicas on this host.
func (h *Host) handleStatus(ctx context.Context, _ *rpcpb.ReplicaStatusRequest) (*rpcpb.ReplicaStatusResponse, error) {
	resp := &rpcpb.ReplicaStatusResponse{Address: h.cfg.Address}
	for _, group := range slices.Sorted(slices.Values(h.replicas.Groups())) {
		status, err := h.replicas.Status(ctx, group)
		if err != nil {
			return nil, peer.RPCError(h.replicas, group, err)
		}
		replicaStatus := peer.ReplicaStatus(group, status)
		member := memberByID(status, status.ID)
		replicaStatus.Waits = !status.Active || member == nil || member.Learner
		resp.Replicas = append(resp.Replicas, replicaStatus)
	}
	return resp, nil
}

// handleMembers returns the members of a group, confirmed by a quorum.
// Only the leader of the group can respond.
func (h *Host) handleMembers(ctx context.Context, req *fleetpb.MembersRequest) (*fleetpb.MembersResponse, error) {
	if err := h.replicas.ReadBarrier(ctx, req.Group); err != nil {
		return nil, peer.RPCError(h.replicas, req.Group, err)
	}
	members, err := h.replicas.Members(ctx, req.Group)
	if err != nil {
		return nil, peer.RPCError(h.replicas, req.Group, err)
	}
	resp := new(fleetpb.MembersResponse)
	for _, m := range members {
		resp.Addresses = append(resp.Addresses, m.Address)
		if !m.Learner {
			resp.Voters++
		}
	}
	return resp, nil
}
