// Command ibistrayctl is the command-line tool for operators of ibistray.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/ctl"
	"ibistray.example/ibistray/internal/httpserver"
	"ibistray.example/ibistray/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	httpserver.SetLogger(hclog.NewNullLogger())
	err := ctl.Command(openAccounts, platform.CheckRoutes).Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "ibistrayctl:", err)
	if advice := ctl.NextStep(err); advice != "" {
		fmt.Fprintln(os.Stderr, "next step:", advice)
	}
	os.Exit(ctl.ExitCode(err))
}

func openAccounts(addresses []string) ctl.AccountStore { return platform.NewAccountStore(addresses) }
