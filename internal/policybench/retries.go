package main

import (
	"fmt"
	"io"
	"time"

	"ibistray.example/ibistray/internal/policy/retry"
)

// retryLoad is the load of the runs that compare retries.
const retryLoad = 0.8

// outage describes a failure of engines for a while. In these runs no caller
// comes back by itself.
type outage struct {
	length time.Duration
	// lossy: one engine in three runs calls, but their answers get lost.
	// Otherwise all engines answer 529 without a hint.
	lossy bool
}

func (o outage) String() string {
	if o.lossy {
		return fmt.Sprintf("answers of a third lost for %s", o.length)
	}
	return fmt.Sprintf("529 from all for %s", o.length)
}

const shortOutage = 10 * time.Second

func outages() []outage {
	return []outage{
		{shortOutage, false}, {time.Minute, false}, {3 * time.Minute, false},
		{shortOutage, true}, {3 * time.Minute, true},
	}
}

// retryVariants returns 0, 3 and 10 retries, with and without the elapsed cap
// and the budget.
func retryVariants() []variant {
	var variants []variant
	for _, n := range []int{0, 3, 10} {
		for _, capped := range []bool{false, true} {
			for _, budget := range []bool{false, true} {
				if n > 0 || !capped && !budget {
					variants = append(variants, retryVariant(n, capped, budget))
				}
			}
		}
	}
	return append(variants, combined().with("10 retries, cap, budget 0.1", func(v *variant) { v.budget = 0.1 }))
}

func retryVariant(n int, capped, budget bool) variant {
	name := fmt.Sprintf("%d retries", n)
	if capped {
		name += ", cap"
	}
	if budget {
		name += ", budget"
	}
	return combined().with(name, func(v *variant) {
		v.retry.MaxRetries = n
		if !capped {
			v.retry.MaxElapsed = 0
		}
		if !budget {
			v.budget = 0
		}
	})
}

func measureRetries(seeds int, quick bool) []result {
	variants, all := retryVariants(), outages()
	if quick {
		variants = []variant{retryVariant(0, false, false), retryVariant(retry.DefaultPolicy().MaxRetries, true, true)}
		all = all[:1]
	}
	var scenarios []scenario
	for _, d := range deployments() {
		for _, o := range all {
			for _, v := range variants {
				scenarios = append(scenarios, scenario{deploy: d, variant: v, load: retryLoad, outage: o})
			}
		}
	}
	return withResults(scenarios, seeds)
}

func printRetries(w io.Writer, results []result) {
	last := ""
	for _, r := range results {
		title := fmt.Sprintf("%s, %s", r.deploy.name, r.outage)
		if title != last {
			fmt.Fprintf(w, "\n### %s\n\n| retries | lost programs | retries per call | all p95 |\n|---|---|---|---|\n", title)
			last = title
		}
		fmt.Fprintf(w, "| %s | %.2f %% | %.3f | %s |\n",
			r.variant.name, 100*r.m.lostShare(), r.m.retriesPerCall(), inSeconds(r.m.allP95()))
	}
}
