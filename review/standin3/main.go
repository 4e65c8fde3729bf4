package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration limits a case.
const maxDuration = 110 * time.Second

// errBroken says that the rule of the case was broken.
var errBroken = errors.New("the rule is broken")

// scriptCase runs a case. trouble is false for a run without the disruption. It returns errBroken,
// another error if the case could not run, or nil.
type scriptCase func(rec *record, trouble bool) error

// cases are added by the files that hold them.
var cases = make(map[string]scriptCase)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin3 CASE RECORD, in the root of the repository")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](rec, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-result:
	case <-signals:
		err = errors.New("stopped by a signal")
	case <-time.After(maxDuration):
		err = errors.New("the case took too long")
	}
	closeAll()
	switch {
	case err == nil:
		rec.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.add("%s", err)
		fmt.Println(err)
		return exitBroken
	}
	rec.add("not run: %s", err)
	fmt.Println("not run:", err)
	return exitNotRun
}
