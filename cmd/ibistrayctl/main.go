// Command ibistrayctl is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"ibistray.example/ibistray/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := ctl.Command().Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "ibistrayctl:", err)
	if next := ctl.NextStep(err); next != "" {
		fmt.Fprintln(os.Stderr, "next step:", next)
	}
	os.Exit(ctl.ExitCode(err))
}
