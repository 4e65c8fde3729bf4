package pathbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/proto/raftpb"
)

const (
	replicaCount   = 3
	linkQueue      = 4096
	leaderInterval = time.Millisecond
)

// Replicas is three hosts with files that replicate customer shards inside this
// process. Their messages are function calls.
type Replicas struct {
	hosts    [replicaCount]*replica.Host
	receiver [replicaCount]atomic.Pointer[replica.Host]
	links    []chan *raftpb.MessageBatch
	registry [replicaCount]*prometheus.Registry
	shards   int

	MessagesSent atomic.Int64 // sent
	BytesSent    atomic.Int64 // of the sent batches, encoded
}

// link carries the messages of one host.
type link struct {
	replicas *Replicas
	queues   map[string]chan *raftpb.MessageBatch
}

// Send implements replica.Transport.
func (l *link) Send(address string, batch *raftpb.MessageBatch) {
	l.replicas.MessagesSent.Add(int64(len(batch.GetMessages())))
	l.replicas.BytesSent.Add(int64(proto.Size(batch)))
	select {
	case l.queues[address] <- batch:
	default:
	}
}

// SendSnapshot implements replica.Transport.
func (l *link) SendSnapshot(ctx context.Context, address string, msg *raftpb.Message, data io.Reader) error {
	for i := range l.replicas.receiver {
		if replicaAddress(i) == address {
			return l.replicas.receiver[i].Load().ReceiveSnapshot(ctx, msg, data)
		}
	}
	return errors.New("no such host")
}

func replicaAddress(i int) string { return fmt.Sprintf("host-%d", i) }

// NewReplicas starts three hosts with a number of shards in a folder.
func NewReplicas(dir string, shards int) (*Replicas, error) {
	r := &Replicas{shards: shards}
	var members []*raftpb.Member
	for i := range r.hosts {
		members = append(members, &raftpb.Member{Id: uint64(i + 1), Address: replicaAddress(i)})
	}
	for i := range r.hosts {
		if err := r.open(dir, i); err != nil {
			r.Stop()
			return nil, err
		}
	}
	for i := range r.hosts {
		for s := range shards {
			group := placement.GroupOf(uint32(s)) // bounded by the caller
			if err := r.hosts[i].AddGroup(group, members, shard.New(shard.NewMemoryBodies())); err != nil {
				r.Stop()
				return nil, err
			}
		}
	}
	return r, nil
}

func (r *Replicas) open(dir string, i int) error {
	r.registry[i] = prometheus.NewRegistry()
	host, err := replica.NewHost(replica.Options{
		Dir:        filepath.Join(dir, replicaAddress(i)),
		Address:    replicaAddress(i),
		Transport:  r.newLink(),
		Registerer: r.registry[i],
	})
	if err != nil {
		return err
	}
	r.hosts[i] = host
	r.receiver[i].Store(host)
	return nil
}

func (r *Replicas) newLink() *link {
	l := &link{replicas: r, queues: make(map[string]chan *raftpb.MessageBatch)}
	for i := range replicaCount {
		queue := make(chan *raftpb.MessageBatch, linkQueue)
		l.queues[replicaAddress(i)] = queue
		r.links = append(r.links, queue)
		go r.deliver(i, queue)
	}
	return l
}

func (r *Replicas) deliver(i int, queue <-chan *raftpb.MessageBatch) {
	for batch := range queue {
		if host := r.receiver[i].Load(); host != nil {
			host.Receive(batch)
		}
	}
}

// Stop ends the hosts at once.
func (r *Replicas) Stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, host := range r.hosts {
		if host != nil {
			_ = host.Stop(ctx)
		}
	}
	for _, queue := range r.links {
		close(queue)
	}
}

// StopLeader ends the leader of a group at once and returns the time until
// another host leads.
func (r *Replicas) StopLeader(ctx context.Context, group uint64) (time.Duration, error) {
	leader, err := r.WaitLeader(ctx, group)
	if err != nil {
		return 0, err
	}
	ended, cancel := context.WithCancel(ctx)
	cancel()
	start := time.Now()
	_ = leader.Stop(ended)
	if _, err := r.WaitLeader(ctx, group); err != nil {
		return 0, err
	}
	return time.Since(start), nil
}

// WaitLeader waits for the host that leads a group with a valid lease.
func (r *Replicas) WaitLeader(ctx context.Context, group uint64) (*replica.Host, error) {
	for {
		for _, host := range r.hosts {
			if host.ReadBarrier(ctx, group) == nil {
				return host, nil
			}
		}
		if err := pause(ctx, leaderInterval); err != nil {
			return nil, fmt.Errorf("wait for the leader of group %d: %w", group, err)
		}
	}
}

// WaitQuiesced waits until all groups have a leader and have stopped their timers.
func (r *Replicas) WaitQuiesced(ctx context.Context) error {
	for s := range r.shards {
		group := placement.GroupOf(uint32(s)) // bounded by the caller
		for _, host := range r.hosts {
			if err := waitQuiet(ctx, host, group); err != nil {
				return err
			}
		}
	}
	return nil
}

func waitQuiet(ctx context.Context, host *replica.Host, group uint64) error {
	for {
		status, err := host.Status(ctx, group)
		if err != nil {
			return err
		}
		if status.Quiesced {
			return nil
		}
		if err := pause(ctx, leaderInterval); err != nil {
			return err
		}
	}
}

// SumCounter adds up a counter over all hosts.
func (r *Replicas) SumCounter(name string) float64 {
	total := 0.0
	for _, registry := range r.registry {
		families, err := registry.Gather()
		if err != nil {
			continue
		}
		for _, family := range families {
			if family.GetName() == name {
				total += family.GetMetric()[0].GetCounter().GetValue()
			}
		}
	}
	return total
}
