package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"ibistray.example/ibistray/internal/pathbench"
)

const (
	callCustomers  = 20
	callInFlight   = 40
	callsPerRun    = 240
	callRepeats    = 3
	callDecodeRate = 500 // tokens a second: one event for each step of the fake engine
	clusterTimeout = 40 * time.Second
	usageWindow    = 4 * time.Second
	usageRepeats   = 3
)

// roles is the usage of the processes of each role.
type roles struct {
	control, entry, sidecar pathbench.Usage
}

func readRoles(c *pathbench.Cluster) (roles, error) {
	control, err := pathbench.SumUsage(c.Control)
	if err != nil {
		return roles{}, err
	}
	entry, err := pathbench.SumUsage(c.Entries)
	if err != nil {
		return roles{}, err
	}
	sidecar, err := pathbench.SumUsage(c.Sidecars)
	return roles{control: control, entry: entry, sidecar: sidecar}, err
}

func (r roles) sub(before roles) roles {
	return roles{
		control: r.control.Sub(before.control),
		entry:   r.entry.Sub(before.entry),
		sidecar: r.sidecar.Sub(before.sidecar),
	}
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// system is a running cluster with its idle usage for each second.
type system struct {
	cluster *pathbench.Cluster
	caller  *pathbench.Caller
	idle    idleUsage
}

// idleUsage is what one process of each role uses in a second without calls.
type idleUsage struct {
	controlCPU, entryCPU, sidecarCPU          float64 // us/s
	controlBytes, sidecarBytes                float64 // B/s, written
	controlMemory, entryMemory, sidecarMemory float64 // bytes
}

func startSystem(ctx context.Context, layout pathbench.Layout, customers int) (*system, error) {
	startCtx, cancel := context.WithTimeout(ctx, clusterTimeout)
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

func (s *system) measureIdle() error {
	var control, entry, sidecar, controlBytes, sidecarBytes []float64
	var last roles
	for range usageRepeats {
		used, now, err := s.window(usageWindow)
		if err != nil {
			return err
		}
		seconds := usageWindow.Seconds()
		control = append(control, micros(used.control.CPU)/seconds)
		entry = append(entry, micros(used.entry.CPU)/seconds)
		sidecar = append(sidecar, micros(used.sidecar.CPU)/seconds)
		controlBytes = append(controlBytes, float64(used.control.WriteBytes)/seconds)
		sidecarBytes = append(sidecarBytes, float64(used.sidecar.WriteBytes)/seconds)
		last = now
	}
	controls := float64(len(s.cluster.Control))
	entries := float64(len(s.cluster.Entries))
	sidecars := max(1, float64(len(s.cluster.Sidecars)))
	s.idle = idleUsage{
		controlCPU:    median(control) / controls,
		entryCPU:      median(entry) / entries,
		sidecarCPU:    median(sidecar) / sidecars,
		controlBytes:  median(controlBytes) / controls,
		sidecarBytes:  median(sidecarBytes) / sidecars,
		controlMemory: float64(last.control.ResidentBytes) / controls,
		entryMemory:   float64(last.entry.ResidentBytes) / entries,
		sidecarMemory: float64(last.sidecar.ResidentBytes) / sidecars,
	}
	return nil
}

// window returns what the roles use in a time.
func (s *system) window(d time.Duration) (used, now roles, err error) {
	before, err := readRoles(s.cluster)
	if err != nil {
		return roles{}, roles{}, err
	}
	time.Sleep(d)
	now, err = readRoles(s.cluster)
	return now.sub(before), now, err
}

// callCost is the processor time of one call of a run, without the idle share.
type callCost struct {
	chunks                  float64
	control, entry, sidecar float64 // us
}

func (s *system) runCalls(tokens int) (callCost, error) {
	before, err := readRoles(s.cluster)
	if err != nil {
		return callCost{}, err
	}
	entries := s.cluster.EntryURLs
	samples, elapsed, errs := pathbench.MakeCalls(callsPerRun, callInFlight, func(i int) (pathbench.Sample, error) {
		return s.caller.CallNewProgram(entries[i%len(entries)], pathbench.Customer(i%callCustomers), tokens)
	})
	if len(errs) > 0 {
		return callCost{}, fmt.Errorf("%d of %d calls failed: %w", len(errs), callsPerRun, errs[0])
	}
	after, err := readRoles(s.cluster)
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
		control: (micros(used.control.CPU) - seconds*s.idle.controlCPU*float64(len(s.cluster.Control))) / calls,
		entry:   (micros(used.entry.CPU) - seconds*s.idle.entryCPU*float64(len(entries))) / calls,
		sidecar: (micros(used.sidecar.CPU) - seconds*s.idle.sidecarCPU*float64(len(s.cluster.Sidecars))) / calls,
	}, nil
}

// measureCalls measures a call and a streamed event at each role, and idle
// processes.
func measureCalls(ctx context.Context, binDir, dir string) ([]Slope, error) {
	s, err := startSystem(ctx, pathbench.Layout{
		BinDir: binDir, Dir: filepath.Join(dir, "calls"),
		Control: 3, Entries: 1, Engines: 4, Shards: 16, DecodeRate: callDecodeRate,
	}, callCustomers)
	if err != nil {
		return nil, err
	}
	defer s.cluster.Stop()
	if _, err := s.runCalls(16); err != nil { // warms connections and pools
		return nil, err
	}
	var sizes, control, entry, sidecar []float64
	for _, tokens := range []int{16, 128, 512} {
		cost, err := s.medianCall(tokens)
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

func (s *system) medianCall(tokens int) (callCost, error) {
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

func callSlopes(sizes, control, entry, sidecar []float64) []Slope {
	controlLine, entryLine, sidecarLine := Fit(sizes, control), Fit(sizes, entry), Fit(sizes, sidecar)
	slope := func(name Name, value float64, readings []float64, what string) Slope {
		return Slope{Name: name, Unit: unitMicros, Value: value, Sizes: sizes, Readings: readings, Method: callMethod + what}
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

func (s *system) idleSlopes() []Slope {
	const method = "3 control, 1 entry, 4 sidecars, no calls; one process, median of three windows of 4 s"
	slope := func(name Name, unit string, value float64) Slope {
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
