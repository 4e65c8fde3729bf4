package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/proto/configpb"
)

const (
	flagScope = "scope"
	flagNote  = "note"
)

var stopScopes = map[string]configpb.StopScope{
	"server":         configpb.StopScope_STOP_SCOPE_SERVER,
	"host":           configpb.StopScope_STOP_SCOPE_HOST,
	"failure-domain": configpb.StopScope_STOP_SCOPE_FAILURE_DOMAIN,
}

func changeIDFlag() cli.Flag {
	return &cli.StringFlag{Name: flagChangeID, Usage: "ID of the change; a resend with the same ID returns the first result (default: random)"}
}

func scopeFlag() cli.Flag {
	return &cli.StringFlag{Name: flagScope, Value: "server", Usage: "kind of the named object: server, host or failure-domain"}
}

func stopCommand() *cli.Command {
	return &cli.Command{
		Name:  "stop",
		Usage: "announce and lift planned stops",
		Commands: []*cli.Command{
			{
				Name:      "announce",
				Usage:     "stop new work on a server, host or failure domain; running calls finish",
				ArgsUsage: "<name>",
				Flags:     []cli.Flag{scopeFlag(), changeIDFlag(), &cli.StringFlag{Name: flagNote, Usage: "note for other operators"}},
				Action:    withSession(announceStop),
			},
			{
				Name:      "lift",
				Usage:     "end a planned stop",
				ArgsUsage: "<name>",
				Flags:     []cli.Flag{scopeFlag(), changeIDFlag()},
				Action:    withSession(liftStop),
			},
			{Name: "list", Usage: "list planned stops", Flags: []cli.Flag{watchFlag()}, Action: watchable(listStops)},
		},
	}
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list and lift quarantines of requests that crash backend servers",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list suspected and quarantined requests", Flags: []cli.Flag{watchFlag()}, Action: watchable(listQuarantine)},
			{
				Name:      "lift",
				Usage:     "allow a quarantined request again",
				ArgsUsage: "<fingerprint>",
				Flags:     []cli.Flag{changeIDFlag()},
				Action:    withSession(liftQuarantine),
			},
		},
	}
}

// stopKey returns the record key, scope and name of the stop that the command line names.
func stopKey(cmd *cli.Command) (string, configpb.StopScope, string, error) {
	name, err := oneArgument(cmd, "name")
	if err != nil {
		return "", 0, "", err
	}
	scope, ok := stopScopes[cmd.String(flagScope)]
	if !ok {
		return "", 0, "", &UsageError{
			Problem: fmt.Sprintf("--%s %q is not supported", flagScope, cmd.String(flagScope)),
			Fix:     "use server, host or failure-domain",
		}
	}
	return config.StopKey(scope, name), scope, name, nil
}

func announceStop(ctx context.Context, s *session, cmd *cli.Command) error {
	_, scope, name, err := stopKey(cmd)
	if err != nil {
		return err
	}
	stop := &configpb.Stop{Scope: scope, Name: name, Note: cmd.String(flagNote)}
	put := &configpb.Put{Record: &configpb.Record{Value: &configpb.Record_Stop{Stop: stop}}}
	return s.propose(ctx, cmd, &configpb.Command{Op: &configpb.Command_Put{Put: put}})
}

func liftStop(ctx context.Context, s *session, cmd *cli.Command) error {
	key, _, _, err := stopKey(cmd)
	if err != nil {
		return err
	}
	return s.deleteRecord(ctx, cmd, key)
}

func liftQuarantine(ctx context.Context, s *session, cmd *cli.Command) error {
	text, err := oneArgument(cmd, "fingerprint")
	if err != nil {
		return err
	}
	fingerprint, err := hex.DecodeString(text)
	if err != nil {
		return &UsageError{Problem: fmt.Sprintf("%q is not a fingerprint", text), Fix: "copy it from ibistrayctl quarantine list"}
	}
	return s.deleteRecord(ctx, cmd, config.QuarantineKey(fingerprint))
}

// deleteRecord deletes the configuration record with the given key, provided that it
// does not change between the read and the deletion.
func (s *session) deleteRecord(ctx context.Context, cmd *cli.Command, key string) error {
	status, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	for _, record := range status.Records {
		if record.Key == key {
			remove := &configpb.Delete{Key: key, ExpectedVersion: record.Version}
			return s.propose(ctx, cmd, &configpb.Command{Op: &configpb.Command_Delete{Delete: remove}})
		}
	}
	return &APIError{Status: 404, Reason: "not_found", Message: "there is no record " + key}
}

// propose proposes a configuration change and prints whether it is in force everywhere.
// Without --change-id, the change gets a random ID.
func (s *session) propose(ctx context.Context, cmd *cli.Command, change *configpb.Command) error {
	change.ChangeId = cmd.String(flagChangeID)
	if change.ChangeId == "" {
		change.ChangeId = rand.Text()
	}
	status, err := s.client.ChangeConfiguration(ctx, change)
	if err != nil {
		return fmt.Errorf("change %s: %w", change.ChangeId, err)
	}
	if s.json {
		return printProto(s.out, status)
	}
	if status.InForceVersion < status.Version {
		fmt.Fprintf(s.out, "change %s is accepted as version %d, not yet in force everywhere; see ibistrayctl status\n", change.ChangeId, status.Version)
		return nil
	}
	fmt.Fprintf(s.out, "change %s is in force everywhere (version %d)\n", change.ChangeId, status.Version)
	return nil
}

func listStops(ctx context.Context, s *session, _ *cli.Command) error {
	status, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return printProto(s.out, status)
	}
	t := newTable(s.out, "SCOPE", "NAME", "SINCE", "VERSION", "IN FORCE", "NOTE")
	for _, record := range status.Records {
		stop := record.GetStop()
		if stop == nil {
			continue
		}
		scope := strings.ToLower(strings.TrimPrefix(stop.Scope.String(), "STOP_SCOPE_"))
		since := time.UnixMilli(stop.AnnouncedMs).UTC().Format(time.RFC3339)
		t.row(scope, stop.Name, since, record.Version, record.Version <= status.InForceVersion, stop.Note)
	}
	return t.flush()
}

func listQuarantine(ctx context.Context, s *session, _ *cli.Command) error {
	status, err := s.client.Configuration(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return printProto(s.out, status)
	}
	t := newTable(s.out, "FINGERPRINT", "STATE", "SINCE", "SERVERS")
	for _, record := range status.Records {
		if q := record.GetQuarantine(); q != nil {
			t.row(hex.EncodeToString(q.Fingerprint), "quarantined", time.UnixMilli(q.SinceMs).UTC().Format(time.RFC3339), strings.Join(q.Servers, ","))
		}
		if q := record.GetSuspect(); q != nil {
			t.row(hex.EncodeToString(q.Fingerprint), "suspect", time.UnixMilli(q.SinceMs).UTC().Format(time.RFC3339), strings.Join(q.Servers, ","))
		}
	}
	return t.flush()
}
