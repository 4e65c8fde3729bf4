package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Names of the command's flags.
const (
	flagBase        = "base"
	flagCustomer    = "customer"
	flagModel       = "model"
	flagRate        = "rate"
	flagDuration    = "duration"
	flagDrain       = "drain"
	flagPauseScale  = "pause-scale"
	flagMaxPrograms = "max-programs"
	flagIdleTimeout = "idle-timeout"
	flagSeed        = "seed"
	flagRunID       = "run-id"
	flagJSON        = "json"
)

const (
	defaultRate     = 5.0
	defaultDuration = 30 * time.Second
)

// Command returns the CLI command "load", which calls Run and writes its report
// to out as text or JSON.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "replay programs at a fixed rate and report program latency and wasted cache",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagBase, Required: true, Usage: "base URL of an entry; repeat for more"},
			&cli.StringSliceFlag{Name: flagCustomer, Required: true, Usage: "customer key, or KEY=KIND+KIND with kinds of programs; repeat for more"},
			&cli.StringMapFlag{Name: flagModel, Usage: "KIND=MODEL: model of a kind of programs; default: those of the example contracts"},
			&cli.FloatFlag{Name: flagRate, Value: defaultRate, Usage: "programs started a second"},
			&cli.DurationFlag{Name: flagDuration, Value: defaultDuration, Usage: "time in which programs start"},
			&cli.DurationFlag{Name: flagDrain, Value: defaultDrainTimeout, Usage: "time after it in which they may finish"},
			&cli.FloatFlag{Name: flagPauseScale, Value: 1, Usage: "factor on tool pauses"},
			&cli.IntFlag{Name: flagMaxPrograms, Value: defaultMaxPrograms, Usage: "programs in flight above which a start is skipped"},
			&cli.DurationFlag{Name: flagIdleTimeout, Value: defaultIdleTimeout, Usage: "silence after which a call is sent again"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of programs and start times"},
			&cli.StringFlag{Name: flagRunID, Usage: "prefix of program names; default: from the time of day"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print the report as JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runCommand(ctx, cmd, out) },
	}
}

func runCommand(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	config, err := parseConfig(cmd)
	if err != nil {
		return err
	}
	report, err := Run(ctx, config)
	if err != nil {
		return err
	}
	if !cmd.Bool(flagJSON) {
		return report.WriteText(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func parseConfig(cmd *cli.Command) (Config, error) {
	config := Config{
		BaseURLs:    cmd.StringSlice(flagBase),
		Models:      parseModels(cmd.StringMap(flagModel)),
		Rate:        cmd.Float(flagRate),
		Duration:    cmd.Duration(flagDuration),
		Drain:       cmd.Duration(flagDrain),
		PauseScale:  cmd.Float(flagPauseScale),
		MaxPrograms: cmd.Int(flagMaxPrograms),
		IdleTimeout: cmd.Duration(flagIdleTimeout),
		Seed:        cmd.Uint64(flagSeed),
		RunID:       cmd.String(flagRunID),
	}
	if config.RunID == "" {
		config.RunID = "load-" + strconv.FormatInt(time.Now().UnixMilli(), 36)
	}
	for _, text := range cmd.StringSlice(flagCustomer) {
		customer, err := parseCustomer(text)
		if err != nil {
			return Config{}, err
		}
		config.Customers = append(config.Customers, customer)
	}
	return config, nil
}

func parseModels(byName map[string]string) map[Kind]string {
	models := make(map[Kind]string, len(byName))
	for kind, model := range byName {
		models[Kind(kind)] = model
	}
	return models
}

// parseCustomer parses a value of the customer flag: KEY or KEY=KIND+KIND.
func parseCustomer(text string) (Customer, error) {
	key, kinds, named := strings.Cut(text, "=")
	customer := Customer{Key: key}
	if !named {
		return customer, nil
	}
	for name := range strings.SplitSeq(kinds, "+") {
		kind, err := parseKind(name)
		if err != nil {
			return Customer{}, err
		}
		customer.Kinds = append(customer.Kinds, kind)
	}
	return customer, nil
}

func parseKind(name string) (Kind, error) {
	for _, kind := range Kinds() {
		if string(kind) == name {
			return kind, nil
		}
	}
	return "", fmt.Errorf("--%s: unknown kind %q of programs; use one of %v", flagCustomer, name, Kinds())
}
