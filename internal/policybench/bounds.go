package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// Bounds on the combined policies. Ratios are to the baseline.
const (
	boundedLoad     = 0.95
	overload        = 1.5
	maxHighP95Ratio = 0.5
	maxAllP95Ratio  = 0.8
	maxWasteRatio   = 0.4
	minGoodput      = 0.95 // of the capacity that faults leave
	maxLostRatio    = 0.1  // programs lost in a short outage, to those without retries
)

// check is one bound with what was measured.
type check struct {
	id     string
	got    float64
	limit  float64
	atMost bool // else at least
}

func (c check) broken() bool {
	if c.atMost {
		return c.got > c.limit
	}
	return c.got < c.limit
}

func (c check) String() string {
	relation := "at least"
	if c.atMost {
		relation = "at most"
	}
	return fmt.Sprintf("%s: %.3f, %s %.2f", c.id, c.got, relation, c.limit)
}

// checkResults compares the combined policies with the baseline of the same
// deployment, load and faults.
func checkResults(results []result) []check {
	base := make(map[string]*metrics)
	var checks []check
	for _, r := range results {
		switch r.variant.name {
		case baselineName:
			base[r.title()] = r.m
		case combinedName:
			checks = append(checks, checkCombined(r, base[r.title()])...)
		}
	}
	return checks
}

func checkCombined(r result, base *metrics) []check {
	id := strings.ReplaceAll(strings.ReplaceAll(r.title(), ", ", "/"), " ", "-") + "/"
	high := r.m.quantile(0.95, classHigh).Seconds() / base.quantile(0.95, classHigh).Seconds()
	all := r.m.allP95().Seconds() / base.allP95().Seconds()
	switch r.load {
	case overload:
		return []check{{id + "goodput", r.m.goodput(), minGoodput, false}}
	case boundedLoad:
		return []check{
			{id + "p95-high", high, maxHighP95Ratio, true},
			{id + "p95-all", all, maxAllP95Ratio, true},
			{id + "recomputed", r.m.recomputed / base.recomputed, maxWasteRatio, true},
			{id + "held-in-vain", r.m.vain / base.vain, maxWasteRatio, true},
		}
	}
	return []check{{id + "p95-high", high, 1, true}, {id + "p95-all", all, 1, true}}
}

// checkRetries compares the adopted retries with none in a short outage.
func checkRetries(results []result) []check {
	none := make(map[string]*metrics)
	var checks []check
	for _, r := range results {
		if r.outage.length != shortOutage {
			continue
		}
		title := fmt.Sprintf("%s/%s", r.deploy.name, r.outage)
		switch r.variant.name {
		case retryVariant(0, false, false).name:
			none[title] = r.m
		case retryVariant(combined().retry.MaxRetries, true, true).name:
			ratio := r.m.lostShare() / none[title].lostShare()
			checks = append(checks, check{strings.ReplaceAll(title, " ", "-") + "/lost", ratio, maxLostRatio, true})
		}
	}
	return checks
}

// errBroken means that a bound is broken that is not known to be.
var errBroken = errors.New("bounds are broken")

// report prints the broken bounds and returns errBroken if one of them is not
// known.
func report(w io.Writer, checks []check, known map[string]bool) error {
	unknown := 0
	fmt.Fprintln(w)
	for _, c := range checks {
		switch {
		case !c.broken():
		case known[c.id]:
			fmt.Fprintln(w, "known red:", c)
		default:
			fmt.Fprintln(w, "broken:", c)
			unknown++
		}
	}
	fmt.Fprintf(w, "%d bounds checked\n", len(checks))
	if unknown > 0 {
		return fmt.Errorf("%d of %d: %w", unknown, len(checks), errBroken)
	}
	return nil
}

// readKnownRed returns the bounds that the file lists as lines that begin with
// "policybench " and the bound's ID. A file that does not exist lists none.
func readKnownRed(name string) (map[string]bool, error) {
	f, err := os.Open(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the known broken bounds: %w", err)
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
