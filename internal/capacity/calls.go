package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"ibistray.example/ibistray/internal/pathbench"
)

const (
	callCustomers       = 20
	callsInFlight       = 40
	callsPerRun         = 240
	callRepeats         = 3
	callDecodeRate      = 500 // tokens per second; about one per step of the fake engine
	clusterStartTimeout = 40 * time.Second
	systemIdleWindow    = 4 * time.Second
	systemIdleRepeats   = 3
)

// roleUsage is the resource usage of the processes of each role, summed per role.
type roleUsage struct {
	control, entry, sidecar pathbench.Usage
}

// readRoleUsage reads the total usage of the cluster's processes since their start.
func readRoleUsage(c *pathbench.Cluster) (roleUsage, error) {
	control, err := pathbench.SumUsage(c.Control)
	if err != nil {
		return roleUsage{}, err
	}
	entry, err := pathbench.SumUsage(c.Entries)
	if err != nil {
		return roleUsage{}, err
	}
	sidecar, err := pathbench.SumUsage(c.Sidecars)
	return roleUsage{control: control, entry: entry, sidecar: sidecar}, err
}

func (r roleUsage) sub(before roleUsage) roleUsage {
	return roleUsage{
		control: r.control.Sub(before.control),
		entry:   r.entry.Sub(before.entry),
		sidecar: r.sidecar.Sub(before.sidecar),
	}
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// system is a running cluster, a client that calls it, and the usage of its
// processes without calls.
type system struct {
	cluster *pathbench.Cluster
	caller  *pathbench.Caller
	idle    idleUsage
}

// idleUsage is the usage of one process of each role without calls: the mean over
// the processes of the role.
type idleUsage struct {
	controlCPU, entryCPU, sidecarCPU          float64 // us/s
	controlBytes, sidecarBytes                float64 // B/s written by system calls, to sockets and files
	controlMemory, entryMemory, sidecarMemory float64 // resident bytes
}

// startSystem starts a cluster, creates contracts for the given number of
// customers and measures the idle usage. The caller stops the cluster.
func startSystem(ctx context.Context, layout pathbench.Layout, customers int) (*system, error) {
	startCtx, cancel := context.WithTimeout(ctx, clusterStartTimeout)
	defer cancel()
	cluster, err := pathbench.Start(startCtx, layout)
	if err != nil {
		return nil, err
	}
	caller, err := pathbench.NewCaller()
	if err != nil {
		cluster.Stop()
		return nil, err
	}
	s := &system{cluster: cluster, caller: caller}
	for i := range customers {
		if err := caller.ApplyContract(startCtx, cluster.EntryURLs[0], pathbench.Customer(i)); err != nil {
			cluster.Stop()
			return nil, err
		}
	}
	if err := s.measureIdle(); err != nil {
		cluster.Stop()
		return nil, err
	}
	return s, nil
}

// measureIdle sets the idle usage: the medians of several windows, and the
// resident memory at the end of the last one.
func (s *system) measureIdle() error {
	var control, entry, sidecar, controlBytes, sidecarBytes []float64
	var total roleUsage
	for range systemIdleRepeats {
		used, current, err := s.usageDuring(systemIdleWindow)
		if err != nil {
			return err
		}
		seconds := systemIdleWindow.Seconds()
		control = append(control, microseconds(used.control.CPU)/seconds)
		entry = append(entry, microseconds(used.entry.CPU)/seconds)
		sidecar = append(sidecar, microseconds(used.sidecar.CPU)/seconds)
		controlBytes = append(controlBytes, float64(used.control.WriteBytes)/seconds)
		sidecarBytes = append(sidecarBytes, float64(used.sidecar.WriteBytes)/seconds)
		total = current
	}
	controlProcesses := float64(len(s.cluster.Control))
	entryProcesses := float64(len(s.cluster.Entries))
	sidecarProcesses := max(1, float64(len(s.cluster.Sidecars)))
	s.idle = idleUsage{
		controlCPU:    median(control) / controlProcesses,
		entryCPU:      median(entry) / entryProcesses,
		sidecarCPU:    median(sidecar) / sidecarProcesses,
		controlBytes:  median(controlBytes) / controlProcesses,
		sidecarBytes:  median(sidecarBytes) / sidecarProcesses,
		controlMemory: float64(total.control.ResidentBytes) / controlProcesses,
		entryMemory:   float64(total.entry.ResidentBytes) / entryProcesses,
		sidecarMemory: float64(total.sidecar.ResidentBytes) / sidecarProcesses,
	}
	return nil
}

// usageDuring waits for d and returns what each role used meanwhile, and its total
// usage at the end.
func (s *system) usageDuring(d time.Duration) (used, current roleUsage, err error) {
	before, err := readRoleUsage(s.cluster)
	if err != nil {
		return roleUsage{}, roleUsage{}, err
	}
	time.Sleep(d)
	current, err = readRoleUsage(s.cluster)
	return current.sub(before), current, err
}

// callCost is the mean cost of one call: the number of its chunks, which are the
// streamed events with text, and the processor time of each role, idle usage
// subtracted.
type callCost struct {
	chunks                  float64
	control, entry, sidecar float64 // us
}

// runCalls makes callsPerRun calls that generate the given number of tokens each
// and returns their mean cost.
func (s *system) runCalls(tokens int) (callCost, error) {
	before, err := readRoleUsage(s.cluster)
	if err != nil {
		return callCost{}, err
	}
	entries := s.cluster.EntryURLs
	samples, elapsed, errs := pathbench.MakeCalls(callsPerRun, callsInFlight, func(i int) (pathbench.Sample, error) {
		return s.caller.CallNewProgram(entries[i%len(entries)], pathbench.Customer(i%callCustomers), tokens)
	})
	if len(errs) > 0 {
		return callCost{}, fmt.Errorf("%d of %d calls failed: %w", len(errs), callsPerRun, errs[0])
	}
	after, err := readRoleUsage(s.cluster)
	if err != nil {
		return callCost{}, err
	}
	used := after.sub(before)
	calls := float64(len(samples))
	chunks := 0
	for _, sample := range samples {
		chunks += sample.Chunks
	}
	seconds := elapsed.Seconds()
	return callCost{
		chunks:  float64(chunks) / calls,
		control: (microseconds(used.control.CPU) - seconds*s.idle.controlCPU*float64(len(s.cluster.Control))) / calls,
		entry:   (microseconds(used.entry.CPU) - seconds*s.idle.entryCPU*float64(len(entries))) / calls,
		sidecar: (microseconds(used.sidecar.CPU) - seconds*s.idle.sidecarCPU*float64(len(s.cluster.Sidecars))) / calls,
	}, nil
}

// measureCalls measures the cost of a call and of a streamed chunk for each role,
// and the usage of idle processes.
func measureCalls(ctx context.Context, binDir, dir string) ([]Slope, error) {
	s, err := startSystem(ctx, pathbench.Layout{
		BinDir: binDir, Dir: filepath.Join(dir, "calls"),
		Control: 3, Entries: 1, Engines: 4, Shards: 16, DecodeRate: callDecodeRate,
	}, callCustomers)
	if err != nil {
		return nil, err
	}
	defer s.cluster.Stop()
	if _, err := s.runCalls(16); err != nil { // warm-up: opens connections and fills pools
		return nil, err
	}
	var sizes, control, entry, sidecar []float64
	for _, tokens := range []int{16, 128, 512} {
		cost, err := s.medianCallCost(tokens)
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, cost.chunks)
		control = append(control, cost.control)
		entry = append(entry, cost.entry)
		sidecar = append(sidecar, cost.sidecar)
	}
	slopes := s.idleSlopes()
	return append(slopes, callSlopes(sizes, control, entry, sidecar)...), nil
}

// medianCallCost returns the medians of the costs of several runs.
func (s *system) medianCallCost(tokens int) (callCost, error) {
	var chunks, control, entry, sidecar []float64
	for range callRepeats {
		cost, err := s.runCalls(tokens)
		if err != nil {
			return callCost{}, err
		}
		chunks = append(chunks, cost.chunks)
		control = append(control, cost.control)
		entry = append(entry, cost.entry)
		sidecar = append(sidecar, cost.sidecar)
	}
	return callCost{chunks: median(chunks), control: median(control), entry: median(entry), sidecar: median(sidecar)}, nil
}

const callMethod = "3 control, 1 entry, 4 sidecars, 40 calls in flight; processor time of a call over its events, idle share taken off; "

// callSlopes fits the costs of a call over the numbers of its chunks: the intercept
// is the cost of a call, the slope that of a chunk.
func callSlopes(sizes, control, entry, sidecar []float64) []Slope {
	controlLine, entryLine, sidecarLine := Fit(sizes, control), Fit(sizes, entry), Fit(sizes, sidecar)
	slope := func(name SlopeName, value float64, readings []float64, detail string) Slope {
		return Slope{Name: name, Unit: unitMicros, Value: value, Sizes: sizes, Readings: readings, Method: callMethod + detail}
	}
	return []Slope{
		slope(ControlCallCPU, controlLine.Intercept, control, "intercept, three processes together"),
		slope(ControlTokenCPU, controlLine.Slope, control, "slope, three processes together"),
		slope(EntryCallCPU, entryLine.Intercept, entry, "intercept"),
		slope(EntryChunkCPU, entryLine.Slope, entry, "slope"),
		slope(SidecarCallCPU, sidecarLine.Intercept, sidecar, "intercept"),
		slope(SidecarChunkCPU, sidecarLine.Slope, sidecar, "slope"),
	}
}

// idleSlopes returns the idle usage of one process of each role.
func (s *system) idleSlopes() []Slope {
	const method = "3 control, 1 entry, 4 sidecars, no calls; one process, median of three windows of 4 s"
	slope := func(name SlopeName, unit string, value float64) Slope {
		return Slope{Name: name, Unit: unit, Value: value, Sizes: []float64{1}, Readings: []float64{value}, Method: method}
	}
	return []Slope{
		slope(ControlIdleCPU, unitMicrosPerSecond, s.idle.controlCPU),
		slope(ControlIdleBytes, unitBytesPerSecond, s.idle.controlBytes),
		slope(ControlIdleMemory, unitBytes, s.idle.controlMemory),
		slope(EntryIdleCPU, unitMicrosPerSecond, s.idle.entryCPU),
		slope(EntryIdleMemory, unitBytes, s.idle.entryMemory),
		slope(SidecarIdleCPU, unitMicrosPerSecond, s.idle.sidecarCPU),
		slope(SidecarIdleBytes, unitBytesPerSecond, s.idle.sidecarBytes),
		slope(SidecarIdleMemory, unitBytes, s.idle.sidecarMemory),
	}
}
