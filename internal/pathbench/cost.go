package pathbench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Names of metrics that the benchmark reads.
const (
	metricSyncs    = "ibistray_wal_syncs_total"
	metricWritten  = "ibistray_wal_written_bytes_total"
	metricMessages = "ibistray_replica_messages_sent_total"
	metricMallocs  = "go_memstats_mallocs_total"
)

// cost is what the processes have spent.
type cost struct {
	nodes, sidecars Usage
	values          map[string]float64 // metrics of entry and control
}

func readCost(ctx context.Context, c *Cluster, caller *Caller) (cost, error) {
	nodes, err := SumUsage(c.Control)
	if err != nil {
		return cost{}, err
	}
	sidecars, err := SumUsage(c.Sidecars)
	if err != nil {
		return cost{}, err
	}
	values, err := caller.ReadMetricSums(ctx, c.ControlURLs)
	if err != nil {
		return cost{}, err
	}
	return cost{nodes: nodes, sidecars: sidecars, values: values}, nil
}

func (c cost) sub(before cost) cost {
	values := make(map[string]float64)
	for name, value := range c.values {
		values[name] = value - before.values[name]
	}
	return cost{nodes: c.nodes.Sub(before.nodes), sidecars: c.sidecars.Sub(before.sidecars), values: values}
}

func printCost(out io.Writer, c cost, calls int) {
	n := float64(calls)
	fmt.Fprintf(out, "  for each call through the system: %.2f syncs on all three logs together, %.0f bytes written to them, %.1f log messages\n",
		c.values[metricSyncs]/n, c.values[metricWritten]/n, c.values[metricMessages]/n)
	fmt.Fprintf(out, "  entry and control together: %.0f us of processor, %.0f allocations; sidecar: %.0f us of processor\n\n",
		micros(c.nodes.CPU)/n, c.values[metricMallocs]/n, micros(c.sidecars.CPU)/n)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func printComparison(out io.Writer, c Comparison) {
	fmt.Fprintf(out, "%d in flight, %d calls each way, %d errors\n", c.InFlight, c.Calls, c.Errors)
	for _, err := range c.FirstErrors {
		fmt.Fprintf(out, "  error: %v\n", err)
	}
	fmt.Fprintf(out, "  %-14s %10s %10s %10s %10s\n", "", "system", "direct", "added", "ratio")
	printRow(out, "first p50", c.System.FirstOutput.P50, c.Direct.FirstOutput.P50)
	printRow(out, "first p99", c.System.FirstOutput.P99, c.Direct.FirstOutput.P99)
	printRow(out, "whole p50", c.System.Total.P50, c.Direct.Total.P50)
	printRow(out, "whole p99", c.System.Total.P99, c.Direct.Total.P99)
	fmt.Fprintf(out, "  %-14s %10.0f %10.0f\n", "calls/s", c.System.Rate, c.Direct.Rate)
}

func printRow(out io.Writer, name string, system, direct time.Duration) {
	const precision = 10 * time.Microsecond
	ratio := 0.0
	if direct > 0 {
		ratio = float64(system) / float64(direct)
	}
	fmt.Fprintf(out, "  %-14s %10s %10s %10s %9.1fx\n", name,
		system.Round(precision), direct.Round(precision), (system - direct).Round(precision), ratio)
}
