package main

import (
	"fmt"
	"io"
	"time"
)

// result is a scenario with what was measured.
type result struct {
	scenario
	m *metrics
}

// measure runs the variants on both deployments at the loads, with and without
// faults. Ablations run at the bounded loads only.
func measure(variants []variant, seeds int, loads []float64) []result {
	var scenarios []scenario
	for _, d := range deployments() {
		for _, load := range loads {
			for _, faults := range []bool{false, true} {
				for _, v := range variants {
					if !v.ablation || load >= boundedLoad {
						scenarios = append(scenarios, scenario{deploy: d, variant: v, load: load, faults: faults})
					}
				}
			}
		}
	}
	return withResults(scenarios, seeds)
}

func withResults(scenarios []scenario, seeds int) []result {
	results := make([]result, len(scenarios))
	for i, m := range simulateAll(scenarios, seeds) {
		results[i] = result{scenarios[i], m}
	}
	return results
}

const tableHead = `| policies | high p50/p95/p99 | middle | low | all p95 | recomputed | held in vain | goodput | retries | Jain | lost |
|---|---|---|---|---|---|---|---|---|---|---|`

// printTable prints one table for each deployment, load and choice of faults.
// Latencies are in seconds, recomputed prefixes in millions of tokens for each
// run, memory held in vain in millions of token-seconds for each run.
func printTable(w io.Writer, results []result) {
	last := ""
	for _, r := range results {
		if title := r.title(); title != last {
			fmt.Fprintf(w, "\n### %s\n\n%s\n", title, tableHead)
			last = title
		}
		fmt.Fprintln(w, r.row())
	}
}

func (r result) title() string {
	faults := "no faults"
	if r.faults {
		faults = "with faults"
	}
	return fmt.Sprintf("%s, load %.2f, %s", r.deploy.name, r.load, faults)
}

const million = 1e6

func (r result) row() string {
	m := r.m
	runs := float64(m.runs)
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %.2f | %.0f | %.3f | %.3f | %.2f | %.1f %% |",
		r.variant.name, m.latency(classHigh), m.latency(classMiddle), m.latency(classLow),
		inSeconds(m.allP95()), m.recomputed/runs/million, m.vain/runs/million,
		m.goodput(), m.retriesPerCall(), m.jain(), 100*m.lostShare())
}

// latency returns p50/p95/p99 of a class in seconds, or "-" without programs.
func (m *metrics) latency(c class) string {
	if len(m.latencies[c]) == 0 {
		return "-"
	}
	return inSeconds(m.quantile(0.5, c)) + "/" + inSeconds(m.quantile(0.95, c)) + "/" + inSeconds(m.quantile(0.99, c))
}

func (m *metrics) allP95() time.Duration {
	return m.quantile(0.95, classHigh, classMiddle, classLow)
}

func inSeconds(d time.Duration) string { return fmt.Sprintf("%.0f", d.Seconds()) }
