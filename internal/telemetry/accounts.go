package telemetry

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxNamedAccounts limits the accounts that have a label of their own. They get it at the
	// first collection in which they are among the largest, and keep it.
	maxNamedAccounts = 20
	// otherAccounts is the label of all other accounts together.
	otherAccounts = "other"
)

// AccountRequests counts the requests of client accounts by outcome. It implements
// prometheus.Collector and is safe for concurrent use.
type AccountRequests struct {
	desc *prometheus.Desc

	mu     sync.Mutex
	counts map[string]map[string]float64 // by account and outcome; of unnamed accounts since the start
	named  map[string]bool
	other  map[string]float64 // by outcome: what named accounts had before they got a label
}

func newAccountRequests() *AccountRequests {
	return &AccountRequests{
		desc: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "account_requests_total"),
			"Requests of client accounts, by account and outcome. The largest accounts have a label of their own.", []string{"account", "outcome"}, nil),
		counts: make(map[string]map[string]float64),
		named:  make(map[string]bool),
		other:  make(map[string]float64),
	}
}

// Inc counts a request of an account.
func (a *AccountRequests) Inc(account, outcome string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts[account] == nil {
		a.counts[account] = make(map[string]float64)
	}
	a.counts[account][outcome]++
}

// Describe implements prometheus.Collector.
func (a *AccountRequests) Describe(ch chan<- *prometheus.Desc) { ch <- a.desc }

// Collect implements prometheus.Collector.
func (a *AccountRequests) Collect(ch chan<- prometheus.Metric) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nameLargest()
	other := make(map[string]float64)
	for outcome, n := range a.other {
		other[outcome] += n
	}
	for account, counts := range a.counts {
		for outcome, n := range counts {
			if a.named[account] {
				ch <- prometheus.MustNewConstMetric(a.desc, prometheus.CounterValue, n, account, outcome)
				continue
			}
			other[outcome] += n
		}
	}
	for outcome, n := range other {
		ch <- prometheus.MustNewConstMetric(a.desc, prometheus.CounterValue, n, otherAccounts, outcome)
	}
}

// nameLargest gives the largest accounts a label. Their earlier requests stay with the others,
// whose counters never decrease. The caller holds the mutex.
func (a *AccountRequests) nameLargest() {
	var unnamed []string
	for account := range a.counts {
		if !a.named[account] {
			unnamed = append(unnamed, account)
		}
	}
	slices.SortFunc(unnamed, func(x, y string) int { return cmp.Or(cmp.Compare(a.total(y), a.total(x)), cmp.Compare(x, y)) })
	for _, account := range unnamed[:min(len(unnamed), maxNamedAccounts-len(a.named))] {
		for outcome, n := range a.counts[account] {
			a.other[outcome] += n
		}
		a.counts[account] = make(map[string]float64)
		a.named[account] = true
	}
}

// total returns the requests of an account. The caller holds the mutex.
func (a *AccountRequests) total(account string) float64 {
	sum := 0.0
	for _, n := range a.counts[account] {
		sum += n
	}
	return sum
}
