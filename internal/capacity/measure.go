package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"
)

// Config configures a measurement.
type Config struct {
	BinDir string    // directory of the built binaries
	Dir    string    // data directory of the measured processes; the caller removes it
	Out    io.Writer // progress and results
	Part   string    // name of the only part to measure; empty: all parts
}

// part measures some of the slopes and can be run alone.
type part struct {
	name string
	run  func(ctx context.Context) ([]Slope, error)
}

// parts returns all parts in the order in which they run.
func parts(c Config) []part {
	return []part{
		{"memory", func(context.Context) ([]Slope, error) { return measureMemory() }},
		{"bodies", func(context.Context) ([]Slope, error) { return measureBodies(c.Dir) }},
		{"groups", func(ctx context.Context) ([]Slope, error) { return measureGroups(ctx, c.Dir) }},
		{"leaderless", func(ctx context.Context) ([]Slope, error) { return measureLeaderless(ctx, c.Dir) }},
		{"ceiling", func(ctx context.Context) ([]Slope, error) { return measureCustomerCallRate(ctx, c.Dir) }},
		{"calls", func(ctx context.Context) ([]Slope, error) { return measureCalls(ctx, c.BinDir, c.Dir) }},
		{"announcing", func(ctx context.Context) ([]Slope, error) { return measureSidecarAnnouncements(ctx, c.BinDir, c.Dir) }},
		{"open calls", func(ctx context.Context) ([]Slope, error) { return measureOpenCalls(ctx, c.BinDir, c.Dir) }},
		{"changes", func(ctx context.Context) ([]Slope, error) { return measureChanges(ctx, c.BinDir, c.Dir) }},
		{"directory", func(ctx context.Context) ([]Slope, error) { return measureDirectory(ctx, c.BinDir, c.Dir) }},
	}
}

// Measure measures all slopes, or those of one part. A part that fails is listed in
// NotMeasured of the report, which then lacks its slopes.
func Measure(ctx context.Context, c Config) *Report {
	r := &Report{Date: time.Now().UTC().Format(time.DateOnly), Cores: runtime.NumCPU(), LoadBefore: loadAverages()}
	for _, p := range parts(c) {
		if c.Part == "" || c.Part == p.name {
			r.runPart(ctx, p, c.Out)
		}
	}
	r.LoadAfter = loadAverages()
	return r
}

// runPart runs one part, prints its slopes to out and adds them to the report.
func (r *Report) runPart(ctx context.Context, p part, out io.Writer) {
	start := time.Now()
	slopes, err := p.run(ctx)
	elapsed := time.Since(start).Round(time.Second)
	if err != nil {
		fmt.Fprintf(out, "%s failed after %s: %v\n", p.name, elapsed, err)
		r.NotMeasured = append(r.NotMeasured, p.name+": "+err.Error())
		return
	}
	fmt.Fprintf(out, "%s: %s, load averages %s\n", p.name, elapsed, loadAverages())
	for _, slope := range slopes {
		fmt.Fprintf(out, "  %-32s %14.3f %-5s %v\n", slope.Name, slope.Value, slope.Unit, slope.Readings)
	}
	r.Slopes = append(r.Slopes, slopes...)
}

// loadAverages returns the machine's load averages over 1, 5 and 15 minutes, or
// "unknown".
func loadAverages() string {
	const averages = 3
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(averages, len(fields))], " ")
}

// quartiles returns the minimum, the three quartiles and the maximum.
func quartiles(values []float64) []float64 {
	sorted := sortedCopy(values)
	if len(sorted) == 0 {
		return nil
	}
	last := len(sorted) - 1
	return []float64{sorted[0], sorted[last/4], sorted[last/2], sorted[last*3/4], sorted[last]}
}
