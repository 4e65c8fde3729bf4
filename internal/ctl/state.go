package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const maxTopRows = 20 // maximum rows of each table of the top command

func programCommand() *cli.Command {
	return &cli.Command{
		Name:  "program",
		Usage: "show programs",
		Commands: []*cli.Command{{
			Name:      "list",
			Usage:     "list the programs of a customer",
			ArgsUsage: "<customer>",
			Flags:     []cli.Flag{watchFlag()},
			Action:    watchable(listPrograms),
		}},
	}
}

func serverCommand() *cli.Command {
	return &cli.Command{
		Name:  "server",
		Usage: "show backend servers",
		Commands: []*cli.Command{{
			Name:   "list",
			Usage:  "list the backend servers known to an entry",
			Flags:  []cli.Flag{watchFlag()},
			Action: watchable(listServers),
		}},
	}
}

func topCommand() *cli.Command {
	return &cli.Command{
		Name:   "top",
		Usage:  "show the busiest backend servers and the programs with the longest history",
		Flags:  []cli.Flag{watchFlag()},
		Action: watchable(showTop),
	}
}

func listPrograms(ctx context.Context, s *session, cmd *cli.Command) error {
	customer, err := oneArgument(cmd, "customer")
	if err != nil {
		return err
	}
	view, err := s.client.Customer(ctx, customer)
	if err != nil {
		return err
	}
	if s.json {
		return printProto(s.out, view)
	}
	return printPrograms(s, view.Programs)
}

func printPrograms(s *session, programs []*shardpb.ProgramView) error {
	t := newTable(s.out, "CUSTOMER", "PROGRAM", "TURNS", "TOKENS", "OPEN CALL", "STATE", "SERVER", "IDLE", "ENDED")
	now := time.Now()
	for _, p := range programs {
		idle := now.Sub(time.UnixMilli(p.LastActivityMs)).Truncate(time.Second)
		t.row(p.Customer, p.Program, p.Turns, p.HistoryTokens, p.OpenCall, callState(p), p.GetTarget().GetServer(), idle, p.Ended)
	}
	return t.flush()
}

// callState returns the state of the open call of a program, or "idle" if it has none.
func callState(p *shardpb.ProgramView) string {
	if p.OpenCall == "" {
		return "idle"
	}
	return strings.ToLower(strings.TrimPrefix(p.OpenState.String(), "CALL_STATE_"))
}

func listServers(ctx context.Context, s *session, _ *cli.Command) error {
	members, err := s.client.Servers(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return printProto(s.out, members)
	}
	slices.SortFunc(members.Members, func(a, b *rpcpb.Announcement) int { return strings.Compare(a.Server, b.Server) })
	return printServers(s, members.Members)
}

func printServers(s *session, servers []*rpcpb.Announcement) error {
	t := newTable(s.out, "SERVER", "STATE", "DOMAIN", "OFFERS", "RUNNING", "WAITING", "BATCH", "CACHE", "SIDECAR")
	for _, a := range servers {
		load := a.GetLoad()
		cache := fmt.Sprintf("%d/%d", load.GetCacheUsedTokens(), load.GetCacheCapacityTokens())
		offers := strings.Join(append(slices.Clone(a.Models), a.Services...), ",")
		t.row(a.Server, serverState(a.State), a.FailureDomain, offers, load.GetRunning(), load.GetWaiting(), load.GetBatchLimit(), cache, a.Sidecar)
	}
	return t.flush()
}

func serverState(state rpcpb.ServerState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "SERVER_STATE_"))
}

func showTop(ctx context.Context, s *session, _ *cli.Command) error {
	members, err := s.client.Servers(ctx)
	if err != nil {
		return err
	}
	view, err := s.client.Customers(ctx)
	if err != nil {
		return err
	}
	slices.SortFunc(members.Members, func(a, b *rpcpb.Announcement) int {
		return int(b.GetLoad().GetRunning()+b.GetLoad().GetWaiting()) - int(a.GetLoad().GetRunning()+a.GetLoad().GetWaiting())
	})
	slices.SortFunc(view.Programs, func(a, b *shardpb.ProgramView) int {
		return int(b.HistoryTokens) - int(a.HistoryTokens)
	})
	if s.json {
		return printProto(s.out, &rpcpb.ViewResponse{Programs: firstRows(view.Programs)})
	}
	if err := printServers(s, firstRows(members.Members)); err != nil {
		return err
	}
	fmt.Fprintln(s.out)
	return printPrograms(s, firstRows(view.Programs))
}

// firstRows returns the first topRows rows.
func firstRows[T any](rows []T) []T {
	return rows[:min(len(rows), maxTopRows)]
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show object counts and the problems that need an operator",
		Flags:  []cli.Flag{watchFlag()},
		Action: watchable(showStatus),
	}
}

// showStatus prints counts of servers, processes, customers and programs, and the problems
// that need an operator.
func showStatus(ctx context.Context, s *session, _ *cli.Command) error {
	members, err := s.client.Servers(ctx)
	if err != nil {
		return err
	}
	view, err := s.client.Customers(ctx)
	if err != nil {
		return err
	}
	replicas, err := s.client.Replicas(ctx)
	if err != nil {
		return err
	}
	report := newStatusReport(members.Members, view)
	report.addReplicas(replicas)
	if s.json {
		return report.printJSON(s.out)
	}
	return report.print(s.out)
}
