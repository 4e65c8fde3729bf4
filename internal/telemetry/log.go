// Package telemetry creates the logger and the metrics of a process.
package telemetry

import (
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
)

// Keys of log fields.
const (
	KeyCustomer = "customer"
	KeyProgram  = "program"
	KeyCall     = "call"
	KeyAttempt  = "attempt"
	KeyShard    = "shard"
	KeyServer   = "server"
	KeyError    = "error"
)

// NewLogger returns a logger that writes JSON lines to w. The level is trace, debug, info,
// warn or error; any other value is an error.
func NewLogger(name, level string, w io.Writer) (hclog.Logger, error) {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel || l == hclog.Off {
		return nil, fmt.Errorf("telemetry: unknown log level %q", level)
	}
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      l,
		Output:     w,
		JSONFormat: true,
	}), nil
}
