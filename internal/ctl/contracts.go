package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/contract"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	flagChangeID        = "change-id"
	flagExpectedVersion = "expected-version"
)

func contractCommand() *cli.Command {
	return &cli.Command{
		Name:  "contract",
		Usage: "create, change and show contracts",
		Commands: []*cli.Command{
			{
				Name:      "apply",
				Usage:     "create or change the contract in a YAML or JSON file",
				ArgsUsage: "<file>",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagChangeID, Usage: "ID of the change; a resend with the same ID returns the first result (default: random)"},
					&cli.Int64Flag{Name: flagExpectedVersion, Value: -1, Usage: "version that the change is based on, 0 for a new contract (default: the version in the file)"},
				},
				Action: withSession(applyContract),
			},
			{
				Name:      "show",
				Usage:     "show a contract and its budget",
				ArgsUsage: "<customer>",
				Flags:     []cli.Flag{watchFlag()},
				Action:    watchable(showContract),
			},
			{
				Name:   "list",
				Usage:  "list all contracts",
				Flags:  []cli.Flag{watchFlag()},
				Action: watchable(listContracts),
			},
		},
	}
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "create keys for customers",
		Commands: []*cli.Command{{
			Name:      "new",
			Usage:     "print a new key for a customer and the hash of the key for its contract",
			ArgsUsage: "<customer>",
			Action:    newKey,
		}},
	}
}

func newKey(_ context.Context, cmd *cli.Command) error {
	customer, err := oneArgument(cmd, "customer")
	if err != nil {
		return err
	}
	key, err := contract.NewKey(customer)
	if err != nil {
		return &UsageError{Problem: err.Error(), Fix: "use 1 to 63 characters of a-z, 0-9 and dash"}
	}
	fmt.Fprintf(cmd.Root().Writer, "key:  %s\nhash: %x\n", key, contract.HashKey(key))
	return nil
}

func applyContract(ctx context.Context, s *session, cmd *cli.Command) error {
	path, err := oneArgument(cmd, "file")
	if err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return &UsageError{Problem: err.Error(), Fix: "pass the path of a readable file"}
	}
	document, err := contract.Decode(data)
	if err != nil {
		return &UsageError{Problem: fmt.Sprintf("%s: %s", path, err), Fix: "correct the file; nothing was changed"}
	}
	expectedVersion := document.Version
	if flagValue := cmd.Int64(flagExpectedVersion); flagValue >= 0 {
		expectedVersion = uint64(flagValue)
	}
	changeID := cmd.String(flagChangeID)
	if changeID == "" {
		changeID = rand.Text()
	}
	result, err := s.client.ApplyContract(ctx, document.Customer, data, expectedVersion, changeID)
	if err != nil {
		return fmt.Errorf("change %s: %w", changeID, err)
	}
	if s.json {
		return printProto(s.out, result)
	}
	fmt.Fprintf(s.out, "contract of %s: version %d is in force (change %s)\n", document.Customer, result.Contract.Version, changeID)
	return nil
}

func showContract(ctx context.Context, s *session, cmd *cli.Command) error {
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
	document, err := contract.Encode(view.Contracts[0])
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "# version %d\n%s", view.Contracts[0].Version, document)
	budget := view.Budgets[0].Budget
	fmt.Fprintf(s.out, "# budget: %d of %d tokens used, %d reserved\n", budget.Used, budget.Limit, budget.Reserved)
	return nil
}

func listContracts(ctx context.Context, s *session, _ *cli.Command) error {
	view, err := s.client.Customers(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return printProto(s.out, view)
	}
	budgets := budgetsByCustomer(view)
	t := newTable(s.out, "CUSTOMER", "VERSION", "PRIORITY", "SHARE", "BUDGET", "USED", "RESERVED", "MODELS", "SUSPENDED")
	for _, c := range view.Contracts {
		b := budgets[c.Customer]
		share := fmt.Sprintf("%.1f%%", float64(c.EngineSharePermille)/10)
		t.row(c.Customer, c.Version, c.Priority, share, b.GetLimit(), b.GetUsed(), b.GetReserved(), strings.Join(c.Models, ","), c.Suspended)
	}
	return t.flush()
}

func budgetsByCustomer(view *rpcpb.ViewResponse) map[string]*shardpb.BudgetView {
	budgets := make(map[string]*shardpb.BudgetView, len(view.Budgets))
	for _, b := range view.Budgets {
		budgets[b.Customer] = b.Budget
	}
	return budgets
}
