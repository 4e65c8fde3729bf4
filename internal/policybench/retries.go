package main

import (
	"fmt"
	"io"
	"time"

	"ibistray.example/ibistray/internal/policy/retry"
)

// retryLoad is the load for the comparison of retries, as a share of the capacity.
const retryLoad = 0.8

// outage describes a temporary failure of engines. In runs with an outage no caller
// resends a call that failed for good.
type outage struct {
	duration time.Duration
	// losesAnswers means that one engine in three runs calls but loses their
	// answers. Otherwise all engines respond with 529 without a retry-after hint.
	losesAnswers bool
}

func (o outage) String() string {
	if o.losesAnswers {
		return fmt.Sprintf("answers of a third lost for %s", o.duration)
	}
	return fmt.Sprintf("529 from all for %s", o.duration)
}

const shortOutage = 10 * time.Second

func outages() []outage {
	return []outage{
		{shortOutage, false}, {time.Minute, false}, {3 * time.Minute, false},
		{shortOutage, true}, {3 * time.Minute, true},
	}
}

// retryVariants returns variants with 0, 3 and 10 retries, with and without the limit
// on the elapsed time and the retry budget.
func retryVariants() []variant {
	var variants []variant
	for _, maxRetries := range []int{0, 3, 10} {
		for _, capped := range []bool{false, true} {
			for _, budgeted := range []bool{false, true} {
				if maxRetries > 0 || !capped && !budgeted {
					variants = append(variants, retryVariant(maxRetries, capped, budgeted))
				}
			}
		}
	}
	return append(variants, combined().with("10 retries, cap, budget 0.1", func(v *variant) { v.budgetShare = 0.1 }))
}

// retryVariant returns the combined policies with at most maxRetries retries, with a
// limit on the elapsed time if capped and a retry budget if budgeted.
func retryVariant(maxRetries int, capped, budgeted bool) variant {
	name := fmt.Sprintf("%d retries", maxRetries)
	if capped {
		name += ", cap"
	}
	if budgeted {
		name += ", budget"
	}
	return combined().with(name, func(v *variant) {
		v.retry.MaxRetries = maxRetries
		if !capped {
			v.retry.MaxElapsed = 0
		}
		if !budgeted {
			v.budgetShare = 0
		}
	})
}

// measureRetries runs the retry variants on both deployments with each outage. With
// quick, it runs only the first outage with the two variants that checkRetries compares.
func measureRetries(seeds int, quick bool) []result {
	variants, outages := retryVariants(), outages()
	if quick {
		variants = []variant{retryVariant(0, false, false), retryVariant(retry.DefaultPolicy().MaxRetries, true, true)}
		outages = outages[:1]
	}
	var scenarios []scenario
	for _, d := range deployments() {
		for _, o := range outages {
			for _, v := range variants {
				scenarios = append(scenarios, scenario{deployment: d, variant: v, load: retryLoad, outage: o})
			}
		}
	}
	return runScenarios(scenarios, seeds)
}

func printRetries(w io.Writer, results []result) {
	lastTitle := ""
	for _, r := range results {
		title := fmt.Sprintf("%s, %s", r.deployment.name, r.outage)
		if title != lastTitle {
			fmt.Fprintf(w, "\n### %s\n\n| retries | lost programs | retries per call | all p95 |\n|---|---|---|---|\n", title)
			lastTitle = title
		}
		fmt.Fprintf(w, "| %s | %.2f %% | %.3f | %s |\n",
			r.variant.name, 100*r.metrics.failedShare(), r.metrics.retriesPerCall(), formatSeconds(r.metrics.allP95()))
	}
}
