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
	shardRunDuration     = 2 * time.Second
	shardRunTimeout      = 30 * time.Second
	proposeRetryInterval = 5 * time.Millisecond
	metricMutexWait      = "/sync/mutex/wait/total:seconds"
)

var errRefused = errors.New("the shard refused the command")

// ShardLoad configures one run on replicated shards.
type ShardLoad struct {
	Shards   int // number of shards, each with one customer
	Callers  int // number of concurrent callers
	Cores    int // GOMAXPROCS
	MaxCalls int // limit of calls; 0: none
	Duration time.Duration
	Dir      string // directory of the replicas' data
}

// ShardResult holds the throughput of a run and the resources used per call. A call
// is a Begin with the first attempt and a Commit, on three replicas in one process.
type ShardResult struct {
	Calls     int
	Retries   int           // proposals repeated after an error, such as a change of leader
	Rate      float64       // calls per second
	CPU       time.Duration // per call
	Syncs     float64       // per call, of the three logs together
	DiskBytes float64       // per call, of the three logs together
	Messages  float64       // per call, between the replicas
	WireBytes float64       // per call, encoded messages
	MutexWait time.Duration // per call, of all goroutines together
}

// RunShards starts replicated shards and makes calls back to back with the given
// number of callers, until the duration or the limit of calls is reached. It fails
// if a call fails.
func RunShards(ctx context.Context, load ShardLoad) (ShardResult, error) {
	previousCores := runtime.GOMAXPROCS(load.Cores)
	defer runtime.GOMAXPROCS(previousCores)
	r, err := NewReplicas(load.Dir, load.Shards)
	if err != nil {
		return ShardResult{}, err
	}
	defer r.Stop()
	ctx, cancel := context.WithTimeout(ctx, shardRunTimeout)
	defer cancel()
	d := &shardDriver{replicas: r, load: load, leaders: make([]atomic.Pointer[replica.Host], load.Shards)}
	if err := d.createContracts(ctx); err != nil {
		return ShardResult{}, err
	}
	return d.run(ctx)
}

// shardDriver makes the calls of a run.
type shardDriver struct {
	replicas *Replicas
	load     ShardLoad
	leaders  []atomic.Pointer[replica.Host] // last known leader of each shard; nil: unknown
	retries  atomic.Int64
}

func (d *shardDriver) createContracts(ctx context.Context) error {
	for shardIndex := range d.load.Shards {
		command := ApplyContractCommand(Customer(shardIndex), time.Now().UnixMilli())
		if _, err := d.propose(ctx, shardIndex, command); err != nil {
			return err
		}
	}
	return nil
}

// propose proposes a command to the leader of a shard and returns its result. It
// looks up the leader again and retries on every error except errRefused, until the
// context ends.
func (d *shardDriver) propose(ctx context.Context, shardIndex int, command *shardpb.Command) (*shardpb.Result, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	group := placement.GroupOf(uint32(shardIndex)) // the number of shards fits in 32 bits
	for {
		result, err := d.proposeOnce(ctx, shardIndex, group, data)
		if err == nil {
			return result, nil
		}
		if ctx.Err() != nil || errors.Is(err, errRefused) {
			return nil, err
		}
		d.leaders[shardIndex].Store(nil)
		d.retries.Add(1)
		if err := sleep(ctx, proposeRetryInterval); err != nil {
			return nil, err
		}
	}
}

func (d *shardDriver) proposeOnce(ctx context.Context, shardIndex int, group uint64, data []byte) (*shardpb.Result, error) {
	leader := d.leaders[shardIndex].Load()
	if leader == nil {
		found, err := d.replicas.WaitLeader(ctx, group)
		if err != nil {
			return nil, err
		}
		leader = found
		d.leaders[shardIndex].Store(leader)
	}
	applied, err := leader.Propose(ctx, group, data)
	if err != nil {
		return nil, err
	}
	result, ok := applied.Result.(*shardpb.Result)
	if !ok {
		return nil, fmt.Errorf("the shard returned %T instead of a result", applied.Result)
	}
	if refusal := result.GetRefusal(); refusal != nil {
		return nil, fmt.Errorf("%w: %s: %s", errRefused, refusal.GetReason(), refusal.GetDetail())
	}
	return result, nil
}

// call begins and commits the i-th call.
func (d *shardDriver) call(ctx context.Context, i int) error {
	shardIndex := i % d.load.Shards
	c := Call{Customer: Customer(shardIndex), Program: "p-" + strconv.Itoa(i), Turn: 1}
	begun, err := d.propose(ctx, shardIndex, BeginCommand(c, time.Now().UnixMilli()))
	if err != nil {
		return err
	}
	_, err = d.propose(ctx, shardIndex, CommitCommand(c, begun.GetBegin(), time.Now().UnixMilli()))
	return err
}

// runTotals holds the resources used since the start of the process or the
// replicas.
type runTotals struct {
	cpu, mutexWait                        time.Duration
	syncs, diskBytes, wireBytes, messages float64
}

func (d *shardDriver) readTotals() runTotals {
	return runTotals{
		cpu:       ProcessCPU(),
		mutexWait: mutexWaitTime(),
		syncs:     d.replicas.SumCounter(metricSyncs),
		diskBytes: d.replicas.SumCounter(metricWritten),
		wireBytes: float64(d.replicas.BytesSent.Load()),
		messages:  float64(d.replicas.MessagesSent.Load()),
	}
}

func (d *shardDriver) run(ctx context.Context) (ShardResult, error) {
	before := d.readTotals()
	start := time.Now()
	calls, err := d.runCallers(ctx, start.Add(d.load.Duration))
	elapsed := time.Since(start)
	if err != nil || calls == 0 {
		return ShardResult{}, fmt.Errorf("run ended after %d calls: %w", calls, err)
	}
	after := d.readTotals()
	n := float64(calls)
	return ShardResult{
		Calls:     calls,
		Retries:   int(d.retries.Load()),
		Rate:      n / elapsed.Seconds(),
		CPU:       (after.cpu - before.cpu) / time.Duration(calls),
		MutexWait: (after.mutexWait - before.mutexWait) / time.Duration(calls),
		Syncs:     (after.syncs - before.syncs) / n,
		DiskBytes: (after.diskBytes - before.diskBytes) / n,
		WireBytes: (after.wireBytes - before.wireBytes) / n,
		Messages:  (after.messages - before.messages) / n,
	}, nil
}

// runCallers makes calls until the end time or the limit of calls, and returns how
// many succeeded. A caller stops at its first error; the last of these is returned.
func (d *shardDriver) runCallers(ctx context.Context, end time.Time) (int, error) {
	var next, succeeded atomic.Int64
	var lastErr atomic.Pointer[error]
	var callers sync.WaitGroup
	for range d.load.Callers {
		callers.Go(func() {
			for time.Now().Before(end) {
				i := int(next.Add(1))
				if d.load.MaxCalls > 0 && i > d.load.MaxCalls {
					return
				}
				if err := d.call(ctx, i); err != nil {
					lastErr.Store(&err)
					return
				}
				succeeded.Add(1)
			}
		})
	}
	callers.Wait()
	if err := lastErr.Load(); err != nil {
		return int(succeeded.Load()), *err
	}
	return int(succeeded.Load()), nil
}

// ProcessCPU returns the user and system processor time of this process, or 0 if it
// can't be read.
func ProcessCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// mutexWaitTime returns the total time that goroutines have waited for mutexes.
func mutexWaitTime() time.Duration {
	sample := []metrics.Sample{{Name: metricMutexWait}}
	metrics.Read(sample)
	return time.Duration(sample[0].Value.Float64() * float64(time.Second))
}

// MeasureShards measures the throughput of replicated shards with one and with 64
// customers, and with different numbers of cores and callers. It prints one line per
// run; a run that fails is printed and skipped.
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
		load.Duration = shardRunDuration
		load.Dir = filepath.Join(dir, "shards-"+strconv.Itoa(i))
		result, err := RunShards(ctx, load)
		if err != nil {
			fmt.Fprintf(out, "  %6d %7d %5d failed: %v\n", load.Shards, load.Callers, load.Cores, err)
			continue
		}
		fmt.Fprintf(out, "  %6d %7d %5d %9.0f %9.0f %9.1f %8.3f %9.0f %8.1f %9.0f %7d\n",
			load.Shards, load.Callers, load.Cores, result.Rate, toMicroseconds(result.CPU), toMicroseconds(result.MutexWait),
			result.Syncs, result.DiskBytes, result.Messages, result.WireBytes, result.Retries)
	}
	return nil
}
