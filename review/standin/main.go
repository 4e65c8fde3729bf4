package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(s *system, trouble bool) (bool, error){
	"config-growth":     configGrowth,
	"late-copy":         lateCopy,
	"long-chain":        longChain,
	"public-turn":       publicTurn,
	"unreadable-report": unreadableReport,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	r, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.file.Close()
	s, err := newSystem(r)
	if err != nil {
		r.line("cannot run: %v", err)
		return failed
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.line("stopped from outside")
		s.stop()
		os.Exit(failed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption: %v", name, trouble)
	ruleBroken, err := cases[name](s, trouble)
	if ends := s.ownEnds(); len(ends) > 0 {
		r.line("ended by themselves: %v", ends)
	}
	switch {
	case err != nil:
		r.line("cannot run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	case ruleBroken:
		r.line("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	r.line("the rule held")
	fmt.Println("held")
	return held
}
