package main

import (
	"fmt"
	"io"
	"time"
)

const (
	// minAccountGoodput is the least share of the requests of accounts below their limits that
	// is served, relative to one entry with full knowledge.
	minAccountGoodput = 0.99
	// minOutageGoodput is the same if the allocator is lost for a while: what accounts had saved
	// for bursts is lost with it.
	minOutageGoodput = 0.98
	// minHotShare is the least share of its limit that an account with more load uses.
	minHotShare = 0.95
	// maxAccountMessages is the most messages to the allocator for each request.
	maxAccountMessages = 1.5
)

// accountsResult is the outcome with a number of entries.
type accountsResult struct {
	entries  int
	outage   bool
	served   float64 // share of the requests of accounts below their limits, lowest of all seeds
	relative float64 // the same, relative to one entry, lowest of all seeds
	hot      float64 // share of its limit that the hot account uses, lowest of all seeds
	broken   float64 // share of the hot account's programs that fail after they began, highest
	messages float64 // to the allocator for each request, highest
	demands  float64 // in messages, for each request, highest
	wait     time.Duration
}

// measureAccounts simulates several numbers of entries with several seeds each, with and
// without a loss of the allocator.
func measureAccounts(seeds int) []accountsResult {
	var results []accountsResult
	for _, outage := range []bool{false, true} {
		for _, entries := range []int{3, 27, 300} {
			result := accountsResult{entries: entries, outage: outage, served: 1, relative: 1, hot: 1}
			for seed := range seeds {
				alone := simulateAccounts(1, uint64(seed), false)
				result.add(simulateAccounts(entries, uint64(seed), outage), alone)
			}
			results = append(results, result)
		}
	}
	return results
}

// add takes in the outcome with a seed, beside that of one entry alone.
func (r *accountsResult) add(s, alone *accountSystem) {
	cold, hot := s.totals()
	reference, _ := alone.totals()
	r.served = min(r.served, cold.servedShare())
	r.relative = min(r.relative, cold.servedShare()/reference.servedShare())
	r.hot = min(r.hot, float64(hot.served)/(hot.perSecond*(accountsEnd-accountsWarmUp).Seconds()))
	r.broken = max(r.broken, float64(hot.broken)/float64(max(1, hot.begun)))
	r.messages = max(r.messages, float64(s.messages)/float64(s.requests))
	r.demands = max(r.demands, float64(s.demands)/float64(s.requests))
	r.wait = max(r.wait, cold.waits/time.Duration(max(1, cold.served)))
}

func printAccounts(w io.Writer, results []accountsResult) {
	fmt.Fprintf(w, "\n### Client accounts at %g of their limits beside one at %g times that\n\n", accountsLoad, hotFactor)
	fmt.Fprintln(w, "| entries | allocator lost for 1 s | requests served below the limit | relative to one entry | mean wait, ms | share of its limit that the hot account uses | its programs that break | messages a request | demands a request |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		fmt.Fprintf(w, "| %d | %t | %.4f | %.4f | %d | %.3f | %.3f | %.2f | %.2f |\n",
			r.entries, r.outage, r.served, r.relative, r.wait.Milliseconds(), r.hot, r.broken, r.messages, r.demands)
	}
}

// checkAccounts returns the bounds on what accounts below and above their limits get.
func checkAccounts(results []accountsResult) []check {
	var checks []check
	for _, r := range results {
		prefix, goodput := fmt.Sprintf("accounts/%d entries/", r.entries), minAccountGoodput
		if r.outage {
			prefix, goodput = prefix+"allocator lost/", minOutageGoodput
		}
		checks = append(checks,
			check{id: prefix + "below the limit", measured: r.relative, limit: goodput},
			check{id: prefix + "messages", measured: r.messages, limit: maxAccountMessages, atMost: true})
		if !r.outage {
			checks = append(checks, check{id: prefix + "hot", measured: r.hot, limit: minHotShare})
		}
	}
	return checks
}
