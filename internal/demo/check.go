package demo

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"ibistray.example/ibistray/internal/backendtest"
	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
)

// check prints the latency and recomputed prompt tokens of each program, and checks the
// effects of the services. The observer has checked the order and completeness of the
// history with each answer.
func check(ctx context.Context, c *localcluster.Cluster, obs *observer, results []result) error {
	printResults(obs, results)
	printUnreleasedTokens(ctx, c, obs)
	effects, err := backendtest.ReadEffects(c.EffectsFile())
	if err != nil {
		return err
	}
	return checkEffects(effects, obs.answeredServiceCalls())
}

func printResults(obs *observer, results []result) {
	fmt.Fprintf(obs.out, "\n%-22s %8s %6s %6s %14s %14s %8s\n", "program", "latency", "calls", "sends", "prompt tokens", "wasted tokens", "share")
	for _, r := range results {
		o := r.outcome
		fmt.Fprintf(obs.out, "%-22s %7.2fs %6d %6d %14d %14d %7.1f%%\n",
			r.program.name, r.latency.Seconds(), o.Calls, o.Requests, o.PromptTokens, o.WastedTokens, percent(o.WastedTokens, o.PromptTokens))
	}
	fmt.Fprintln(obs.out)
}

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// printUnreleasedTokens waits up to releaseTimeout until the engines have released the
// cached prefixes of ended programs, and prints how long it took or what is left.
func printUnreleasedTokens(ctx context.Context, c *localcluster.Cluster, obs *observer) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	startTime := time.Now()
	cachedTokens := totalCachedTokens(ctx, c)
	err := c.Probe.WaitFor(ctx, "the release of engine memory", func() bool {
		cachedTokens = totalCachedTokens(ctx, c)
		return cachedTokens == 0
	})
	if err != nil {
		fmt.Fprintf(obs.out, "warning: engines still hold %d tokens of ended programs after %s\n\n", cachedTokens, releaseTimeout)
		return
	}
	fmt.Fprintf(obs.out, "engines hold no memory of ended programs (%d ms after the last one)\n\n", time.Since(startTime).Milliseconds())
}

// totalCachedTokens returns the number of cached tokens of all reachable engines.
func totalCachedTokens(ctx context.Context, c *localcluster.Cluster) int {
	total := 0
	for _, s := range c.Engines {
		cached, err := c.Probe.CachedPrograms(ctx, s)
		if err != nil {
			continue
		}
		for _, tokens := range cached {
			total += tokens
		}
	}
	return total
}

// repeatable contains the operations that the example contracts declare repeatable.
var repeatable = map[string]bool{
	load.ServiceStock + "/" + load.OperationLookup:     true,
	load.ServiceManifests + "/" + load.OperationLookup: true,
}

// checkEffects compares the effects of the services with the answered calls. Each call
// must have an effect, and exactly one unless its operation is repeatable; each effect
// must belong to an answered call.
func checkEffects(effects []backendtest.Effect, calls []load.ServiceCall) error {
	count := make(map[string]int)
	for _, effect := range effects {
		count[effectKey(effect.Service, effect.Operation, effect.Body)]++
	}
	var errs []error
	for _, call := range calls {
		key := effectKey(call.Service, call.Operation, call.Body)
		n := count[key]
		delete(count, key)
		if n == 0 || (n > 1 && !repeatable[call.Service+"/"+call.Operation]) {
			errs = append(errs, fmt.Errorf("call %s: %s had %d effects", call.CallID, key, n))
		}
	}
	for key, n := range count {
		errs = append(errs, fmt.Errorf("%d effects of %s without an answered call", n, key))
	}
	return errors.Join(errs...)
}

// effectKey identifies the effects of one call.
func effectKey(service, operation string, body []byte) string {
	return strings.Join([]string{service, operation, string(body)}, "/")
}
