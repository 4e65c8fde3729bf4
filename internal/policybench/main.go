// Command policybench measures the decision packages in virtual time. It runs
// the real policies against small fakes, prints tables and ends with status 1
// if a bound is broken. Equal flags give equal output.
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

// Numbers of seeds of a full run.
const (
	fullSeeds   = 10
	retrySeeds  = 3 // of the runs that compare retries
	ledgerSeeds = 3 // of the runs of the program ledger
)

// gcPercent trades memory for time; a run is short.
const gcPercent = 400

func main() {
	quick := flag.Bool("quick", false, "one seed, baseline and combined policies only")
	rows := flag.String("rows", "", "print only rows whose name contains this, and check no bound")
	load := flag.Float64("load", 0, "measure at this load only, and check no bound")
	known := flag.String("known-red", "KNOWN-RED.txt", "file that lists the bounds known to be broken")
	ledgerOnly := flag.Bool("ledger", false, "print the load on the program ledger only, and check no bound")
	retriesOnly := flag.Bool("retries", false, "print the comparison of retries only, and check no bound")
	flag.Parse()
	debug.SetGCPercent(gcPercent)
	if *retriesOnly {
		printRetries(os.Stdout, measureRetries(retrySeeds, false))
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
	if err := run(os.Stdout, *quick, *rows, *known); err != nil {
		fmt.Fprintln(os.Stderr, "policybench:", err)
		os.Exit(1)
	}
}

func run(w io.Writer, quick bool, rows, knownFile string) error {
	seeds, names, loads := fullSeeds, variants(), []float64{0.5, 0.8, boundedLoad, overload}
	if quick {
		seeds, names, loads = 1, []variant{baseline(), combined()}, loads[2:]
	}
	results := measure(selectRows(names, rows), seeds, loads)
	printTable(w, results)
	if rows != "" {
		return nil
	}
	trial := measureRetries(min(seeds, retrySeeds), quick)
	printRetries(w, trial)
	ledger := measureLedger(min(seeds, ledgerSeeds))
	printLedger(w, ledger)
	known, err := readKnownRed(knownFile)
	if err != nil {
		return err
	}
	return report(w, slices.Concat(checkResults(results), checkRetries(trial), checkLedger(ledger)), known)
}

func selectRows(all []variant, name string) []variant {
	var selected []variant
	for _, v := range all {
		if strings.Contains(v.name, name) {
			selected = append(selected, v)
		}
	}
	return selected
}
