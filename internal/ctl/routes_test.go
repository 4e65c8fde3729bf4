package ctl

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/routing"
)

func TestCheckOfADocument(t *testing.T) {
	decode := func(document []byte) (*routing.Document, error) {
		if !bytes.HasPrefix(document, []byte("valid")) {
			return nil, fmt.Errorf("%w: route %q", routing.ErrInvalid, "r")
		}
		return &routing.Document{Version: 7, Routes: make([]*routing.Route, 2)}, nil
	}
	file := filepath.Join(t.TempDir(), "document.json")
	assert.NilError(t, os.WriteFile(file, []byte("valid"), 0o600))
	large := filepath.Join(t.TempDir(), "large.json")
	assert.NilError(t, os.WriteFile(large, append([]byte("valid"), make([]byte, maxDocumentBytes)...), 0o600))
	cases := map[string]struct {
		name, in string
		code     int
		text     string
	}{
		"valid file":       {name: file, text: "version 7 is valid: 2 routes"},
		"invalid input":    {name: standardIn, in: "broken", code: ExitUsage, text: `route "r"`},
		"missing file":     {name: file + ".none", code: ExitUsage, text: "readable"},
		"too large":        {name: large, code: ExitUsage, text: "bytes"},
		"no file is named": {code: ExitUsage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			cmd := Command(nil, decode)
			cmd.Reader, cmd.Writer = strings.NewReader(c.in), &out
			args := []string{"ibistrayctl", "config", "check"}
			if c.name != "" {
				args = append(args, c.name)
			}
			err := cmd.Run(t.Context(), args)
			assert.Equal(t, ExitCode(err), c.code)
			if err != nil {
				var usage *UsageError
				assert.Assert(t, errors.As(err, &usage))
				out.WriteString(err.Error())
			}
			assert.Assert(t, strings.Contains(out.String(), c.text), "%s", out.String())
		})
	}
}
