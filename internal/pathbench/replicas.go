package pathbench

import (
	"context"
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
	replicaCount         = 3
	transportQueueLength = 4096
	pollInterval         = time.Millisecond
)

// Replicas is a set of three hosts in this process that replicate customer shards.
// They store their logs in files, and exchange messages through channels.
type Replicas struct {
	hosts      [replicaCount]*replica.Host
	receivers  [replicaCount]atomic.Pointer[replica.Host]
	queues     []chan *raftpb.MessageBatch
	registries [replicaCount]*prometheus.Registry
	shards     int

	MessagesSent atomic.Int64 // Raft messages
	BytesSent    atomic.Int64 // encoded size of the batches
}

// loopbackTransport is the replica.Transport of one host. It drops a batch if the
// queue to the receiver is full.
type loopbackTransport struct {
	replicas *Replicas
	queues   map[string]chan *raftpb.MessageBatch // by address of the receiver
}

// Send implements replica.Transport.
func (t *loopbackTransport) Send(address string, batch *raftpb.MessageBatch) {
	t.replicas.MessagesSent.Add(int64(len(batch.GetMessages())))
	t.replicas.BytesSent.Add(int64(proto.Size(batch)))
	select {
	case t.queues[address] <- batch:
	default:
	}
}

// SendSnapshot implements replica.Transport.
func (t *loopbackTransport) SendSnapshot(ctx context.Context, address string, msg *raftpb.Message, data io.Reader) error {
	for i := range t.replicas.receivers {
		if replicaAddress(i) == address {
			return t.replicas.receivers[i].Load().ReceiveSnapshot(ctx, msg, data)
		}
	}
	return fmt.Errorf("no host has the address %q", address)
}

func replicaAddress(i int) string { return fmt.Sprintf("host-%d", i) }

// NewReplicas starts three hosts with their data in dir. Each host has a replica of
// each shard.
func NewReplicas(dir string, shards int) (*Replicas, error) {
	r := &Replicas{shards: shards}
	var members []*raftpb.Member
	for i := range r.hosts {
		members = append(members, &raftpb.Member{Id: uint64(i + 1), Address: replicaAddress(i)})
	}
	for i := range r.hosts {
		if err := r.openHost(dir, i); err != nil {
			r.Stop()
			return nil, err
		}
	}
	for i := range r.hosts {
		for shardIndex := range shards {
			group := placement.GroupOf(uint32(shardIndex)) // the number of shards fits in 32 bits
			if err := r.hosts[i].AddGroup(group, members, shard.New(shard.NewMemoryBodies())); err != nil {
				r.Stop()
				return nil, err
			}
		}
	}
	return r, nil
}

func (r *Replicas) openHost(dir string, i int) error {
	r.registries[i] = prometheus.NewRegistry()
	host, err := replica.NewHost(replica.Options{
		Dir:        filepath.Join(dir, replicaAddress(i)),
		Address:    replicaAddress(i),
		Transport:  r.newTransport(),
		Registerer: r.registries[i],
	})
	if err != nil {
		return err
	}
	r.hosts[i] = host
	r.receivers[i].Store(host)
	return nil
}

// newTransport returns the transport of one host and starts the delivery of its
// messages.
func (r *Replicas) newTransport() *loopbackTransport {
	t := &loopbackTransport{replicas: r, queues: make(map[string]chan *raftpb.MessageBatch)}
	for i := range replicaCount {
		queue := make(chan *raftpb.MessageBatch, transportQueueLength)
		t.queues[replicaAddress(i)] = queue
		r.queues = append(r.queues, queue)
		go r.deliver(i, queue)
	}
	return t
}

func (r *Replicas) deliver(i int, queue <-chan *raftpb.MessageBatch) {
	for batch := range queue {
		if host := r.receivers[i].Load(); host != nil {
			host.Receive(batch)
		}
	}
}

// Stop stops the hosts without a graceful shutdown.
func (r *Replicas) Stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, host := range r.hosts {
		if host != nil {
			_ = host.Stop(ctx)
		}
	}
	for _, queue := range r.queues {
		close(queue)
	}
}

// StopLeader stops the host that leads a group without a graceful shutdown. It
// returns the time until another host leads the group.
func (r *Replicas) StopLeader(ctx context.Context, group uint64) (time.Duration, error) {
	leader, err := r.WaitLeader(ctx, group)
	if err != nil {
		return 0, err
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	start := time.Now()
	_ = leader.Stop(cancelled)
	if _, err := r.WaitLeader(ctx, group); err != nil {
		return 0, err
	}
	return time.Since(start), nil
}

// WaitLeader waits until a host leads a group with a valid lease, and returns it.
func (r *Replicas) WaitLeader(ctx context.Context, group uint64) (*replica.Host, error) {
	for {
		for _, host := range r.hosts {
			if host.ReadBarrier(ctx, group) == nil {
				return host, nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return nil, fmt.Errorf("wait for the leader of group %d: %w", group, err)
		}
	}
}

// WaitQuiesced waits until all replicas of all groups are quiesced, which means that
// their group has a leader and their timers are stopped.
func (r *Replicas) WaitQuiesced(ctx context.Context) error {
	for shardIndex := range r.shards {
		group := placement.GroupOf(uint32(shardIndex)) // the number of shards fits in 32 bits
		for _, host := range r.hosts {
			if err := waitQuiesced(ctx, host, group); err != nil {
				return err
			}
		}
	}
	return nil
}

func waitQuiesced(ctx context.Context, host *replica.Host, group uint64) error {
	for {
		status, err := host.Status(ctx, group)
		if err != nil {
			return err
		}
		if status.Quiesced {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// SumCounter returns the sum of the counter with the given name over all hosts.
func (r *Replicas) SumCounter(name string) float64 {
	total := 0.0
	for _, registry := range r.registries {
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
