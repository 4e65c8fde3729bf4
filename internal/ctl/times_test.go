package ctl

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const timesLog = `
 1.0 entry-1 {"@message":"request ended","@timestamp":"2026-01-01T10:00:00.5Z","outcome":"answered","status":200,"route":"chat","sends":0,"refused":0,"begin_ms":10,"first_ms":100,"total_ms":300,"keep_ms":20}
{"@message":"request ended","@timestamp":"2026-01-01T10:00:01.9Z","outcome":"answered","status":200,"route":"chat","sends":1,"refused":0,"begin_ms":30,"first_ms":200,"total_ms":500,"keep_ms":40}
{"@message":"request ended","@timestamp":"2026-01-01T10:00:01.9Z","outcome":"refused_ledger_busy","status":503,"route":"chat","sends":0,"refused":0,"total_ms":0}
{"@message":"request ended","@timestamp":"2026-01-01T10:00:01.9Z","outcome":"caller_gone","status":0,"route":"plain","sends":0,"refused":2,"total_ms":0}
{"@message":"leader changed","@timestamp":"2026-01-01T10:00:01.9Z"}
{"@message":"request ended","@timestamp":"2026-01-01T10:00:02.0Z","outcome":"answered","status":200,"route":"chat","sends":0,"refused":0,"total_ms":7}
`

func TestTimesByIntervalAndRoute(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, printTimes(nil, 2*time.Second, strings.NewReader(timesLog), &out))
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")[2:]
	assert.DeepEqual(t, rows, []string{
		"| 10:00:00 | chat | 3 | 2 | 1 | 1 | 20 | 150 | 400 | 30 |",
		"| 10:00:00 | plain | 1 | 0 | 0 | 1 | 0 | 0 | 0 | 0 |",
		"| 10:00:02 | chat | 1 | 1 | 0 | 0 | 0 | 0 | 7 | 0 |",
	})
}

func TestTimesRejectsInvalidInput(t *testing.T) {
	var usage *UsageError
	assert.Assert(t, errors.As(printTimes(nil, 0, strings.NewReader(timesLog), &strings.Builder{}), &usage))
	assert.ErrorContains(t, printTimes(nil, time.Second, strings.NewReader("no JSON"), &strings.Builder{}), "none of 0 log lines")
	assert.ErrorContains(t, printTimes([]string{"/no/such/file"}, time.Second, nil, &strings.Builder{}), "no such file")
}
