package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"ibistray.example/ibistray/internal/pathbench"
	"ibistray.example/ibistray/internal/placement"
)

const (
	replicasPerGroup    = 3
	groupTimeout        = 60 * time.Second
	groupIdleWindow     = 3 * time.Second
	groupIdleRepeats    = 3
	leaderlessRepeats   = 7
	customerRateCallers = 256
	customerRateWindow  = 3 * time.Second
	customerRateRepeats = 3
)

// idleGroupCost is the total usage of a number of idle replication groups, whose
// replicas run on three hosts in this process.
type idleGroupCost struct {
	cpu      float64 // us/s
	messages float64 // 1/s
	heap     float64 // bytes
}

// measureIdleGroupCost starts the given number of groups and measures them once all
// have a leader and have quiesced.
func measureIdleGroupCost(ctx context.Context, dir string, groups int) (idleGroupCost, error) {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	before := heapBytes()
	replicas, err := pathbench.NewReplicas(filepath.Join(dir, "idle-"+strconv.Itoa(groups)), groups)
	if err != nil {
		return idleGroupCost{}, err
	}
	defer replicas.Stop()
	for shard := range groups {
		if _, err := replicas.WaitLeader(ctx, placement.GroupOf(uint32(shard))); err != nil { // at most 1000 groups
			return idleGroupCost{}, err
		}
	}
	if err := replicas.WaitQuiesced(ctx); err != nil {
		return idleGroupCost{}, fmt.Errorf("wait until %d groups are idle: %w", groups, err)
	}
	heap := heapBytes() - before
	var cpu, messages []float64
	for range groupIdleRepeats {
		startCPU, startMessages := pathbench.ProcessCPU(), replicas.MessagesSent.Load()
		time.Sleep(groupIdleWindow)
		seconds := groupIdleWindow.Seconds()
		cpu = append(cpu, float64((pathbench.ProcessCPU()-startCPU).Microseconds())/seconds)
		messages = append(messages, float64(replicas.MessagesSent.Load()-startMessages)/seconds)
	}
	return idleGroupCost{cpu: median(cpu), messages: median(messages), heap: heap}, nil
}

// measureGroups measures the usage per replica of idle groups.
func measureGroups(ctx context.Context, dir string) ([]Slope, error) {
	sizes := []float64{1, 100, 1000}
	var cpu, messages, heap []float64
	for _, size := range sizes {
		idle, err := measureIdleGroupCost(ctx, dir, int(size))
		if err != nil {
			return nil, err
		}
		cpu = append(cpu, idle.cpu)
		messages = append(messages, idle.messages)
		heap = append(heap, idle.heap)
	}
	slope := func(name SlopeName, unit string, readings []float64) Slope {
		value := Fit(sizes, readings).Slope / replicasPerGroup
		return Slope{
			Name: name, Unit: unit, Value: value, Sizes: sizes, Readings: readings,
			Method: "three hosts in one process, idle groups without timers; for each replica",
		}
	}
	return []Slope{
		slope(ReplicaIdleCPU, unitMicrosPerSecond, cpu),
		slope(ReplicaIdleMessages, unitPerSecond, messages),
		slope(ReplicaMemory, unitBytes, heap),
	}, nil
}

// measureLeaderless measures how long a group has no leader after its leader has
// stopped without transferring leadership.
func measureLeaderless(ctx context.Context, dir string) ([]Slope, error) {
	var times []float64
	for run := range leaderlessRepeats {
		elapsed, err := measureFailover(ctx, filepath.Join(dir, "leaderless-"+strconv.Itoa(run)))
		if err != nil {
			return nil, err
		}
		times = append(times, float64(elapsed.Milliseconds()))
	}
	return []Slope{{
		Name: LeaderlessTime, Unit: unitMillis, Value: median(times), Sizes: []float64{1}, Readings: times,
		Method: "time from the end of a leader until another host confirms reads, one group in use; median of the runs",
	}}, nil
}

// measureFailover returns the time from the stop of a group's leader until another
// host confirms reads as leader.
func measureFailover(ctx context.Context, dir string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	replicas, err := pathbench.NewReplicas(dir, 1)
	if err != nil {
		return 0, err
	}
	defer replicas.Stop()
	return replicas.StopLeader(ctx, placement.GroupOf(0))
}

// measureCustomerCallRate measures how many calls per second the shard of one
// customer sustains, and the disk and network usage of a call.
func measureCustomerCallRate(ctx context.Context, dir string) ([]Slope, error) {
	var rates, syncs, disk, network []float64
	for run := range customerRateRepeats {
		load := pathbench.ShardLoad{
			Shards: 1, Callers: customerRateCallers, Duration: customerRateWindow,
			Dir: filepath.Join(dir, "ceiling-"+strconv.Itoa(run)),
		}
		result, err := pathbench.RunShards(ctx, load)
		if err != nil {
			return nil, err
		}
		_ = os.RemoveAll(load.Dir)
		rates = append(rates, result.Rate)
		syncs = append(syncs, result.Syncs)
		disk = append(disk, result.DiskBytes)
		network = append(network, result.WireBytes)
	}
	slope := func(name SlopeName, unit string, readings []float64) Slope {
		return Slope{
			Name: name, Unit: unit, Value: median(readings), Sizes: []float64{customerRateCallers}, Readings: readings,
			Method: "one customer on three replicas in one process with files, 256 callers; median of the runs",
		}
	}
	return []Slope{
		slope(CustomerCallRate, unitPerSecond, rates),
		slope(ControlCallSyncs, unitCount, syncs),
		slope(ControlCallDiskBytes, unitBytes, disk),
		slope(ControlCallNetworkBytes, unitBytes, network),
	}, nil
}
