package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// Loads at which bounds are checked, as shares of the capacity, and the bounds on
// the combined policies. Ratios are relative to the baseline.
const (
	highLoad        = 0.95
	overload        = 1.5
	maxHighP95Ratio = 0.5
	maxAllP95Ratio  = 0.8
	maxWasteRatio   = 0.4  // of recomputed tokens and of unused token-seconds
	minGoodput      = 0.95 // share of the engine time that faults leave available
	maxFailedRatio  = 0.1  // failed programs in a short outage, relative to a run without retries
)

// check is a measured value with its bound.
type check struct {
	id       string
	measured float64
	limit    float64
	atMost   bool // limit is an upper bound, otherwise a lower bound
}

func (c check) violated() bool {
	if c.atMost {
		return c.measured > c.limit
	}
	return c.measured < c.limit
}

func (c check) String() string {
	relation := "at least"
	if c.atMost {
		relation = "at most"
	}
	return fmt.Sprintf("%s: %.3f, %s %.2f", c.id, c.measured, relation, c.limit)
}

// checkResults compares the combined policies with the baseline of the same
// deployment, load and faults.
func checkResults(results []result) []check {
	baselines := make(map[string]*metrics)
	var checks []check
	for _, r := range results {
		switch r.variant.name {
		case baselineName:
			baselines[r.title()] = r.metrics
		case combinedName:
			checks = append(checks, checkCombined(r, baselines[r.title()])...)
		}
	}
	return checks
}

// checkCombined returns the bounds that apply at the load of r: on goodput at
// overload, on latency and waste at highLoad, on latency at lower loads.
func checkCombined(r result, baseline *metrics) []check {
	prefix := strings.ReplaceAll(strings.ReplaceAll(r.title(), ", ", "/"), " ", "-") + "/"
	highP95Ratio := r.metrics.quantile(0.95, classHigh).Seconds() / baseline.quantile(0.95, classHigh).Seconds()
	allP95Ratio := r.metrics.allP95().Seconds() / baseline.allP95().Seconds()
	switch r.load {
	case overload:
		return []check{{prefix + "goodput", r.metrics.goodput(), minGoodput, false}}
	case highLoad:
		return []check{
			{prefix + "p95-high", highP95Ratio, maxHighP95Ratio, true},
			{prefix + "p95-all", allP95Ratio, maxAllP95Ratio, true},
			{prefix + "recomputed", r.metrics.recomputedTokens / baseline.recomputedTokens, maxWasteRatio, true},
			{prefix + "held-in-vain", r.metrics.unusedTokenSeconds / baseline.unusedTokenSeconds, maxWasteRatio, true},
		}
	}
	return []check{{prefix + "p95-high", highP95Ratio, 1, true}, {prefix + "p95-all", allP95Ratio, 1, true}}
}

// checkRetries compares the default retry policy with no retries in a short outage.
func checkRetries(results []result) []check {
	withoutRetries := make(map[string]*metrics)
	var checks []check
	for _, r := range results {
		if r.outage.duration != shortOutage {
			continue
		}
		title := fmt.Sprintf("%s/%s", r.deployment.name, r.outage)
		switch r.variant.name {
		case retryVariant(0, false, false).name:
			withoutRetries[title] = r.metrics
		case retryVariant(combined().retry.MaxRetries, true, true).name:
			ratio := r.metrics.failedShare() / withoutRetries[title].failedShare()
			checks = append(checks, check{strings.ReplaceAll(title, " ", "-") + "/lost", ratio, maxFailedRatio, true})
		}
	}
	return checks
}

// errBoundsViolated means that bounds are violated that are not listed as known.
var errBoundsViolated = errors.New("bounds are violated")

// reportChecks prints the violated bounds and returns errBoundsViolated if one of
// them is not in known.
func reportChecks(w io.Writer, checks []check, known map[string]bool) error {
	newViolations := 0
	fmt.Fprintln(w)
	for _, c := range checks {
		switch {
		case !c.violated():
		case known[c.id]:
			fmt.Fprintln(w, "known red:", c)
		default:
			fmt.Fprintln(w, "broken:", c)
			newViolations++
		}
	}
	fmt.Fprintf(w, "%d bounds checked\n", len(checks))
	if newViolations > 0 {
		return fmt.Errorf("%d of %d: %w", newViolations, len(checks), errBoundsViolated)
	}
	return nil
}

// readKnownViolations returns the IDs of the bounds that the file lists, one a
// line after the word "policybench". A missing file lists none.
func readKnownViolations(path string) (map[string]bool, error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the list of known violations: %w", err)
	}
	defer f.Close()
	known := make(map[string]bool)
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) >= 2 && fields[0] == "policybench" {
			known[strings.TrimSuffix(fields[1], ":")] = true
		}
	}
	return known, scanner.Err()
}
