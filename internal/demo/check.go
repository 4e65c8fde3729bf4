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

// check prints program latency and wasted cache, and checks the effects of the
// services. In order and whole were checked with each answer.
func check(ctx context.Context, c *localcluster.Cluster, book *ledger, results []result) error {
	printResults(book, results)
	printHeld(ctx, c, book)
	effects, err := backendtest.ReadEffects(c.EffectsFile())
	if err != nil {
		return err
	}
	return checkEffects(effects, book.answered())
}

func printResults(book *ledger, results []result) {
	fmt.Fprintf(book.out, "\n%-22s %8s %6s %6s %14s %14s %8s\n", "program", "latency", "calls", "sends", "prompt tokens", "wasted tokens", "share")
	for _, r := range results {
		o := r.outcome
		fmt.Fprintf(book.out, "%-22s %7.2fs %6d %6d %14d %14d %7.1f%%\n",
			r.user.name, r.latency.Seconds(), o.Calls, o.Requests, o.PromptTokens, o.WastedTokens, percent(o.WastedTokens, o.PromptTokens))
	}
	fmt.Fprintln(book.out)
}

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// printHeld prints the engine memory that ended programs still hold after the
// time in which it should be released.
func printHeld(ctx context.Context, c *localcluster.Cluster, book *ledger) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	began := time.Now()
	held := heldTokens(ctx, c)
	err := c.Probe.WaitFor(ctx, "the release of engine memory", func() bool {
		held = heldTokens(ctx, c)
		return held == 0
	})
	if err != nil {
		fmt.Fprintf(book.out, "warning: engines still hold %d tokens of ended programs after %s\n\n", held, releaseTimeout)
		return
	}
	fmt.Fprintf(book.out, "engines hold no memory of ended programs (%d ms after the last one)\n\n", time.Since(began).Milliseconds())
}

// heldTokens returns the cached tokens of all engines.
func heldTokens(ctx context.Context, c *localcluster.Cluster) int {
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

// repeatable says which operations of the example contracts may run again.
var repeatable = map[string]bool{
	load.ServiceStock + "/" + load.OperationLookup:     true,
	load.ServiceManifests + "/" + load.OperationLookup: true,
}

// checkEffects compares the effects of the services with the calls that were
// answered: each must have had its effect, and one that may not be repeated
// exactly once.
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

func effectKey(service, operation string, body []byte) string {
	return strings.Join([]string{service, operation, string(body)}, "/")
}
