package main

import (
	"fmt"
	"io"
	"time"
)

// result is a scenario with its measurements.
type result struct {
	scenario
	metrics *metrics
}

// measure runs the variants on both deployments at the loads, with and without faults.
// Ablations run only at loads of highLoad and above.
func measure(variants []variant, seeds int, loads []float64) []result {
	var scenarios []scenario
	for _, d := range deployments() {
		for _, load := range loads {
			for _, faults := range []bool{false, true} {
				for _, v := range variants {
					if !v.ablation || load >= highLoad {
						scenarios = append(scenarios, scenario{deployment: d, variant: v, load: load, faults: faults})
					}
				}
			}
		}
	}
	return runScenarios(scenarios, seeds)
}

// runScenarios runs the scenarios with the given number of seeds.
func runScenarios(scenarios []scenario, seeds int) []result {
	results := make([]result, len(scenarios))
	for i, m := range simulateAll(scenarios, seeds) {
		results[i] = result{scenarios[i], m}
	}
	return results
}

const tableHeader = `| policies | high p50/p95/p99 | middle | low | all p95 | recomputed | held in vain | goodput | retries | Jain | lost |
|---|---|---|---|---|---|---|---|---|---|---|`

// printTable prints one table for each deployment and load, with and without faults.
// Latencies are in seconds, recomputed prefixes in millions of tokens per run, and the
// column "held in vain" has unusedTokenSeconds in millions per run.
func printTable(w io.Writer, results []result) {
	lastTitle := ""
	for _, r := range results {
		if title := r.title(); title != lastTitle {
			fmt.Fprintf(w, "\n### %s\n\n%s\n", title, tableHeader)
			lastTitle = title
		}
		fmt.Fprintln(w, r.row())
	}
}

func (r result) title() string {
	faults := "no faults"
	if r.faults {
		faults = "with faults"
	}
	return fmt.Sprintf("%s, load %.2f, %s", r.deployment.name, r.load, faults)
}

const million = 1e6

func (r result) row() string {
	m := r.metrics
	runs := float64(m.runs)
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %.2f | %.0f | %.3f | %.3f | %.2f | %.1f %% |",
		r.variant.name, m.latency(classHigh), m.latency(classMiddle), m.latency(classLow),
		formatSeconds(m.allP95()), m.recomputedTokens/runs/million, m.unusedTokenSeconds/runs/million,
		m.goodput(), m.retriesPerCall(), m.meanJainIndex(), 100*m.failedShare())
}

// latency formats p50/p95/p99 of a class in seconds, or returns "-" if it has no
// programs.
func (m *metrics) latency(c priorityClass) string {
	if len(m.latencies[c]) == 0 {
		return "-"
	}
	return formatSeconds(m.quantile(0.5, c)) + "/" + formatSeconds(m.quantile(0.95, c)) + "/" + formatSeconds(m.quantile(0.99, c))
}

// allP95 returns the 95th percentile of the latency over all classes.
func (m *metrics) allP95() time.Duration {
	return m.quantile(0.95, classHigh, classMiddle, classLow)
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.0f", d.Seconds()) }
