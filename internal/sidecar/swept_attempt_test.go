package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// TestSweptAttemptIsNotReportedAsNeverStarted has an attempt that may have run and failed, of which the shard knows no result.
func TestSweptAttemptIsNotReportedAsNeverStarted(t *testing.T) {
	newSweptTable := func() *attemptTable {
		table := newAttemptTable()
		now := time.Now()
		a := table.admit(runRequest("c", 1, 1), allowStart).attempt
		a.setRefusal(newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DIED, false, ""))
		table.markEnded(a, now)
		table.sweep(now.Add(endedRetentionPeriod))
		return table
	}
	attach := runRequest("c", 1, 1)
	attach.AttachOnly = true
	got := newSweptTable().admit(attach, allowStart)
	assert.Check(t, !got.refused.GetNotRun(), "attaching: %s", got.refused.GetDetail())
	assert.Check(t, !newSweptTable().fenceUnlessStarted(attach.Key, 1), "fencing: reported as never started")
}
