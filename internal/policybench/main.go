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
	"strings"
)

// fullSeeds is the number of seeds of a full run.
const fullSeeds = 10

// gcPercent trades memory for time; a run is short.
const gcPercent = 400

func main() {
	quick := flag.Bool("quick", false, "one seed, baseline and combined policies only")
	rows := flag.String("rows", "", "print only rows whose name contains this, and check no bound")
	known := flag.String("known-red", "KNOWN-RED.txt", "file that lists the bounds known to be broken")
	flag.Parse()
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdout, *quick, *rows, *known); err != nil {
		fmt.Fprintln(os.Stderr, "policybench:", err)
		os.Exit(1)
	}
}

func run(w io.Writer, quick bool, rows, knownFile string) error {
	seeds, names := fullSeeds, variants()
	if quick {
		seeds, names = 1, []variant{baseline(), combined()}
	}
	results := measure(selectRows(names, rows), seeds, quick)
	printTable(w, results)
	if rows != "" {
		return nil
	}
	trial := measureRetries(seeds, quick)
	printRetries(w, trial)
	known, err := readKnownRed(knownFile)
	if err != nil {
		return err
	}
	return report(w, append(checkResults(results), checkRetries(trial)...), known)
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
