package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/pathbench"
)

const (
	openCallDecodeRate  = 4               // tokens per second
	openCallTokens      = 32              // so a call takes 8 s, longer than openCallSettleDelay
	openCallSettleDelay = 5 * time.Second // from the start of the calls until the usage is read
	changesInFlight     = 20              // concurrent configuration changes
)

// measureOpenCalls measures the memory that a running call takes at an entry and
// at a sidecar.
func measureOpenCalls(ctx context.Context, binDir, dir string) ([]Slope, error) {
	s, err := startSystem(ctx, pathbench.Layout{
		BinDir: binDir, Dir: filepath.Join(dir, "open"),
		Control: 3, Entries: 1, Engines: 1, Shards: 16, DecodeRate: openCallDecodeRate,
	}, callCustomers)
	if err != nil {
		return nil, err
	}
	defer s.cluster.Stop()
	sizes := []float64{0}
	entry, sidecar := []float64{s.idle.entryMemory}, []float64{s.idle.sidecarMemory}
	for _, size := range []int{200, 400, 800} {
		used, err := s.usageDuringCalls(size)
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, float64(size))
		entry = append(entry, float64(used.entry.ResidentBytes))
		sidecar = append(sidecar, float64(used.sidecar.ResidentBytes))
	}
	const method = "resident memory of the process with calls in progress, slope"
	return []Slope{
		{Name: EntryOpenCallMemory, Unit: unitBytes, Value: Fit(sizes, entry).Slope, Sizes: sizes, Readings: entry, Method: method},
		{Name: SidecarOpenCallMemory, Unit: unitBytes, Value: Fit(sizes, sidecar).Slope, Sizes: sizes, Readings: sidecar, Method: method},
	}, nil
}

// usageDuringCalls makes n concurrent calls and returns the usage while they are in
// progress.
func (s *system) usageDuringCalls(n int) (roleUsage, error) {
	var errs []error
	var calls sync.WaitGroup
	calls.Go(func() {
		_, _, errs = pathbench.MakeCalls(n, n, func(i int) (pathbench.Sample, error) {
			return s.caller.CallNewProgram(s.cluster.EntryURLs[0], pathbench.Customer(i%callCustomers), openCallTokens)
		})
	})
	time.Sleep(openCallSettleDelay)
	used, err := readRoleUsage(s.cluster)
	calls.Wait()
	if len(errs) > 0 {
		return roleUsage{}, fmt.Errorf("%d of %d calls failed: %w", len(errs), n, errs[0])
	}
	return used, err
}

// measureChanges measures the cost of configuration changes at the control processes
// and the time until a change is in force.
func measureChanges(ctx context.Context, binDir, dir string) ([]Slope, error) {
	s, err := startSystem(ctx, pathbench.Layout{
		BinDir: binDir, Dir: filepath.Join(dir, "changes"),
		Control: 3, Entries: 1, Engines: 2, Shards: 16,
	}, 1)
	if err != nil {
		return nil, err
	}
	defer s.cluster.Stop()
	var records, cpu, bytes, times []float64
	recordsInForce := 0.0
	for _, size := range []int{40, 80, 160} {
		cost, err := s.runChanges(ctx, size)
		if err != nil {
			return nil, err
		}
		changes := float64(size)
		records = append(records, recordsInForce+changes/2) // mean number of records during the run
		recordsInForce += changes
		cpu = append(cpu, cost.cpu/changes)
		bytes = append(bytes, cost.bytes/changes)
		times = append(times, cost.times...)
	}
	const method = "3 control, 1 entry, 2 sidecars; stops of servers that don't exist, 20 at a time, idle share taken off; all three processes, one change over the records in force; "
	cpuLine, bytesLine := Fit(records, cpu), Fit(records, bytes)
	return []Slope{
		{Name: ControlChangeCPU, Unit: unitMicros, Value: cpuLine.Intercept, Sizes: records, Readings: cpu, Method: method + "intercept"},
		{Name: ControlChangeRecordCPU, Unit: unitMicros, Value: cpuLine.Slope, Sizes: records, Readings: cpu, Method: method + "slope"},
		{Name: ControlChangeBytes, Unit: unitBytes, Value: bytesLine.Intercept, Sizes: records, Readings: bytes, Method: method + "intercept"},
		{Name: ControlChangeRecordBytes, Unit: unitBytes, Value: bytesLine.Slope, Sizes: records, Readings: bytes, Method: method + "slope"},
		{
			Name: ChangeInForceTime, Unit: unitMillis, Value: median(times), Sizes: []float64{float64(len(times))}, Readings: quartiles(times),
			Method: "from the request to the answer that the change is in force at each process; median; readings: least, quarter, half, three quarters, most",
		},
	}, nil
}

// changeCost is the total cost of a number of changes at all control processes.
type changeCost struct {
	cpu, bytes float64   // us; bytes written by system calls
	times      []float64 // ms from the request until each change was in force
}

// runChanges makes n configuration changes and returns their cost, idle usage
// subtracted. It fails if a change is not in force when it is acknowledged.
func (s *system) runChanges(ctx context.Context, n int) (changeCost, error) {
	before, err := readRoleUsage(s.cluster)
	if err != nil {
		return changeCost{}, err
	}
	samples, elapsed, errs := pathbench.MakeCalls(n, changesInFlight, func(i int) (pathbench.Sample, error) {
		start := time.Now()
		inForce, err := s.caller.AnnounceStop(ctx, s.cluster.EntryURLs[0], "none-"+strconv.Itoa(n)+"-"+strconv.Itoa(i))
		if err == nil && !inForce {
			err = fmt.Errorf("change %d is accepted but not in force", i)
		}
		return pathbench.Sample{Total: time.Since(start)}, err
	})
	if len(errs) > 0 {
		return changeCost{}, fmt.Errorf("%d of %d changes failed: %w", len(errs), n, errs[0])
	}
	after, err := readRoleUsage(s.cluster)
	if err != nil {
		return changeCost{}, err
	}
	used := after.sub(before).control
	processSeconds := elapsed.Seconds() * float64(len(s.cluster.Control))
	cost := changeCost{
		cpu:   microseconds(used.CPU) - processSeconds*s.idle.controlCPU,
		bytes: float64(used.WriteBytes) - processSeconds*s.idle.controlBytes,
	}
	for _, sample := range samples {
		cost.times = append(cost.times, float64(sample.Total.Milliseconds()))
	}
	return cost, nil
}
