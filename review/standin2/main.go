// Command standin2 plays the cases of the second review: it starts the programs of the system as
// separate processes on loopback addresses, with stand-ins for the platform, the operator, the
// workers and the clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is wrapped by the errors of cases whose rule was broken. Any other error says that the case
// could not run.
var errBroken = errors.New("rule broken")

// environment is what a case gets.
type environment struct {
	program string // path of ibistrayd
	dir     string // temporary
	trouble bool   // the disruption happens
	record  *record
}

// caseTimeout is the longest time that a case may take.
const caseTimeout = 115 * time.Second

// abandonInTime ends all processes and this program when a case takes too long or is interrupted.
func abandonInTime(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(caseTimeout):
	}
	killStarted()
	_ = os.RemoveAll(dir)
	fmt.Fprintln(os.Stderr, "the case was given up")
	os.Exit(exitNotRun)
}

var cases = map[string]func(*environment) error{
	"memory-burst":    memoryBurst,
	"zones-in-turn":   zonesInTurn,
	"kept-resumed":    keptResumed,
	"versions-joined": versionsJoined,
	"weights-moved":   weightsMoved,
	"split-resumed":   splitResumed,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE IBISTRAYD RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play plays a case and returns its exit code.
func play(run func(*environment) error, program, recordPath string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = r.close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	go abandonInTime(dir)
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	err = run(&environment{program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r})
	switch {
	case err == nil:
		r.add("result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.add("result: %s", err)
		fmt.Println(err)
		return exitBroken
	}
	r.add("result: the case could not run: %s", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}
