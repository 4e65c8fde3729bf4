package ctl

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLog = `
  1.2 front-a {"@level":"info","@message":"request ended","@timestamp":"2026-05-10T02:13:06.200000Z","node":"front-a","request":"r1","outcome":"answered","server":"i-1","total_ms":900}
  1.1 front-a {"@level":"info","@message":"attempt ended","@timestamp":"2026-05-10T02:13:06.100000Z","node":"front-a","request":"r1","server":"i-2","error":"broken off"}
  0.9 store-b {"@level":"info","@message":"leader changed","@timestamp":"2026-05-10T02:13:05.900000Z","node":"store-b","group":2}
  0.9 front-a {"@level":"info","@message":"backend server changed","@timestamp":"2026-05-10T02:13:05.900000Z","node":"front-a","server":"i-2","state":"STATE_GONE"}
  0.9 front-a {"@level":"info","@message":"backend server changed","@timestamp":"2026-05-10T02:13:05.900000Z","node":"front-a","server":"i-9"}
  9.9 store-b {"@level":"info","@message":"leader changed","@timestamp":"2026-05-10T02:13:19.900000Z","node":"store-b","group":1}
  1.2 front-b {"@level":"info","@message":"request ended","@timestamp":"2026-05-10T02:13:06.200000Z","node":"front-b","request":"r2","outcome":"answered"}
no log line
{"@timestamp":"never"}
`

func TestExplainPrintsRelatedLinesInOrderOfTime(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, explain([]string{"r1"}, strings.NewReader(sampleLog), &out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 4, out.String())
	assert.Assert(t, strings.Contains(lines[2], "attempt ended"))
	assert.Assert(t, strings.Contains(lines[3], "outcome=answered"))
	assert.Assert(t, strings.Contains(out.String(), "STATE_GONE"))
	assert.Assert(t, !strings.Contains(out.String(), "i-9"))
}

func TestExplainOfAnUnknownRequestFails(t *testing.T) {
	var out strings.Builder
	err := explain([]string{"nobody"}, strings.NewReader(sampleLog), &out)
	assert.ErrorContains(t, err, "names the request nobody")
	var usage *UsageError
	assert.Assert(t, errors.As(explain(nil, strings.NewReader(""), &out), &usage))
	assert.ErrorContains(t, explain([]string{"r1", "/no/such/file"}, nil, &out), "no such file")
}
