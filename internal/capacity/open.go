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
	openDecodeRate = 4  // tokens a second
	openTokens     = 32 // so that a call stays open for 8 s
	openSettle     = 5 * time.Second
	changesAtOnce  = 20
)

// measureOpenCalls measures the memory of calls in progress.
func measureOpenCalls(ctx context.Context, binDir, dir string) ([]Slope, error) {
	s, err := startSystem(ctx, pathbench.Layout{
		BinDir: binDir, Dir: filepath.Join(dir, "open"),
		Control: 3, Entries: 1, Engines: 1, Shards: 16, DecodeRate: openDecodeRate,
	}, callCustomers)
	if err != nil {
		return nil, err
	}
	defer s.cluster.Stop()
	sizes := []float64{0}
	entry, sidecar := []float64{s.idle.entryMemory}, []float64{s.idle.sidecarMemory}
	for _, size := range []int{200, 400, 800} {
		used, err := s.openCalls(size)
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, float64(size))
		entry = append(entry, float64(used.entry.ResidentBytes))
		sidecar = append(sidecar, float64(used.sidecar.ResidentBytes))
	}
	const method = "resident memory of the process with calls in progress, slope"
	return []Slope{
		{Name: EntryOpenMemory, Unit: unitBytes, Value: Fit(sizes, entry).Slope, Sizes: sizes, Readings: entry, Method: method},
		{Name: SidecarOpenMemory, Unit: unitBytes, Value: Fit(sizes, sidecar).Slope, Sizes: sizes, Readings: sidecar, Method: method},
	}, nil
}

// openCalls reads the usage while a number of calls is in progress.
func (s *system) openCalls(n int) (roles, error) {
	var errs []error
	var calls sync.WaitGroup
	calls.Go(func() {
		_, _, errs = pathbench.MakeCalls(n, n, func(i int) (pathbench.Sample, error) {
			return s.caller.CallNewProgram(s.cluster.EntryURLs[0], pathbench.Customer(i%callCustomers), openTokens)
		})
	})
	time.Sleep(openSettle)
	used, err := readRoles(s.cluster)
	calls.Wait()
	if len(errs) > 0 {
		return roles{}, fmt.Errorf("%d of %d calls failed: %w", len(errs), n, errs[0])
	}
	return used, err
}

// measureChanges measures changes of the configuration.
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
	standing := 0.0
	for _, size := range []int{40, 80, 160} {
		run, err := s.runChanges(ctx, size)
		if err != nil {
			return nil, err
		}
		changes := float64(size)
		records = append(records, standing+changes/2)
		standing += changes
		cpu = append(cpu, run.cpu/changes)
		bytes = append(bytes, run.bytes/changes)
		times = append(times, run.times...)
	}
	const method = "3 control, 1 entry, 2 sidecars; stops of servers that don't exist, 20 at a time, idle share taken off; all three processes, one change over the records in force; "
	cpuLine, bytesLine := Fit(records, cpu), Fit(records, bytes)
	return []Slope{
		{Name: ControlChangeCPU, Unit: unitMicros, Value: cpuLine.Intercept, Sizes: records, Readings: cpu, Method: method + "intercept"},
		{Name: ControlRecordCPU, Unit: unitMicros, Value: cpuLine.Slope, Sizes: records, Readings: cpu, Method: method + "slope"},
		{Name: ControlChangeBytes, Unit: unitBytes, Value: bytesLine.Intercept, Sizes: records, Readings: bytes, Method: method + "intercept"},
		{Name: ControlRecordBytes, Unit: unitBytes, Value: bytesLine.Slope, Sizes: records, Readings: bytes, Method: method + "slope"},
		{
			Name: ChangeInForce, Unit: unitMillis, Value: median(times), Sizes: []float64{float64(len(times))}, Readings: quartiles(times),
			Method: "from the request to the answer that the change is in force at each process; median; readings: least, quarter, half, three quarters, most",
		},
	}, nil
}

// changesRun is the cost of a number of changes at the control processes.
type changesRun struct {
	cpu, bytes float64
	times      []float64 // ms
}

func (s *system) runChanges(ctx context.Context, n int) (changesRun, error) {
	before, err := readRoles(s.cluster)
	if err != nil {
		return changesRun{}, err
	}
	samples, elapsed, errs := pathbench.MakeCalls(n, changesAtOnce, func(i int) (pathbench.Sample, error) {
		start := time.Now()
		inForce, err := s.caller.AnnounceStop(ctx, s.cluster.EntryURLs[0], "none-"+strconv.Itoa(n)+"-"+strconv.Itoa(i))
		if err == nil && !inForce {
			err = fmt.Errorf("change %d is accepted but not in force", i)
		}
		return pathbench.Sample{Total: time.Since(start)}, err
	})
	if len(errs) > 0 {
		return changesRun{}, fmt.Errorf("%d of %d changes failed: %w", len(errs), n, errs[0])
	}
	after, err := readRoles(s.cluster)
	if err != nil {
		return changesRun{}, err
	}
	used := after.sub(before).control
	idle := elapsed.Seconds() * float64(len(s.cluster.Control))
	run := changesRun{
		cpu:   micros(used.CPU) - idle*s.idle.controlCPU,
		bytes: float64(used.WriteBytes) - idle*s.idle.controlBytes,
	}
	for _, sample := range samples {
		run.times = append(run.times, float64(sample.Total.Milliseconds()))
	}
	return run, nil
}
