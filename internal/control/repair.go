package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/raftpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	joinInterval   = 2 * time.Second
	joinTimeout    = 2 * time.Second
	pingTimeout    = time.Second
	replaceTimeout = 5 * time.Minute
	// maxReplacements bounds the replicas that are brought up to date at the
	// same time by one leader's host.
	maxReplacements = 4
)

// ReplicaHost is what Repair needs of the replica host.
type ReplicaHost interface {
	Groups() []uint64
	Status(ctx context.Context, group uint64) (replica.GroupStatus, error)
	ReplaceMember(ctx context.Context, group, oldID uint64, member *raftpb.Member) error
}

// RepairerConfig names the process that repairs.
type RepairerConfig struct {
	Address         string
	FailureDomain   string
	ReplicaID       uint64   // by the settings
	ReplacedAddress string   // address of a lost process whose place this one takes, or ""
	Peers           []string // addresses of the other control processes
}

// Repairer brings the replicas of a lost disk or host back without an operator's
// command. A process whose replicas wait to be added announces them to its
// peers; the leader of a group puts the new replica in the place of the old one,
// which counts only once it has caught up and is durable.
type Repairer struct {
	cfg   RepairerConfig
	log   hclog.Logger
	host  ReplicaHost
	pool  *transport.Pool
	slots chan struct{}

	mu      sync.Mutex
	running map[uint64]bool // by group
	work    sync.WaitGroup
}

// NewRepairer returns the repair of one control process.
func NewRepairer(cfg RepairerConfig, log hclog.Logger, host ReplicaHost, pool *transport.Pool) *Repairer {
	return &Repairer{
		cfg:     cfg,
		log:     log,
		host:    host,
		pool:    pool,
		slots:   make(chan struct{}, maxReplacements),
		running: make(map[uint64]bool),
	}
}

// Register adds the methods that peers and operators call.
func (r *Repairer) Register(server *transport.Server) {
	server.Handle(transport.MethodReplicaPing, transport.Unary(r.ping))
	server.Handle(transport.MethodReplicaJoin, transport.Unary(r.join))
	server.Handle(transport.MethodReplicaStatus, transport.Unary(r.status))
}

// Run announces the replicas that wait until the context ends.
func (r *Repairer) Run(ctx context.Context) {
	loop.Every(ctx, joinInterval, r.announce)
	r.work.Wait()
}

func (r *Repairer) ping(context.Context, *rpcpb.Empty) (*rpcpb.Empty, error) {
	return &rpcpb.Empty{}, nil
}

// announce tells the peers which replicas of this process wait to be added.
func (r *Repairer) announce(ctx context.Context) {
	waiting := r.waiting(ctx)
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
}

func (r *Repairer) announceTo(ctx context.Context, peer string, req *rpcpb.JoinRequest) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := r.pool.Call(ctx, peer, transport.MethodReplicaJoin, req, new(rpcpb.Empty)); err != nil {
		r.log.Debug("replicas not announced", "peer", peer, "error", err)
	}
}

func (r *Repairer) waiting(ctx context.Context) []*rpcpb.WaitingReplica {
	var list []*rpcpb.WaitingReplica
	for _, group := range r.host.Groups() {
		status, err := r.host.Status(ctx, group)
		if err == nil && r.waits(status) {
			list = append(list, &rpcpb.WaitingReplica{Group: group, ReplicaId: status.ID})
		}
	}
	return list
}

// waits reports whether the replica of this process still has to take its place
// in the group: it is no voter yet, or the one that it replaces is still a member.
func (r *Repairer) waits(status replica.GroupStatus) bool {
	if !status.Active {
		return false
	}
	self := memberWith(status, status.ID)
	return self == nil || self.Learner || r.predecessor(status) != nil
}

// predecessor returns the member whose place this process's replica takes.
func (r *Repairer) predecessor(status replica.GroupStatus) *raftpb.Member {
	return replaced(status, status.ID, place{address: r.cfg.Address, oldAddress: r.cfg.ReplacedAddress, replica: r.cfg.ReplicaID})
}

// place is the place that a process takes in its groups.
type place struct {
	address    string // of the process
	oldAddress string // of the process that it replaces, or ""
	replica    uint64 // replica ID of the settings
}

// replaced returns the member that a new replica takes the place of: the other
// one at its address or at the address that it replaces, or the one with the ID
// of its settings; nil if there is none.
func replaced(status replica.GroupStatus, newID uint64, p place) *raftpb.Member {
	for _, m := range status.Membership.GetMembers() {
		if m.Id != newID && (m.Address == p.address || m.Address == p.oldAddress || m.Id == p.replica) {
			return m
		}
	}
	return nil
}

func memberWith(status replica.GroupStatus, id uint64) *raftpb.Member {
	for _, m := range status.Membership.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// join takes an announcement: for each group that this process leads, the new
// replica takes the place of the old one in the background.
func (r *Repairer) join(ctx context.Context, req *rpcpb.JoinRequest) (*rpcpb.Empty, error) {
	for _, waiting := range req.Replicas {
		status, err := r.host.Status(ctx, waiting.Group)
		if err != nil || status.Role != raft.RoleLeader {
			continue
		}
		old := replaced(status, waiting.ReplicaId, place{address: req.Address, oldAddress: req.OldAddress, replica: req.Replaces})
		if old == nil || old.Id == status.ID || !r.begin(waiting.Group) {
			continue
		}
		member := &raftpb.Member{Id: waiting.ReplicaId, Address: req.Address, FailureDomain: req.FailureDomain}
		r.work.Go(func() {
			defer r.end(waiting.Group)
			r.replace(waiting.Group, old, member)
		})
	}
	return &rpcpb.Empty{}, nil
}

func (r *Repairer) begin(group uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[group] {
		return false
	}
	r.running[group] = true
	return true
}

func (r *Repairer) end(group uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, group)
}

// replace puts a member in the place of another one, unless the other one still
// answers at an address of its own.
func (r *Repairer) replace(group uint64, old, member *raftpb.Member) {
	log := r.log.With("group", group, "old_replica", old.Id, "new_replica", member.Id, "address", member.Address)
	if old.Address != member.Address && r.answers(old.Address) {
		log.Error("replica not replaced: the old one still answers", "old_address", old.Address)
		return
	}
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
	defer cancel()
	if err := r.host.ReplaceMember(ctx, group, old.Id, member); err != nil {
		log.Warn("replica not replaced yet", "error", err)
		return
	}
	log.Info("replica replaced")
}

func (r *Repairer) answers(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return r.pool.Call(ctx, address, transport.MethodReplicaPing, &rpcpb.Empty{}, new(rpcpb.Empty)) == nil
}

// status serves the replicas of this process to operators.
func (r *Repairer) status(ctx context.Context, _ *rpcpb.ReplicaStatusRequest) (*rpcpb.ReplicaStatusResponse, error) {
	resp := &rpcpb.ReplicaStatusResponse{Address: r.cfg.Address}
	for _, group := range r.host.Groups() {
		status, err := r.host.Status(ctx, group)
		if err != nil {
			return nil, groupStatusError(err)
		}
		view := peer.ReplicaStatus(group, status)
		view.Waits = !status.Active || r.waits(status)
		resp.Replicas = append(resp.Replicas, view)
	}
	slices.SortFunc(resp.Replicas, func(a, b *rpcpb.ReplicaStatus) int { return cmp.Compare(a.Group, b.Group) })
	return resp, nil
}

func groupStatusError(err error) error {
	return transport.Errorf(rpcpb.Code_CODE_UNAVAILABLE, "%s", err)
}
