package pathbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"runtime/metrics"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	shardRunTime  = 2 * time.Second
	startTimeout  = 30 * time.Second
	retryInterval = 5 * time.Millisecond
	mutexWait     = "/sync/mutex/wait/total:seconds"
)

var errRefused = errors.New("the shard refused the command")

// ShardLoad is the load of one run on replicated shards.
type ShardLoad struct {
	Shards    int // one customer each
	Callers   int
	Cores     int // GOMAXPROCS
	MaxCalls  int // 0: no limit
	Duration  time.Duration
	Directory string
}

// ShardResult is what one call cost: one Begin with its
// first attempt, and one Commit, on three replicas in one process.
type ShardResult struct {
	Calls     int
	Retries   int     // proposals made again after a change of leader
	Rate      float64 // calls a second
	CPU       time.Duration
	Syncs     float64 // of all three logs, for each call
	DiskBytes float64 // of all three logs, for each call
	Messages  float64
	WireBytes float64
	MutexWait time.Duration // of all goroutines, for each call
}

// RunShards runs calls as fast as a number of callers can for a limited time.
func RunShards(ctx context.Context, load ShardLoad) (ShardResult, error) {
	previous := runtime.GOMAXPROCS(load.Cores)
	defer runtime.GOMAXPROCS(previous)
	r, err := NewReplicas(load.Directory, load.Shards)
	if err != nil {
		return ShardResult{}, err
	}
	defer r.Stop()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d := &shardDriver{replicas: r, load: load, leaders: make([]atomic.Pointer[replica.Host], load.Shards)}
	if err := d.createContracts(ctx); err != nil {
		return ShardResult{}, err
	}
	return d.run(ctx)
}

// shardDriver makes calls on replicated shards.
type shardDriver struct {
	replicas *Replicas
	load     ShardLoad
	leaders  []atomic.Pointer[replica.Host]
	retries  atomic.Int64
}

func (d *shardDriver) createContracts(ctx context.Context) error {
	for s := range d.load.Shards {
		command := ApplyContractCommand(Customer(s), time.Now().UnixMilli())
		if _, err := d.propose(ctx, s, command); err != nil {
			return err
		}
	}
	return nil
}

// propose sends a command to the leader of a shard, again when leadership moved.
func (d *shardDriver) propose(ctx context.Context, s int, command *shardpb.Command) (*shardpb.Result, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	group := placement.GroupOf(uint32(s)) // bounded by the load
	for {
		result, err := d.proposeOnce(ctx, s, group, data)
		if err == nil {
			return result, nil
		}
		if ctx.Err() != nil || errors.Is(err, errRefused) {
			return nil, err
		}
		d.leaders[s].Store(nil)
		d.retries.Add(1)
		if err := pause(ctx, retryInterval); err != nil {
			return nil, err
		}
	}
}

func (d *shardDriver) proposeOnce(ctx context.Context, s int, group uint64, data []byte) (*shardpb.Result, error) {
	leader := d.leaders[s].Load()
	if leader == nil {
		found, err := d.replicas.WaitLeader(ctx, group)
		if err != nil {
			return nil, err
		}
		leader = found
		d.leaders[s].Store(leader)
	}
	applied, err := leader.Propose(ctx, group, data)
	if err != nil {
		return nil, err
	}
	result, ok := applied.Result.(*shardpb.Result)
	if !ok {
		return nil, errors.New("the shard returned no result")
	}
	if refusal := result.GetRefusal(); refusal != nil {
		return nil, fmt.Errorf("%w: %s: %s", errRefused, refusal.GetReason(), refusal.GetDetail())
	}
	return result, nil
}

// call begins and commits one call.
func (d *shardDriver) call(ctx context.Context, i int) error {
	s := i % d.load.Shards
	c := Call{Customer: Customer(s), Program: "p-" + strconv.Itoa(i), Turn: 1}
	begun, err := d.propose(ctx, s, BeginCommand(c, time.Now().UnixMilli()))
	if err != nil {
		return err
	}
	_, err = d.propose(ctx, s, CommitCommand(c, begun.GetBegin(), time.Now().UnixMilli()))
	return err
}

// counters are the totals of a run so far.
type counters struct {
	cpu, wait               time.Duration
	syncs, disk, wire, msgs float64
}

func (d *shardDriver) counters() counters {
	return counters{
		cpu:   ProcessCPU(),
		wait:  mutexWaitTime(),
		syncs: d.replicas.SumCounter(metricSyncs),
		disk:  d.replicas.SumCounter(metricWritten),
		wire:  float64(d.replicas.BytesSent.Load()),
		msgs:  float64(d.replicas.MessagesSent.Load()),
	}
}

func (d *shardDriver) run(ctx context.Context) (ShardResult, error) {
	before := d.counters()
	start := time.Now()
	calls, err := d.work(ctx, start.Add(d.load.Duration))
	elapsed := time.Since(start)
	if err != nil || calls == 0 {
		return ShardResult{}, fmt.Errorf("%d calls: %w", calls, err)
	}
	after := d.counters()
	n := float64(calls)
	return ShardResult{
		Calls:     calls,
		Retries:   int(d.retries.Load()),
		Rate:      n / elapsed.Seconds(),
		CPU:       (after.cpu - before.cpu) / time.Duration(calls),
		MutexWait: (after.wait - before.wait) / time.Duration(calls),
		Syncs:     (after.syncs - before.syncs) / n,
		DiskBytes: (after.disk - before.disk) / n,
		WireBytes: (after.wire - before.wire) / n,
		Messages:  (after.msgs - before.msgs) / n,
	}, nil
}

// work makes calls until the end or the limit, and returns how many succeeded.
func (d *shardDriver) work(ctx context.Context, end time.Time) (int, error) {
	var next, done atomic.Int64
	var failure atomic.Pointer[error]
	var callers sync.WaitGroup
	for range d.load.Callers {
		callers.Go(func() {
			for time.Now().Before(end) {
				i := int(next.Add(1))
				if d.load.MaxCalls > 0 && i > d.load.MaxCalls {
					return
				}
				if err := d.call(ctx, i); err != nil {
					failure.Store(&err)
					return
				}
				done.Add(1)
			}
		})
	}
	callers.Wait()
	if err := failure.Load(); err != nil {
		return int(done.Load()), *err
	}
	return int(done.Load()), nil
}

// ProcessCPU returns the processor time of this process.
func ProcessCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func mutexWaitTime() time.Duration {
	sample := []metrics.Sample{{Name: mutexWait}}
	metrics.Read(sample)
	return time.Duration(sample[0].Value.Float64() * float64(time.Second))
}

// MeasureShards measures calls a second of one customer and over many,
// and with fewer cores.
func MeasureShards(ctx context.Context, dir string, out io.Writer) error {
	cores := runtime.NumCPU()
	fmt.Fprintf(out, "begin with the first attempt, and commit, on three replicas in one process\n")
	fmt.Fprintf(out, "  %6s %7s %5s %9s %9s %9s %8s %9s %8s %9s %7s\n",
		"shards", "callers", "cores", "calls/s", "cpu us", "wait us", "syncs", "disk B", "msgs", "wire B", "retries")
	for i, load := range []ShardLoad{
		{Shards: 1, Callers: 1, Cores: cores},
		{Shards: 1, Callers: 64, Cores: cores},
		{Shards: 1, Callers: 256, Cores: cores},
		{Shards: 64, Callers: 256, Cores: 1},
		{Shards: 64, Callers: 256, Cores: 4},
		{Shards: 64, Callers: 256, Cores: cores},
	} {
		load.Duration = shardRunTime
		load.Directory = filepath.Join(dir, "shards-"+strconv.Itoa(i))
		result, err := RunShards(ctx, load)
		if err != nil {
			fmt.Fprintf(out, "  %6d %7d %5d failed: %v\n", load.Shards, load.Callers, load.Cores, err)
			continue
		}
		fmt.Fprintf(out, "  %6d %7d %5d %9.0f %9.0f %9.1f %8.3f %9.0f %8.1f %9.0f %7d\n",
			load.Shards, load.Callers, load.Cores, result.Rate, micros(result.CPU), micros(result.MutexWait),
			result.Syncs, result.DiskBytes, result.Messages, result.WireBytes, result.Retries)
	}
	return nil
}
