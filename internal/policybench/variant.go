package main

import (
	"time"

	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/policy/place"
	"ibistray.example/ibistray/internal/policy/retain"
	"ibistray.example/ibistray/internal/policy/retry"
)

// sharesRule says how contract shares limit the slots of a customer.
type sharesRule int

const (
	sharesWeight sharesRule = iota // as weights of the fair order only
	sharesHard                     // no customer holds more slots
	sharesSoft                     // more only while nobody else within its share waits
)

// variant is one row of the table: a set of policies.
type variant struct {
	// ablation marks a row that differs from the combined policies in one point.
	ablation bool

	name    string
	order   order.Policy
	place   place.Params
	admit   admit.Policy
	retain  *retain.Policy // nil: the engine's own eviction only
	noMoves bool           // no cache moves before a planned stop
	retry   retry.Policy
	budget  float64 // share of traffic for retries; 0: no bound
	burst   int     // retries that the budget of one entry allows at once
	shares  sharesRule
	refusal retry.Kind // how a sidecar reports that it did not admit a call
}

// Names of the rows that bounds compare.
const (
	baselineName = "baseline"
	combinedName = "combined"
)

// baseline is the order of arrival, the least loaded server and no retention.
func baseline() variant {
	return variant{
		name:    baselineName,
		refusal: retry.KindRefused,
		place:   place.Params{MeanOutputTokens: 200, Choices: 8, IgnorePrefix: true},
		retry:   retry.Policy{MaxRetries: 3, MaxUnknownRetries: 3, BaseDelay: time.Second, MaxDelay: 30 * time.Second},
	}
}

func combined() variant {
	keep := retain.DefaultPolicy()
	return variant{
		name:    combinedName,
		order:   order.DefaultPolicy(),
		place:   place.DefaultParams(),
		admit:   admit.DefaultPolicy(),
		retain:  &keep,
		retry:   retry.DefaultPolicy(),
		budget:  retry.DefaultBudgetShare,
		burst:   retry.DefaultBudgetBurst,
		refusal: retry.KindRefused,
	}
}

// with returns a copy of v under a new name that change has edited.
func (v variant) with(name string, change func(v *variant)) variant {
	v.name = name
	if v.retain != nil {
		keep := *v.retain
		v.retain = &keep
	}
	change(&v)
	return v
}

// variants returns the rows of the table, the baseline first.
func variants() []variant {
	rows := append(candidates(baseline(), combined()), combined())
	for _, v := range ablations(combined()) {
		v.ablation = true
		rows = append(rows, v)
	}
	return rows
}

// candidates returns the baseline and single policies on top of it.
func candidates(base, all variant) []variant {
	return []variant{
		base,
		base.with("order: priority", func(v *variant) { v.order = order.Policy{Priority: true} }),
		base.with("order: least attained", func(v *variant) { v.order = order.Policy{LeastAttained: true} }),
		base.with("order: fair share", func(v *variant) { v.order = order.Policy{FairShare: true} }),
		base.with("place: two choices", func(v *variant) { v.place.Choices = 2 }),
		base.with("place: prefix", func(v *variant) { v.place = all.place }),
		base.with("retain", func(v *variant) { v.retain = all.retain }),
		base.with("admit", func(v *variant) { v.admit = all.admit }),
		base.with("retry", func(v *variant) { v.retry, v.budget, v.burst = all.retry, all.budget, all.burst }),
		base.with("place + retain", func(v *variant) { v.place, v.retain = all.place, all.retain }),
	}
}

// ablations returns all policies together with one change each.
func ablations(all variant) []variant {
	return []variant{
		all.with("combined, age weighted", func(v *variant) { v.order.AgingInterval = 5 * time.Second }),
		all.with("combined, least attained", func(v *variant) { v.order.LeastAttained = true }),
		all.with("combined, no fair share", func(v *variant) { v.order.FairShare = false }),
		all.with("combined, move factor 1", func(v *variant) { v.place.RecomputeFactor = 1 }),
		all.with("combined, two choices", func(v *variant) { v.place.Choices = 2 }),
		all.with("combined, no retention", func(v *variant) { v.retain = nil }),
		all.with("combined, no moves", func(v *variant) { v.noMoves = true }),
		all.with("combined, no admission", func(v *variant) { v.admit = admit.Policy{} }),
		all.with("combined, hard shares", func(v *variant) { v.shares = sharesHard }),
	}
}
