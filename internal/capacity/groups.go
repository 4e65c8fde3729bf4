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
	replicasInProcess = 3
	groupTimeout      = 60 * time.Second
	idleWindow        = 3 * time.Second
	idleRepeats       = 3
	leaderlessRuns    = 7
	ceilingCallers    = 256
	ceilingTime       = 3 * time.Second
	ceilingRepeats    = 3
)

// idleGroups is what idle groups cost in one process with three hosts.
type idleGroups struct {
	cpu      float64 // us/s
	messages float64 // 1/s
	heap     float64 // bytes
}

func measureIdleGroups(ctx context.Context, dir string, groups int) (idleGroups, error) {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	before := heapBytes()
	r, err := pathbench.NewReplicas(filepath.Join(dir, "idle-"+strconv.Itoa(groups)), groups)
	if err != nil {
		return idleGroups{}, err
	}
	defer r.Stop()
	for s := range groups {
		if _, err := r.WaitLeader(ctx, placement.GroupOf(uint32(s))); err != nil { // bounded
			return idleGroups{}, err
		}
	}
	if err := r.WaitQuiesced(ctx); err != nil {
		return idleGroups{}, fmt.Errorf("wait until %d groups are idle: %w", groups, err)
	}
	heap := heapBytes() - before
	var cpu, messages []float64
	for range idleRepeats {
		startCPU, startMessages := pathbench.ProcessCPU(), r.MessagesSent.Load()
		time.Sleep(idleWindow)
		seconds := idleWindow.Seconds()
		cpu = append(cpu, float64((pathbench.ProcessCPU()-startCPU).Microseconds())/seconds)
		messages = append(messages, float64(r.MessagesSent.Load()-startMessages)/seconds)
	}
	return idleGroups{cpu: median(cpu), messages: median(messages), heap: heap}, nil
}

// measureGroups measures idle groups at three sizes.
func measureGroups(ctx context.Context, dir string) ([]Slope, error) {
	sizes := []float64{1, 100, 1000}
	var cpu, messages, heap []float64
	for _, size := range sizes {
		idle, err := measureIdleGroups(ctx, dir, int(size))
		if err != nil {
			return nil, err
		}
		cpu = append(cpu, idle.cpu)
		messages = append(messages, idle.messages)
		heap = append(heap, idle.heap)
	}
	slope := func(name Name, unit string, readings []float64) Slope {
		value := Fit(sizes, readings).Slope / replicasInProcess
		return Slope{
			Name: name, Unit: unit, Value: value, Sizes: sizes, Readings: readings,
			Method: "three hosts in one process, idle groups without timers; for each replica",
		}
	}
	return []Slope{
		slope(GroupIdleCPU, unitMicrosPerSecond, cpu),
		slope(GroupIdleMessages, unitPerSecond, messages),
		slope(GroupMemory, unitBytes, heap),
	}, nil
}

// measureLeaderless measures how long a group has no leader after its leader
// ended without handing over.
func measureLeaderless(ctx context.Context, dir string) ([]Slope, error) {
	var times []float64
	for run := range leaderlessRuns {
		took, err := leaderlessOnce(ctx, filepath.Join(dir, "leaderless-"+strconv.Itoa(run)))
		if err != nil {
			return nil, err
		}
		times = append(times, float64(took.Milliseconds()))
	}
	return []Slope{{
		Name: Leaderless, Unit: unitMillis, Value: median(times), Sizes: []float64{1}, Readings: times,
		Method: "time from the end of a leader until another host confirms reads, one group in use; median of the runs",
	}}, nil
}

func leaderlessOnce(ctx context.Context, dir string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	r, err := pathbench.NewReplicas(dir, 1)
	if err != nil {
		return 0, err
	}
	defer r.Stop()
	return r.StopLeader(ctx, placement.GroupOf(0))
}

// measureCeiling measures the calls a second of one customer, and their cost.
func measureCeiling(ctx context.Context, dir string) ([]Slope, error) {
	var rates, syncs, disk, wire []float64
	for run := range ceilingRepeats {
		load := pathbench.ShardLoad{
			Shards: 1, Callers: ceilingCallers, Duration: ceilingTime,
			Directory: filepath.Join(dir, "ceiling-"+strconv.Itoa(run)),
		}
		result, err := pathbench.RunShards(ctx, load)
		if err != nil {
			return nil, err
		}
		_ = os.RemoveAll(load.Directory)
		rates = append(rates, result.Rate)
		syncs = append(syncs, result.Syncs)
		disk = append(disk, result.DiskBytes)
		wire = append(wire, result.WireBytes)
	}
	slope := func(name Name, unit string, readings []float64) Slope {
		return Slope{
			Name: name, Unit: unit, Value: median(readings), Sizes: []float64{ceilingCallers}, Readings: readings,
			Method: "one customer on three replicas in one process with files, 256 callers; median of the runs",
		}
	}
	return []Slope{
		slope(ControlCeiling, unitPerSecond, rates),
		slope(ControlCallSyncs, unitCount, syncs),
		slope(ControlCallDisk, unitBytes, disk),
		slope(ControlCallWire, unitBytes, wire),
	}, nil
}
