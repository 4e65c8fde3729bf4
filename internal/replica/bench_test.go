package replica_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/raftpb"
)

const (
	benchCommandBytes    = 256
	benchElectionTimeout = 30 * time.Second
)

// benchCluster runs three hosts in one process. Their data is on disk, and messages
// are passed by function calls.
type benchCluster struct {
	b          *testing.B
	dir        string
	hosts      [3]*replica.Host                // current instances
	network    [3]atomic.Pointer[replica.Host] // receivers of messages, safe for concurrent use
	registries [3]*prometheus.Registry
	messages   atomic.Int64
	bytes      atomic.Int64
	members    []*raftpb.Member
	links      []chan *raftpb.MessageBatch
}

// benchTransport delivers batches with one goroutine per link. It drops a batch when
// the queue of its link is full.
type benchTransport struct {
	cluster *benchCluster
	links   map[string]chan *raftpb.MessageBatch
}

const benchLinkQueue = 4096

func newBenchTransport(c *benchCluster) *benchTransport {
	t := &benchTransport{cluster: c, links: make(map[string]chan *raftpb.MessageBatch)}
	for i := range c.hosts {
		queue := make(chan *raftpb.MessageBatch, benchLinkQueue)
		t.links[benchAddress(i)] = queue
		c.links = append(c.links, queue)
		go func() {
			for batch := range queue {
				c.network[i].Load().Receive(batch)
			}
		}()
	}
	return t
}

func (t *benchTransport) Send(address string, batch *raftpb.MessageBatch) {
	t.cluster.messages.Add(int64(len(batch.GetMessages())))
	t.cluster.bytes.Add(int64(proto.Size(batch)))
	select {
	case t.links[address] <- batch:
	default:
	}
}

func (t *benchTransport) SendSnapshot(ctx context.Context, address string, msg *raftpb.Message, data io.Reader) error {
	for i := range t.cluster.network {
		if benchAddress(i) == address {
			return t.cluster.network[i].Load().ReceiveSnapshot(ctx, msg, data)
		}
	}
	return errors.New("no host has this address")
}

func benchAddress(i int) string { return fmt.Sprintf("host-%d", i) }

func newBenchCluster(b *testing.B, groups uint64) *benchCluster {
	b.Helper()
	c := &benchCluster{b: b, dir: b.TempDir()}
	for i := range c.hosts {
		c.members = append(c.members, &raftpb.Member{Id: uint64(i + 1), Address: benchAddress(i)})
	}
	for i := range c.hosts {
		c.open(i)
	}
	for i := range c.hosts {
		c.addGroups(i, groups)
	}
	b.Cleanup(c.stop)
	return c
}

func (c *benchCluster) open(i int) {
	c.registries[i] = prometheus.NewRegistry()
	host, err := replica.NewHost(replica.Options{
		Dir:        filepath.Join(c.dir, benchAddress(i)),
		Address:    benchAddress(i),
		Transport:  newBenchTransport(c),
		Registerer: c.registries[i],
	})
	assert.NilError(c.b, err)
	c.hosts[i] = host
	c.network[i].Store(host)
}

func (c *benchCluster) addGroups(i int, groups uint64) {
	for group := uint64(1); group <= groups; group++ {
		assert.NilError(c.b, c.hosts[i].AddGroup(group, c.members, newCounterMachine()))
	}
}

func (c *benchCluster) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, host := range c.hosts {
		assert.Check(c.b, host.Stop(ctx))
	}
	for _, link := range c.links {
		close(link)
	}
}

// leader waits until a host leads a group, and returns it.
func (c *benchCluster) leader(group uint64) *replica.Host {
	ctx, cancel := context.WithTimeout(context.Background(), benchElectionTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, host := range c.hosts {
			if host.ReadBarrier(ctx, group) == nil {
				return host
			}
		}
		time.Sleep(time.Millisecond)
	}
	c.b.Fatal("the group has no leader within benchElectionLimit")
	return nil
}

// sumCounter returns the sum of a counter over all hosts.
func (c *benchCluster) sumCounter(name string) float64 {
	total := 0.0
	for _, registry := range c.registries {
		families, err := registry.Gather()
		assert.NilError(c.b, err)
		for _, family := range families {
			if family.GetName() == name {
				total += family.GetMetric()[0].GetCounter().GetValue()
			}
		}
	}
	return total
}

// counterMachine counts commands.
type counterMachine struct{ count uint64 }

func newCounterMachine() *counterMachine { return new(counterMachine) }

func (m *counterMachine) Apply(uint64, []byte) any {
	m.count++
	return m.count
}

func (m *counterMachine) Snapshot(w io.Writer) error {
	_, err := fmt.Fprintln(w, m.count)
	return err
}

func (m *counterMachine) Restore(r io.Reader) error {
	_, err := fmt.Fscanln(r, &m.count)
	return err
}

// BenchmarkPropose measures proposals of 256 bytes from concurrent callers to the
// leaders of groups.
func BenchmarkPropose(b *testing.B) {
	for _, bench := range []struct {
		groups  uint64
		callers int
	}{{1, 1}, {1, 64}, {1, 256}, {64, 64}, {64, 256}, {64, 1024}} {
		b.Run(fmt.Sprintf("groups=%d/callers=%d", bench.groups, bench.callers), func(b *testing.B) {
			benchPropose(b, bench.groups, bench.callers)
		})
	}
}

func benchPropose(b *testing.B, groups uint64, callers int) {
	c := newBenchCluster(b, groups)
	leaders := make([]*replica.Host, groups)
	for i := range leaders {
		leaders[i] = c.leader(uint64(i) + 1)
	}
	syncs := c.sumCounter("ibistray_wal_syncs_total")
	messages, bytes := c.messages.Load(), c.bytes.Load()
	var next atomic.Int64
	var clients sync.WaitGroup
	b.ResetTimer()
	for range callers {
		clients.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				slot := uint64(i) % groups
				command := make([]byte, benchCommandBytes)
				if _, err := leaders[slot].Propose(context.Background(), slot+1, command); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	clients.Wait()
	b.StopTimer()
	n := float64(b.N)
	b.ReportMetric(n/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric((c.sumCounter("ibistray_wal_syncs_total")-syncs)/n, "syncs/op")
	b.ReportMetric(float64(c.messages.Load()-messages)/n, "messages/op")
	b.ReportMetric(float64(c.bytes.Load()-bytes)/n, "wire-B/op")
}

// BenchmarkReadBarrier measures read barriers under the lease of a leader.
func BenchmarkReadBarrier(b *testing.B) {
	c := newBenchCluster(b, 1)
	leader := c.leader(1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := leader.ReadBarrier(context.Background(), 1); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkCatchUp measures how long a restarted host takes to apply the entries that
// it has missed. The other hosts have dropped entries that a snapshot covers.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("entries=%d", missed), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				benchCatchUp(b, missed)
			}
		})
	}
}

func benchCatchUp(b *testing.B, missed int) {
	const behind = 2
	c := newBenchCluster(b, 1)
	c.leader(1)
	ctx, cancel := context.WithTimeout(context.Background(), benchElectionTimeout)
	defer cancel()
	assert.NilError(b, c.hosts[behind].Stop(ctx))
	leader := c.leader(1)
	var clients sync.WaitGroup
	for range 100 {
		clients.Go(func() {
			for range missed / 100 {
				_, err := leader.Propose(ctx, 1, make([]byte, benchCommandBytes))
				assert.Check(b, err)
			}
		})
	}
	clients.Wait()
	status, err := leader.Status(ctx, 1)
	assert.NilError(b, err)
	b.StartTimer()
	c.open(behind)
	c.addGroups(behind, 1)
	for {
		own, err := c.hosts[behind].Status(ctx, 1)
		assert.NilError(b, err)
		if own.AppliedIndex >= status.CommitIndex {
			break
		}
		time.Sleep(time.Millisecond)
	}
	b.StopTimer()
}

// BenchmarkIdle reports the messages and processor time per second, and the memory per
// replica, of three hosts with idle groups.
func BenchmarkIdle(b *testing.B) {
	for _, groups := range []uint64{1, 100, 1000} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) { benchIdle(b, groups) })
	}
}

func benchIdle(b *testing.B, groups uint64) {
	before := heapBytes()
	c := newBenchCluster(b, groups)
	for group := uint64(1); group <= groups; group++ {
		c.leader(group)
	}
	c.waitQuiesced(groups)
	memory := heapBytes() - before
	messages := c.messages.Load()
	cpu := processCPU()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(c.messages.Load()-messages)/seconds, "messages/s")
	b.ReportMetric(float64((processCPU()-cpu).Microseconds())/seconds, "cpu-us/s")
	b.ReportMetric(float64(memory)/float64(groups)/float64(len(c.hosts)), "heap-B/replica")
}

func (c *benchCluster) waitQuiesced(groups uint64) {
	for group := uint64(1); group <= groups; group++ {
		for _, host := range c.hosts {
			for {
				status, err := host.Status(context.Background(), group)
				assert.NilError(c.b, err)
				if status.Quiesced {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // frees objects whose finalizers ran in the first collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// processCPU returns the user and system time that the process has consumed.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
