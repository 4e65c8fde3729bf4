package pathbench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Names of the metrics that the benchmark reads.
const (
	metricSyncs    = "ibistray_wal_syncs_total"
	metricWritten  = "ibistray_wal_written_bytes_total"
	metricMessages = "ibistray_replica_messages_sent_total"
	metricMallocs  = "go_memstats_mallocs_total"
)

// resourceTotals holds the resources that processes have used since their start,
// or during a period.
type resourceTotals struct {
	control, sidecars Usage
	metrics           map[string]float64 // sums over the control processes, by metric name
}

func readResourceTotals(ctx context.Context, c *Cluster, caller *Caller) (resourceTotals, error) {
	control, err := SumUsage(c.Control)
	if err != nil {
		return resourceTotals{}, err
	}
	sidecars, err := SumUsage(c.Sidecars)
	if err != nil {
		return resourceTotals{}, err
	}
	metrics, err := caller.ReadMetricSums(ctx, c.ControlURLs)
	if err != nil {
		return resourceTotals{}, err
	}
	return resourceTotals{control: control, sidecars: sidecars, metrics: metrics}, nil
}

// sub returns the resources that were used since an earlier reading.
func (t resourceTotals) sub(before resourceTotals) resourceTotals {
	metrics := make(map[string]float64)
	for name, value := range t.metrics {
		metrics[name] = value - before.metrics[name]
	}
	return resourceTotals{control: t.control.Sub(before.control), sidecars: t.sidecars.Sub(before.sidecars), metrics: metrics}
}

func printResourcesPerCall(out io.Writer, totals resourceTotals, calls int) {
	n := float64(calls)
	fmt.Fprintf(out, "  for each call through the system: %.2f syncs on all three logs together, %.0f bytes written to them, %.1f log messages\n",
		totals.metrics[metricSyncs]/n, totals.metrics[metricWritten]/n, totals.metrics[metricMessages]/n)
	fmt.Fprintf(out, "  entry and control together: %.0f us of processor, %.0f allocations; sidecar: %.0f us of processor\n\n",
		toMicroseconds(totals.control.CPU)/n, totals.metrics[metricMallocs]/n, toMicroseconds(totals.sidecars.CPU)/n)
}

func toMicroseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

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
