package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/inflight"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/raftpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	announceInterval = 2 * time.Second
	announceTimeout  = 2 * time.Second
	pingTimeout      = time.Second
	replaceTimeout   = 5 * time.Minute
	// maxConcurrentReplacements limits the new replicas that the leaders on one host
	// bring up to date at the same time.
	maxConcurrentReplacements = 4
)

// ReplicaHost is the part of the replica host that a Repairer uses.
type ReplicaHost interface {
	Groups() []uint64
	Status(ctx context.Context, group uint64) (replica.GroupStatus, error)
	ReplaceMember(ctx context.Context, group, oldID uint64, member *raftpb.Member) error
}

// RepairerConfig describes the process that a Repairer runs in.
type RepairerConfig struct {
	Address         string
	FailureDomain   string
	ReplicaID       uint64   // from the settings; the one of the lost process if this one replaces it
	ReplacedAddress string   // address of the lost process that this one replaces, or ""
	Peers           []string // addresses of the other control processes
}

// Repairer replaces the replicas of a lost disk or host without an operator's command.
// A process announces to its peers the replicas that wait to be added to their groups.
// The leader of a group replaces the old member by the new replica, which becomes a
// voter only once it has caught up and is durable.
type Repairer struct {
	cfg              RepairerConfig
	log              hclog.Logger
	host             ReplicaHost
	pool             *transport.Pool
	replacementSlots chan struct{} // limits the concurrent replacements

	mu           sync.Mutex
	replacing    map[uint64]bool // groups with a replacement in progress
	replacements inflight.Group
}

// NewRepairer returns the repairer of one control process.
func NewRepairer(cfg RepairerConfig, log hclog.Logger, host ReplicaHost, pool *transport.Pool) *Repairer {
	return &Repairer{
		cfg:              cfg,
		log:              log,
		host:             host,
		pool:             pool,
		replacementSlots: make(chan struct{}, maxConcurrentReplacements),
		replacing:        make(map[uint64]bool),
	}
}

// Register adds the RPC methods that peers and operators call.
func (r *Repairer) Register(server *transport.Server) {
	server.Handle(transport.MethodReplicaPing, transport.Unary(r.handlePing))
	server.Handle(transport.MethodReplicaJoin, transport.Unary(r.handleJoin))
	server.Handle(transport.MethodReplicaStatus, transport.Unary(r.handleStatus))
}

// Run announces waiting replicas until the context ends, and then waits for running
// replacements.
func (r *Repairer) Run(ctx context.Context) {
	panics.Restart(ctx, r.log, "repair", func(ctx context.Context) { loop.Every(ctx, announceInterval, r.announce) })
	r.replacements.Wait()
}

func (r *Repairer) handlePing(context.Context, *rpcpb.Empty) (*rpcpb.Empty, error) {
	return &rpcpb.Empty{}, nil
}

// announce tells the peers, and this process, which replicas of this process wait to be added to
// their groups.
func (r *Repairer) announce(ctx context.Context) {
	waiting := r.waitingReplicas(ctx)
	if len(waiting) == 0 {
		return
	}
	req := &rpcpb.JoinRequest{
		Address:       r.cfg.Address,
		FailureDomain: r.cfg.FailureDomain,
		Replaces:      r.cfg.ReplicaID,
		OldAddress:    r.cfg.ReplacedAddress,
		Replicas:      waiting,
	}
	for _, peer := range r.cfg.Peers {
		r.announceTo(ctx, peer, req)
	}
	// A new replica may lead its group before the old one is removed.
	if _, err := r.handleJoin(ctx, req); err != nil {
		r.log.Debug("replicas not announced", "peer", r.cfg.Address, "error", err)
	}
}

func (r *Repairer) announceTo(ctx context.Context, peer string, req *rpcpb.JoinRequest) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := r.pool.Call(ctx, peer, transport.MethodReplicaJoin, req, new(rpcpb.Empty)); err != nil {
		r.log.Debug("replicas not announced", "peer", peer, "error", err)
	}
}

// waitingReplicas returns the replicas of this process that wait to be added.
func (r *Repairer) waitingReplicas(ctx context.Context) []*rpcpb.WaitingReplica {
	var list []*rpcpb.WaitingReplica
	for _, group := range r.host.Groups() {
		status, err := r.host.Status(ctx, group)
		if err == nil && r.isWaiting(status) {
			list = append(list, &rpcpb.WaitingReplica{Group: group, ReplicaId: status.ID})
		}
	}
	return list
}

// isWaiting reports whether the replica of this process still has to be added to its
// group: it is not a voter yet, or the replica that it replaces is still a member.
func (r *Repairer) isWaiting(status replica.GroupStatus) bool {
	if !status.Active {
		return false
	}
	self := findMember(status, status.ID)
	return self == nil || self.Learner || r.findPredecessor(status) != nil
}

// findPredecessor returns the member that the replica of this process replaces, or nil.
func (r *Repairer) findPredecessor(status replica.GroupStatus) *raftpb.Member {
	return findPredecessor(status, status.ID, predecessor{address: r.cfg.Address, oldAddress: r.cfg.ReplacedAddress, replicaID: r.cfg.ReplicaID})
}

// predecessor describes the member that a new replica replaces. A member with any of
// these values matches.
type predecessor struct {
	address    string // of the process of the new replica
	oldAddress string // of the process that it replaces, or ""
	replicaID  uint64 // from the settings of the process of the new replica
}

// findPredecessor returns the member that the replica with ID newID replaces, or nil if
// there is none.
func findPredecessor(status replica.GroupStatus, newID uint64, p predecessor) *raftpb.Member {
	for _, m := range status.Membership.GetMembers() {
		if m.Id != newID && (m.Address == p.address || m.Address == p.oldAddress || m.Id == p.replicaID) {
			return m
		}
	}
	return nil
}

// findMember returns the member with an ID, or nil.
func findMember(status replica.GroupStatus, id uint64) *raftpb.Member {
	for _, m := range status.Membership.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// handleJoin handles the announcement of a peer. In each group that this process leads
// it starts to replace the old replica by the announced one, in the background.
func (r *Repairer) handleJoin(ctx context.Context, req *rpcpb.JoinRequest) (*rpcpb.Empty, error) {
	for _, waiting := range req.Replicas {
		status, err := r.host.Status(ctx, waiting.Group)
		if err != nil || status.Role != raft.RoleLeader {
			continue
		}
		old := findPredecessor(status, waiting.ReplicaId, predecessor{address: req.Address, oldAddress: req.OldAddress, replicaID: req.Replaces})
		if old == nil || old.Id == status.ID || !r.startReplacement(waiting.Group) {
			continue
		}
		member := &raftpb.Member{Id: waiting.ReplicaId, Address: req.Address, FailureDomain: req.FailureDomain}
		r.replacements.Go(func() {
			defer r.endReplacement(waiting.Group)
			_ = panics.Contain(r.log, "repair", func() { r.replace(waiting.Group, old, member) })
		})
	}
	return &rpcpb.Empty{}, nil
}

// startReplacement marks a group as having a replacement in progress. It returns false
// when one is in progress already.
func (r *Repairer) startReplacement(group uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replacing[group] {
		return false
	}
	r.replacing[group] = true
	return true
}

// endReplacement marks the replacement of a group as ended.
func (r *Repairer) endReplacement(group uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.replacing, group)
}

// replace replaces a member of a group by a new one, unless the old one still responds
// at a different address.
func (r *Repairer) replace(group uint64, oldMember, newMember *raftpb.Member) {
	log := r.log.With("group", group, "old_replica", oldMember.Id, "new_replica", newMember.Id, "address", newMember.Address)
	if oldMember.Address != newMember.Address && r.isReachable(oldMember.Address) {
		log.Error("replica not replaced: the old one still responds", "old_address", oldMember.Address)
		return
	}
	r.replacementSlots <- struct{}{}
	defer func() { <-r.replacementSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
	defer cancel()
	if err := r.host.ReplaceMember(ctx, group, oldMember.Id, newMember); err != nil {
		log.Warn("replica not replaced yet", "error", err)
		return
	}
	log.Info("replica replaced")
}

// isReachable reports whether a process responds to a ping.
func (r *Repairer) isReachable(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return r.pool.Call(ctx, address, transport.MethodReplicaPing, &rpcpb.Empty{}, new(rpcpb.Empty)) == nil
}

// handleStatus returns the state of the replicas of this process to operators.
func (r *Repairer) handleStatus(ctx context.Context, _ *rpcpb.ReplicaStatusRequest) (*rpcpb.ReplicaStatusResponse, error) {
	resp := &rpcpb.ReplicaStatusResponse{Address: r.cfg.Address}
	for _, group := range r.host.Groups() {
		status, err := r.host.Status(ctx, group)
		if err != nil {
			return nil, groupStatusError(err)
		}
		view := peer.ReplicaStatus(group, status)
		view.Waits = !status.Active || r.isWaiting(status)
		resp.Replicas = append(resp.Replicas, view)
	}
	slices.SortFunc(resp.Replicas, func(a, b *rpcpb.ReplicaStatus) int { return cmp.Compare(a.Group, b.Group) })
	return resp, nil
}

func groupStatusError(err error) error {
	return transport.Errorf(rpcpb.Code_CODE_UNAVAILABLE, "%s", err)
}
