package statehost

import (
	"context"
	"slices"
	"strings"
	"time"

	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/raftpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	announceInterval = 400 * time.Millisecond
	announceTimeout  = time.Second
	memberInterval   = 200 * time.Millisecond
	// stepTimeout bounds one membership change. A learner is promoted when it has
	// caught up; until then the step is tried again.
	stepTimeout = time.Second
	// lostAfter is the silence after which the replica of a host is replaced, if
	// another host can take its place. It covers some lost announcements.
	lostAfter = 2500 * time.Millisecond
	// leaderTimeout bounds one exchange with a leader.
	leaderTimeout = 500 * time.Millisecond
)

// announce tells the other hosts of this one and its replicas, and puts replicas
// anew that cannot become members under their ID.
func (h *Host) announce(ctx context.Context) {
	now := time.Now()
	self := h.describe()
	h.hosts.record(self, now)
	req := &fleetpb.Announcement{Host: self, KnownDigest: digest(h.hosts.addresses())}
	for _, address := range h.others() {
		h.loops.Go(func() { h.announceTo(ctx, address, req) })
	}
}

func (h *Host) describe() *fleetpb.Host {
	self := &fleetpb.Host{
		Address:       h.cfg.Address,
		Name:          h.cfg.Name,
		FailureDomain: h.cfg.FailureDomain,
		PublicAddress: h.cfg.PublicAddress,
	}
	for group := range h.states() {
		id, err := h.replicas.ReplicaID(group)
		if err != nil {
			// The replica is being put anew.
			continue
		}
		self.Replicas = append(self.Replicas, &fleetpb.Replica{Group: group, Id: id})
	}
	return self
}

func (h *Host) announceTo(ctx context.Context, address string, req *fleetpb.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply := new(fleetpb.AnnouncementReply)
	if err := h.pool.Call(ctx, address, transport.MethodHostAnnounce, req, reply); err != nil {
		h.log.Debug("host not announced", "peer", address, "error", err)
		return
	}
	for _, other := range reply.Addresses {
		h.hosts.learn(other)
	}
	for _, stale := range reply.Stale {
		h.renew(stale)
	}
}

// takeAnnouncement records a host. As the leader of a group this host tells the
// other one when its replica cannot become a member: it was one before.
func (h *Host) takeAnnouncement(ctx context.Context, req *fleetpb.Announcement) (*fleetpb.AnnouncementReply, error) {
	h.hosts.record(req.Host, time.Now())
	reply := new(fleetpb.AnnouncementReply)
	if known := h.hosts.addresses(); digest(known) != req.KnownDigest {
		reply.Addresses = known
	}
	for _, r := range req.Host.Replicas {
		status, err := h.replicas.Status(ctx, r.Group)
		if err != nil || status.Role != raft.RoleLeader {
			continue
		}
		if memberByID(status, r.Id) == nil && r.Id <= status.Membership.GetLastId() {
			reply.Stale = append(reply.Stale, &fleetpb.Replica{Group: r.Group, Id: status.Membership.GetLastId() + 1})
		}
	}
	return reply, nil
}

func memberByID(status replica.GroupStatus, id uint64) *raftpb.Member {
	for _, m := range status.Membership.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// renew gives the replica of a group a new ID, so that the group can add it. Its
// state is fetched anew.
func (h *Host) renew(stale *fleetpb.Replica) {
	h.rejoin.Lock()
	defer h.rejoin.Unlock()
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
	state := h.states()[stale.Group]
	if err := state.Restore(strings.NewReader("")); err != nil {
		h.log.Error("state not emptied", "group", stale.Group, "error", err)
	}
	if err := h.replicas.AddGroup(stale.Group, nil, state); err != nil {
		h.log.Error("replica not added", "group", stale.Group, "error", err)
	}
}

// adjustMembers makes the next step towards the wanted members of a group that
// this host leads.
func (h *Host) adjustMembers(ctx context.Context, group uint64) {
	status, err := h.replicas.Status(ctx, group)
	if err != nil || status.Role != raft.RoleLeader {
		return
	}
	next := plan(h.planInput(group, status, time.Now()))
	if next.kind == stepNone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	err = h.perform(ctx, group, next)
	h.metrics.steps.WithLabelValues(next.kind.String()).Inc()
	h.log.Info("membership step", "group", group, "step", next.kind.String(), "replica", next.member.Id, "address", next.member.Address, "error", err)
}

func (h *Host) perform(ctx context.Context, group uint64, next step) error {
	switch next.kind {
	case stepAdd:
		return h.replicas.AddLearner(ctx, group, next.member)
	case stepPromote:
		return h.replicas.Promote(ctx, group, next.member.Id)
	case stepRemove:
		return h.replicas.RemoveMember(ctx, group, next.member.Id)
	case stepTransfer:
		return h.replicas.TransferLeadership(ctx, group, next.member.Id)
	}
	return nil
}

// planInput takes the view of this host. A member that was never heard of counts
// as silent since this process started.
func (h *Host) planInput(group uint64, status replica.GroupStatus, now time.Time) planInput {
	in := planInput{
		self:      status.ID,
		members:   status.Membership.GetMembers(),
		lastID:    status.Membership.GetLastId(),
		hosts:     make(map[string]candidate),
		voters:    2*h.cfg.FaultTolerance + 1,
		lostAfter: lostAfter,
	}
	for _, m := range in.members {
		in.hosts[m.Address] = candidate{address: m.Address, domain: m.FailureDomain, replicaID: m.Id, silence: now.Sub(h.started)}
	}
	for _, heard := range h.hosts.all() {
		c := candidate{
			address:  heard.host.Address,
			domain:   heard.host.FailureDomain,
			silence:  now.Sub(heard.heard),
			retiring: h.config.retiring(heard.host.Address),
		}
		for _, r := range heard.host.Replicas {
			if r.Group == group {
				c.replicaID = r.Id
			}
		}
		in.hosts[c.address] = c
	}
	return in
}

// serveStatus answers with the replicas of this host.
func (h *Host) serveStatus(ctx context.Context, _ *rpcpb.ReplicaStatusRequest) (*rpcpb.ReplicaStatusResponse, error) {
	resp := &rpcpb.ReplicaStatusResponse{Address: h.cfg.Address}
	for _, group := range slices.Sorted(slices.Values(h.replicas.Groups())) {
		status, err := h.replicas.Status(ctx, group)
		if err != nil {
			return nil, peer.RPCError(h.replicas, group, err)
		}
		view := peer.ReplicaStatus(group, status)
		member := memberByID(status, status.ID)
		view.Waits = !status.Active || member == nil || member.Learner
		resp.Replicas = append(resp.Replicas, view)
	}
	return resp, nil
}

// serveMembers answers, as the leader, which hosts hold a group.
func (h *Host) serveMembers(ctx context.Context, req *fleetpb.MembersRequest) (*fleetpb.MembersResponse, error) {
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
	}
	return resp, nil
}
