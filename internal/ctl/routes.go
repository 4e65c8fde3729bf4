package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/routing"
)

// DecodeRoutes decodes and validates a configuration document as state hosts do. Errors wrap
// routing.ErrInvalid.
type DecodeRoutes func(document []byte) (*routing.Document, error)

// maxDocumentBytes limits a document that is read from a file or the standard input.
const maxDocumentBytes = 12 << 20

// routesCommand has the commands for configurations of pass-through routes.
func routesCommand(decode DecodeRoutes) *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "configuration documents of pass-through routes",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "say whether state hosts would accept a document, without sending it",
			ArgsUsage: "<file, or - for the standard input>",
			Action:    func(_ context.Context, cmd *cli.Command) error { return checkRoutes(decode, cmd) },
		}},
	}
}

// checkRoutes prints the size of a valid document. Errors: *UsageError for an invalid one.
func checkRoutes(decode DecodeRoutes, cmd *cli.Command) error {
	name, err := oneArgument(cmd, "file")
	if err != nil {
		return err
	}
	document, err := readDocument(name, cmd.Root().Reader)
	if err != nil {
		return err
	}
	doc, err := decode(document)
	if errors.Is(err, routing.ErrInvalid) {
		return &UsageError{Problem: fmt.Sprintf("%s is refused: %v", name, err), Fix: "correct the document and check it again"}
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "version %d is valid: %d routes, %d services, %d bytes\n", doc.Version, len(doc.Routes), len(doc.Services), len(document))
	return nil
}

// readDocument reads a file, or in if its name is standardIn.
func readDocument(name string, in io.Reader) ([]byte, error) {
	if name != standardIn {
		file, err := os.Open(name)
		if err != nil {
			return nil, &UsageError{Problem: err.Error(), Fix: "name a readable file"}
		}
		defer file.Close()
		in = file
	}
	document, err := io.ReadAll(io.LimitReader(in, maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	if len(document) > maxDocumentBytes {
		return nil, &UsageError{Problem: fmt.Sprintf("%s has more than %d bytes", name, maxDocumentBytes), Fix: "state hosts accept none of that size"}
	}
	return document, nil
}
