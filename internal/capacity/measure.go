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
	BinDir string // folder of the built programs
	Dir    string // for data; the caller removes it
	Out    io.Writer
	Part   string // name of the one part to measure; empty: all
}

// step is one part of a measurement.
type step struct {
	name string
	run  func(ctx context.Context) ([]Slope, error)
}

func steps(c Config) []step {
	return []step{
		{"memory", func(context.Context) ([]Slope, error) { return measureMemory() }},
		{"bodies", func(context.Context) ([]Slope, error) { return measureBodies(c.Dir) }},
		{"groups", func(ctx context.Context) ([]Slope, error) { return measureGroups(ctx, c.Dir) }},
		{"leaderless", func(ctx context.Context) ([]Slope, error) { return measureLeaderless(ctx, c.Dir) }},
		{"ceiling", func(ctx context.Context) ([]Slope, error) { return measureCeiling(ctx, c.Dir) }},
		{"calls", func(ctx context.Context) ([]Slope, error) { return measureCalls(ctx, c.BinDir, c.Dir) }},
		{"announcing", func(ctx context.Context) ([]Slope, error) { return measureAnnouncing(ctx, c.BinDir, c.Dir) }},
		{"open calls", func(ctx context.Context) ([]Slope, error) { return measureOpenCalls(ctx, c.BinDir, c.Dir) }},
		{"changes", func(ctx context.Context) ([]Slope, error) { return measureChanges(ctx, c.BinDir, c.Dir) }},
		{"directory", func(ctx context.Context) ([]Slope, error) { return measureDirectory(ctx, c.BinDir, c.Dir) }},
	}
}

// Measure measures all slopes, or those of one part. A part that fails is named
// in the document and leaves its slopes out.
func Measure(ctx context.Context, c Config) *Report {
	d := &Report{Date: time.Now().UTC().Format(time.DateOnly), Cores: runtime.NumCPU(), LoadBefore: loadAverages()}
	for _, s := range steps(c) {
		if c.Part == "" || c.Part == s.name {
			d.take(ctx, s, c.Out)
		}
	}
	d.LoadAfter = loadAverages()
	return d
}

// take runs one part and adds its slopes.
func (d *Report) take(ctx context.Context, s step, out io.Writer) {
	start := time.Now()
	slopes, err := s.run(ctx)
	took := time.Since(start).Round(time.Second)
	if err != nil {
		fmt.Fprintf(out, "%s failed after %s: %v\n", s.name, took, err)
		d.NotMeasured = append(d.NotMeasured, s.name+": "+err.Error())
		return
	}
	fmt.Fprintf(out, "%s: %s, load averages %s\n", s.name, took, loadAverages())
	for _, slope := range slopes {
		fmt.Fprintf(out, "  %-32s %14.3f %-5s %v\n", slope.Name, slope.Value, slope.Unit, slope.Readings)
	}
	d.Slopes = append(d.Slopes, slopes...)
}

// loadAverages returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverages() string {
	const averages = 3
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(averages, len(fields))], " ")
}

func quartiles(values []float64) []float64 {
	sorted := sortedCopy(values)
	if len(sorted) == 0 {
		return nil
	}
	last := len(sorted) - 1
	return []float64{sorted[0], sorted[last/4], sorted[last/2], sorted[last*3/4], sorted[last]}
}
