// Command policybench compares scheduling policies in virtual time. It runs the
// packages of internal/policy against simulated engines, services and callers, prints
// tables of the results, and exits with status 1 if a bound is violated that is not
// listed as known. The same flags always give the same output.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strings"
)

// Numbers of seeds in a full run.
const (
	fullSeeds    = 10
	retrySeeds   = 3 // for the comparison of retries
	ledgerSeeds  = 3 // for the load on the program ledger
	limitSeeds   = 3 // for servers with limits
	accountSeeds = 3 // for client accounts with limits
)

// gcPercent makes garbage collection rarer than by default. A run is short, so it can
// use more memory to finish sooner.
const gcPercent = 400

func main() {
	quick := flag.Bool("quick", false, "one seed, baseline and combined policies only")
	rows := flag.String("rows", "", "print only rows whose name contains this, and check no bound")
	load := flag.Float64("load", 0, "measure at this load only, and check no bound")
	knownFile := flag.String("known-red", "KNOWN-RED.txt", "file that lists the bounds known to be broken")
	ledgerOnly := flag.Bool("ledger", false, "print the load on the program ledger only, and check no bound")
	limitsOnly := flag.Bool("limits", false, "print the load on servers with limits only, and check no bound")
	accountsOnly := flag.Bool("accounts", false, "print the load of client accounts only, and check no bound")
	retriesOnly := flag.Bool("retries", false, "print the comparison of retries only, and check no bound")
	flag.Parse()
	debug.SetGCPercent(gcPercent)
	if *retriesOnly {
		printRetries(os.Stdout, measureRetries(retrySeeds, false))
		return
	}
	if *limitsOnly {
		printLimits(os.Stdout, measureLimits(limitSeeds))
		return
	}
	if *accountsOnly {
		printAccounts(os.Stdout, measureAccounts(accountSeeds))
		return
	}
	if *ledgerOnly {
		printLedger(os.Stdout, measureLedger(ledgerSeeds))
		return
	}
	if *load > 0 {
		printTable(os.Stdout, measure(selectRows(variants(), *rows), fullSeeds, []float64{*load}))
		return
	}
	if err := run(os.Stdout, *quick, *rows, *knownFile); err != nil {
		fmt.Fprintln(os.Stderr, "policybench:", err)
		os.Exit(1)
	}
}

// run prints all tables and checks the bounds. With a rowFilter it prints only the
// table of the policies and checks nothing.
func run(w io.Writer, quick bool, rowFilter, knownFile string) error {
	seeds, rows, loads := fullSeeds, variants(), []float64{0.5, 0.8, highLoad, overload}
	if quick {
		seeds, rows, loads = 1, []variant{baseline(), combined()}, loads[2:]
	}
	results := measure(selectRows(rows, rowFilter), seeds, loads)
	printTable(w, results)
	if rowFilter != "" {
		return nil
	}
	retryResults := measureRetries(min(seeds, retrySeeds), quick)
	printRetries(w, retryResults)
	ledgerResults := measureLedger(min(seeds, ledgerSeeds))
	printLedger(w, ledgerResults)
	limitResults := measureLimits(min(seeds, limitSeeds))
	printLimits(w, limitResults)
	accountResults := measureAccounts(min(seeds, accountSeeds))
	printAccounts(w, accountResults)
	known, err := readKnownViolations(knownFile)
	if err != nil {
		return err
	}
	return reportChecks(w, slices.Concat(checkResults(results), checkRetries(retryResults), checkLedger(ledgerResults), checkLimits(limitResults), checkAccounts(accountResults)), known)
}

// selectRows returns the variants whose name contains the substring.
func selectRows(all []variant, substring string) []variant {
	var selected []variant
	for _, v := range all {
		if strings.Contains(v.name, substring) {
			selected = append(selected, v)
		}
	}
	return selected
}
