package main

import (
	"time"

	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/policy/place"
	"ibistray.example/ibistray/internal/policy/retain"
	"ibistray.example/ibistray/internal/policy/retry"
)

// shareRule says how contract shares limit the batch slots of a customer.
type shareRule int

const (
	sharesAsWeights    shareRule = iota // weights of the fair order, no limit on slots
	sharesAsHardLimits                  // no customer uses more slots than its share
	sharesAsSoftLimits                  // more only while no customer within its share waits
)

// variant is a set of policies, which is one row of a table.
type variant struct {
	// ablation marks a variant that differs from the combined policies in one point.
	ablation bool

	name          string
	order         order.Policy
	place         place.Params
	admit         admit.Policy
	retain        *retain.Policy // nil: the engine's own eviction only
	noPrefixMoves bool           // prefixes are not moved before a planned stop
	retry         retry.Policy
	budgetShare   float64 // retries per first attempt; 0: no budget
	budgetBurst   int     // retries at once per entry
	shares        shareRule
	refusalKind   retry.Kind // reported by a sidecar that does not admit a call
}

// Names of the variants that bounds compare.
const (
	baselineName = "baseline"
	combinedName = "combined"
)

// baseline returns simple policies: calls run in the order of arrival, go to the least
// loaded server and are retried a fixed number of times, without admission control or
// retention.
func baseline() variant {
	return variant{
		name:        baselineName,
		refusalKind: retry.KindRefused,
		place:       place.Params{MeanOutputTokens: 200, Choices: 8, IgnorePrefix: true},
		retry:       retry.Policy{MaxRetries: 3, MaxUnknownRetries: 3, BaseDelay: time.Second, MaxDelay: 30 * time.Second},
	}
}

// combined returns all policies with their default parameters.
func combined() variant {
	retention := retain.DefaultPolicy()
	return variant{
		name:        combinedName,
		order:       order.DefaultPolicy(),
		place:       place.DefaultParams(),
		admit:       admit.DefaultPolicy(),
		retain:      &retention,
		retry:       retry.DefaultPolicy(),
		budgetShare: retry.DefaultBudgetShare,
		budgetBurst: retry.DefaultBudgetBurst,
		refusalKind: retry.KindRefused,
	}
}

// with returns a copy of v with a new name and the changes that edit makes to it.
func (v variant) with(name string, edit func(v *variant)) variant {
	v.name = name
	if v.retain != nil {
		retention := *v.retain
		v.retain = &retention
	}
	edit(&v)
	return v
}

// variants returns the rows of the table, the baseline first.
func variants() []variant {
	rows := append(baselineVariants(baseline(), combined()), combined())
	for _, v := range ablations(combined()) {
		v.ablation = true
		rows = append(rows, v)
	}
	return rows
}

// baselineVariants returns base, and base with one or two policies of full.
func baselineVariants(base, full variant) []variant {
	return []variant{
		base,
		base.with("order: priority", func(v *variant) { v.order = order.Policy{Priority: true} }),
		base.with("order: least attained", func(v *variant) { v.order = order.Policy{LeastAttained: true} }),
		base.with("order: fair share", func(v *variant) { v.order = order.Policy{FairShare: true} }),
		base.with("place: two choices", func(v *variant) { v.place.Choices = 2 }),
		base.with("place: prefix", func(v *variant) { v.place = full.place }),
		base.with("retain", func(v *variant) { v.retain = full.retain }),
		base.with("admit", func(v *variant) { v.admit = full.admit }),
		base.with("retry", func(v *variant) {
			v.retry, v.budgetShare, v.budgetBurst = full.retry, full.budgetShare, full.budgetBurst
		}),
		base.with("place + retain", func(v *variant) { v.place, v.retain = full.place, full.retain }),
	}
}

// ablations returns variants of full with one change each.
func ablations(full variant) []variant {
	return []variant{
		full.with("combined, age weighted", func(v *variant) { v.order.AgingInterval = 5 * time.Second }),
		full.with("combined, least attained", func(v *variant) { v.order.LeastAttained = true }),
		full.with("combined, no fair share", func(v *variant) { v.order.FairShare = false }),
		full.with("combined, move factor 1", func(v *variant) { v.place.RecomputeFactor = 1 }),
		full.with("combined, two choices", func(v *variant) { v.place.Choices = 2 }),
		full.with("combined, no retention", func(v *variant) { v.retain = nil }),
		full.with("combined, no moves", func(v *variant) { v.noPrefixMoves = true }),
		full.with("combined, no admission", func(v *variant) { v.admit = admit.Policy{} }),
		full.with("combined, hard shares", func(v *variant) { v.shares = sharesAsHardLimits }),
	}
}
